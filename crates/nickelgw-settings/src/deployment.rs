//! Conversion of a node's settings to the router's deployment.

use crate::proto::{Group, ModelRoute, Node, Repeat};
use nickelgw::interface;

/// Delay by which timers may be late on a loaded machine. Decisions keep this distance from a client's
/// deadline.
const TICK_S: f64 = 0.005;

/// Converts a node's settings to the deployment of its router. The settings must have been validated.
pub fn deployment(node: &Node) -> interface::Deployment {
    let rules = node.rules.unwrap_or_default();
    interface::Deployment {
        node: node.number(),
        node_count: node.nodes(),
        seed: node.seed(),
        zone: node.zones.iter().position(|zone| *zone == node.zone).unwrap_or(0) as u32,
        tick_s: TICK_S,
        routes: node.model_route.iter().map(model_route).collect(),
        tenant_quotas: node.tenant.iter().map(|tenant| tenant.quota_per_s).collect(),
        max_attempts: rules.most_sends(),
        decode_engines_prefill: rules.writers_read(),
        reservation_limit_s: rules.hold_limit_ms() / 1e3,
        connect_timeout_s: 0.0,
        cross_cell_price: rules.cell_price(),
        cross_zone_price: rules.zone_price(),
        can_cancel: true,
        can_probe: rules.probes(),
        must_poll_endpoints: false,
        max_retry_after_s: Some(rules.longest_come_back_ms() / 1e3).filter(|&seconds| seconds > 0.0),
        slow_start_initial_share: rules.cold_share(),
        warmup_s: rules.warm_within_ms() / 1e3,
        overload_multiple: rules.tip_multiple(),
        overload_window_s: rules.tip_window_ms() / 1e3,
    }
}

fn model_route(route: &ModelRoute) -> interface::ModelRoute {
    interface::ModelRoute {
        ttft_objective_s: route.first_token_target_ms / 1e3,
        ttft_objective_per_token_s: route.target_per_1000_tokens_ms() / 1e6,
        tpot_objective_s: route.pace_ms() / 1e3,
        idempotency: idempotency(route),
    }
}

fn idempotency(route: &ModelRoute) -> interface::Idempotency {
    match route.repeat() {
        Repeat::Retriable => interface::Idempotency::Idempotent,
        Repeat::NonRetriable => interface::Idempotency::NonIdempotent,
        Repeat::Deduped => interface::Idempotency::Keyed {
            scope: match route.dedupe_group() {
                Group::All => interface::IdempotencyScope::All,
                Group::Zone => interface::IdempotencyScope::Zone,
                Group::Cell => interface::IdempotencyScope::Cell,
            },
            window_s: route.dedupe_memory_ms() / 1e3,
        },
    }
}
