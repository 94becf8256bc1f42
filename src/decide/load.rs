//! Estimates of an engine's load, from its reports, their age and this node's attempts since.

use super::engine_table::Phase;
use super::Router;
use crate::interface::EngineLoad;

impl Router {
    /// Load of an engine of which nothing is known: as the others; one in slow start is kept free by that.
    pub(super) fn default_load(&self, engine: usize) -> f64 {
        let average = self.averages.of(self.engines[engine].phase()).load;
        average * (self.warmup_fraction(self.averages.as_of, engine) >= 1.0) as u32 as f64
    }

    /// How far the last report still describes the engine: it ages as fast as the work there ends.
    pub(super) fn report_confidence(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        let decay_s = match engine.phase() {
            Phase::Prefill => self.objectives.ttft_s,
            Phase::Decode => self.averages.mean_stream_s,
        };
        (-(self.averages.as_of - engine.reported_at) / decay_s).exp()
    }

    /// Takes in an engine's report.
    pub(super) fn record_load(&mut self, now: f64, engine: usize, load: EngineLoad) {
        let engine = &mut self.engines[engine];
        engine.reported_load = load;
        engine.reported_at = now;
        engine.tokens_at_report = engine.tokens_in_flight;
        if engine.phase() == Phase::Prefill {
            // What all nodes have waiting there is prefilled first; with nothing of this node's own there, the
            // report is all.
            let requests = engine.reported_requests(self.averages.mean_prompt_tokens);
            engine.reported_wait_s = requests * self.averages.batch_cost_per_request_s;
            let available_at = now + engine.reported_wait_s;
            let has_nothing_of_ours = engine.attempts_in_flight == 0 && engine.consecutive_unreachable == 0.0;
            engine.available_at =
                if has_nothing_of_ours { available_at } else { engine.available_at.max(available_at) };
        }
    }

    /// Share of a decode engine that is in use or waited for (may pass 1), as reported: memory or slots, whichever
    /// is fuller, and what waits there.
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

    /// Load of a decode engine now: as reported, and this node's attempts since, the more like the average the
    /// older the report (an old report of an over-full one drains with it); without a report, this node's own
    /// attempts, as they are.
    pub(super) fn estimated_load(&self, engine: usize) -> f64 {
        let default_load = self.default_load(engine);
        let own_load = self.engines[engine].tokens_in_flight / self.engines[engine].memory_tokens;
        let own_load_at_report = self.engines[engine].tokens_at_report / self.engines[engine].memory_tokens;
        let correction = self.reported_load(engine).map_or(0.0, |reported| {
            let current = reported + own_load - own_load_at_report;
            self.report_confidence(engine) * (current - default_load)
        });
        own_load.max(default_load + correction)
    }
}
