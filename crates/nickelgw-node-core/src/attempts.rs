//! Handling of events of attempts, probes and release calls.

use crate::attempt_outcome::AttemptOutcome;
use crate::commands::{AttemptResult, FailureReason, FinalAnswer, ReleaseCallId, ReleaseOutcome, RequestId};
use crate::ledger::ReservationId;
use crate::node_core::NodeCore;
use crate::request_table::RequestStage;
use crate::trace::TraceEvent;
use nickelgw::interface::{AttemptEnd, EngineLoad, RequestHandle};
use nickelgw_protocol::load::{self, LoadReport};

fn engine_load(report: &LoadReport) -> EngineLoad {
    EngineLoad {
        memory_share: report.mem_utilization,
        slot_share: report.application_utilization,
        queue_len: report.named_metric(load::QUEUED_REQUESTS_METRIC),
        inflight: report.named_metric(load::INFLIGHT_REQUESTS_METRIC),
        pending_prompt_tokens: report.named_metric(load::PENDING_PROMPT_TOKENS_METRIC),
    }
}

/// An attempt that has just ended.
struct EndedAttempt {
    is_prefill: bool,
    /// Whether the attempt had returned the first token of the response.
    was_streaming: bool,
    outcome: AttemptOutcome,
    never_ran: bool,
}

impl NodeCore {
    /// Records the first token of a decode attempt. Returns `true` if the response comes from this attempt,
    /// `false` if the token came too late.
    pub fn response_started(&mut self, now: f64, request: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(request) else { return false };
        let Some(started) = open.attempts.get(attempt as usize) else { return false };
        if !started.in_flight || started.is_prefill || open.stage != RequestStage::Waiting {
            return false;
        }
        open.stage = RequestStage::Streaming { attempt };
        let unary_deadline = open.unary_deadline;
        self.concurrency_limit.record_answer(now, self.open_requests, now > open.late_after);
        // A stream that has begun has no deadline, but a client that does not stream sees nothing before the
        // end.
        if unary_deadline.is_finite() {
            self.unary_deadlines.insert(unary_deadline - self.tick_s, request);
        }
        self.trace_event(now, request, TraceEvent::ResponseStarted { attempt });
        self.ledger.claim_served(now, request.serial, attempt);
        self.router.first_token(now, RequestHandle(request.slot), attempt);
        self.ledger.release_all(now, request.serial);
        true
    }

    /// Records the end of an attempt. A second end of the same attempt is ignored.
    pub fn attempt_ended(&mut self, now: f64, request: RequestId, attempt: u32, result: AttemptResult) {
        let Some(ended) = self.end_attempt(request, attempt, result.outcome) else { return };
        let outcome = ended.outcome;
        self.update_reservation(now, request, attempt, &ended);
        self.trace_event(now, request, TraceEvent::AttemptEnded { attempt, outcome });
        if ended.was_streaming {
            self.end_stream(now, request, outcome);
        }
        let request_finished = self.requests.is_finished(request);
        if request_finished {
            self.ledger.release_all(now, request.serial);
        }
        let handle = RequestHandle(request.slot);
        let end = AttemptEnd {
            outcome: outcome.outcome(),
            // The decision module learns the durations of prefills and streams from this.
            elapsed_s: now - self.router.dispatched_at(handle, attempt),
            request_finished,
            cached_tokens: result.cached_tokens,
            reservation_missing: outcome == AttemptOutcome::ReservationNotFound,
        };
        self.router.attempt_finished(now, handle, attempt, end, result.load.as_ref().map(engine_load));
        self.update_release_pending(request);
    }

    /// Records the end of a probe of the engine with this id.
    pub fn probe_finished(
        &mut self,
        now: f64,
        id: &str,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.router.probe_finished(now, id, outcome.outcome(), report.as_ref().map(engine_load));
    }

    /// Records the end of a call that releases a reservation.
    pub fn release_finished(&mut self, now: f64, call: ReleaseCallId, outcome: ReleaseOutcome) {
        if let Some((id, confirmed)) = self.releases.call_ended(now, call, outcome) {
            self.release_answered(now, id, confirmed);
        }
    }

    pub(crate) fn release_answered(&mut self, now: f64, id: ReservationId, confirmed: bool) {
        let request = self.requests.id_by_serial(id.owner);
        let request_finished = request.is_none_or(|request| self.requests.is_finished(request));
        self.ledger.release_answered(now, id, confirmed, request_finished);
        if let Some(request) = request {
            self.update_release_pending(request);
        }
    }

    /// Records the end of a call that releases the reservations of earlier processes.
    pub fn orphan_cleanup_finished(&mut self, now: f64, address: &str, confirmed: bool) {
        self.orphan_cleanup.release_finished(now, address, confirmed);
    }

    /// Tells the decision module whether a release is unconfirmed, during which it dispatches no further
    /// prefill for the request.
    pub(crate) fn update_release_pending(&mut self, request: RequestId) {
        let releasing = self.ledger.is_releasing(request.serial);
        self.router.set_release_pending(RequestHandle(request.slot), releasing);
    }

    /// Marks an attempt in flight as ended; returns `None` if it is not in flight.
    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) -> Option<EndedAttempt> {
        let open = self.requests.get_mut(request)?;
        let was_streaming = open.stage == RequestStage::Streaming { attempt };
        let ended = open.attempts.get_mut(attempt as usize).filter(|ended| ended.in_flight)?;
        let is_prefill = ended.is_prefill;
        let is_unexpected = match outcome {
            AttemptOutcome::Completed => !was_streaming,
            AttemptOutcome::Prefilled => !is_prefill,
            _ => false,
        };
        let outcome = if is_unexpected { AttemptOutcome::Malformed } else { outcome };
        let never_ran = outcome.never_ran();
        ended.in_flight = false;
        ended.may_have_run &= !never_ran && outcome != AttemptOutcome::ReservationNotFound;
        Some(EndedAttempt { is_prefill, was_streaming, outcome, never_ran })
    }

    fn update_reservation(&mut self, now: f64, request: RequestId, attempt: u32, ended: &EndedAttempt) {
        let id = ReservationId { owner: request.serial, prefill: attempt };
        match (ended.is_prefill, ended.outcome) {
            (true, AttemptOutcome::Prefilled) => self.ledger.prefill_done(now, id),
            // A reservation that a failed prefill may have made is released at once: no attempt will claim
            // it.
            (true, _) => self.ledger.prefill_failed(now, id, ended.never_ran),
            (false, outcome) => {
                self.ledger.claim_ended(now, request.serial, attempt, outcome.is_answer());
            }
        }
    }

    /// Finishes the request after the attempt that streamed its response has ended.
    fn end_stream(&mut self, now: f64, request: RequestId, outcome: AttemptOutcome) {
        match outcome {
            // The stream is cancelled only when its client has disconnected, whichever socket shows that
            // first.
            AttemptOutcome::Cancelled => {
                self.finish_disconnected(now, request);
            }
            AttemptOutcome::Completed => self.answer(now, request, FinalAnswer::Completed),
            _ => self.answer(now, request, FinalAnswer::Failed(FailureReason::StreamBroken)),
        }
    }
}
