//! Choice of a decode engine by its step time, the wait for room and the cost of the KV cache transfer.

use super::engine_table::Phase;
use super::request_table::Attempt;
use super::Router;
use crate::interface::EngineRole;

/// Step time of an empty decode engine as a share of the TPOT objective; the step time reaches the objective
/// at full load.
const EMPTY_STEP_SHARE: f64 = 0.4;
/// Memory share above which a decode engine counts as full; it is below 1 because reports are late and noisy.
pub(super) const FULL_MEMORY_SHARE: f64 = 0.9;
/// Uncertainty of a decode engine's load right after a report, as a share of its capacity.
const LOAD_UNCERTAINTY: f64 = 0.05;
/// Largest random addition to the estimated start time at a decode engine, as a fraction of the TPOT
/// objective.
const JITTER_FRACTION: f64 = 0.1;

/// State of the decode engines as a whole.
pub(super) struct DecodeOutlook {
    /// Time that a request prefilled now is likely to wait for a decode engine.
    pub(super) wait_s: f64,
    /// Mean load of the decode engines, at most 1.
    pub(super) load: f64,
}

impl Router {
    /// Returns the step time E_d of a decode engine. It grows with the engine's load; the engine is full when
    /// it equals the TPOT objective (the paper's relax = 0).
    pub(super) fn decode_step_s(&self, engine: usize) -> f64 {
        let share = EMPTY_STEP_SHARE + (1.0 - EMPTY_STEP_SHARE) * self.estimated_load(engine);
        self.objectives.tpot_s * share
    }

    /// Returns the expected wait for room at a decode engine, whose memory becomes free over the mean
    /// duration of a stream. The threshold is smoothed, since the load is known only roughly, and more so the
    /// older the report.
    pub(super) fn decode_wait_s(&self, engine: usize, tokens: f64) -> f64 {
        let missing_share =
            self.estimated_load(engine) + tokens / self.engines[engine].memory_tokens - FULL_MEMORY_SHARE;
        let uncertainty = LOAD_UNCERTAINTY * (2.0 - self.report_confidence(engine));
        uncertainty * (1.0 + (missing_share / uncertainty).exp()).ln() * self.averages.mean_stream_s
    }

    /// Returns the wait and the load over the decode engines that are not held off. The wait is halfway
    /// between the shortest and the mean wait, since other nodes also send to the engines that appear free.
    pub(super) fn decode_outlook(&self, now: f64) -> DecodeOutlook {
        let usable_until = now + self.objectives.ttft_s;
        let is_usable = |&engine: &usize| self.engines[engine].available_at < usable_until;
        let engines: Vec<usize> =
            self.available_engines(Phase::Decode).into_iter().filter(is_usable).collect();
        if engines.is_empty() {
            return DecodeOutlook { wait_s: self.objectives.ttft_s, load: 1.0 };
        }
        let waits_s: Vec<f64> =
            engines.iter().map(|&engine| self.expected_decode_wait_s(now, engine)).collect();
        let count = waits_s.len() as f64;
        let shortest_s = waits_s.iter().copied().fold(f64::INFINITY, f64::min);
        let mean_s = waits_s.iter().sum::<f64>() / count;
        let total_load = engines.iter().map(|&engine| self.estimated_load(engine)).sum::<f64>();
        DecodeOutlook { wait_s: (mean_s + shortest_s) / 2.0, load: (total_load / count).min(1.0) }
    }

    /// Returns the wait for a prompt of mean length at a decode engine, including its hold-off.
    fn expected_decode_wait_s(&self, now: f64, engine: usize) -> f64 {
        let held_off_s = (self.engines[engine].available_at - now).max(0.0);
        let wait_s = self.decode_wait_s(engine, self.averages.mean_prompt_tokens);
        held_off_s + wait_s + self.decode_step_s(engine)
    }

    /// The decode engine that is available first, a transfer out of the cell or zone weighed by its price.
    pub(super) fn choose_decode_engine(&mut self, now: f64, request: usize) -> Option<usize> {
        let (mut best_at, mut best) = (f64::INFINITY, None);
        for engine in self.available_engines(Phase::Decode) {
            if !self.may_decode_at(now, request, engine) {
                continue;
            }
            let jitter_s = JITTER_FRACTION * self.objectives.tpot_s * self.random_fraction();
            let start_at = self.decode_start_at(now, request, engine) + jitter_s;
            if start_at < best_at {
                (best_at, best) = (start_at, Some(engine));
            }
        }
        best
    }

    /// Returns whether a request may be dispatched to a decode engine now.
    fn may_decode_at(&self, now: f64, request: usize, engine: usize) -> bool {
        let needs_no_prefill_engine = self.requests[request].reservation.is_some()
            || self.limits.decode_engines_prefill
            || self.engines[engine].role == EngineRole::Unified;
        needs_no_prefill_engine
            && self.may_retry(now, request, Some(engine))
            && self.slow_start_admits(now, request, engine)
    }

    /// Returns when a stream could start at a decode engine, with the costs of failures, distance and earlier
    /// attempts added.
    fn decode_start_at(&self, now: f64, request: usize, engine: usize) -> f64 {
        let prompt_tokens = self.requests[request].prompt_tokens;
        let start_at = self.engines[engine].available_at.max(now)
            + self.decode_step_s(engine)
            + self.decode_wait_s(engine, prompt_tokens)
            + self.failure_cost_s(now, engine);
        start_at + self.transfer_cost_s(request, engine) + self.decode_retry_cost_s(request, engine)
    }

    /// Returns the cost of moving the KV cache from its prefill engine.
    fn transfer_cost_s(&self, request: usize, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        match self.requests[request].reservation.map(|holder| &self.engines[holder]) {
            Some(holder) if holder.zone != engine.zone => {
                self.locality.cross_cell_cost_s + self.locality.cross_zone_cost_s
            }
            Some(holder) if holder.cell != engine.cell => self.locality.cross_cell_cost_s,
            _ => 0.0,
        }
    }

    /// Returns the cost of earlier attempts: one tightest TTFT objective for each attempt at this engine. An
    /// attempt that was not delivered counts for all engines of its zone: if they were tried one by one, the
    /// time of the reservation would run out.
    fn decode_retry_cost_s(&self, request: usize, engine: usize) -> f64 {
        let zone = self.engines[engine].zone;
        let is_counted = |attempt: &&Attempt| {
            attempt.engine == engine
                || attempt.is_undelivered_decode() && self.engines[attempt.engine].zone == zone
        };
        let earlier_attempts = self.requests[request].attempts.iter().filter(is_counted).count();
        earlier_attempts as f64 * self.objectives.ttft_s
    }
}
