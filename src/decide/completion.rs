//! Ends of requests: rejection, failure, completion, and release of reservations.

use super::engine_table::Phase;
use super::request_table::{Attempt, Request, Stage};
use super::Router;
use crate::interface::{Idempotency, IdempotencyScope, RejectionReason, RequestHandle};

/// Retry-after time of a rejected request, as a fraction of the mean stream duration.
const RETRY_AFTER_FRACTION: f64 = 1.0 / 4.0;

impl Router {
    /// Ends a request at once: it is rejected if a repeat by the client is harmless, and failed otherwise.
    pub(super) fn reject_or_fail(&mut self, request: usize, reason: RejectionReason) {
        if self.requests[request].stage.is_over() {
            return;
        }
        let handle = RequestHandle(request as u32);
        self.decisions.reasons.push((handle, reason));
        if self.is_repeat_harmless(&self.requests[request]) {
            let default_s = self.averages.mean_stream_s * RETRY_AFTER_FRACTION;
            let retry_after_s = self.limits.max_retry_after_s.map(|longest_s| longest_s.min(default_s));
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

    /// Returns whether the client may send the request again without the risk of a second side effect.
    fn is_repeat_harmless(&self, request: &Request) -> bool {
        // A prefill has no side effect once it has ended. One in flight is cancelled; where attempts can't be
        // cancelled, it counts as not ended.
        let may_take_effect = |attempt: &Attempt| {
            attempt.is_in_flight() && (attempt.phase == Phase::Decode || !self.limits.can_cancel)
        };
        match self.objectives.routes[request.route].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. } => true,
            _ => request.first_decode.is_none() && !request.attempts.iter().any(may_take_effect),
        }
    }

    /// Finishes a request: releases its reservation, and closes its handle once no attempt is in flight.
    pub(super) fn finish(&mut self, request: usize) {
        let handle = RequestHandle(request as u32);
        let in_flight = self.requests[request].has_attempt_in_flight();
        // An attempt in flight may prevent the release, so the release is repeated when the last one ends.
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

    /// Releases a request's reservation; the request continues without it.
    pub(super) fn release_reservation(&mut self, request: usize) {
        self.requests[request].reservation = None;
        self.decisions.released.push(RequestHandle(request as u32));
    }
}
