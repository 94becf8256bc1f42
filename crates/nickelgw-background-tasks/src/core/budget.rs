//! The budget of time and bytes that all tasks share: a token bucket of each, which overdue tasks may overdraw.

use super::SchedulerConfig;

/// Part of a run's cost that must be available for it to begin; the rest is made up before the next run.
const REQUIRED_SHARE: f64 = 0.5;

/// What a run takes of the budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) time_s: f64,
    pub(super) bytes: f64,
}

pub(super) struct Budget {
    config: SchedulerConfig,
    /// Negative when overdrawn.
    available: Cost,
    refilled_at: f64,
}

impl Budget {
    /// A full budget.
    pub(super) fn new(config: SchedulerConfig) -> Budget {
        let available = Cost { time_s: config.time_burst_s, bytes: config.bytes_burst };
        Budget { config, available, refilled_at: 0.0 }
    }

    pub(super) fn refill(&mut self, now: f64) {
        let config = &self.config;
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.available.time_s =
            (self.available.time_s + config.time_share * elapsed_s).min(config.time_burst_s);
        self.available.bytes =
            (self.available.bytes + config.bytes_per_s * elapsed_s).min(config.bytes_burst);
        self.refilled_at = now;
    }

    /// Whether a run of this cost may begin; one that is late may overdraw the budget.
    pub(super) fn allows(&self, estimate: Cost, is_late: bool) -> bool {
        self.covers(estimate) || (is_late && self.has_credit()) || self.is_full()
    }

    fn covers(&self, estimate: Cost) -> bool {
        self.available.time_s >= REQUIRED_SHARE * estimate.time_s
            && self.available.bytes >= REQUIRED_SHARE * estimate.bytes
    }

    /// It is never overdrawn by more than the burst: requests must not wait for overdue tasks.
    fn has_credit(&self) -> bool {
        self.available.time_s > -self.config.time_burst_s && self.available.bytes > -self.config.bytes_burst
    }

    /// Otherwise a run that costs more than the burst would never begin.
    fn is_full(&self) -> bool {
        self.available.time_s >= self.config.time_burst_s && self.available.bytes >= self.config.bytes_burst
    }

    /// Takes the estimated cost of a run that begins.
    pub(super) fn reserve(&mut self, estimate: Cost) {
        self.available.time_s -= estimate.time_s;
        self.available.bytes -= estimate.bytes;
    }

    /// Corrects the estimate by what the run took.
    pub(super) fn settle(&mut self, estimate: Cost, actual: Cost) {
        self.available.time_s += estimate.time_s - actual.time_s;
        self.available.bytes += estimate.bytes - actual.bytes;
    }

    /// Takes time beyond the estimate.
    pub(super) fn charge_time(&mut self, time_s: f64) {
        self.available.time_s -= time_s;
    }
}
