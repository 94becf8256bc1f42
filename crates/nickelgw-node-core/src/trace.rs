//! Traces of requests: their events, with the figures on which each choice was made. Each open request is
//! traced. Of the finished requests, traces of failed and slow ones are kept, and a sample of the rest. All
//! memory is bounded.

mod describe;

use crate::{AttemptOutcome, Endpoint, FinalAnswer};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of events kept for one request, not counting its last event.
const MAX_EVENTS: usize = 48;
/// Maximum number of traces kept of finished requests.
const MAX_TRACES: usize = 2048;
/// Of the traces of requests that met their objectives, about one in this many is kept.
const SAMPLE_INTERVAL: u64 = 64;

/// Event in the life of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// An attempt was dispatched.
    AttemptStarted {
        /// Number of the attempt within its request.
        attempt: u32,
        /// Engine that the attempt was sent to.
        engine: Rc<Endpoint>,
        /// Whether the attempt is a prefill.
        is_prefill: bool,
        /// Figures on which the engine was chosen.
        rationale: DispatchRationale,
        /// Whether the attempt fetches a reservation.
        from_reservation: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt within its request.
        attempt: u32,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// An attempt returned the first token.
    ResponseStarted {
        /// Number of the attempt within its request.
        attempt: u32,
    },
    /// The decision module makes no further attempt.
    Rejected(RejectionReason),
    /// The client was sent the final answer.
    Answered(FinalAnswer),
    /// The client disconnected before the final answer.
    ClientDisconnected,
}

impl TraceEvent {
    fn is_last(&self) -> bool {
        matches!(self, TraceEvent::Answered(_) | TraceEvent::ClientDisconnected)
    }
}

/// Trace of one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Request id that the client knows.
    pub id: Rc<str>,
    /// Name of the requested model.
    pub model: Rc<str>,
    /// When the request was accepted.
    pub accepted_at: f64,
    /// Time within which the first token should come (TTFT objective), in seconds.
    pub ttft_objective_s: f64,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Events with their times.
    pub events: Vec<(f64, TraceEvent)>,
    /// Number of events omitted for lack of room.
    pub omitted_events: u32,
}

impl RequestTrace {
    /// Creates a trace without events.
    pub fn new(
        id: Rc<str>,
        model: Rc<str>,
        accepted_at: f64,
        ttft_objective_s: f64,
        prompt_tokens: f64,
    ) -> RequestTrace {
        RequestTrace {
            id,
            model,
            accepted_at,
            ttft_objective_s,
            prompt_tokens,
            events: Vec::new(),
            omitted_events: 0,
        }
    }

    /// Adds an event if there is room or it ends the request.
    pub fn add(&mut self, at: f64, event: TraceEvent) {
        if self.events.len() < MAX_EVENTS || event.is_last() {
            self.events.push((at, event));
        } else {
            self.omitted_events += 1;
        }
    }

    fn ttft_s(&self) -> Option<f64> {
        let mut events = self.events.iter();
        let started = events.find(|(_, event)| matches!(event, TraceEvent::ResponseStarted { .. }));
        started.map(|(at, _)| at - self.accepted_at)
    }

    fn met_objective(&self) -> bool {
        let completed = TraceEvent::Answered(FinalAnswer::Completed);
        let is_completed = self.events.iter().any(|(_, event)| *event == completed);
        is_completed && self.ttft_s().is_some_and(|ttft_s| ttft_s <= self.ttft_objective_s)
    }
}

/// Bounded buffer of traces of finished requests.
#[derive(Default)]
pub struct TraceBuffer {
    traces: VecDeque<RequestTrace>,
    total: u64,
}

impl TraceBuffer {
    /// Keeps the trace unless the request met its objective and is not in the sample.
    pub fn push(&mut self, trace: RequestTrace) {
        self.total += 1;
        if trace.met_objective() && !self.total.is_multiple_of(SAMPLE_INTERVAL) {
            return;
        }
        if self.traces.len() >= MAX_TRACES {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// Returns the newest trace of a request with this id; `None` if none is kept.
    pub fn find(&self, id: &str) -> Option<&RequestTrace> {
        self.traces.iter().rev().find(|trace| *trace.id == *id)
    }

    /// Returns the number of traces kept.
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// Returns whether no trace is kept.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }
}

#[cfg(test)]
mod tests;
