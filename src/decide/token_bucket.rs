//! Token bucket.

/// Token bucket that refills at a fixed rate.
#[derive(Default)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    pub(super) refilled_at: f64,
    pub(super) rate_per_s: f64,
}

impl TokenBucket {
    pub(super) fn refill(&mut self, now: f64, capacity: f64) {
        self.tokens = (self.tokens + self.rate_per_s * (now - self.refilled_at)).min(capacity);
        self.refilled_at = now;
    }
}
