//! Settings of the scheduler.

/// Budgets that all background tasks share, limit of concurrent runs, and backoff after failures.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// Fraction of the process's time that all tasks together may take on average.
    pub time_share: f64,
    /// Burst of the time budget in seconds.
    pub time_burst_s: f64,
    /// Bytes per second that all tasks together may transfer on average.
    pub bytes_per_s: f64,
    /// Burst of the byte budget.
    pub bytes_burst: f64,
    /// Maximum number of concurrent runs.
    pub max_concurrent: usize,
    /// Backoff in seconds after the first failure; doubles with each further consecutive failure.
    pub min_backoff_s: f64,
    /// Longest backoff in seconds.
    pub max_backoff_s: f64,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        SchedulerConfig {
            time_share: 0.02,
            time_burst_s: 0.05,
            bytes_per_s: 4e6,
            bytes_burst: 8e6,
            max_concurrent: 4,
            min_backoff_s: 0.1,
            max_backoff_s: 30.0,
        }
    }
}
