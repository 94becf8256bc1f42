//! Exponential backoff between retries of calls to engines.

/// Largest number of doublings; it limits the shift and is far above the number that reaches `max_s`.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the delay before the next retry, which doubles with each retry made so far, up to `max_s`.
pub(crate) fn exponential_backoff_s(initial_s: f64, retries: u32, max_s: f64) -> f64 {
    (initial_s * f64::from(1u32 << retries.min(MAX_DOUBLINGS))).min(max_s)
}
