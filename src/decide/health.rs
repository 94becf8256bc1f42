//! Engine health: failures and overdue attempts, and engines that do not respond.

use super::engine_table::Engine;
use super::Router;
use crate::interface::{EngineHandle, Lifecycle};
use std::collections::HashSet;

/// Longest hold-off of an unreachable engine, and decay time of failures, in tightest first-token objectives.
const MAX_HOLD_OFF: f64 = 6.0;
/// First hold-off; it doubles with each further time in a row.
const FIRST_HOLD_OFF: f64 = 0.25;
/// Times in a row beyond which the hold-off grows no further.
const MAX_CONSECUTIVE_UNREACHABLE: f64 = 8.0;

impl Router {
    /// A failure makes the engine a worse choice, the more so the more there were lately, but never bars it:
    /// when most of a role fails now and then, all go on. Holds against engines that fail quickly, lose
    /// answers or die; hurts when a lone error was chance, by half an objective for a while.
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

    /// Expected time lost at the engine by failing there.
    pub(super) fn failure_cost_s(&self, now: f64, engine: usize) -> f64 {
        let recent_failures = self.recent_failures(now, &self.engines[engine]);
        self.objectives.ttft_s * (1.0 - 1.0 / (1.0 + recent_failures))
    }

    /// No probe or connection got through: held off, longer each time in a row, until it responds.
    pub(super) fn record_unreachable(&mut self, now: f64, engine: usize) {
        let engine = &mut self.engines[engine];
        engine.unreachable_at = now;
        engine.consecutive_unreachable =
            (engine.consecutive_unreachable + 1.0).min(MAX_CONSECUTIVE_UNREACHABLE);
        let doublings = engine.consecutive_unreachable - 1.0;
        let hold_off_s = self.objectives.ttft_s * (FIRST_HOLD_OFF * 2f64.powf(doublings)).min(MAX_HOLD_OFF);
        engine.available_at = engine.available_at.max(now + hold_off_s);
    }

    /// Any response ends the hold-off of an unreachable engine: a partition that heals is used again at once.
    pub(super) fn record_response(&mut self, now: f64, engine: usize) {
        let engine = &mut self.engines[engine];
        if engine.unreachable_at > engine.last_response_at {
            engine.available_at = engine.available_at.min(now);
        }
        engine.consecutive_unreachable = 0.0;
        engine.last_response_at = now;
    }

    /// Engines at which to try, in this order, a call that any of them can serve: the preferred one, unless it was
    /// unreachable since its last response, then those that responded last.
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
        // One of each zone first: what is cut off is a zone more often than not.
        let mut zones = HashSet::new();
        let (first, others): (Vec<usize>, Vec<usize>) =
            engines.into_iter().partition(|&engine| zones.insert(self.engines[engine].zone));
        let ordered = first.into_iter().chain(others).take(limit);
        ordered.map(|engine| EngineHandle(engine as u32)).collect()
    }
}
