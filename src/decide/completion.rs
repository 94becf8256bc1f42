//! How requests end: rejected, failed or finished, and what they hold released.

use super::engine_table::Phase;
use super::request_table::{Attempt, Request, Stage};
use super::Router;
use crate::interface::{Idempotency, IdempotencyScope, RejectionReason, RequestHandle};

/// Part of a mean stream after which a rejected client may try again.
const RETRY_AFTER_PART: f64 = 1.0 / 4.0;

impl Router {
    /// Answers at once: rejected where a repeat is harmless, else failed.
    pub(super) fn reject_or_fail(&mut self, request: usize, reason: RejectionReason) {
        if self.requests[request].stage.is_over() {
            return;
        }
        let handle = RequestHandle(request as u32);
        self.decisions.reasons.push((handle, reason));
        if self.is_repeat_harmless(&self.requests[request]) {
            let by_load_s = self.averages.mean_stream_s * RETRY_AFTER_PART;
            let retry_after_s = self.limits.max_retry_after_s.map(|longest_s| longest_s.min(by_load_s));
            self.decisions.rejected.push((handle, retry_after_s));
        } else {
            self.decisions.failed.push(handle);
        }
        if self.limits.can_cancel {
            let attempts = self.requests[request].attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
            self.decisions.cancelled.extend(in_flight.map(|(number, _)| (handle, number as u32)));
        }
        self.finish(request);
    }

    /// Whether the client may send the request again without a second effect.
    fn is_repeat_harmless(&self, request: &Request) -> bool {
        // A prefill is no effect once it has ended; where none may be cancelled it has not.
        let may_take_effect = |attempt: &Attempt| {
            attempt.is_in_flight() && (attempt.phase == Phase::Decode || !self.limits.can_cancel)
        };
        match self.objectives.routes[request.route].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. } => true,
            _ => request.first_decode.is_none() && !request.attempts.iter().any(may_take_effect),
        }
    }

    /// The request is over: what it holds is released, and its handle once no attempt is in flight.
    pub(super) fn finish(&mut self, request: usize) {
        let handle = RequestHandle(request as u32);
        let in_flight = self.requests[request].has_attempt_in_flight();
        // An attempt in flight keeps the reservation from being released: that is repeated when the last one ends.
        let request_state = &mut self.requests[request];
        if request_state.stage != Stage::Streaming && !request_state.attempts.is_empty() {
            self.decisions.released.push(handle);
        }
        request_state.stage = if in_flight { Stage::Finished } else { Stage::Closed };
        self.requests.remove_from_open(request);
        if !in_flight {
            self.decisions.closed.push(handle);
        }
    }

    /// The reservation is given up, and the request goes on without it.
    pub(super) fn release_reservation(&mut self, request: usize) {
        self.requests[request].reservation = None;
        self.decisions.released.push(RequestHandle(request as u32));
    }
}
