//! Health of one engine, derived from its release calls: a limit on calls in flight and a circuit breaker.

use crate::backoff::exponential_backoff_s;
use crate::commands::ReleaseConnection;

/// Smallest and largest limit on calls in flight at an engine. The limit starts at the smallest and returns
/// to it after a failed call. It grows with quick answers and is halved by slow ones, because each concurrent
/// call opens a connection, which costs the engine work.
const MIN_CALLS_IN_FLIGHT: usize = 1;
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// An answer within `QUICK_ANSWER_S` is quick, and one later than `SLOW_ANSWER_S` is slow.
const QUICK_ANSWER_S: f64 = 0.01;
const SLOW_ANSWER_S: f64 = 0.05;
/// An engine that answered within this time has an open connection that responds.
const RECENT_ANSWER_S: f64 = 0.25;
/// An engine with a call in flight that has not answered any call for this time gets no further call.
const STALL_TIMEOUT_S: f64 = 0.05;
/// Initial and maximum backoff during which a failed engine is not called, in seconds. A random share of it,
/// up to `JITTER_SHARE`, is added.
const INITIAL_BACKOFF_S: f64 = 0.05;
const MAX_BACKOFF_S: f64 = 0.4;
const JITTER_SHARE: f64 = 0.25;

/// Order in which available engines are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preference {
    /// The engine has just answered, and a release needs another call.
    Answering,
    /// Nothing speaks for or against the engine.
    Usual,
    /// The engine's last call failed.
    Failing,
}

/// Health of one engine.
pub(super) struct EngineHealth {
    /// Start times of the calls in flight.
    calls_started: Vec<f64>,
    limit: usize,
    last_answer_at: f64,
    /// Number of consecutive failures of calls on new connections.
    failures: u32,
    last_failure_at: f64,
    /// Time until which the circuit breaker is open.
    open_until: f64,
    /// Whether a call on an idle connection failed: other idle connections may not respond either.
    avoid_idle_connections: bool,
}

impl Default for EngineHealth {
    fn default() -> EngineHealth {
        EngineHealth {
            calls_started: Vec::new(),
            limit: MIN_CALLS_IN_FLIGHT,
            last_answer_at: f64::NEG_INFINITY,
            failures: 0,
            last_failure_at: f64::NEG_INFINITY,
            open_until: f64::NEG_INFINITY,
            avoid_idle_connections: false,
        }
    }
}

impl EngineHealth {
    /// Returns whether a further call may start.
    pub(super) fn is_available(&self, now: f64) -> bool {
        now >= self.open_until && self.calls_started.len() < self.limit && !self.is_stalled(now)
    }

    fn is_stalled(&self, now: f64) -> bool {
        let oldest = self.calls_started.iter().copied().reduce(f64::min);
        oldest.is_some_and(|oldest| now - oldest.max(self.last_answer_at) > STALL_TIMEOUT_S)
    }

    /// Returns which connection the next call may use. A hedged call uses a new one, because open ones may no
    /// longer respond, unless the engine has just answered: it may then be slow to accept new connections but
    /// answer at once on open ones.
    pub(super) fn connection(&self, now: f64, is_hedge: bool) -> ReleaseConnection {
        if (is_hedge && !self.has_just_answered(now)) || self.avoid_idle_connections {
            ReleaseConnection::New
        } else {
            ReleaseConnection::Any
        }
    }

    /// Returns when the engine is called, compared with others. `is_repeat`: whether another call for the same release
    /// has not been answered.
    pub(super) fn preference(&self, now: f64, is_repeat: bool) -> Preference {
        if self.failures > 0 || self.avoid_idle_connections {
            Preference::Failing
        } else if is_repeat && self.has_just_answered(now) {
            Preference::Answering
        } else {
            Preference::Usual
        }
    }

    /// Returns whether the engine has answered a call after this time.
    pub(super) fn has_answered_since(&self, time: f64) -> bool {
        self.last_answer_at > time
    }

    fn has_just_answered(&self, now: f64) -> bool {
        now - self.last_answer_at <= RECENT_ANSWER_S
    }

    pub(super) fn call_started(&mut self, now: f64) {
        self.calls_started.push(now);
    }

    pub(super) fn call_answered(&mut self, now: f64, started_at: f64) {
        self.call_ended(started_at);
        self.last_answer_at = now;
        self.failures = 0;
        self.open_until = f64::NEG_INFINITY;
        self.limit = match now - started_at {
            latency_s if latency_s <= QUICK_ANSWER_S => (self.limit + 1).min(MAX_CALLS_IN_FLIGHT),
            latency_s if latency_s <= SLOW_ANSWER_S => self.limit,
            _ => (self.limit / 2).max(MIN_CALLS_IN_FLIGHT),
        };
        // The connection that has just answered is idle now and is used next.
        self.avoid_idle_connections = false;
    }

    /// Records a call that was not answered. `jitter`: random number from 0 to 1.
    pub(super) fn call_failed(
        &mut self,
        now: f64,
        started_at: f64,
        connection: ReleaseConnection,
        jitter: f64,
    ) {
        self.call_ended(started_at);
        self.limit = MIN_CALLS_IN_FLIGHT;
        if connection == ReleaseConnection::Any {
            self.avoid_idle_connections = true;
            return;
        }
        // A new connection failed, so the engine itself may be unreachable. This does not show that idle
        // connections fail, and calls on them cost the engine less: try them again.
        self.avoid_idle_connections = false;
        // Concurrent calls fail for the same cause and count as one failure.
        if started_at >= self.last_failure_at {
            let backoff_s = exponential_backoff_s(INITIAL_BACKOFF_S, self.failures, MAX_BACKOFF_S);
            self.open_until = now + backoff_s * (1.0 + JITTER_SHARE * jitter);
            self.failures += 1;
            self.last_failure_at = now;
        }
    }

    /// Returns whether the engine has calls in flight or an open circuit breaker, which must not be
    /// forgotten.
    pub(super) fn is_worth_keeping(&self, now: f64) -> bool {
        !self.calls_started.is_empty() || now < self.open_until
    }

    fn call_ended(&mut self, started_at: f64) {
        if let Some(index) = self.calls_started.iter().position(|started| *started == started_at) {
            self.calls_started.swap_remove(index);
        }
    }
}
