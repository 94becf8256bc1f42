//! Running averages, and those of the engines' loads: the paper's synchronization with the workers' states
//! (Algorithm 1, `RunInBackground`).

use super::engine_table::Phase;
use super::Router;

/// Assumed duration of a stream before any was seen, in times per output token: a few sentences.
const INITIAL_STREAM_TOKENS: f64 = 80.0;
/// Weight of the latest stream in the mean duration.
const STREAM_WEIGHT: f64 = 0.02;
/// Weight of the latest prompt in the mean prompt.
const PROMPT_WEIGHT: f64 = 0.02;
/// Weight of the latest prefill in the cost that each request ahead adds.
const PREFILL_WEIGHT: f64 = 0.05;

/// The engines of one phase together.
#[derive(Default)]
pub(super) struct PhaseAverages {
    /// Engines available, at least 1.
    pub(super) available_engines: f64,
    /// Mean wait at a prefill engine (s) or load of a decode engine (share), recent reports counting more.
    pub(super) load: f64,
}

/// What the node has seen on average.
#[derive(Default)]
pub(super) struct Averages {
    /// The time of the current round of decisions.
    pub(super) as_of: f64,
    pub(super) mean_stream_s: f64,
    pub(super) mean_prompt_tokens: f64,
    /// What each request found at a prefill engine adds to a prefill.
    pub(super) batch_cost_per_request_s: f64,
    pub(super) prefill: PhaseAverages,
    pub(super) decode: PhaseAverages,
}

impl Averages {
    pub(super) fn new(tpot_s: f64, batch_cost_per_request_s: f64) -> Self {
        Averages {
            mean_stream_s: INITIAL_STREAM_TOKENS * tpot_s,
            batch_cost_per_request_s,
            ..Averages::default()
        }
    }

    pub(super) fn of(&self, phase: Phase) -> &PhaseAverages {
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
        self.batch_cost_per_request_s += PREFILL_WEIGHT * (per_request_s - self.batch_cost_per_request_s);
    }
}

impl Router {
    /// Brings the averages over the engines up to date, against which single engines are judged.
    pub(super) fn update_averages(&mut self, now: f64) {
        self.averages.as_of = now;
        let prefill_engines = self.available_engines(Phase::Prefill);
        let decode_engines = self.available_engines(Phase::Decode);
        self.averages.prefill.available_engines = prefill_engines.len().max(1) as f64;
        self.averages.decode.available_engines = decode_engines.len().max(1) as f64;
        self.update_local_affinity_share(&prefill_engines);
        self.averages.prefill.load = self.average_load(now, &prefill_engines, Phase::Prefill);
        self.averages.decode.load = self.average_load(now, &decode_engines, Phase::Decode);
    }

    fn average_load(&self, now: f64, engines: &[usize], phase: Phase) -> f64 {
        let (mut sum, mut total_weight) = (0.0, 0.0);
        for &engine in engines {
            let reported_at = self.engines[engine].reported_at;
            // By age, but gently: the prefill engines of popular texts are probed the most.
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
