//! Exponential backoff between retries of calls to engines.

/// Exponent past which the delay is taken to have reached its maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Delay before the next retry: doubled with each retry made so far, up to `max_s`.
pub(crate) fn exponential_backoff_s(initial_s: f64, retries: u32, max_s: f64) -> f64 {
    (initial_s * f64::from(1u32 << retries.min(MAX_DOUBLINGS))).min(max_s)
}
