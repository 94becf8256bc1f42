//! How many deferred requests run at once: additive increase, multiplicative decrease.

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};

/// After a run that found no capacity the next waits, twice as long each time in a row.
const FIRST_BACKOFF_S: f64 = 0.2;
const MAX_BACKOFF_S: f64 = 5.0;
/// Rejections in a row beyond which the backoff does not grow.
const MAX_REJECTIONS: u32 = 10;

/// An adaptive limit of concurrent runs.
pub(super) struct ConcurrencyLimit {
    max_running: f64,
    running: Cell<usize>,
    limit: Cell<f64>,
    backoff_until: Cell<f64>,
    rejections_in_row: Cell<u32>,
}

impl ConcurrencyLimit {
    pub fn new(max_running: usize) -> ConcurrencyLimit {
        ConcurrencyLimit {
            max_running: max_running.max(1) as f64,
            running: Cell::new(0),
            limit: Cell::new(1.0),
            backoff_until: Cell::new(0.0),
            rejections_in_row: Cell::new(0),
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

    /// A run was served: the limit grows.
    pub fn record_success(&self) {
        self.rejections_in_row.set(0);
        self.limit.set((self.limit.get() + 1.0 / self.limit.get()).min(self.max_running));
    }

    /// A run was rejected or failed: the limit halves, and the next run waits.
    pub fn record_rejection(&self, now: f64) {
        self.rejections_in_row.set((self.rejections_in_row.get() + 1).min(MAX_REJECTIONS));
        self.limit.set((self.limit.get() / 2.0).max(1.0));
        let doublings = self.rejections_in_row.get() - 1;
        let backoff_s = (FIRST_BACKOFF_S * f64::from(1u32 << doublings)).min(MAX_BACKOFF_S);
        // Nodes that were rejected together do not retry at the same moment.
        let jitter = RandomState::new().hash_one(0) as f64 / u64::MAX as f64;
        self.backoff_until.set(now + backoff_s * (0.5 + jitter));
    }
}
