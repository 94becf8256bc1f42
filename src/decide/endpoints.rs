//! Updates from the endpoint list, and polling for the list.

use super::Router;
use crate::interface::{EngineEntry, Lifecycle};
use std::collections::HashSet;

/// Schedule of polls for the endpoint list.
#[derive(Default)]
pub(super) struct EndpointPoll {
    is_requested: bool,
    /// Earliest time of the next poll.
    not_before: f64,
}

impl EndpointPoll {
    pub(super) fn new(is_requested: bool) -> Self {
        EndpointPoll { is_requested, not_before: 0.0 }
    }

    /// Returns when the next poll is due; `None` if no poll is requested.
    pub(super) fn next_at(&self) -> Option<f64> {
        self.is_requested.then_some(self.not_before)
    }
}

impl Router {
    /// Applies an endpoint list. A full list also removes the engines that it does not contain.
    pub fn update_endpoints(&mut self, now: f64, entries: &[EngineEntry], full: bool) {
        let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.id).collect();
        for engine in self.engines.iter_mut().filter(|engine| full && !listed.contains(&*engine.id)) {
            engine.lifecycle = Lifecycle::Removed;
        }
        for entry in entries {
            self.update_engine(now, entry);
        }
    }

    fn update_engine(&mut self, now: f64, entry: &EngineEntry) {
        let started_at = entry.started_at.unwrap_or(f64::NEG_INFINITY);
        let index = self.engines.find_or_insert(&entry.id);
        let engine = &mut self.engines[index];
        if started_at > engine.started_at || engine.lifecycle == Lifecycle::Removed {
            engine.reset_process_state(now, entry.started_at.is_none());
        }
        engine.zone = entry.zone;
        engine.cell = entry.cell;
        engine.role = entry.role;
        engine.memory_tokens = entry.memory_tokens.max(1.0);
        engine.lifecycle = entry.lifecycle;
        engine.started_at = started_at;
    }

    /// Reports that fetching the endpoint list failed. The list is polled again after a random delay, so that
    /// nodes do not poll at the same time.
    pub fn endpoint_poll_failed(&mut self, now: f64) {
        self.endpoint_poll.is_requested = true;
        self.endpoint_poll.not_before = now + self.objectives.ttft_s * (0.5 + self.random_fraction());
    }

    pub(super) fn poll_endpoints_if_due(&mut self, now: f64) {
        let is_due = self.endpoint_poll.is_requested && now >= self.endpoint_poll.not_before;
        self.decisions.poll_endpoints = is_due;
        self.endpoint_poll.is_requested &= !is_due;
    }
}
