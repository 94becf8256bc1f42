//! Limits of the node's sockets.

/// Limits of the node's sockets; each is a setting, with its default in `node.proto`.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections open at once.
    pub max_connections: usize,
    /// Largest body of a chat request.
    pub max_body_bytes: usize,
    /// For a request's head to arrive whole.
    pub head_timeout_s: f64,
    /// For a request's body to arrive whole.
    pub body_timeout_s: f64,
    /// For a connection to an engine, its handshake included.
    pub connect_timeout_s: f64,
    /// For a short call to an engine: a probe or a release.
    pub probe_timeout_s: f64,
    /// Idle connections kept open to one engine.
    pub max_idle_connections: usize,
    /// How long an idle connection to an engine is kept open.
    pub idle_timeout_s: f64,
    /// Requests that may wait for the core; one more is rejected.
    pub max_queued: usize,
    /// A client that reads nothing of its response for so long is disconnected.
    pub client_stall_timeout_s: f64,
    /// The `retry-after` of a rejected request.
    pub retry_after_s: f64,
    /// Size of the kernel's send buffer of each client connection; 0: the system's default.
    pub send_buffer: usize,
}
