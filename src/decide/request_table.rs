//! Table of the requests that the node has admitted, with their attempts.

use super::engine_table::Phase;
use crate::interface::RequestHandle;
use std::ops::{Index, IndexMut};

/// Stage of a request's processing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waiting for a prefill engine.
    #[default]
    Queued,
    Prefilling,
    /// Prefilled, with a reservation, and waiting for a decode engine.
    Reserved,
    Decoding,
    Streaming,
    /// Finished, with an attempt still in flight.
    Finished,
    /// Finished, with no attempt in flight; its handle is invalid.
    Closed,
}

impl Stage {
    pub(super) fn is_over(self) -> bool {
        matches!(self, Stage::Finished | Stage::Closed)
    }
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    /// In flight for longer than expected.
    Overdue,
    /// The attempt did not reach its engine, or got no response from an unreachable one.
    NotDelivered,
    Finished,
}

/// One dispatch of a request to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) engine: usize,
    pub(super) phase: Phase,
    pub(super) state: AttemptState,
    pub(super) dispatched_at: f64,
    /// Number of requests at the engine ahead of this attempt, as far as was known at dispatch.
    pub(super) requests_ahead: f64,
    /// Expected time from dispatch to the end of a prefill or to the first token of a decode.
    pub(super) expected_s: f64,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Overdue)
    }

    /// Returns whether this is a decode attempt that was not delivered to its engine.
    pub(super) fn is_undelivered_decode(&self) -> bool {
        self.state == AttemptState::NotDelivered && self.phase == Phase::Decode
    }
}

/// A decode attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecodeStart {
    pub(super) engine: usize,
    pub(super) at: f64,
}

/// State of a request that the node has taken in.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) route: usize,
    pub(super) stage: Stage,
    pub(super) arrived_at: f64,
    /// Latest time at which the first token meets the TTFT objective.
    pub(super) ttft_deadline: f64,
    /// Time at which the client stops waiting for the response.
    pub(super) deadline: f64,
    pub(super) prompt_tokens: f64,
    pub(super) prefix_tokens: f64,
    pub(super) session_hash: u64,
    /// Hash of the shared prefix; 0 if there is none.
    pub(super) prefix_hash: u64,
    /// Whether the request waits behind others, since it is over its tenant's quota or runs in the
    /// background.
    pub(super) over_quota: bool,
    /// Random draw that decides whether engines in slow start and recovering zones are open to it. `None` if
    /// this node had no draws left: the request goes to none of them.
    pub(super) slow_start_draw: Option<u64>,
    /// Prefill engines selected by the hash of the request's text, best first.
    pub(super) affinity_engines: Vec<usize>,
    pub(super) attempts: Vec<Attempt>,
    /// Prefill engine that holds the request's KV cache.
    pub(super) reservation: Option<usize>,
    /// Time at which the time limit of the reservation last began to run.
    pub(super) reserved_since: f64,
    /// Whether a release of an earlier reservation is unconfirmed. A new reservation made now would be
    /// dropped by that release.
    pub(super) release_pending: bool,
    /// The first decode attempt that may have run.
    pub(super) first_decode: Option<DecodeStart>,
}

impl Request {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// Requests by index; the index of a closed request is reused.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: Vec<Request>,
    free: Vec<usize>,
    open: Vec<usize>,
}

impl RequestTable {
    pub(super) fn insert(&mut self, request: Request) -> RequestHandle {
        let index = self.free.pop().unwrap_or(self.requests.len());
        if index == self.requests.len() {
            self.requests.push(request);
        } else {
            self.requests[index] = request;
        }
        self.open.push(index);
        RequestHandle(index as u32)
    }

    /// Returns the requests that still need decisions, in the order of their arrival.
    pub(super) fn open(&self) -> &[usize] {
        &self.open
    }

    /// Marks a request as needing no further decisions, so that a round of decisions costs nothing for it
    /// even with thousands of open streams.
    pub(super) fn remove_from_open(&mut self, request: usize) {
        self.open.retain(|&open| open != request);
    }

    /// Makes the indices of closed requests available for new requests.
    pub(super) fn release(&mut self, closed: &[RequestHandle]) {
        self.free.extend(closed.iter().map(|handle| handle.0 as usize));
    }
}

impl Index<usize> for RequestTable {
    type Output = Request;

    fn index(&self, index: usize) -> &Request {
        &self.requests[index]
    }
}

impl IndexMut<usize> for RequestTable {
    fn index_mut(&mut self, index: usize) -> &mut Request {
        &mut self.requests[index]
    }
}
