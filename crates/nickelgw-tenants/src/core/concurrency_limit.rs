//! Adaptive limit of open requests that the fleet can serve in time, by additive increase and multiplicative
//! decrease. The limit grows by one per round of requests while it is used and first tokens are in time, and
//! is reduced by a share when too many first tokens are late.

/// Limits and step sizes of a [`ConcurrencyLimit`], and the reserve of [`super::fair_share::FairShare`].
#[derive(Clone, Copy, Debug)]
pub struct FairShareLimits {
    /// Lower bound of the limit.
    pub min_limit: f64,
    /// Upper bound of the limit.
    pub max_limit: f64,
    /// Share of late first tokens in a window above which the limit is decreased.
    pub max_late_share: f64,
    /// Share by which the limit is decreased.
    pub decrease: f64,
    /// Number of first tokens after which a window ends.
    pub window: u32,
    /// Minimum time between two decreases, so that one overload counts once.
    pub min_decrease_interval_s: f64,
    /// Extra capacity for tenants below their fair share, as a share of the limit.
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

/// Limit of open requests that adapts to the share of first tokens that are in time.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: FairShareLimits,
    limit: f64,
    answers_in_window: u32,
    late_in_window: u32,
    decreased_at: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `initial`, clamped to its bounds.
    pub fn new(limits: FairShareLimits, initial: f64) -> ConcurrencyLimit {
        let limit = initial.clamp(limits.min_limit, limits.max_limit);
        let decreased_at = f64::NEG_INFINITY;
        ConcurrencyLimit { limits, limit, answers_in_window: 0, late_in_window: 0, decreased_at }
    }

    /// Returns the current limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Records that a request got its first token, in time or late, or failed, which counts as late. A first
    /// token close to its objective should be reported as late: a limit that reacts only to missed objectives
    /// reacts after the fact. `open` is the number of open requests; the limit does not grow while it is not
    /// used.
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
            // Decreases from the number of requests actually open: a limit far above it would take long to
            // have an effect.
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
