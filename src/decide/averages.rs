//! Moving averages of requests, and averages over the engines' loads: the paper's synchronization with the
//! workers' states (Algorithm 1, `RunInBackground`).

use super::engine_table::Phase;
use super::Router;

/// Assumed length of a stream before any was observed, in output tokens: a few sentences.
const INITIAL_STREAM_TOKENS: f64 = 80.0;
/// Weight of the latest stream in the mean duration.
const STREAM_WEIGHT: f64 = 0.02;
/// Weight of the latest prompt in the mean prompt length.
const PROMPT_WEIGHT: f64 = 0.02;
/// Weight of the latest prefill in the mean prefill time per request.
const PREFILL_WEIGHT: f64 = 0.05;

/// Averages over the available engines of one phase.
#[derive(Default)]
pub(super) struct PhaseAverages {
    /// Number of engines available, at least 1.
    pub(super) available_engines: f64,
    /// Mean wait at a prefill engine in seconds, or mean load of a decode engine as a share of its capacity.
    /// Recent reports weigh more.
    pub(super) congestion: f64,
}

/// Averages over what the node has observed.
#[derive(Default)]
pub(super) struct Averages {
    /// Time of the current round of decisions.
    pub(super) as_of: f64,
    pub(super) mean_stream_s: f64,
    pub(super) mean_prompt_tokens: f64,
    /// Mean prefill time per request at a prefill engine: the time that each request ahead adds to the wait.
    pub(super) prefill_s_per_request: f64,
    pub(super) prefill: PhaseAverages,
    pub(super) decode: PhaseAverages,
}

impl Averages {
    pub(super) fn new(tpot_s: f64, prefill_s_per_request: f64) -> Self {
        Averages {
            mean_stream_s: INITIAL_STREAM_TOKENS * tpot_s,
            prefill_s_per_request,
            ..Averages::default()
        }
    }

    pub(super) fn for_phase(&self, phase: Phase) -> &PhaseAverages {
        match phase {
            Phase::Prefill => &self.prefill,
            Phase::Decode => &self.decode,
        }
    }

    pub(super) fn record_prompt(&mut self, prompt_tokens: f64) {
        let weight = if self.mean_prompt_tokens == 0.0 { 1.0 } else { PROMPT_WEIGHT };
        self.mean_prompt_tokens += weight * (prompt_tokens - self.mean_prompt_tokens);
    }

    pub(super) fn record_stream(&mut self, elapsed_s: f64) {
        self.mean_stream_s += STREAM_WEIGHT * (elapsed_s - self.mean_stream_s);
    }

    pub(super) fn record_prefill(&mut self, elapsed_s: f64, requests_ahead: f64) {
        let per_request_s = elapsed_s / (requests_ahead + 1.0);
        self.prefill_s_per_request += PREFILL_WEIGHT * (per_request_s - self.prefill_s_per_request);
    }
}

impl Router {
    /// Updates the averages over the engines, with which single engines are compared.
    pub(super) fn update_averages(&mut self, now: f64) {
        self.averages.as_of = now;
        let prefill_engines = self.available_engines(Phase::Prefill);
        let decode_engines = self.available_engines(Phase::Decode);
        self.averages.prefill.available_engines = prefill_engines.len().max(1) as f64;
        self.averages.decode.available_engines = decode_engines.len().max(1) as f64;
        self.update_local_affinity_share(&prefill_engines);
        self.averages.prefill.congestion = self.mean_congestion(now, &prefill_engines, Phase::Prefill);
        self.averages.decode.congestion = self.mean_congestion(now, &decode_engines, Phase::Decode);
    }

    fn mean_congestion(&self, now: f64, engines: &[usize], phase: Phase) -> f64 {
        let (mut sum, mut total_weight) = (0.0, 0.0);
        for &engine in engines {
            let reported_at = self.engines[engine].reported_at;
            // The weight falls only slowly with the report's age, since the prefill engines of popular texts
            // are probed most often and would dominate the average.
            let weight = 1.0 / (1.0 + (now - reported_at) / self.objectives.ttft_s);
            let load = match phase {
                Phase::Prefill => self.engines[engine].reported_wait_s,
                Phase::Decode => self.reported_load(engine).unwrap_or(0.0),
            };
            sum += weight * load;
            total_weight += weight;
        }
        if total_weight > 0.0 {
            sum / total_weight
        } else {
            0.0
        }
    }
}
