//! Table of requests that are open or have attempts in flight.

use crate::trace::RequestTrace;
use crate::RequestId;
use nickelgw::interface::RequestHandle;

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// The request waits for its first token.
    Waiting,
    /// A decode attempt has returned the first token and streams the response.
    Streaming { attempt: u32 },
    /// The request has its final answer, or its client has disconnected.
    Finished,
}

/// An attempt of a request.
pub(crate) struct Attempt {
    pub(crate) is_prefill: bool,
    pub(crate) in_flight: bool,
    pub(crate) dispatched_at: f64,
    /// Whether this is a decode attempt that may have run.
    pub(crate) may_have_run: bool,
}

/// A request in the table.
pub(crate) struct OpenRequest {
    pub(crate) serial: u64,
    pub(crate) route: usize,
    /// Name of the request at engines, common to all its attempts; `None` if each attempt has a name of its
    /// own.
    pub(crate) name: Option<String>,
    pub(crate) trace: Option<RequestTrace>,
    pub(crate) tenant: Option<usize>,
    /// Time after which the first token counts as late for the concurrency limit.
    pub(crate) late_after: f64,
    pub(crate) stage: RequestStage,
    pub(crate) deadline: f64,
    /// Deadline of the whole response; infinite for a client that streams.
    pub(crate) unary_deadline: f64,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(crate) fn is_finished(&self) -> bool {
        self.stage == RequestStage::Finished
    }

    /// Returns whether a retry of the request is safe because no attempt can have had an effect. If attempts
    /// cannot be cancelled, a prefill in flight continues, so a retry is not safe.
    pub(crate) fn is_retry_safe(&self, can_cancel: bool) -> bool {
        let is_harmless = |attempt: &Attempt| !attempt.may_have_run && (can_cancel || !attempt.in_flight);
        self.stage == RequestStage::Waiting && self.attempts.iter().all(is_harmless)
    }
}

/// Requests, indexed by the decision module's handles.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<OpenRequest>>,
    last_serial: u64,
}

impl RequestTable {
    /// Returns the serial number of the next request.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    pub(crate) fn insert(&mut self, handle: RequestHandle, request: OpenRequest) -> RequestId {
        let slot = handle.0 as usize;
        if slot >= self.slots.len() {
            self.slots.resize_with(slot + 1, || None);
        }
        let serial = request.serial;
        self.slots[slot] = Some(request);
        RequestId { slot: handle.0, serial }
    }

    /// Removes a request; its handle is invalid from now on.
    pub(crate) fn remove(&mut self, handle: RequestHandle) {
        self.slots[handle.0 as usize] = None;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.slots.iter().all(Option::is_none)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.slots.get(id.slot as usize)?.as_ref().filter(|request| request.serial == id.serial)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.slots.get_mut(id.slot as usize)?.as_mut().filter(|request| request.serial == id.serial)
    }

    /// Returns whether the request is finished or unknown.
    pub(crate) fn is_finished(&self, id: RequestId) -> bool {
        self.get(id).is_none_or(OpenRequest::is_finished)
    }

    pub(crate) fn id_of(&self, handle: RequestHandle) -> Option<RequestId> {
        let serial = self.slots.get(handle.0 as usize)?.as_ref()?.serial;
        Some(RequestId { slot: handle.0, serial })
    }

    pub(crate) fn id_by_serial(&self, serial: u64) -> Option<RequestId> {
        let has_serial =
            |slot: &Option<OpenRequest>| slot.as_ref().is_some_and(|request| request.serial == serial);
        let slot = self.slots.iter().position(has_serial)?;
        Some(RequestId { slot: slot as u32, serial })
    }

    /// Returns all requests, in the order of their handles.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        (0..self.slots.len() as u32).filter_map(|slot| self.id_of(RequestHandle(slot))).collect()
    }

    /// Returns the trace of an open request; `None` if there is none with this id.
    pub(crate) fn trace(&self, id: &str) -> Option<&RequestTrace> {
        let mut traces = self.slots.iter().flatten().filter_map(|request| request.trace.as_ref());
        traces.find(|trace| *trace.id == *id)
    }
}
