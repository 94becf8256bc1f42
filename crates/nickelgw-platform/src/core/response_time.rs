//! Estimate of how long discovery takes to respond.

/// Time without a response in which the estimate falls to half.
const HALF_LIFE_S: f64 = 1.0;

/// Time that discovery takes to respond: that of its last response. It falls while no response comes, so that the
/// end of an outage is noticed as soon as if responses had never been late.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTime {
    last_s: f64,
    observed_at: f64,
}

impl ResponseTime {
    /// Returns the estimate in seconds.
    pub fn estimate_s(&self, now: f64) -> f64 {
        let half_lives = (now - self.observed_at) / HALF_LIFE_S;
        self.last_s * 0.5f64.powf(half_lives)
    }

    /// Takes a response into account that took this many seconds.
    pub fn observe(&mut self, now: f64, response_time_s: f64) {
        (self.last_s, self.observed_at) = (response_time_s, now);
    }
}
