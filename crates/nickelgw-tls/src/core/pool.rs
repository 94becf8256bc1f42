//! Connection pool with a budget of handshakes: decides when to reuse, open or close a connection to an
//! engine, and when to wait for one. Handshakes are costly to both sides; without the budget, a node would
//! start one with every engine at once after a rotation, the recovery of a zone or its own start.

pub use super::pool_config::PoolConfig;
use std::collections::{BTreeMap, VecDeque};

/// Maximum to which consecutive failures are counted; the backoff grows no further.
const MAX_COUNTED_FAILURES: u32 = 16;
/// Factor by which the backoff is longer if a certificate is not trusted, as it is not replaced within
/// moments.
const UNTRUSTED_BACKOFF_FACTOR: f64 = 4.0;
/// Number of phases of the retire interval over which engines are spread.
const RETIRE_PHASES: usize = 16;

/// Identifies an established connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Identifies a caller that wants a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Outcome of [`Pool::checkout`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Checkout {
    /// Use this connection.
    Reuse(ConnectionId),
    /// Open a connection, and report whether its handshake succeeded.
    Open,
    /// Wait for a [`PoolCommand::Notify`].
    Wait,
    /// The engine is in backoff, or there are too many waiters.
    Rejected,
}

/// Command to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolCommand {
    /// Pass this outcome to a waiter that was told to wait.
    Notify(WaiterId, Checkout),
    /// Close an idle connection.
    Close(ConnectionId),
}

/// Reason why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The engine was not reached, or not in time. A short backoff is enough, as the router judges such
    /// failures itself.
    Unreachable,
    /// A certificate was not accepted, or no common TLS protocol was found.
    Untrusted,
}

struct IdleConnection {
    id: ConnectionId,
    generation: u64,
    since: f64,
}

/// Connections to one engine.
#[derive(Default)]
struct EngineConnections {
    /// Idle connections, the most recently used last.
    idle: Vec<IdleConnection>,
    /// Generations of the connections that are checked out.
    in_use: BTreeMap<ConnectionId, u64>,
    handshakes: usize,
    consecutive_failures: u32,
    backoff_until: f64,
    /// Earliest time at which the next connection of an older generation may be closed.
    retire_at: f64,
}

impl EngineConnections {
    fn is_unused(&self) -> bool {
        self.in_use.is_empty() && self.handshakes == 0
    }

    fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = 0.0;
    }
}

struct Waiter {
    id: WaiterId,
    engine: String,
}

