//! Choice of a prefill engine by its availability, the cost of a prefill there and the text that it has
//! cached.

use super::engine_table::Phase;
use super::request_table::Attempt;
use super::Router;
use crate::interface::AttemptEnd;

/// Seconds of waiting that one second of prefill saved by cached text is worth. It is more than one second,
/// since a repeated prefill also occupies the engine and evicts what it has cached.
pub(super) const CACHE_SAVING_WEIGHT: f64 = 4.0;

impl Router {
    /// Returns the current estimate of the paper's maturity time of an engine, from its reports and from what
    /// was dispatched to it. The older the report, the closer the estimate is to the average engine. While a
    /// probe is unanswered, the wait is at least the time since the probe was sent.
    pub(super) fn estimated_availability(&self, now: f64, engine: usize) -> f64 {
        let state = &self.engines[engine];
        let unanswered_s = if state.awaiting_probe { now - state.probed_at } else { 0.0 };
        let guessed_s =
            self.default_congestion(engine) * (1.0 - self.report_confidence(engine)) + unanswered_s;
        state.available_at.max(now + guessed_s) + state.batch_s
    }

    /// Chooses the engine that would finish the prefill first. The affinity engine is preferred if it would
    /// finish at most the time of an empty prefill and one decode step later.
    pub(super) fn choose_prefill_engine(&self, now: f64, request: usize, engines: &[usize]) -> Option<usize> {
        let done_at = |engine: usize| self.prefill_done_at(now, request, engine);
        let first = engines.iter().copied().min_by(|&x, &y| done_at(x).total_cmp(&done_at(y)))?;
        let latest = done_at(first) + self.prefill_cost.predict_s(0.0) + self.objectives.tpot_s;
        let affinity_engines = &self.requests[request].affinity_engines;
        let preferred = affinity_engines.iter().find(|&&engine| self.is_available(engine, Phase::Prefill));
        let is_near = |&engine: &usize| engines.contains(&engine) && done_at(engine) <= latest;
        Some(preferred.copied().filter(is_near).unwrap_or(first))
    }

    /// Returns when a prefill at an engine would be done, with the costs of distance and failures added. Each
    /// earlier attempt there costs one tightest TTFT objective: without that, cached text drew all attempts
    /// of a request to an engine that failed them at once.
    fn prefill_done_at(&self, now: f64, request: usize, engine: usize) -> f64 {
        let is_local = self.engines[engine].zone == self.locality.zone;
        let distance_cost_s = if is_local { 0.0 } else { self.locality.cross_zone_cost_s };
        let attempts = self.requests[request].attempts.iter();
        let earlier_attempts = attempts.filter(|attempt| attempt.engine == engine).count();
        let retry_cost_s = earlier_attempts as f64 * self.objectives.ttft_s;
        let prefill_s =
            CACHE_SAVING_WEIGHT * self.prefill_cost.predict_s(self.uncached_tokens(engine, request));
        self.estimated_availability(now, engine)
            + prefill_s
            + distance_cost_s
            + self.failure_cost_s(now, engine)
            + retry_cost_s
    }

    /// Updates the averages, the latency model and the engine's cache hit rate from a finished prefill.
    pub(super) fn record_prefill(&mut self, request: usize, attempt: &Attempt, end: &AttemptEnd) {
        self.averages.record_prefill(end.elapsed_s, attempt.requests_ahead);
        // Only a prefill at an idle engine shows the cost of a prefill. If waits in queues were fitted as
        // cost, engines would be held back, and their queues would look even longer.
        if attempt.requests_ahead < 1.0 {
            let uncached_tokens = (self.requests[request].prompt_tokens - end.cached_tokens).max(1.0);
            self.prefill_cost.observe(uncached_tokens, end.elapsed_s);
        }
        self.record_cache_hits(request, attempt.engine, end.cached_tokens);
        self.record_success(attempt.engine);
    }
}
