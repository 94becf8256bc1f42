//! Table of the engines that the node knows, with the state of each.

use super::Router;
use crate::interface::{EngineLoad, EngineRole, Lifecycle};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::slice::SliceIndex;

/// Number of engines from which on the records of removed engines are reused.
const MAX_ENGINES: usize = 1024;

/// Phase of a request. Each engine is used for one phase only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Prefill,
    Decode,
}

/// State of an engine as known to this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) id: String,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) role: EngineRole,
    pub(super) memory_tokens: f64,
    pub(super) lifecycle: Lifecycle,
    /// Start time of its process; negative infinity if it started long ago.
    pub(super) started_at: f64,
    /// Time at which the engine can accept more work without missing an objective: the paper's maturity time.
    pub(super) available_at: f64,
    /// Prefill time dispatched to the engine in this round of decisions.
    pub(super) batch_s: f64,
    /// Uncached prompt tokens dispatched to the engine in this round of decisions.
    pub(super) batch_tokens: f64,
    /// Number of consecutive failures to reach the engine, capped.
    pub(super) consecutive_unreachable: f64,
    /// Number of recent failures as of `last_failure_at`; decays from then on.
    pub(super) recent_failures: f64,
    pub(super) last_failure_at: f64,
    /// Moving average of the cached tokens found at the engine relative to those expected.
    pub(super) cache_hit_rate: f64,
    /// Number of this node's attempts at the engine that have not ended.
    pub(super) attempts_in_flight: u32,
    /// Prompt tokens of this node's requests that the engine is decoding.
    pub(super) tokens_in_flight: f64,
    /// Value of `tokens_in_flight` at the last load report.
    pub(super) tokens_at_report: f64,
    pub(super) reported_load: EngineLoad,
    /// Time of the engine's last load report; negative infinity if its process has sent none.
    pub(super) reported_at: f64,
    /// Wait for a new request according to the last report.
    pub(super) reported_wait_s: f64,
    /// Time of the last probe of the engine; negative infinity if it was never probed.
    pub(super) probed_at: f64,
    pub(super) awaiting_probe: bool,
    /// Time at which the engine last responded to any probe or attempt.
    pub(super) last_response_at: f64,
    /// Time at which a probe or an attempt last could not reach the engine.
    pub(super) unreachable_at: f64,
}

impl Engine {
    /// Creates the record of an engine of which only the id is known.
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

    /// Returns the phase that the engine is dispatched to for: decode if it can run both.
    pub(super) fn phase(&self) -> Phase {
        if self.role == EngineRole::Prefill {
            Phase::Prefill
        } else {
            Phase::Decode
        }
    }

    /// Returns when the engine last reported its load or was last probed for it, whichever is later.
    pub(super) fn load_requested_at(&self) -> f64 {
        self.reported_at.max(self.probed_at)
    }

    /// Returns the number of requests that wait or are served at the engine according to the last report. A
    /// count of pending tokens is converted by the mean prompt length.
    pub(super) fn reported_requests(&self, mean_prompt_tokens: f64) -> f64 {
        let load = &self.reported_load;
        let by_tokens = load.pending_prompt_tokens.map(|tokens| tokens / mean_prompt_tokens.max(1.0));
        load.inflight.or(load.queue_len).or(by_tokens).unwrap_or(0.0)
    }

    /// Returns whether the engine could not be reached at some time after `at` and has not responded since
    /// then.
    pub(super) fn unreachable_since(&self, at: f64) -> bool {
        self.unreachable_at > at.max(self.last_response_at)
    }

    /// Resets what was known of an earlier process under this id. A process that has just started has nothing
    /// cached.
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

/// Engines by index. An index stays valid while the engine is listed, has an attempt in flight or awaits the
/// answer to a probe.
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

    /// Returns the index of the engine with this id and adds the engine if it is unknown. In a full table a
    /// new engine takes over the record of a removed one, if there is one.
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
    /// Returns the engines that may be sent requests of this phase.
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
