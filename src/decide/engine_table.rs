//! The engines that the node knows.

use super::Router;
use crate::interface::{EngineLoad, EngineRole, Lifecycle};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::slice::SliceIndex;

/// Engines kept before the records of removed ones are reused.
const MAX_ENGINES: usize = 1024;

/// The two phases of a request, each with its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Prefill,
    Decode,
}

/// All that is known of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) id: String,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) role: EngineRole,
    pub(super) memory_tokens: f64,
    pub(super) lifecycle: Lifecycle,
    pub(super) started_at: f64,
    /// When it can take more without missing an objective: the paper's maturity time.
    pub(super) available_at: f64,
    /// Prefill time and tokens dispatched to it in this round of decisions.
    pub(super) batch_s: f64,
    pub(super) batch_tokens: f64,
    /// Times in a row that it could not be reached.
    pub(super) consecutive_unreachable: f64,
    /// Failures, decaying since the last one.
    pub(super) recent_failures: f64,
    pub(super) last_failure_at: f64,
    /// Cached tokens found here of late, as a part of those expected.
    pub(super) cache_hit_rate: f64,
    /// This node's attempts here without an ending.
    pub(super) attempts_in_flight: u32,
    /// Prompt tokens of this node's requests decoding here, now and at the last report.
    pub(super) tokens_in_flight: f64,
    pub(super) tokens_at_report: f64,
    pub(super) reported_load: EngineLoad,
    pub(super) reported_at: f64,
    /// Wait for a new request by the last report.
    pub(super) reported_wait_s: f64,
    pub(super) probed_at: f64,
    pub(super) awaiting_probe: bool,
    /// When it last answered anything.
    pub(super) last_response_at: f64,
    /// When a probe or an attempt last could not reach it.
    pub(super) unreachable_at: f64,
}

impl Engine {
    /// An engine of which only the id is known.
    fn unknown(id: &str) -> Self {
        Engine {
            id: id.to_string(),
            lifecycle: Lifecycle::Removed,
            started_at: f64::NEG_INFINITY,
            reported_at: f64::NEG_INFINITY,
            probed_at: f64::NEG_INFINITY,
            ..Engine::default()
        }
    }

    /// The phase that it serves; one that serves both is dispatched to as a decode engine.
    pub(super) fn phase(&self) -> Phase {
        if self.role == EngineRole::Prefill {
            Phase::Prefill
        } else {
            Phase::Decode
        }
    }

    /// When it last reported, or was asked to.
    pub(super) fn load_requested_at(&self) -> f64 {
        self.reported_at.max(self.probed_at)
    }

    /// Requests that wait or are served here by the last report, given the mean prompt.
    pub(super) fn reported_requests(&self, mean_prompt_tokens: f64) -> f64 {
        let load = &self.reported_load;
        let by_tokens = load.pending_prompt_tokens.map(|tokens| tokens / mean_prompt_tokens.max(1.0));
        load.inflight.or(load.queue_len).or(by_tokens).unwrap_or(0.0)
    }

    /// Whether it could not be reached since `at` and has not responded since then.
    pub(super) fn unreachable_since(&self, at: f64) -> bool {
        self.unreachable_at > at.max(self.last_response_at)
    }

    /// Forgets what was known of an earlier process under this id. A process that has just started caches nothing.
    pub(super) fn reset_process_state(&mut self, now: f64, is_long_running: bool) {
        self.consecutive_unreachable = 0.0;
        self.recent_failures = 0.0;
        self.reported_load = EngineLoad::default();
        self.available_at = now;
        self.reported_at = f64::NEG_INFINITY;
        self.cache_hit_rate = if is_long_running { 1.0 } else { 0.0 };
    }

    fn is_reusable(&self) -> bool {
        self.lifecycle == Lifecycle::Removed && self.attempts_in_flight == 0 && !self.awaiting_probe
    }
}

/// The engines by index; an index stays good while the engine is known or has an attempt in flight.
#[derive(Default)]
pub(super) struct EngineTable {
    engines: Vec<Engine>,
    index_by_id: HashMap<String, usize>,
}

impl EngineTable {
    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, Engine> {
        self.engines.iter()
    }

    pub(super) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Engine> {
        self.engines.iter_mut()
    }

    pub(super) fn index_of(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// The index of an engine, by its id. In a full table a new engine takes the record of a removed one.
    pub(super) fn find_or_insert(&mut self, id: &str) -> usize {
        if let Some(index) = self.index_of(id) {
            return index;
        }
        let engine = Engine::unknown(id);
        let is_full = self.engines.len() >= MAX_ENGINES;
        let reused = if is_full { self.engines.iter().position(Engine::is_reusable) } else { None };
        let index = reused.unwrap_or(self.engines.len());
        if reused.is_some() {
            self.index_by_id.remove(&self.engines[index].id);
            self.engines[index] = engine;
        } else {
            self.engines.push(engine);
        }
        self.index_by_id.insert(id.to_string(), index);
        index
    }
}

impl<I: SliceIndex<[Engine]>> Index<I> for EngineTable {
    type Output = I::Output;

    fn index(&self, index: I) -> &I::Output {
        &self.engines[index]
    }
}

impl<I: SliceIndex<[Engine]>> IndexMut<I> for EngineTable {
    fn index_mut(&mut self, index: I) -> &mut I::Output {
        &mut self.engines[index]
    }
}

impl Router {
    /// The engines that may be sent requests of this phase.
    pub(super) fn available_engines(&self, phase: Phase) -> Vec<usize> {
        (0..self.engines.len()).filter(|&engine| self.is_available(engine, phase)).collect()
    }

    pub(super) fn is_available(&self, engine: usize, phase: Phase) -> bool {
        let engine = &self.engines[engine];
        engine.lifecycle == Lifecycle::Active
            && engine.phase() == phase
            && self.zone_weights.weight(engine.zone) > 0.0
    }
}
