//! Counters of requests.

/// Numbers of accepted and rejected requests, and of accepted ones by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Requests accepted by [`NodeCore::accept_request`](crate::NodeCore::accept_request).
    pub accepted: u64,
    /// Requests with a complete response.
    pub completed: u64,
    /// Requests that were accepted and then rejected; a retry is safe.
    pub rejected: u64,
    /// Requests that failed; an attempt may have run.
    pub failed: u64,
    /// Requests whose clients disconnected before the final answer.
    pub disconnected: u64,
    /// Requests that [`NodeCore::accept_request`](crate::NodeCore::accept_request) rejected.
    pub denied: u64,
}
