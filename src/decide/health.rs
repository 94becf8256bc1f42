//! Engine health: failures, overdue attempts and engines that do not respond.

use super::engine_table::Engine;
use super::Router;
use crate::interface::{EngineHandle, Lifecycle};
use std::collections::HashSet;

/// Longest hold-off of an unreachable engine, and decay time of failures, as multiples of the tightest TTFT
/// objective.
const MAX_HOLD_OFF: f64 = 6.0;
/// First hold-off as a fraction of the tightest TTFT objective; it doubles with each consecutive failure to
/// reach the engine.
const FIRST_HOLD_OFF: f64 = 0.25;
/// Number of consecutive failures to reach an engine beyond which its hold-off grows no further.
const MAX_CONSECUTIVE_UNREACHABLE: f64 = 8.0;

impl Router {
    /// Records a failure. The more recent failures an engine has, the less it is preferred, but it is never
    /// excluded: if most engines of a role fail occasionally, all stay in use. This protects against engines
    /// that fail quickly, lose responses or crash. A single chance error costs the engine half a TTFT
    /// objective for a while.
    pub(super) fn record_failure(&mut self, now: f64, engine: usize) {
        let recent_failures = self.recent_failures(now, &self.engines[engine]) + 1.0;
        let engine = &mut self.engines[engine];
        engine.recent_failures = recent_failures;
        engine.last_failure_at = now;
    }

    pub(super) fn recent_failures(&self, now: f64, engine: &Engine) -> f64 {
        let age_s = now - engine.last_failure_at;
        engine.recent_failures * (-age_s / (MAX_HOLD_OFF * self.objectives.ttft_s)).exp()
    }

    /// Returns the expected time lost by failures at the engine.
    pub(super) fn failure_cost_s(&self, now: f64, engine: usize) -> f64 {
        let recent_failures = self.recent_failures(now, &self.engines[engine]);
        self.objectives.ttft_s * (1.0 - 1.0 / (1.0 + recent_failures))
    }

    /// Records that a probe or connection did not reach the engine. The engine is held off until it responds,
    /// for a time that grows with each consecutive failure.
    pub(super) fn record_unreachable(&mut self, now: f64, engine: usize) {
        let engine = &mut self.engines[engine];
        engine.unreachable_at = now;
        engine.consecutive_unreachable =
            (engine.consecutive_unreachable + 1.0).min(MAX_CONSECUTIVE_UNREACHABLE);
        let doublings = engine.consecutive_unreachable - 1.0;
        let hold_off_s = self.objectives.ttft_s * (FIRST_HOLD_OFF * 2f64.powf(doublings)).min(MAX_HOLD_OFF);
        engine.available_at = engine.available_at.max(now + hold_off_s);
    }

    /// Records a response. Any response ends the hold-off of an unreachable engine, so that engines behind a
    /// healed partition are used again immediately.
    pub(super) fn record_response(&mut self, now: f64, engine: usize) {
        let engine = &mut self.engines[engine];
        if engine.unreachable_at > engine.last_response_at {
            engine.available_at = engine.available_at.min(now);
        }
        engine.consecutive_unreachable = 0.0;
        engine.last_response_at = now;
    }

    /// Returns engines at which to try, in this order, a call that any of them can serve: first the preferred
    /// one, unless it has been unreachable since its last response, then those with the latest responses.
    pub fn engines_by_last_response(&self, preferred: &str, limit: usize) -> Vec<EngineHandle> {
        let may_serve = |&index: &usize| {
            let engine = &self.engines[index];
            engine.lifecycle == Lifecycle::Active || engine.id == preferred
        };
        let mut engines: Vec<usize> = (0..self.engines.len()).filter(may_serve).collect();
        engines.sort_by(|&x, &y| {
            let key = |engine: &Engine| {
                let is_unreachable = engine.unreachable_at > engine.last_response_at;
                (is_unreachable, engine.id != preferred, -engine.last_response_at)
            };
            let order = key(&self.engines[x]).partial_cmp(&key(&self.engines[y]));
            order.unwrap_or(std::cmp::Ordering::Equal)
        });
        // One engine of each zone comes first, since most partitions cut off a whole zone.
        let mut zones = HashSet::new();
        let (first, others): (Vec<usize>, Vec<usize>) =
            engines.into_iter().partition(|&engine| zones.insert(self.engines[engine].zone));
        let ordered = first.into_iter().chain(others).take(limit);
        ordered.map(|engine| EngineHandle(engine as u32)).collect()
    }
}
