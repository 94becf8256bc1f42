//! Export of learned state for the node's next process, its restoration, and views of the state for
//! operators.

use super::engine_table::Engine;
use super::Router;
use crate::interface::*;

/// Number of averages in the learned state.
const AVERAGE_COUNT: usize = 21;
/// Number of averages, from the first on, that must not be negative.
const NON_NEGATIVE_COUNT: usize = 6;
/// Number of recent failures, decayed, up to which an engine is left out of the learned state.
const MIN_LEARNED_FAILURES: f64 = 0.05;

impl Router {
    /// Returns why an attempt was dispatched to its engine.
    pub fn dispatch_rationale(&self, request: RequestHandle, attempt: u32) -> DispatchRationale {
        let attempt = self.requests[request.0 as usize].attempts[attempt as usize];
        let engine = &self.engines[attempt.engine];
        DispatchRationale {
            requests_ahead: attempt.requests_ahead,
            expected_s: attempt.expected_s,
            engine_age_s: attempt.dispatched_at - engine.started_at,
            unreachable_s: engine.unreachable_at - engine.last_response_at,
        }
    }

    /// Returns the learned state to keep for this node's next process.
    pub fn learned_state(&self, now: f64) -> LearnedState {
        let mut averages = vec![
            self.averages.mean_stream_s,
            self.averages.mean_prompt_tokens,
            self.averages.prefill_s_per_request,
            self.slow_start.mean_start_gap_s,
            self.averages.prefill.congestion,
            self.averages.decode.congestion,
        ];
        averages.extend(self.prefill_cost.sums.iter().flatten().chain(&self.prefill_cost.coefficients));
        let learned_engine = |engine: &Engine| LearnedEngine {
            id: engine.id.clone(),
            started_at: Some(engine.started_at).filter(|started_at| started_at.is_finite()),
            recent_failures: self.recent_failures(now, engine),
            last_failure_at: now,
        };
        let has_failed = |engine: &&Engine| {
            engine.lifecycle == Lifecycle::Active && self.recent_failures(now, engine) > MIN_LEARNED_FAILURES
        };
        LearnedState {
            averages,
            engines: self.engines.iter().filter(has_failed).map(learned_engine).collect(),
        }
    }

    /// Restores what an earlier process had learned, weighted by a confidence from 0 to 1. Call it after the
    /// first endpoint list. An engine's failures are restored only if its process is still the same. State
    /// with invalid averages is ignored.
    pub fn restore_learned_state(&mut self, now: f64, state: &LearnedState, confidence: f64) {
        if !are_averages_valid(&state.averages) {
            return;
        }
        for (current, learned) in self.learned_averages_mut().into_iter().zip(&state.averages) {
            *current += confidence * (learned - *current);
        }
        for learned in &state.engines {
            self.restore_engine(now, learned, confidence);
        }
    }

    /// Returns the averages in the order of those in [`Router::learned_state`].
    fn learned_averages_mut(&mut self) -> Vec<&mut f64> {
        let averages = &mut self.averages;
        let mut learned = vec![
            &mut averages.mean_stream_s,
            &mut averages.mean_prompt_tokens,
            &mut averages.prefill_s_per_request,
            &mut self.slow_start.mean_start_gap_s,
            &mut averages.prefill.congestion,
            &mut averages.decode.congestion,
        ];
        learned.extend(self.prefill_cost.sums.iter_mut().flatten());
        learned.extend(&mut self.prefill_cost.coefficients);
        learned
    }

    fn restore_engine(&mut self, now: f64, learned: &LearnedEngine, confidence: f64) {
        let is_valid = is_non_negative(&learned.recent_failures) && learned.last_failure_at <= now;
        if !is_valid {
            return;
        }
        let Some(index) = self.engines.index_of(&learned.id) else { return };
        let engine = &mut self.engines[index];
        let is_same_process = learned.started_at.unwrap_or(f64::NEG_INFINITY) == engine.started_at;
        if engine.recent_failures == 0.0 && is_same_process {
            engine.recent_failures = confidence * learned.recent_failures;
            engine.last_failure_at = learned.last_failure_at;
        }
    }

    /// Returns, for each active engine, when it last responded and when it last could not be reached.
    pub fn engine_observations(&self) -> impl Iterator<Item = EngineObservation<'_>> {
        let in_service = self.engines.iter().filter(|engine| engine.lifecycle == Lifecycle::Active);
        in_service.map(|engine| EngineObservation {
            id: &engine.id,
            zone: engine.zone,
            role: engine.role,
            last_response_at: engine.last_response_at,
            unreachable_at: engine.unreachable_at,
        })
    }
}

fn are_averages_valid(averages: &[f64]) -> bool {
    averages.len() == AVERAGE_COUNT
        && averages[..NON_NEGATIVE_COUNT].iter().all(is_non_negative)
        && averages.iter().all(|average| average.is_finite())
}

fn is_non_negative(value: &f64) -> bool {
    value.is_finite() && *value >= 0.0
}
