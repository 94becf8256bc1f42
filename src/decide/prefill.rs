//! The choice of a prefill engine: when each is available, what a prefill costs there, what it has cached.

use super::engine_table::Phase;
use super::request_table::Attempt;
use super::Router;
use crate::interface::AttemptEnd;

/// What a second of prefill saved by cached text is worth, in seconds of waiting: prefilling anew also takes the
/// engine from others and evicts what it has cached.
pub(super) const CACHE_SAVING_WEIGHT: f64 = 4.0;

impl Router {
    /// The paper's maturity time of an engine as estimated now: as reported and dispatched to, the more like the
    /// average the older the report, and no sooner than the answer that it still owes a probe.
    pub(super) fn estimated_availability(&self, now: f64, engine: usize) -> f64 {
        let state = &self.engines[engine];
        let unanswered_s = if state.awaiting_probe { now - state.probed_at } else { 0.0 };
        let guessed_s = self.default_load(engine) * (1.0 - self.report_confidence(engine)) + unanswered_s;
        state.available_at.max(now + guessed_s) + state.batch_s
    }

    /// The first of these engines to be available; near-ties go to the one that the text's hash prefers. The
    /// window is the prefill that a later engine saves by what it has cached, and one step.
    pub(super) fn choose_prefill_engine(&self, now: f64, request: usize, engines: &[usize]) -> Option<usize> {
        let done_at = |engine: usize| self.prefill_done_at(now, request, engine);
        let first = engines.iter().copied().min_by(|&x, &y| done_at(x).total_cmp(&done_at(y)))?;
        let latest = done_at(first) + self.prefill_cost.of(0.0) + self.objectives.tpot_s;
        let affinity_engines = &self.requests[request].affinity_engines;
        let preferred = affinity_engines.iter().find(|&&engine| self.is_available(engine, Phase::Prefill));
        let is_near = |&engine: &usize| engines.contains(&engine) && done_at(engine) <= latest;
        Some(preferred.copied().filter(is_near).unwrap_or(first))
    }

    /// When a prefill there would be done, with the costs of its time, of distance and of failures. Each earlier
    /// attempt there costs an objective: cached text drew all attempts to an engine that failed at once.
    fn prefill_done_at(&self, now: f64, request: usize, engine: usize) -> f64 {
        let is_local = self.engines[engine].zone == self.locality.zone;
        let distance_cost_s = if is_local { 0.0 } else { self.locality.cross_zone_cost_s };
        let attempts = self.requests[request].attempts.iter();
        let earlier_attempts = attempts.filter(|attempt| attempt.engine == engine).count();
        let retry_cost_s = earlier_attempts as f64 * self.objectives.ttft_s;
        let prefill_s = CACHE_SAVING_WEIGHT * self.prefill_cost.of(self.uncached_tokens(engine, request));
        self.estimated_availability(now, engine)
            + prefill_s
            + distance_cost_s
            + self.failure_cost_s(now, engine)
            + retry_cost_s
    }

    /// Learns from a prefill what prefills cost and what the engine had cached.
    pub(super) fn record_prefill(&mut self, request: usize, attempt: &Attempt, end: &AttemptEnd) {
        self.averages.record_prefill(end.elapsed_s, attempt.requests_ahead);
        // Only a prefill that met an idle engine tells what prefills cost; queues fitted as cost would hold
        // engines back, whose queues then look longer still.
        if attempt.requests_ahead < 1.0 {
            let uncached_tokens = (self.requests[request].prompt_tokens - end.cached_tokens).max(1.0);
            self.prefill_cost.add(uncached_tokens, end.elapsed_s);
        }
        self.record_cache_hits(request, attempt.engine, end.cached_tokens);
        self.record_success(attempt.engine);
    }
}
