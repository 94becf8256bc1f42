//! Rate limit of log lines that could repeat quickly: one line per minute and kind, with the number of
//! occurrences.

use std::collections::BTreeMap;

/// Minimum time between two lines of one kind.
const INTERVAL_S: f64 = 60.0;

/// Time of a kind's last line, and number of occurrences since then.
#[derive(Clone, Copy, Debug)]
struct KindState {
    logged_at: f64,
    occurrences: u64,
}

/// Rate limiter of log lines, by kind.
#[derive(Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<&'static str, KindState>,
}

impl LogRateLimiter {
    /// Counts an occurrence of `kind`. Returns the number of occurrences since the last line if a line may be
    /// logged now; otherwise `None`.
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
