//! Slow start: limits the share of traffic that a recently started engine gets, by a random draw per request.

use super::hash::hash;
use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::Deployment;
use nanorand::Rng;

/// Fraction of the allowed load of an engine in slow start that is used; the rest is a margin for random
/// variation.
const ALLOWANCE_FRACTION: f64 = 0.5;
/// Fraction of an even traffic share that an engine in slow start may get from requests of which it is not
/// the first affinity engine.
const SPILL_FRACTION: f64 = 0.5;
/// Lower bound of the warm-up time, against division by zero.
const MIN_WARMUP_S: f64 = 1e-3;
/// Weight of the latest gap in the mean gap between request starts, from the twentieth request on.
const START_GAP_WEIGHT: f64 = 0.05;
/// Divisor of the overload window that gives the time whose draws may be used in one burst.
const DRAW_BURST_DIVISOR: f64 = 8.0;

/// Limits of slow start, and this node's budget of draws.
#[derive(Default)]
pub(super) struct SlowStart {
    /// Share of its capacity that an engine has immediately after its start.
    initial_share: f64,
    /// Time from an engine's start until it has its full capacity.
    warmup_s: f64,
    /// Multiple of an engine's current capacity that all nodes together may send it, with the margin taken
    /// off.
    overload_multiple: f64,
    /// Time window over which that load is measured.
    overload_window_s: f64,
    /// Mean gap between the starts of requests.
    pub(super) mean_start_gap_s: f64,
    /// Number of requests started.
    started_requests: f64,
    /// When the last request was started.
    last_start_at: f64,
    /// Number of requests that may still draw for engines in slow start.
    draw_budget: TokenBucket,
}

impl SlowStart {
    pub(super) fn new(deployment: &Deployment) -> Self {
        SlowStart {
            initial_share: deployment.slow_start_initial_share,
            warmup_s: deployment.warmup_s.max(MIN_WARMUP_S),
            overload_multiple: deployment.overload_multiple * ALLOWANCE_FRACTION,
            overload_window_s: deployment.overload_window_s,
            mean_start_gap_s: deployment.warmup_s,
            draw_budget: TokenBucket { tokens: 1.0, ..TokenBucket::default() },
            ..SlowStart::default()
        }
    }

    /// Returns the share of its capacity that an engine has at least at its age.
    fn warmup_fraction(&self, now: f64, started_at: f64) -> f64 {
        let aged = ((now - started_at) / self.warmup_s).clamp(0.0, 1.0);
        self.initial_share + (1.0 - self.initial_share) * aged * aged
    }

    /// Records the start of a request, which is its first dispatch. Arrivals are not counted, since in a
    /// burst of retries they exceed what engines are sent.
    pub(super) fn record_start(&mut self, now: f64) {
        let weight = (1.0 / (self.started_requests + 2.0)).max(START_GAP_WEIGHT);
        let gap_s = (now - self.last_start_at).min(self.warmup_s);
        self.mean_start_gap_s += weight * (gap_s - self.mean_start_gap_s);
        self.started_requests += 1.0;
        self.last_start_at = now;
    }

    /// Returns whether one more request may draw, given the node's rate of starts, and takes a draw from the
    /// budget if it may.
    fn may_draw(&mut self, now: f64, rate_per_s: f64) -> bool {
        self.draw_budget.rate_per_s = rate_per_s;
        self.draw_budget.refill(now, 1.0 + rate_per_s * self.overload_window_s / DRAW_BURST_DIVISOR);
        let may_draw = self.draw_budget.tokens >= 1.0;
        self.draw_budget.tokens -= may_draw as u32 as f64;
        may_draw
    }
}

impl Router {
    /// Returns whether the request may be sent to the engine now. An engine in slow start gets an even share
    /// of the traffic, multiplied by what it can bear at its age. Each request draws at random whether it
    /// belongs to that share, so that all nodes together respect the limit however uneven their traffic is,
    /// and no share is lost at nodes that have nothing to send. Requests whose first affinity engine it is
    /// are about an even share already; of the others, half as many may spill over to it.
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
            SPILL_FRACTION / self.averages.for_phase(state.phase()).available_engines
        };
        let share = self.slow_start.overload_multiple * warmup * even_share;
        !self.tenant_quotas.has_no_fleet_position && is_drawn(request.slow_start_draw, &state.id, 0, share)
    }

    /// Returns the share of its capacity that an engine has at least; 1 once it is warm.
    pub(super) fn warmup_fraction(&self, now: f64, engine: usize) -> f64 {
        self.slow_start.warmup_fraction(now, self.engines[engine].started_at)
    }

    /// Returns a request's random draw. It is `None` if requests exceed both the rate at which this node
    /// usually starts them and its share of the tenants' quotas, so that a burst of retries does not count as
    /// traffic.
    pub(super) fn slow_start_draw(&mut self, now: f64) -> Option<u64> {
        let mean_rate_per_s = 1.0 / self.slow_start.mean_start_gap_s.max(self.limits.tick_s);
        let rate_per_s = self.tenant_quotas.total_rate_per_s().max(mean_rate_per_s);
        self.slow_start.may_draw(now, rate_per_s).then(|| self.random.generate())
    }
}

/// Returns whether a draw falls within a share of all draws; each name and salt selects a different set of
/// draws.
pub(super) fn is_drawn(draw: Option<u64>, name: &str, salt: u64, share: f64) -> bool {
    draw.is_some_and(|draw| (hash(name, draw ^ salt) as f64) < share * u64::MAX as f64)
}
