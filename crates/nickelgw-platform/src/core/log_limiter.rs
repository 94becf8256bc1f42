//! Rate limit of log lines about malformed messages: one a minute of each kind, with how many there were.

use std::collections::BTreeMap;

/// Seconds between two lines of a kind.
const INTERVAL_S: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct KindState {
    logged_at: f64,
    occurrences: u64,
}

/// When each kind was last logged, and how often it has occurred since.
#[derive(Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<&'static str, KindState>,
}

impl LogRateLimiter {
    /// Counts one more of a kind. If a line may be logged, returns how many there were since the last one.
    pub fn record(&mut self, now: f64, kind: &'static str) -> Option<u64> {
        let never = KindState { logged_at: f64::NEG_INFINITY, occurrences: 0 };
        let state = self.kinds.entry(kind).or_insert(never);
        state.occurrences += 1;
        (now >= state.logged_at + INTERVAL_S).then(|| {
            state.logged_at = now;
            std::mem::take(&mut state.occurrences)
        })
    }
}

#[cfg(test)]
#[path = "log_limiter_tests.rs"]
mod tests;
