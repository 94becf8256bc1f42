//! A small deployment, which the tests and the fleet example adapt.

use nickelgw::interface::{Deployment, ModelRoute};

/// Returns a deployment of one node in zone 0 with the given routes and without tenant quotas.
pub fn small_deployment(routes: Vec<ModelRoute>) -> Deployment {
    Deployment {
        node: 0,
        node_count: 1,
        seed: 3,
        zone: 0,
        tick_s: 0.005,
        routes,
        tenant_quotas: Vec::new(),
        max_attempts: 6,
        decode_engines_prefill: false,
        reservation_limit_s: 0.5,
        connect_timeout_s: 0.0,
        cross_cell_price: 0.0,
        cross_zone_price: 0.0,
        can_cancel: true,
        can_probe: true,
        must_poll_endpoints: false,
        max_retry_after_s: None,
        slow_start_initial_share: 0.3,
        warmup_s: 5.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
    }
}
