//! Budget of time and bytes that all tasks share: one token bucket for each, which overdue tasks may
//! overdraw.

use super::SchedulerConfig;

/// Fraction of a run's estimated cost that must be available before the run may begin. The remainder
/// overdraws the budget and is refilled before the next run.
const REQUIRED_SHARE: f64 = 0.5;

/// Cost of a run, or balance of the budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) time_s: f64,
    pub(super) bytes: f64,
}

pub(super) struct Budget {
    config: SchedulerConfig,
    /// Balance; negative if the budget is overdrawn.
    available: Cost,
    refilled_at: f64,
}

impl Budget {
    /// Creates a full budget.
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

    /// Returns whether a run of this estimated cost may begin. A late run may overdraw the budget.
    pub(super) fn allows(&self, estimate: Cost, is_late: bool) -> bool {
        self.covers(estimate) || (is_late && self.has_credit()) || self.is_full()
    }

    fn covers(&self, estimate: Cost) -> bool {
        self.available.time_s >= REQUIRED_SHARE * estimate.time_s
            && self.available.bytes >= REQUIRED_SHARE * estimate.bytes
    }

    /// Returns whether a late run may overdraw the budget further. Late runs only begin while the budget is
    /// overdrawn by less than the burst, since requests must not wait for overdue tasks.
    fn has_credit(&self) -> bool {
        self.available.time_s > -self.config.time_burst_s && self.available.bytes > -self.config.bytes_burst
    }

    /// Returns whether the budget is full. A full budget allows any run: one that costs more than the burst
    /// could otherwise never begin.
    fn is_full(&self) -> bool {
        self.available.time_s >= self.config.time_burst_s && self.available.bytes >= self.config.bytes_burst
    }

    /// Subtracts the estimated cost of a run that begins.
    pub(super) fn reserve(&mut self, estimate: Cost) {
        self.available.time_s -= estimate.time_s;
        self.available.bytes -= estimate.bytes;
    }

    /// Replaces the reserved estimate of a run by its actual cost.
    pub(super) fn settle(&mut self, estimate: Cost, actual: Cost) {
        self.available.time_s += estimate.time_s - actual.time_s;
        self.available.bytes += estimate.bytes - actual.bytes;
    }

    /// Subtracts time that a run took beyond its estimate.
    pub(super) fn charge_time(&mut self, time_s: f64) {
        self.available.time_s -= time_s;
    }
}
