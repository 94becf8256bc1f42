//! The requests that the node has admitted, and their attempts.

use super::engine_table::Phase;
use crate::interface::RequestHandle;
use std::ops::{Index, IndexMut};

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for a prefill engine.
    #[default]
    Queued,
    Prefilling,
    /// Prefilled; its reservation waits for a decode engine.
    Reserved,
    Decoding,
    Streaming,
    /// Over, with an attempt still in flight.
    Finished,
    /// Over, and its handle is void.
    Closed,
}

impl Stage {
    pub(super) fn is_over(self) -> bool {
        matches!(self, Stage::Finished | Stage::Closed)
    }
}

/// Where an attempt is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    /// In flight for longer than expected.
    Overdue,
    /// Its engine was not reached, or did not respond.
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
    /// Requests at the engine before it, as far as was known.
    pub(super) requests_ahead: f64,
    /// Expected time until its end, or its first token.
    pub(super) expected_s: f64,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Overdue)
    }

    /// Whether it was a decode attempt that never reached its engine.
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

/// A request that was admitted.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) route: usize,
    pub(super) stage: Stage,
    pub(super) arrived_at: f64,
    /// By when its first token meets the objective.
    pub(super) ttft_deadline: f64,
    /// By when its client gives up.
    pub(super) deadline: f64,
    pub(super) prompt_tokens: f64,
    pub(super) prefix_tokens: f64,
    pub(super) session_hash: u64,
    /// Hash of the shared prefix; 0: none.
    pub(super) prefix_hash: u64,
    pub(super) over_quota: bool,
    /// The random number by which it falls among those that engines in slow start and recovering zones get.
    pub(super) slow_start_draw: Option<u64>,
    /// Prefill engines named by the hash of its text, best first.
    pub(super) affinity_engines: Vec<usize>,
    pub(super) attempts: Vec<Attempt>,
    /// The prefill engine that holds its KV cache.
    pub(super) reservation: Option<usize>,
    pub(super) reserved_since: f64,
    /// A release of an earlier reservation is not confirmed: prefilled again now, the new one would go with it.
    pub(super) release_pending: bool,
    /// The first decode attempt that may have run.
    pub(super) first_decode: Option<DecodeStart>,
}

impl Request {
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// The requests by index; the index of a closed one is reused.
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

    /// The requests about which something is left to decide, in the order of their arrival.
    pub(super) fn open(&self) -> &[usize] {
        &self.open
    }

    /// Nothing is left to decide about a request: thousands of streams cost a round of decisions nothing.
    pub(super) fn remove_from_open(&mut self, request: usize) {
        self.open.retain(|&open| open != request);
    }

    /// Makes the indices of closed requests free for new ones.
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
