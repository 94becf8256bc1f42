//! Probes: engines are asked for their load where the last report is old.

use super::engine_table::Phase;
use super::Router;
use crate::interface::{EngineHandle, EngineLoad, Lifecycle, Outcome};

/// Decode engines of which a recent report is wanted: the best of a few by chance, other ones at each node, will do.
const DECODE_ENGINES_PROBED: usize = 3;
/// Affinity engines that are probed before a request is dispatched.
const AFFINITY_ENGINES_PROBED: usize = 2;
/// Ages from which a report is stale: in tightest first-token objectives at prefill engines, in mean streams at
/// decode engines.
const PREFILL_STALE_PART: f64 = 1.0 / 2.0;
const DECODE_STALE_DIVISOR: f64 = 6.0;
/// How long a request waits for its affinity engines' reports, in tightest first-token objectives.
const PROBE_WAIT_DIVISOR: f64 = 32.0;

impl Router {
    /// At arrival, one prefill engine by chance and some decode engines, those near the first affinity engine
    /// before others, are probed where reports are old. Not left to the round of decisions, which on sockets
    /// comes later.
    pub(super) fn probe_on_arrival(&mut self, now: f64, affinity_engine: Option<usize>) {
        if !self.limits.can_probe {
            return;
        }
        let prefill_engines = self.available_engines(Phase::Prefill);
        let chosen = (self.random_fraction() * prefill_engines.len() as f64) as usize;
        if let Some(&engine) = prefill_engines.get(chosen) {
            self.probe_if_stale(now, engine, self.prefill_stale_s(), false);
        }
        if let Some(engine) = affinity_engine {
            self.probe_decode_engines(now, engine);
        }
    }

    /// Probes a request's first affinity engines where reports are old. True while their answer may come.
    pub(super) fn is_awaiting_probe(&mut self, now: f64, request: usize) -> bool {
        let affinity_engines = &self.requests[request].affinity_engines;
        let probed: Vec<usize> = affinity_engines.iter().copied().take(AFFINITY_ENGINES_PROBED).collect();
        for &engine in &probed {
            self.probe_if_stale(now, engine, self.prefill_stale_s(), false);
        }
        let is_awaiting = probed.iter().any(|&engine| self.engines[engine].awaiting_probe);
        let wait_s = self.objectives.ttft_s / PROBE_WAIT_DIVISOR;
        is_awaiting && now < self.requests[request].arrived_at + wait_s
    }

    fn prefill_stale_s(&self) -> f64 {
        self.objectives.ttft_s * PREFILL_STALE_PART
    }

    fn probe_decode_engines(&mut self, now: f64, prefill_engine: usize) {
        let stale_s = self.averages.mean_stream_s / DECODE_STALE_DIVISOR;
        let mut recent_count = 0;
        let mut stale = Vec::new();
        for engine in self.available_engines(Phase::Decode) {
            let distance = self.distance(engine, prefill_engine);
            if now - self.engines[engine].load_requested_at() < stale_s {
                recent_count += (distance < 1.0) as usize;
            } else {
                stale.push((distance + self.random_fraction(), engine));
            }
        }
        stale.sort_by(|x, y| x.0.total_cmp(&y.0));
        let wanted = DECODE_ENGINES_PROBED.saturating_sub(recent_count);
        for &(_, engine) in stale.iter().take(wanted) {
            self.probe_if_stale(now, engine, stale_s, false);
        }
    }

    /// From 0 in the same cell to 1.5 in another cell of another zone.
    fn distance(&self, engine: usize, other: usize) -> f64 {
        let (engine, other) = (&self.engines[engine], &self.engines[other]);
        let crosses_cell = (engine.cell != other.cell) as u32 as f64;
        let crosses_zone = (engine.zone != other.zone) as u32 as f64;
        crosses_cell / 2.0 + crosses_zone
    }

    /// An engine in slow start is probed only where that is allowed: probes count in the load that it is spared.
    pub(super) fn probe_if_stale(&mut self, now: f64, engine: usize, stale_s: f64, may_probe_warming: bool) {
        let is_allowed = may_probe_warming || self.warmup_fraction(now, engine) >= 1.0;
        let state = &mut self.engines[engine];
        let is_stale = is_allowed && now - state.load_requested_at() >= stale_s;
        let can_probe = self.limits.can_probe && !state.awaiting_probe;
        if can_probe && is_stale && state.lifecycle == Lifecycle::Active {
            state.awaiting_probe = true;
            state.probed_at = now;
            self.decisions.probes.push(EngineHandle(engine as u32));
        }
    }

    /// Probes the engine of a zone whose report is the oldest, also in a zone that gets no traffic.
    pub fn probe_zone(&mut self, now: f64, zone: u32) {
        let is_candidate = |&index: &usize| {
            let engine = &self.engines[index];
            engine.zone == zone && engine.lifecycle == Lifecycle::Active
        };
        let reported_at = |engine: &usize| self.engines[*engine].load_requested_at();
        let candidates = (0..self.engines.len()).filter(is_candidate);
        let oldest = candidates.min_by(|x, y| reported_at(x).total_cmp(&reported_at(y)));
        if let Some(engine) = oldest {
            self.probe_if_stale(now, engine, self.limits.tick_s, true);
        }
    }

    /// A probe has ended; `load` is what the engine reported.
    pub fn probe_finished(&mut self, now: f64, id: &str, outcome: Outcome, load: Option<EngineLoad>) {
        let Some(engine) = self.engines.index_of(id) else { return };
        self.engines[engine].awaiting_probe = false;
        if outcome == Outcome::Completed {
            self.record_response(now, engine);
        } else {
            self.record_failed_probe(now, engine, outcome == Outcome::Rejected);
        }
        if let Some(load) = load {
            self.record_load(now, engine, load);
        }
    }

    /// An engine that rejects a probe is full, and gets room by a part of the objective. Where probes wait their
    /// turn like work, a queue explains an unanswered one: the wait is at least so long.
    fn record_failed_probe(&mut self, now: f64, engine: usize, is_full: bool) {
        let unanswered_s = now - self.engines[engine].probed_at;
        let waited_s = if is_full { self.objectives.ttft_s / 2.0 } else { unanswered_s };
        let known_wait_s = self.engines[engine].reported_wait_s.max(self.averages.prefill.load);
        if is_full || known_wait_s > waited_s / 2.0 {
            let state = &mut self.engines[engine];
            state.reported_wait_s = state.reported_wait_s.max(waited_s);
            state.reported_at = now;
            state.available_at = state.available_at.max(now + state.reported_wait_s);
        } else {
            self.record_unreachable(now, engine);
        }
    }
}
