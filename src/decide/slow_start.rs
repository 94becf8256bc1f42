//! Slow start: the part of the traffic that an engine which has just started gets, drawn by each request.

use super::hash::hash;
use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::Deployment;
use nanorand::Rng;

/// Part of the allowance of an engine in slow start that is used; the rest is for chance.
const ALLOWANCE_PART: f64 = 0.5;
/// How many times its even part may come to an engine from requests of which it is not the first affinity engine.
const SPILL_PART: f64 = 0.5;
/// Shortest warm-up that is reckoned with.
const MIN_WARMUP_S: f64 = 1e-3;
/// Weight of the latest gap in the mean gap between requests started, from the twentieth on.
const START_GAP_WEIGHT: f64 = 0.05;
/// Part of the overload window whose draws may come at once.
const DRAW_BURST_DIVISOR: f64 = 8.0;

/// The rules of slow start, and what this node may draw.
#[derive(Default)]
pub(super) struct SlowStart {
    /// Share of its capacity that an engine has at once.
    initial_share: f64,
    /// Time from its start until it has all of it.
    warmup_s: f64,
    /// How many times its capacity all nodes together may send it.
    overload_multiple: f64,
    /// The time over which that is measured.
    overload_window_s: f64,
    /// Mean gap between requests started, how many these were, and when the last one was.
    pub(super) mean_start_gap_s: f64,
    started_requests: f64,
    last_start_at: f64,
    /// Requests that may still draw for engines in slow start.
    draws: TokenBucket,
}

impl SlowStart {
    pub(super) fn new(deployment: &Deployment) -> Self {
        SlowStart {
            initial_share: deployment.slow_start_initial_share,
            warmup_s: deployment.warmup_s.max(MIN_WARMUP_S),
            overload_multiple: deployment.overload_multiple * ALLOWANCE_PART,
            overload_window_s: deployment.overload_window_s,
            mean_start_gap_s: deployment.warmup_s,
            draws: TokenBucket { tokens: 1.0, ..TokenBucket::default() },
            ..SlowStart::default()
        }
    }

    /// The part of its capacity that an engine has at least by its age.
    fn warmup_fraction(&self, now: f64, started_at: f64) -> f64 {
        let aged = ((now - started_at) / self.warmup_s).clamp(0.0, 1.0);
        self.initial_share + (1.0 - self.initial_share) * aged * aged
    }

    /// Requests started, not arrivals: in a rush of retries these run ahead of what engines are sent.
    pub(super) fn record_start(&mut self, now: f64) {
        let weight = (1.0 / (self.started_requests + 2.0)).max(START_GAP_WEIGHT);
        let gap_s = (now - self.last_start_at).min(self.warmup_s);
        self.mean_start_gap_s += weight * (gap_s - self.mean_start_gap_s);
        self.started_requests += 1.0;
        self.last_start_at = now;
    }

    /// Whether one more request may draw, where the node starts `rate_per_s` requests.
    fn may_draw(&mut self, now: f64, rate_per_s: f64) -> bool {
        self.draws.rate_per_s = rate_per_s;
        self.draws.refill(now, 1.0 + rate_per_s * self.overload_window_s / DRAW_BURST_DIVISOR);
        let may_draw = self.draws.tokens >= 1.0;
        self.draws.tokens -= may_draw as u32 as f64;
        may_draw
    }
}

impl Router {
    /// Whether the request may be sent to the engine now. An engine in slow start gets an even part of the traffic,
    /// times what it may bear by its age: each request draws whether it is of that, so that all nodes keep to it,
    /// however uneven their traffic, and none is lost at nodes with nothing to send. Requests whose first affinity
    /// engine it is are an even part already; of the others half as many may spill to it.
    pub(super) fn slow_start_admits(&self, now: f64, request: usize, engine: usize) -> bool {
        let request = &self.requests[request];
        let state = &self.engines[engine];
        if !self.zone_weights.admits(state.zone, request.slow_start_draw) {
            return false;
        }
        let warmup = self.warmup_fraction(now, engine);
        if warmup >= 1.0 {
            return true;
        }
        let is_first_affinity = request.affinity_engines.first() == Some(&engine);
        let even_share = if is_first_affinity {
            self.affinity.local_share
        } else {
            SPILL_PART / self.averages.of(state.phase()).available_engines
        };
        let share = self.slow_start.overload_multiple * warmup * even_share;
        !self.tenant_quotas.has_no_fleet_position && is_drawn(request.slow_start_draw, &state.id, 0, share)
    }

    /// The part of its capacity that an engine has at least; 1 once it is warm.
    pub(super) fn warmup_fraction(&self, now: f64, engine: usize) -> f64 {
        self.slow_start.warmup_fraction(now, self.engines[engine].started_at)
    }

    /// What a request draws its part by; none beyond what this node usually starts, or its part of the tenants'
    /// quotas: retries in a rush are not traffic.
    pub(super) fn slow_start_draw(&mut self, now: f64) -> Option<u64> {
        let mean_rate_per_s = 1.0 / self.slow_start.mean_start_gap_s.max(self.limits.tick_s);
        let rate_per_s = self.tenant_quotas.total_rate_per_s().max(mean_rate_per_s);
        self.slow_start.may_draw(now, rate_per_s).then(|| self.random.generate())
    }
}

/// Whether a draw falls in a share of all draws, another share for each name and salt.
pub(super) fn is_drawn(draw: Option<u64>, name: &str, salt: u64, share: f64) -> bool {
    draw.is_some_and(|draw| (hash(name, draw ^ salt) as f64) < share * u64::MAX as f64)
}
