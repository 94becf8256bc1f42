//! Results of attempts: first tokens and outcomes.

use super::engine_table::Phase;
use super::request_table::{Attempt, AttemptState, DecodeStart, Stage};
use super::Router;
use crate::interface::{AttemptEnd, EngineLoad, Outcome, RejectionReason, RequestHandle};

/// Time after which a full decode engine is expected to have room, as a fraction of the mean stream duration.
const DECODE_ROOM_FRACTION: f64 = 1.0 / 8.0;
/// Factor by which a success reduces an engine's recent failures.
const FAILURE_FACTOR_ON_SUCCESS: f64 = 0.5;

/// Returns whether an outcome is an answer of the engine. Only an answer proves that the attempt arrived;
/// without one it may never have left this node.
fn is_answer(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Completed | Outcome::Prefilled | Outcome::EngineError | Outcome::Rejected)
}

/// Returns whether an outcome shows that the engine responded.
fn is_response(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotDelivered
    )
}

/// Returns whether an outcome proves that a decode attempt did not run.
fn proves_not_decoded(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotDelivered | Outcome::Prefilled)
}

impl Router {
    /// Reports that the response of a request has begun.
    pub fn first_token(&mut self, now: f64, request: RequestHandle, attempt: u32) {
        let index = request.0 as usize;
        let engine = self.requests[index].attempts[attempt as usize].engine;
        if self.requests[index].stage.is_over() {
            return;
        }
        self.requests[index].stage = Stage::Streaming;
        self.requests[index].reservation = None;
        self.requests.remove_from_open(index);
        self.record_response(now, engine);
        self.record_success(engine);
    }

    /// Reports that an attempt has ended; `load` is the load report that its engine sent with the result, if
    /// any.
    pub fn attempt_finished(
        &mut self,
        now: f64,
        request: RequestHandle,
        attempt: u32,
        end: AttemptEnd,
        load: Option<EngineLoad>,
    ) {
        let index = request.0 as usize;
        let finished = self.requests[index].attempts[attempt as usize];
        self.remove_from_flight(index, &finished);
        if let Some(load) = load {
            self.record_load(now, finished.engine, load);
        }
        let state = self.state_after(&finished, end.outcome);
        self.requests[index].attempts[attempt as usize].state = state;
        // An attempt that was never delivered does not renew a reservation.
        if is_answer(end.outcome) || self.limits.connect_timeout_s == 0.0 {
            self.requests[index].reserved_since = now;
        }
        if is_response(end.outcome) {
            self.record_response(now, finished.engine);
        }
        let stage = self.requests[index].stage;
        self.apply_outcome(now, index, &finished, &end);
        self.release_stale_reservation(now, index, &finished, state, end.outcome);
        self.record_first_decode(index, &finished, end.outcome);
        if end.request_finished || matches!(stage, Stage::Streaming | Stage::Finished) {
            self.finish(index);
        } else if !self.requests[index].has_attempt_in_flight() {
            self.requeue_or_reject(now, index, end.outcome);
        }
    }

    fn remove_from_flight(&mut self, request: usize, attempt: &Attempt) {
        let engine = &mut self.engines[attempt.engine];
        engine.attempts_in_flight -= 1;
        if attempt.phase == Phase::Decode {
            engine.tokens_in_flight -= self.requests[request].prompt_tokens;
        }
    }

    /// Returns the final state of an attempt. An attempt that did not reach its engine is distinguished,
    /// since it counts against all engines of that zone.
    fn state_after(&self, attempt: &Attempt, outcome: Outcome) -> AttemptState {
        let is_unreachable = self.engines[attempt.engine].unreachable_since(attempt.dispatched_at);
        let is_silent = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && is_unreachable;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::NotDelivered) || is_silent {
            AttemptState::NotDelivered
        } else {
            AttemptState::Finished
        }
    }

    fn apply_outcome(&mut self, now: f64, request: usize, attempt: &Attempt, end: &AttemptEnd) {
        match end.outcome {
            Outcome::Completed => {
                self.averages.record_stream(end.elapsed_s);
                self.record_success(attempt.engine);
            }
            Outcome::Prefilled => {
                self.requests[request].reservation = Some(attempt.engine);
                self.record_prefill(request, attempt, end);
            }
            // The prefill engine may still hold the reservation if the decode engine can't reach it.
            Outcome::Rejected if attempt.phase == Phase::Decode && end.reservation_missing => {
                self.release_reservation(request);
            }
            Outcome::Rejected => self.record_full_engine(now, request, attempt),
            Outcome::Cancelled | Outcome::NotDelivered => {}
            Outcome::ConnectFailed => self.record_unreachable(now, attempt.engine),
            // If the engine answered other requests meanwhile, the timeout is due to a queue and not a
            // failure.
            Outcome::TimedOut if self.engines[attempt.engine].last_response_at > attempt.dispatched_at => {}
            _ => self.record_failure(now, attempt.engine),
        }
    }

    /// Records that an engine had no room: it is available again when it is expected to have room.
    fn record_full_engine(&mut self, now: f64, request: usize, attempt: &Attempt) {
        let wait_s = match attempt.phase {
            Phase::Decode => self.averages.mean_stream_s * DECODE_ROOM_FRACTION,
            Phase::Prefill => self.prefill_cost.predict_s(self.requests[request].prompt_tokens),
        };
        let engine = &mut self.engines[attempt.engine];
        engine.available_at = engine.available_at.max(now + wait_s);
    }

    pub(super) fn record_success(&mut self, engine: usize) {
        self.engines[engine].recent_failures *= FAILURE_FACTOR_ON_SUCCESS;
    }

    /// Releases a reservation if the time that an attempt with an uncertain outcome has left of it is not
    /// enough for another attempt.
    fn release_stale_reservation(
        &mut self,
        now: f64,
        request: usize,
        attempt: &Attempt,
        state: AttemptState,
        outcome: Outcome,
    ) {
        let is_uncertain = attempt.phase == Phase::Decode
            && !is_answer(outcome)
            && state != AttemptState::NotDelivered
            && self.limits.connect_timeout_s > 0.0;
        let is_reserved = self.requests[request].reservation.is_some();
        if is_uncertain && is_reserved && self.is_reservation_stale(now, request) {
            self.release_reservation(request);
        }
    }

    fn record_first_decode(&mut self, request: usize, attempt: &Attempt, outcome: Outcome) {
        let request = &mut self.requests[request];
        let may_have_run = attempt.phase == Phase::Decode && !proves_not_decoded(outcome);
        if may_have_run && request.first_decode.is_none() {
            request.first_decode = Some(DecodeStart { engine: attempt.engine, at: attempt.dispatched_at });
        }
    }

    /// Retries a request: with decode if its reservation is still held, otherwise with prefill. If no retry
    /// is allowed the request is rejected or failed.
    fn requeue_or_reject(&mut self, now: f64, request: usize, outcome: Outcome) {
        let is_reserved = self.requests[request].reservation.is_some();
        self.requests[request].stage = if is_reserved { Stage::Reserved } else { Stage::Queued };
        if outcome == Outcome::NotDelivered || !self.may_retry(now, request, None) {
            self.reject_or_fail(request, RejectionReason::NoAttemptLeft);
        }
    }
}
