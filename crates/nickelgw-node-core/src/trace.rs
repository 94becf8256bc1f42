//! Traces of requests: what happened, with the figures that each choice was made on. Every open request is traced; of those
//! that are over, failed and slow ones are kept, and a sample of the rest. All of it is bounded.

mod describe;

use crate::{AttemptOutcome, Endpoint, FinalAnswer};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use std::collections::VecDeque;
use std::rc::Rc;

/// Events kept of one request; past it only its end.
const MAX_EVENTS: usize = 48;
/// Traces kept of requests that are over.
const MAX_TRACES: usize = 2048;
/// One in so many that met their objectives is kept.
const SAMPLE_INTERVAL: u64 = 64;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// An attempt was dispatched.
    AttemptStarted {
        /// Its number.
        attempt: u32,
        /// Where it went.
        engine: Rc<Endpoint>,
        /// It is a prefill.
        is_prefill: bool,
        /// What the engine was chosen on.
        rationale: DispatchRationale,
        /// It fetches a reservation.
        from_reservation: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its number.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// An attempt gave the first token.
    ResponseStarted {
        /// Its number.
        attempt: u32,
    },
    /// The decision module makes no further attempt.
    Rejected(RejectionReason),
    /// The final answer was given.
    Answered(FinalAnswer),
    /// The client disconnected before the final answer.
    ClientDisconnected,
}

impl TraceEvent {
    fn is_last(&self) -> bool {
        matches!(self, TraceEvent::Answered(_) | TraceEvent::ClientDisconnected)
    }
}

/// The trace of one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The request's id, as its client knows it.
    pub id: Rc<str>,
    /// Name of its model.
    pub model: Rc<str>,
    /// When it was accepted.
    pub accepted_at: f64,
    /// Seconds within which its first token is wanted.
    pub ttft_objective_s: f64,
    /// Estimated length of its prompt.
    pub prompt_tokens: f64,
    /// What happened, with its time.
    pub events: Vec<(f64, TraceEvent)>,
    /// Events that found no room.
    pub omitted_events: u32,
}

impl RequestTrace {
    /// A trace without events.
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

    /// Adds an event, if there is room or it is the last.
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

/// Traces of requests that are over.
#[derive(Default)]
pub struct TraceBuffer {
    traces: VecDeque<RequestTrace>,
    total: u64,
}

impl TraceBuffer {
    /// Keeps the trace, unless the request met its objective and is not in the sample.
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

    /// The newest trace of a request with this id.
    pub fn find(&self, id: &str) -> Option<&RequestTrace> {
        self.traces.iter().rev().find(|trace| *trace.id == *id)
    }

    /// Number of traces kept.
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// Whether no trace is kept.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }
}

#[cfg(test)]
mod tests;
