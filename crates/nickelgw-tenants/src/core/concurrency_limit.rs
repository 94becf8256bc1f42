//! The number of open requests that the fleet serves in time, found by additive increase and multiplicative decrease: it
//! grows by one for each round of requests while first tokens come in time and it is used, and falls by a share when
//! they do not.

/// Bounds and steps of a [`ConcurrencyLimit`], and the reserve of [`super::fair_share::FairShare`].
#[derive(Clone, Copy, Debug)]
pub struct FairShareLimits {
    /// Lowest limit.
    pub min_limit: f64,
    /// Highest limit.
    pub max_limit: f64,
    /// Share of late first tokens in a window above which the limit falls.
    pub max_late_share: f64,
    /// The share by which it falls.
    pub decrease: f64,
    /// First tokens in a window, at least.
    pub window: u32,
    /// Shortest time between two decreases: one overload counts once.
    pub min_decrease_interval_s: f64,
    /// Share of the limit beyond it, for tenants below their fair share.
    pub reserve: f64,
}

impl Default for FairShareLimits {
    fn default() -> Self {
        FairShareLimits {
            min_limit: 16.0,
            max_limit: 20_000.0,
            max_late_share: 0.02,
            decrease: 0.15,
            window: 50,
            min_decrease_interval_s: 1.0,
            reserve: 0.25,
        }
    }
}

/// Share of the limit that must be in use for it to grow.
const MIN_USE_TO_GROW: f64 = 0.8;

/// A limit that follows what is served in time.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: FairShareLimits,
    limit: f64,
    answers_in_window: u32,
    late_in_window: u32,
    decreased_at: f64,
}

impl ConcurrencyLimit {
    /// Begins at `initial`, within the bounds.
    pub fn new(limits: FairShareLimits, initial: f64) -> ConcurrencyLimit {
        let limit = initial.clamp(limits.min_limit, limits.max_limit);
        let decreased_at = f64::NEG_INFINITY;
        ConcurrencyLimit { limits, limit, answers_in_window: 0, late_in_window: 0, decreased_at }
    }

    /// The present limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// A request had its first token, in time or late, or failed, which counts as late. One that comes near its objective
    /// is best reported as late: a limit that waits for missed objectives has had them. `open`: requests that are open,
    /// as a limit that is not used says nothing about itself.
    pub fn record_answer(&mut self, now: f64, open: usize, late: bool) {
        self.answers_in_window += 1;
        self.late_in_window += u32::from(late);
        if !late && open as f64 >= MIN_USE_TO_GROW * self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.limits.max_limit);
        }
        if self.answers_in_window >= self.limits.window {
            self.end_window(now, open);
        }
    }

    fn end_window(&mut self, now: f64, open: usize) {
        let late_share = f64::from(self.late_in_window) / f64::from(self.answers_in_window);
        let may_decrease = now >= self.decreased_at + self.limits.min_decrease_interval_s;
        if late_share > self.limits.max_late_share && may_decrease {
            // Down from what was really open: a limit far above it would fall for long without any effect.
            let from = self.limit.min(open as f64 + 1.0);
            self.limit = (from * (1.0 - self.limits.decrease)).max(self.limits.min_limit);
            self.decreased_at = now;
        }
        self.answers_in_window = 0;
        self.late_in_window = 0;
    }
}

#[cfg(test)]
#[path = "concurrency_limit_tests.rs"]
mod tests;
