//! Policy for running a deferred request again.

/// Whether a request may run again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryPolicy {
    /// The request is idempotent and may run any number of times.
    Always,
    /// All engines drop duplicates of the request for a limited time after the first attempt.
    Within {
        /// Length in seconds of the deduplication window.
        window_s: f64,
    },
    /// The request may have had an effect, so it must not run twice.
    Never,
}

/// Fraction of the deduplication window in which an attempt may begin; the rest is left for the attempt
/// itself.
const ATTEMPT_WINDOW_SHARE: f64 = 0.5;

impl RetryPolicy {
    /// Returns whether an attempt may begin now. `first_attempt_at` is the start of the first attempt that
    /// may have run.
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
