//! Limits of the deferred queue.

/// Limits of the queue and of its records.
#[derive(Clone, Copy, Debug)]
pub struct DeferredLimits {
    /// Maximum number of records, including finished ones.
    pub max_records: usize,
    /// Maximum total size of all encoded records.
    pub max_bytes: usize,
    /// Maximum number of records of one tenant, including finished ones.
    pub max_records_per_tenant: usize,
    /// Longest time, in seconds, from queueing to the deadline of a request.
    pub max_wait_s: f64,
    /// Time in seconds for which an answer is kept.
    pub retention_s: f64,
    /// Maximum size of an answer body; a longer answer is replaced by an error.
    pub max_answer_bytes: usize,
    /// Number of failed attempts after which a request that may run again is given no further attempt.
    pub max_attempts: u32,
}
