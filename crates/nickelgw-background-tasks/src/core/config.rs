//! Settings of the scheduler.

/// Budgets that all background tasks share, and the backoff after failures.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// Share of the process's time that tasks may take.
    pub time_share: f64,
    /// Seconds of it that may be taken at once.
    pub time_burst_s: f64,
    /// Bytes that tasks may transfer, on average.
    pub bytes_per_s: f64,
    /// Bytes that may be transferred at once.
    pub bytes_burst: f64,
    /// Tasks that run at the same time.
    pub max_concurrent: usize,
    /// Backoff after the first failure; it doubles with each further one.
    pub min_backoff_s: f64,
    /// Longest backoff.
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
