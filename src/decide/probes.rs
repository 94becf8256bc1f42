//! Probes, which ask engines for their load if the last report is old.

use super::engine_table::Phase;
use super::Router;
use crate::interface::{EngineHandle, EngineLoad, Lifecycle, Outcome};

/// Number of decode engines of which a recent report is wanted. The best of a few randomly chosen ones is
/// good enough, and each node probes different ones.
const DECODE_ENGINES_PROBED: usize = 3;
/// Number of affinity engines that are probed before a request is dispatched.
const AFFINITY_ENGINES_PROBED: usize = 2;
/// Age from which a report of a prefill engine is stale, as a fraction of the tightest TTFT objective.
const PREFILL_STALE_FRACTION: f64 = 1.0 / 2.0;
/// Divisor of the mean stream duration that gives the age from which a report of a decode engine is stale.
const DECODE_STALE_DIVISOR: f64 = 6.0;
/// Divisor of the tightest TTFT objective that gives the time for which a request waits for reports of its
/// affinity engines.
const PROBE_WAIT_DIVISOR: f64 = 32.0;

impl Router {
    /// Probes one random prefill engine and some decode engines if their reports are old; decode engines near
    /// the first affinity engine are preferred. This happens at arrival, since the next round of decisions
    /// may come later when requests arrive over sockets.
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

    /// Probes a request's first affinity engines if their reports are old. Returns whether the request should
    /// still wait for their answers.
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
        self.objectives.ttft_s * PREFILL_STALE_FRACTION
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

    /// Returns the distance between two engines: from 0 in the same cell to 1.5 in another cell of another
    /// zone.
    fn distance(&self, engine: usize, other: usize) -> f64 {
        let (engine, other) = (&self.engines[engine], &self.engines[other]);
        let crosses_cell = (engine.cell != other.cell) as u32 as f64;
        let crosses_zone = (engine.zone != other.zone) as u32 as f64;
        crosses_cell / 2.0 + crosses_zone
    }

    /// Probes an active engine whose report is older than `stale_s`. An engine in slow start is probed only
    /// if `may_probe_warming` is set, since probes count towards the load that slow start limits.
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

    /// Probes the engine with the oldest report in a zone, even if the zone gets no traffic.
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

    /// Reports that a probe has ended; `load` is the engine's load report, if it sent one.
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

    /// Records a probe that failed. An engine that rejects a probe is full, and its wait is taken to be at
    /// least half the tightest TTFT objective. Where probes queue like requests, a known queue explains an
    /// unanswered probe, and the wait is at least the time since the probe was sent. Otherwise the engine
    /// counts as unreachable.
    fn record_failed_probe(&mut self, now: f64, engine: usize, is_full: bool) {
        let unanswered_s = now - self.engines[engine].probed_at;
        let waited_s = if is_full { self.objectives.ttft_s / 2.0 } else { unanswered_s };
        let known_wait_s = self.engines[engine].reported_wait_s.max(self.averages.prefill.congestion);
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