/// Pool of the node's connections to all engines.
pub struct Pool {
    config: PoolConfig,
    generation: u64,
    engines: BTreeMap<String, EngineConnections>,
    handshakes_in_flight: usize,
    /// Waiters in the order of arrival. Those for an engine at its own limit are passed over.
    waiting: VecDeque<Waiter>,
    /// Engine of each handshake in flight, by the waiter that makes it.
    opening: BTreeMap<WaiterId, String>,
    commands: Vec<PoolCommand>,
    last_connection: u64,
    /// Number of checkouts that were rejected.
    pub rejected: u64,
    /// Number of handshakes started.
    pub handshakes: u64,
    /// Number of checkouts served with an idle connection.
    pub reuses: u64,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            config,
            generation: 0,
            engines: BTreeMap::new(),
            handshakes_in_flight: 0,
            waiting: VecDeque::new(),
            opening: BTreeMap::new(),
            commands: Vec::new(),
            last_connection: 0,
            rejected: 0,
            handshakes: 0,
            reuses: 0,
        }
    }

    /// Number of handshakes in flight.
    pub fn opening(&self) -> usize {
        self.handshakes_in_flight
    }

    /// Number of waiters.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of idle connections to an engine.
    pub fn idle(&self, engine: &str) -> usize {
        self.engines.get(engine).map_or(0, |connections| connections.idle.len())
    }

    fn has_waiter_for(&self, engine: &str) -> bool {
        self.waiting.iter().any(|waiter| waiter.engine == engine)
    }

    /// Requests a connection for a waiter. An idle connection is preferred to a handshake.
    pub fn checkout(&mut self, now: f64, engine: &str, waiter: WaiterId) -> Checkout {
        if let Some(connection) = self.reuse(now, engine) {
            return Checkout::Reuse(connection);
        }
        let connections = self.engines.entry(engine.to_string()).or_default();
        if now < connections.backoff_until {
            self.rejected += 1;
            return Checkout::Rejected;
        }
        if !self.has_waiter_for(engine) && self.may_open(now, engine) {
            self.begin_handshake(engine, waiter);
            return Checkout::Open;
        }
        if self.waiting.len() >= self.config.max_waiting {
            self.rejected += 1;
            return Checkout::Rejected;
        }
        self.waiting.push_back(Waiter { id: waiter, engine: engine.to_string() });
        Checkout::Wait
    }

    /// Checks out the most recently used idle connection. Connections of the current generation are
    /// preferred.
    fn reuse(&mut self, now: f64, engine: &str) -> Option<ConnectionId> {
        let (generation, idle_timeout_s) = (self.generation, self.config.idle_timeout_s);
        let connections = self.engines.get_mut(engine)?;
        let is_alive = |idle: &IdleConnection| now - idle.since < idle_timeout_s;
        let is_current = |idle: &IdleConnection| is_alive(idle) && idle.generation == generation;
        let current = connections.idle.iter().rposition(is_current);
        let n = current.or_else(|| connections.idle.iter().rposition(is_alive))?;
        let idle = connections.idle.remove(n);
        connections.in_use.insert(idle.id, idle.generation);
        self.reuses += 1;
        Some(idle.id)
    }

    fn may_open(&self, now: f64, engine: &str) -> bool {
        if self.handshakes_in_flight >= self.config.max_handshakes {
            return false;
        }
        let Some(connections) = self.engines.get(engine) else {
            return now >= 0.0 && self.config.max_handshakes_per_engine > 0;
        };
        // An engine whose last handshake failed gets one handshake at a time, so that it takes no more of the
        // node's budget.
        let has_failed = connections.consecutive_failures > 0;
        let max_handshakes = if has_failed { 1 } else { self.config.max_handshakes_per_engine };
        now >= connections.backoff_until && connections.handshakes < max_handshakes
    }

    fn begin_handshake(&mut self, engine: &str, waiter: WaiterId) {
        self.handshakes_in_flight += 1;
        self.handshakes += 1;
        self.opening.insert(waiter, engine.to_string());
        self.engines.entry(engine.to_string()).or_default().handshakes += 1;
    }

    fn end_handshake(&mut self, waiter: WaiterId) -> Option<String> {
        let engine = self.opening.remove(&waiter)?;
        self.handshakes_in_flight -= 1;
        if let Some(connections) = self.engines.get_mut(&engine) {
            connections.handshakes -= 1;
        }
        Some(engine)
    }

    /// Notes that a waiter's handshake succeeded. The waiter has the new connection checked out.
    pub fn handshake_succeeded(
        &mut self,
        now: f64,
        waiter: WaiterId,
        generation: u64,
    ) -> Option<ConnectionId> {
        let engine = self.end_handshake(waiter)?;
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        if let Some(connections) = self.engines.get_mut(&engine) {
            connections.reset_backoff();
            connections.in_use.insert(connection, generation);
        }
        self.serve_waiters(now);
        Some(connection)
    }

    /// Notes that a waiter's handshake failed. All other waiters for that engine are rejected.
    pub fn handshake_failed(&mut self, now: f64, waiter: WaiterId, failure: ConnectFailure) {
        let Some(engine) = self.end_handshake(waiter) else { return };
        self.back_off(now, &engine, failure);
        let (rejected, others): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|waiter| waiter.engine == engine);
        self.waiting = others;
        self.rejected += rejected.len() as u64;
        let notify = |waiter: Waiter| PoolCommand::Notify(waiter.id, Checkout::Rejected);
        self.commands.extend(rejected.into_iter().map(notify));
        self.serve_waiters(now);
    }

    /// Notes that an engine rejected an established connection. In TLS 1.3 the server verifies the client's
    /// certificate last, when the handshake has already succeeded for the client.
    pub fn connection_failed(&mut self, now: f64, engine: &str, failure: ConnectFailure) {
        self.back_off(now, engine, failure);
    }

    fn back_off(&mut self, now: f64, engine: &str, failure: ConnectFailure) {
        let Some(connections) = self.engines.get_mut(engine) else { return };
        connections.consecutive_failures = (connections.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let doublings = connections.consecutive_failures - 1;
        let backoff_s = self.config.initial_backoff_s * f64::from(1u32 << doublings);
        let backoff_s = match failure {
            ConnectFailure::Untrusted => UNTRUSTED_BACKOFF_FACTOR * backoff_s,
            ConnectFailure::Unreachable => backoff_s,
        };
        let until = now + backoff_s.min(self.config.max_backoff_s);
        connections.backoff_until = connections.backoff_until.max(until);
    }

    /// Removes a waiter that no longer wants a connection, whether it was waiting or making a handshake.
    pub fn abandon(&mut self, now: f64, waiter: WaiterId) {
        self.waiting.retain(|waiting| waiting.id != waiter);
        if self.end_handshake(waiter).is_some() {
            self.serve_waiters(now);
        }
    }

    /// Returns a connection that is no longer used. Its last response must have been read to the end.
    pub fn returned(&mut self, now: f64, engine: &str, connection: ConnectionId) {
        let is_wanted = self.has_waiter_for(engine);
        let Some(connections) = self.engines.get_mut(engine) else {
            self.commands.push(PoolCommand::Close(connection));
            return;
        };
        let Some(generation) = connections.in_use.remove(&connection) else { return };
        // A connection of an older generation is kept only for a waiter that would otherwise need a
        // handshake.
        let is_outdated = generation != self.generation && !is_wanted;
        if is_outdated || connections.idle.len() >= self.config.max_idle {
            self.commands.push(PoolCommand::Close(connection));
        } else {
            connections.idle.push(IdleConnection { id: connection, generation, since: now });
        }
        self.serve_waiters(now);
    }

    /// Notes that a connection was closed, whether it was checked out or idle.
    pub fn closed(&mut self, now: f64, engine: &str, connection: ConnectionId) {
        if let Some(connections) = self.engines.get_mut(engine) {
            connections.in_use.remove(&connection);
            connections.idle.retain(|idle| idle.id != connection);
        }
        self.serve_waiters(now);
    }

    /// Starts a new generation of keys or trust. New connections belong to it at once; idle connections of
    /// older generations are closed step by step.
    pub fn rotate(&mut self, now: f64, generation: u64) {
        self.generation = generation;
        for (n, connections) in self.engines.values_mut().enumerate() {
            // Engines start at different phases, so that their new handshakes do not coincide.
            let phase = (n % RETIRE_PHASES) as f64;
            connections.retire_at = now + self.config.retire_interval_s * phase / RETIRE_PHASES as f64;
            // A certificate that was rejected before may be accepted with the new keys or trust.
            connections.reset_backoff();
        }
    }

    /// Closes idle connections to engines that are no longer listed.
    pub fn retain_engines(&mut self, is_listed: impl Fn(&str) -> bool) {
        let removed: Vec<String> = self.engines.keys().filter(|engine| !is_listed(engine)).cloned().collect();
        for engine in removed {
            let Some(connections) = self.engines.get_mut(&engine) else { continue };
            let idle = connections.idle.drain(..);
            self.commands.extend(idle.map(|idle| PoolCommand::Close(idle.id)));
            // An engine with a connection in use or a handshake in flight is kept; a later call removes it.
            let is_unused = connections.is_unused();
            if is_unused && !self.has_waiter_for(&engine) {
                self.engines.remove(&engine);
            }
        }
    }

    /// Assigns idle connections and free handshakes to waiters in the order of their arrival.
    fn serve_waiters(&mut self, now: f64) {
        let mut n = 0;
        while n < self.waiting.len() {
            let (waiter, engine) = (self.waiting[n].id, self.waiting[n].engine.clone());
            let checkout = match self.reuse(now, &engine) {
                Some(connection) => Checkout::Reuse(connection),
                None if self.may_open(now, &engine) => {
                    self.begin_handshake(&engine, waiter);
                    Checkout::Open
                }
                None if self.is_exhausted() => return,
                None => {
                    n += 1;
                    continue;
                }
            };
            self.waiting.remove(n);
            self.commands.push(PoolCommand::Notify(waiter, checkout));
        }
    }

    /// Returns whether neither an idle connection nor a handshake is left for any waiter.
    fn is_exhausted(&self) -> bool {
        self.handshakes_in_flight >= self.config.max_handshakes
            && self.engines.values().all(|connections| connections.idle.is_empty())
    }

    /// Returns the commands that earlier calls queued, without applying timeouts.
    pub fn take_commands(&mut self) -> Vec<PoolCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Applies the timeouts. Returns the pending commands, and the time at which to poll again.
    pub fn poll_commands(&mut self, now: f64) -> (Vec<PoolCommand>, Option<f64>) {
        let mut timers: Vec<f64> = Vec::new();
        self.close_expired(now, &mut timers);
        // Waiters for an engine in backoff are served after the backoff.
        for waiter in &self.waiting {
            let backoff_until = self.engines.get(&waiter.engine).map_or(0.0, |engine| engine.backoff_until);
            if backoff_until > now {
                timers.push(backoff_until);
            }
        }
        self.serve_waiters(now);
        (self.take_commands(), timers.into_iter().reduce(f64::min))
    }

    /// Closes connections that were idle for too long and, after a rotation, one connection of an older
    /// generation per engine in each retire interval.
    fn close_expired(&mut self, now: f64, timers: &mut Vec<f64>) {
        let (generation, config) = (self.generation, &self.config);
        for connections in self.engines.values_mut() {
            let (expired, kept): (Vec<_>, Vec<_>) =
                connections.idle.drain(..).partition(|idle| now - idle.since >= config.idle_timeout_s);
            connections.idle = kept;
            self.commands.extend(expired.into_iter().map(|idle| PoolCommand::Close(idle.id)));
            while let Some(n) = connections.idle.iter().position(|idle| idle.generation != generation) {
                if now < connections.retire_at {
                    timers.push(connections.retire_at);
                    break;
                }
                connections.retire_at = now + config.retire_interval_s;
                self.commands.push(PoolCommand::Close(connections.idle.remove(n).id));
            }
            timers.extend(connections.idle.iter().map(|idle| idle.since + config.idle_timeout_s));
        }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
