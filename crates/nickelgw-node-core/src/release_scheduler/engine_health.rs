//! What is known of one engine from its release calls: a limit on calls in flight, and a circuit breaker.

use crate::backoff::exponential_backoff_s;
use crate::commands::ReleaseConnection;

/// Calls in flight at an engine that has not answered lately, and at most. The limit grows with quick answers and is halved
/// by slow ones: each call beside another opens a connection, which costs the engine work.
const MIN_CALLS_IN_FLIGHT: usize = 1;
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// Answers within the first are quick, after the second slow.
const QUICK_ANSWER_S: f64 = 0.01;
const SLOW_ANSWER_S: f64 = 0.05;
/// An engine that answered within this has an open connection that is not silent.
const RECENT_ANSWER_S: f64 = 0.25;
/// An engine that has answered nothing for so long, with a call in flight, gets no further one.
const STALL_S: f64 = 0.05;
/// Seconds for which an engine that failed is not called, at first and at most; up to so much of it more, by chance.
const INITIAL_BACKOFF_S: f64 = 0.05;
const MAX_BACKOFF_S: f64 = 0.4;
const JITTER_SHARE: f64 = 0.25;

/// One engine's health.
pub(super) struct EngineHealth {
    /// When the calls in flight were started.
    calls_started: Vec<f64>,
    limit: usize,
    last_answer_at: f64,
    /// Calls on new connections that failed in a row.
    failures: u32,
    last_failure_at: f64,
    /// The circuit breaker is open until then.
    open_until: f64,
    /// A call on an idle connection failed: others may be silent as well.
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
    /// Whether a further call may start.
    pub(super) fn is_available(&self, now: f64) -> bool {
        now >= self.open_until && self.calls_started.len() < self.limit && !self.is_stalled(now)
    }

    fn is_stalled(&self, now: f64) -> bool {
        let oldest = self.calls_started.iter().copied().reduce(f64::min);
        oldest.is_some_and(|oldest| now - oldest.max(self.last_answer_at) > STALL_S)
    }

    /// The connection for the next call. A hedged call uses a new one, which cannot have fallen silent, unless the engine
    /// answered just now: it may be slow to take new connections and answer on open ones at once.
    pub(super) fn connection(&self, now: f64, is_hedge: bool) -> ReleaseConnection {
        let has_just_answered = now - self.last_answer_at <= RECENT_ANSWER_S;
        if (is_hedge && !has_just_answered) || self.avoid_idle_connections {
            ReleaseConnection::New
        } else {
            ReleaseConnection::Any
        }
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
        // Its connection is idle now, and the one that is used next.
        self.avoid_idle_connections = false;
    }

    /// A call was not answered. `jitter` is a random number from 0 to 1.
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
        // The engine itself cannot be reached, which tells nothing of idle connections: they cost it less, and are tried again.
        self.avoid_idle_connections = false;
        // Calls in flight at once fail for one cause, and count once.
        if started_at >= self.last_failure_at {
            let backoff_s = exponential_backoff_s(INITIAL_BACKOFF_S, self.failures, MAX_BACKOFF_S);
            self.open_until = now + backoff_s * (1.0 + JITTER_SHARE * jitter);
            self.failures += 1;
            self.last_failure_at = now;
        }
    }

    /// Whether forgetting it would matter.
    pub(super) fn is_worth_keeping(&self, now: f64) -> bool {
        !self.calls_started.is_empty() || now < self.open_until
    }

    fn call_ended(&mut self, started_at: f64) {
        if let Some(index) = self.calls_started.iter().position(|started| *started == started_at) {
            self.calls_started.swap_remove(index);
        }
    }
}
