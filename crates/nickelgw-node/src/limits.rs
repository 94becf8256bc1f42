//! Limits of the node's sockets.

/// Limits of the node's sockets. Each is a setting whose default is in `node.proto`.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest number of client connections open at the same time.
    pub max_connections: usize,
    /// Largest body of a chat request, in bytes.
    pub max_body_bytes: usize,
    /// Time in seconds in which a request's head has to arrive completely; also limits a client's TLS
    /// handshake.
    pub head_timeout_s: f64,
    /// Time in seconds in which a request's body has to arrive completely.
    pub body_timeout_s: f64,
    /// Time in seconds in which a connection to an engine has to be opened, including its TLS handshake.
    pub connect_timeout_s: f64,
    /// Time in seconds in which a short call to an engine, a probe or a release, has to complete.
    pub probe_timeout_s: f64,
    /// Largest number of idle connections kept open to one engine.
    pub max_idle_connections: usize,
    /// Time in seconds for which an idle connection to an engine is kept open.
    pub idle_timeout_s: f64,
    /// Largest number of requests that wait for the core; further requests are rejected.
    pub max_queued: usize,
    /// Time in seconds after which a client that reads nothing of its response is disconnected.
    pub client_stall_timeout_s: f64,
    /// Delay in seconds in the `retry-after` header of a rejected request.
    pub retry_after_s: f64,
    /// Size in bytes of the kernel's send buffer of each client connection; 0 selects the system's default.
    pub send_buffer: usize,
}
