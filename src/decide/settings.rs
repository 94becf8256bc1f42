//! Values that the deployment fixes for the life of the process: limits, objectives and costs of distance.

use crate::interface::{Deployment, ModelRoute};

/// Bounds of the tightest TTFT objective, by which decisions are scaled.
const TTFT_RANGE_S: (f64, f64) = (0.01, 60.0);
/// Bounds of the tightest TPOT objective.
const TPOT_RANGE_S: (f64, f64) = (0.001, 1.0);
/// Bounds of the time that the tightest route adds to its TTFT objective for each prompt token.
const TTFT_PER_TOKEN_RANGE_S: (f64, f64) = (1e-5, 1e-3);

/// Limits and capabilities of a node as set by the deployment.
#[derive(Default)]
pub(super) struct Limits {
    /// Shortest time between two rounds of decisions.
    pub(super) tick_s: f64,
    /// Largest number of attempts for one request.
    pub(super) max_attempts: usize,
    /// Time for which a reservation may be held with no attempt in flight.
    pub(super) reservation_limit_s: f64,
    /// Timeout for establishing a connection if that time counts against the reservation; 0 otherwise.
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

/// Model routes, and the tightest of their latency objectives.
#[derive(Default)]
pub(super) struct Objectives {
    pub(super) routes: Vec<ModelRoute>,
    /// Tightest TTFT objective of an empty prompt, within bounds.
    pub(super) ttft_s: f64,
    /// Tightest TPOT objective, within bounds.
    pub(super) tpot_s: f64,
}

impl Objectives {
    pub(super) fn new(routes: &[ModelRoute]) -> Self {
        let ttft_s = min_over_routes(routes, |route| route.ttft_objective_s);
        let tpot_s = min_over_routes(routes, |route| route.tpot_objective_s);
        Objectives {
            routes: routes.to_vec(),
            ttft_s: ttft_s.clamp(TTFT_RANGE_S.0, TTFT_RANGE_S.1),
            tpot_s: tpot_s.clamp(TPOT_RANGE_S.0, TPOT_RANGE_S.1),
        }
    }

    /// Returns the time that the tightest route adds to its TTFT objective for a thousand prompt tokens: the
    /// estimate of a prefill's cost before any was observed.
    pub(super) fn prefill_s_per_1000_tokens(&self) -> f64 {
        let per_token_s = min_over_routes(&self.routes, |route| route.ttft_objective_per_token_s);
        per_token_s.clamp(TTFT_PER_TOKEN_RANGE_S.0, TTFT_PER_TOKEN_RANGE_S.1) * 1000.0
    }
}

fn min_over_routes(routes: &[ModelRoute], objective: fn(&ModelRoute) -> f64) -> f64 {
    routes.iter().map(objective).fold(f64::INFINITY, f64::min)
}

/// Zone of the node, and the seconds that a transfer to another cell or zone must save to be worth its cost.
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
