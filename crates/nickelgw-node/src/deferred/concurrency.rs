//! Limits how many deferred requests run at the same time, by additive increase and multiplicative decrease.

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};

/// Delay of the next run after a run was rejected or failed; doubled with each consecutive rejection.
const FIRST_BACKOFF_S: f64 = 0.2;
/// Longest delay of the next run, before jitter.
const MAX_BACKOFF_S: f64 = 5.0;
/// Largest count of consecutive rejections; further ones do not increase the backoff.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 10;

/// Adaptive limit of concurrent runs.
pub(super) struct ConcurrencyLimit {
    max_running: f64,
    running: Cell<usize>,
    /// Current limit; only its integer part counts.
    limit: Cell<f64>,
    /// Time before which no run may start.
    backoff_until: Cell<f64>,
    consecutive_rejections: Cell<u32>,
}

impl ConcurrencyLimit {
    pub fn new(max_running: usize) -> ConcurrencyLimit {
        ConcurrencyLimit {
            max_running: max_running.max(1) as f64,
            running: Cell::new(0),
            limit: Cell::new(1.0),
            backoff_until: Cell::new(0.0),
            consecutive_rejections: Cell::new(0),
        }
    }

    pub fn running(&self) -> usize {
        self.running.get()
    }

    pub fn has_capacity(&self, now: f64) -> bool {
        self.running.get() < self.limit.get() as usize && now >= self.backoff_until.get()
    }

    pub fn run_started(&self) {
        self.running.set(self.running.get() + 1);
    }

    pub fn run_ended(&self) {
        self.running.set(self.running.get() - 1);
    }

    /// Increases the limit after a run that gave a response.
    pub fn record_success(&self) {
        self.consecutive_rejections.set(0);
        self.limit.set((self.limit.get() + 1.0 / self.limit.get()).min(self.max_running));
    }

    /// Halves the limit after a run that was rejected or failed, and delays the next run.
    pub fn record_rejection(&self, now: f64) {
        self.consecutive_rejections
            .set((self.consecutive_rejections.get() + 1).min(MAX_CONSECUTIVE_REJECTIONS));
        self.limit.set((self.limit.get() / 2.0).max(1.0));
        let doublings = self.consecutive_rejections.get() - 1;
        let backoff_s = (FIRST_BACKOFF_S * f64::from(1u32 << doublings)).min(MAX_BACKOFF_S);
        // The jitter keeps nodes that were rejected together from retrying at the same moment.
        let jitter = RandomState::new().hash_one(0) as f64 / u64::MAX as f64;
        self.backoff_until.set(now + backoff_s * (0.5 + jitter));
    }
}
