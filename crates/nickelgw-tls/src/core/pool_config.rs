//! Limits of the connection pool.

/// Limits of a [`super::pool::Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Handshakes in flight of the whole node.
    pub max_handshakes: usize,
    /// Handshakes in flight towards one engine.
    pub max_handshakes_per_engine: usize,
    /// Waiters for a connection; further ones are rejected.
    pub max_waiting: usize,
    /// Idle connections kept to an engine.
    pub max_idle: usize,
    /// How long an idle connection is kept.
    pub idle_timeout_s: f64,
    /// After a rotation: interval between two closings of an engine's older idle connections.
    pub retire_interval_s: f64,
    /// Backoff after the first failed handshake with an engine; doubles with each further one.
    pub initial_backoff_s: f64,
    /// Longest backoff.
    pub max_backoff_s: f64,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            max_handshakes: 16,
            max_handshakes_per_engine: 2,
            max_waiting: 4096,
            max_idle: 64,
            idle_timeout_s: 15.0,
            retire_interval_s: 0.2,
            initial_backoff_s: 0.1,
            max_backoff_s: 5.0,
        }
    }
}
