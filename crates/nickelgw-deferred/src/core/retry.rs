//! Whether a deferred request may run again.

/// Whether a request may run again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryPolicy {
    /// It is idempotent.
    Always,
    /// All engines drop duplicates of it for a time after the first attempt.
    Within {
        /// That time.
        window_s: f64,
    },
    /// It may have had an effect.
    Never,
}

/// Share of the deduplication window in which an attempt may begin; the rest is for the attempt itself.
const ATTEMPT_WINDOW_SHARE: f64 = 0.5;

impl RetryPolicy {
    /// Whether an attempt may begin now. `first_attempt_at`: when it first may have run.
    pub(super) fn allows_attempt(self, now: f64, first_attempt_at: Option<f64>) -> bool {
        match (self, first_attempt_at) {
            (RetryPolicy::Always, _) | (_, None) => true,
            (RetryPolicy::Never, Some(_)) => false,
            (RetryPolicy::Within { window_s }, Some(first)) => {
                now < first + window_s * ATTEMPT_WINDOW_SHARE && now >= first
            }
        }
    }
}
