//! Limits of the connection pool.

/// Limits of a [`super::pool::Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Maximum number of handshakes in flight on the whole node.
    pub max_handshakes: usize,
    /// Maximum number of handshakes in flight to one engine.
    pub max_handshakes_per_engine: usize,
    /// Maximum number of waiters for a connection; further ones are rejected.
    pub max_waiting: usize,
    /// Maximum number of idle connections kept to one engine.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout_s: f64,
    /// Interval at which an engine's idle connections of older generations are closed, one by one, after a
    /// rotation.
    pub retire_interval_s: f64,
    /// Backoff after the first failed handshake with an engine. It doubles with each consecutive failure.
    pub initial_backoff_s: f64,
    /// Maximum backoff.
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
