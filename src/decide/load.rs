//! Estimates of an engine's load from its reports, their age and this node's attempts since then.

use super::engine_table::Phase;
use super::Router;
use crate::interface::EngineLoad;

impl Router {
    /// Returns the assumed congestion of an engine of which nothing is known: the average of its phase, or 0
    /// for an engine in slow start, whose load slow start keeps low.
    pub(super) fn default_congestion(&self, engine: usize) -> f64 {
        let average = self.averages.for_phase(self.engines[engine].phase()).congestion;
        average * (self.warmup_fraction(self.averages.as_of, engine) >= 1.0) as u32 as f64
    }

    /// Returns, from 0 to 1, how well the last report still describes the engine. It decays with the time
    /// that work takes there: the tightest TTFT objective at a prefill engine, a mean stream at a decode
    /// engine.
    pub(super) fn report_confidence(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        let decay_s = match engine.phase() {
            Phase::Prefill => self.objectives.ttft_s,
            Phase::Decode => self.averages.mean_stream_s,
        };
        (-(self.averages.as_of - engine.reported_at) / decay_s).exp()
    }

    /// Records an engine's load report.
    pub(super) fn record_load(&mut self, now: f64, engine: usize, load: EngineLoad) {
        let engine = &mut self.engines[engine];
        engine.reported_load = load;
        engine.reported_at = now;
        engine.tokens_at_report = engine.tokens_in_flight;
        if engine.phase() == Phase::Prefill {
            // The requests of all nodes that wait there are prefilled first. If this node has no attempt
            // there and the engine is not held off, the report alone determines the availability.
            let requests = engine.reported_requests(self.averages.mean_prompt_tokens);
            engine.reported_wait_s = requests * self.averages.prefill_s_per_request;
            let available_at = now + engine.reported_wait_s;
            let report_decides = engine.attempts_in_flight == 0 && engine.consecutive_unreachable == 0.0;
            engine.available_at =
                if report_decides { available_at } else { engine.available_at.max(available_at) };
        }
    }

    /// Returns the share of a decode engine that is in use or that waiting requests will need, as reported:
    /// the larger of the memory and slot shares, plus the share needed by what waits. It may exceed 1. `None`
    /// if neither share was reported.
    pub(super) fn reported_load(&self, engine: usize) -> Option<f64> {
        let engine = &self.engines[engine];
        let load = &engine.reported_load;
        let in_use = match (load.memory_share, load.slot_share) {
            (Some(memory_share), Some(slot_share)) => memory_share.max(slot_share),
            (memory_share, slot_share) => memory_share.or(slot_share)?,
        };
        let mean_prompt_tokens = self.averages.mean_prompt_tokens;
        let share_of = |requests: f64| requests * mean_prompt_tokens / engine.memory_tokens;
        let queued = load.queue_len.map(share_of);
        let pending = load.pending_prompt_tokens.map(|tokens| tokens / engine.memory_tokens);
        let in_flight = load.inflight.map(|requests| share_of(requests) - in_use);
        Some(in_use + queued.or(pending).or(in_flight).unwrap_or(0.0).max(0.0))
    }

    /// Returns the estimated current load of a decode engine: the reported load, corrected by this node's
    /// attempts since the report. The older the report, the closer the estimate is to the average load, so
    /// that an old report of an overfull engine loses its effect. The estimate is never below the load of
    /// this node's own attempts.
    pub(super) fn estimated_load(&self, engine: usize) -> f64 {
        let default_congestion = self.default_congestion(engine);
        let own_load = self.engines[engine].tokens_in_flight / self.engines[engine].memory_tokens;
        let own_load_at_report = self.engines[engine].tokens_at_report / self.engines[engine].memory_tokens;
        let correction = self.reported_load(engine).map_or(0.0, |reported| {
            let current = reported + own_load - own_load_at_report;
            self.report_confidence(engine) * (current - default_congestion)
        });
        own_load.max(default_congestion + correction)
    }
}
