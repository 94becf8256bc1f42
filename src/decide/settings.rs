//! What the deployment fixes for the life of the process: limits, objectives, and what distance costs.

use crate::interface::{Deployment, ModelRoute};

/// Bounds of the tightest first-token objective that decisions are scaled by.
const TTFT_RANGE_S: (f64, f64) = (0.01, 60.0);
/// Bounds of the tightest gap between tokens.
const TPOT_RANGE_S: (f64, f64) = (0.001, 1.0);
/// Bounds of what the tightest route grants for a prompt token.
const TTFT_PER_TOKEN_RANGE_S: (f64, f64) = (1e-5, 1e-3);

/// What the deployment allows a node to do.
#[derive(Default)]
pub(super) struct Limits {
    /// The shortest time between two rounds of decisions.
    pub(super) tick_s: f64,
    /// Attempts that one request may make at most.
    pub(super) max_attempts: usize,
    /// How long a reservation may be held with no attempt in flight.
    pub(super) reservation_limit_s: f64,
    /// How long a connection may take to be established where that counts against the reservation, else 0.
    pub(super) connect_timeout_s: f64,
    pub(super) decode_engines_prefill: bool,
    pub(super) can_cancel: bool,
    pub(super) can_probe: bool,
    pub(super) max_retry_after_s: Option<f64>,
}

impl Limits {
    pub(super) fn new(deployment: &Deployment) -> Self {
        Limits {
            tick_s: deployment.tick_s,
            max_attempts: deployment.max_attempts as usize,
            reservation_limit_s: deployment.reservation_limit_s,
            connect_timeout_s: deployment.connect_timeout_s,
            decode_engines_prefill: deployment.decode_engines_prefill,
            can_cancel: deployment.can_cancel,
            can_probe: deployment.can_probe,
            max_retry_after_s: deployment.max_retry_after_s,
        }
    }
}

/// The model routes, and the tightest of their latency objectives.
#[derive(Default)]
pub(super) struct Objectives {
    pub(super) routes: Vec<ModelRoute>,
    /// Tightest time to first token.
    pub(super) ttft_s: f64,
    /// Tightest time per output token.
    pub(super) tpot_s: f64,
}

impl Objectives {
    pub(super) fn new(routes: &[ModelRoute]) -> Self {
        let ttft_s = least(routes, |route| route.ttft_objective_s);
        let tpot_s = least(routes, |route| route.tpot_objective_s);
        Objectives {
            routes: routes.to_vec(),
            ttft_s: ttft_s.clamp(TTFT_RANGE_S.0, TTFT_RANGE_S.1),
            tpot_s: tpot_s.clamp(TPOT_RANGE_S.0, TPOT_RANGE_S.1),
        }
    }

    /// What the tightest route grants for a thousand prompt tokens: the estimate of a prefill before any was seen.
    pub(super) fn prefill_s_per_1000_tokens(&self) -> f64 {
        let per_token_s = least(&self.routes, |route| route.ttft_objective_per_token_s);
        per_token_s.clamp(TTFT_PER_TOKEN_RANGE_S.0, TTFT_PER_TOKEN_RANGE_S.1) * 1000.0
    }
}

fn least(routes: &[ModelRoute], objective: fn(&ModelRoute) -> f64) -> f64 {
    routes.iter().map(objective).fold(f64::INFINITY, f64::min)
}

/// Where the node is, and the seconds that a transfer must save to be worth its price.
#[derive(Default)]
pub(super) struct Locality {
    pub(super) zone: u32,
    pub(super) cross_cell_cost_s: f64,
    pub(super) cross_zone_cost_s: f64,
}

impl Locality {
    pub(super) fn new(deployment: &Deployment, ttft_s: f64) -> Self {
        Locality {
            zone: deployment.zone,
            cross_cell_cost_s: deployment.cross_cell_price * ttft_s,
            cross_zone_cost_s: deployment.cross_zone_price * ttft_s,
        }
    }
}
