//! Bounds of what is kept for deferred requests.

/// Bounds of the queue and of its records.
#[derive(Clone, Copy, Debug)]
pub struct DeferredLimits {
    /// Records kept, finished ones included.
    pub max_records: usize,
    /// Bytes of all records.
    pub max_bytes: usize,
    /// Records of one tenant.
    pub max_records_per_tenant: usize,
    /// How long a client may let its request wait.
    pub max_wait_s: f64,
    /// How long an answer is kept.
    pub retention_s: f64,
    /// Bytes of an answer that is kept.
    pub max_answer_bytes: usize,
    /// Failed attempts, where a request may run again.
    pub max_attempts: u32,
}
