//! Counters of requests by how they ended.

/// What became of requests so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Accepted by [`NodeCore::accept_request`](crate::NodeCore::accept_request).
    pub accepted: u64,
    /// Answered in full.
    pub completed: u64,
    /// Accepted, then rejected with nothing done.
    pub rejected: u64,
    /// Answered with an error.
    pub failed: u64,
    /// Abandoned by their clients.
    pub disconnected: u64,
    /// Not accepted.
    pub denied: u64,
}
