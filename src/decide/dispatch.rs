//! Dispatch of a request to the engine chosen for it.

use super::engine_table::Phase;
use super::request_table::{Attempt, AttemptState, Stage};
use super::Router;
use crate::interface::{Dispatch, EngineHandle, RequestHandle};

/// Multiple of the expected time after which an attempt times out in a deployment where a dead engine can't
/// be distinguished from a busy one.
const TIMEOUT_MULTIPLE: f64 = 6.0;

impl Router {
    pub(super) fn dispatch_prefill(&mut self, now: f64, request: usize, engine: usize) {
        let tokens = self.uncached_tokens(engine, request);
        let wait_s = self.estimated_availability(now, engine) - now;
        let prefill_s = self.prefill_cost.predict_s(tokens);
        self.engines[engine].batch_s += prefill_s;
        self.engines[engine].batch_tokens += tokens;
        self.dispatch(now, request, engine, wait_s + prefill_s);
    }

    /// Dispatches a request to a decode engine. `prefill_s` is the expected duration of a prefill there, 0
    /// for a request with a reservation.
    pub(super) fn dispatch_decode(&mut self, now: f64, request: usize, engine: usize, prefill_s: f64) {
        let step_s = self.decode_step_s(engine);
        let expected_s =
            step_s + self.decode_wait_s(engine, self.requests[request].prompt_tokens) + prefill_s;
        // A decode engine is available again after its next step.
        self.engines[engine].available_at = self.engines[engine].available_at.max(now + step_s);
        self.dispatch(now, request, engine, expected_s);
    }

    fn dispatch(&mut self, now: f64, index: usize, engine_index: usize, expected_s: f64) {
        let request = &mut self.requests[index];
        let engine = &mut self.engines[engine_index];
        let phase = engine.phase();
        request.stage = match phase {
            Phase::Prefill => Stage::Prefilling,
            Phase::Decode => Stage::Decoding,
        };
        if request.attempts.is_empty() {
            self.slow_start.record_start(now);
        }
        let requests_ahead =
            engine.reported_requests(self.averages.mean_prompt_tokens).max(engine.attempts_in_flight as f64);
        request.attempts.push(Attempt {
            engine: engine_index,
            phase,
            state: AttemptState::InFlight,
            dispatched_at: now,
            requests_ahead,
            expected_s,
        });
        engine.attempts_in_flight += 1;
        engine.tokens_in_flight += if phase == Phase::Decode { request.prompt_tokens } else { 0.0 };
        let timeout_s = self.timeout_s(now, index, expected_s);
        self.decisions.dispatches.push(Dispatch {
            request: RequestHandle(index as u32),
            engine: EngineHandle(engine_index as u32),
            timeout_s,
        });
    }

    /// Returns the timeout of an attempt. Where probes distinguish a dead engine from a busy one, an attempt
    /// keeps its place in the engine's queue until the request's deadline.
    fn timeout_s(&self, now: f64, request: usize, expected_s: f64) -> f64 {
        let detects_dead_engines = self.limits.can_probe && self.limits.can_cancel;
        let limit_s = if detects_dead_engines {
            f64::INFINITY
        } else {
            TIMEOUT_MULTIPLE * expected_s + self.objectives.ttft_s
        };
        limit_s.min(self.requests[request].deadline - now).max(self.limits.tick_s)
    }
}
