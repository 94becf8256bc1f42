//! Options that the tests start nodes with.

use super::deployment::small_deployment;
use super::{API_KEY, DEDUP_WINDOW_S};
use nickelgw::interface::{Deployment, Idempotency, IdempotencyScope, ModelRoute};
use nickelgw_node::{EndpointSource, Limits, NodeOptions, TlsOptions};
use nickelgw_node_core::admission::{Model, Tenant};
use nickelgw_node_core::shutdown::ShutdownConfig;
use nickelgw_node_core::{Admission, CoreConfig};
use nickelgw_test_servers::recorder::unix_now;

fn deployment() -> Deployment {
    let route = |idempotency| ModelRoute {
        ttft_objective_s: 1.0,
        ttft_objective_per_token_s: 0.0,
        tpot_objective_s: 0.05,
        idempotency,
    };
    let keyed = |scope| Idempotency::Keyed { scope, window_s: DEDUP_WINDOW_S };
    let routes = vec![
        route(Idempotency::Idempotent),
        route(keyed(IdempotencyScope::Zone)),
        route(Idempotency::NonIdempotent),
        route(keyed(IdempotencyScope::All)),
    ];
    Deployment { tenant_quotas: vec![1000.0], max_retry_after_s: Some(2.0), ..small_deployment(routes) }
}

fn core_config() -> CoreConfig {
    CoreConfig {
        incarnation: format!("node0-{}", (unix_now() * 1e6) as u64),
        started_at_unix_s: unix_now(),
        zones: vec!["a".into(), "b".into()],
        max_open_requests: 1000,
        stream_idle_timeout_s: 0.8,
        release_timeout_s: 10.0,
        orphan_cleanup_window_s: (0.0, 60.0),
        retry_after_s: 1.0,
        grants: None,
        fair_share: None,
        tenant_max_open: vec![None],
    }
}

fn admission() -> Admission {
    let model = |name: &str| Model {
        name: name.into(),
        timeout_s: 4.0,
        timeout_per_token_s: 0.0,
        unary_timeout_s: 8.0,
        is_idempotent: name == "chat",
    };
    Admission {
        models: ["chat", "review", "booking", "marked"].map(model).to_vec(),
        tenants: vec![Tenant { name: "t".into(), key: API_KEY.into() }],
        max_prompt_tokens: 50_000.0,
    }
}

fn limits() -> Limits {
    Limits {
        max_connections: 1000,
        max_body_bytes: 100_000,
        head_timeout_s: 0.5,
        body_timeout_s: 0.5,
        connect_timeout_s: 0.25,
        probe_timeout_s: 0.25,
        max_idle_connections: 16,
        idle_timeout_s: 5.0,
        max_queued: 256,
        client_stall_timeout_s: 5.0,
        retry_after_s: 1.0,
        send_buffer: 65_536,
    }
}

/// Returns the options of a node in zone "a" that follows the endpoint list service at the given address.
pub fn node_options(endpoint_list: &str) -> NodeOptions {
    NodeOptions {
        name: "node0".into(),
        zone: "a".into(),
        deployment: deployment(),
        core_config: core_config(),
        admission: admission(),
        limits: limits(),
        endpoint_source: EndpointSource::List(endpoint_list.into()),
        view_config: Default::default(),
        endpoint_cache: None,
        store: None,
        admin: None,
        admin_address: None,
        latency: None,
        tls: TlsOptions {
            reload_s: 0.05,
            max_handshakes: 16,
            max_handshakes_per_engine: 2,
            ..TlsOptions::default()
        },
        idempotency: Default::default(),
        retry_budget: Default::default(),
        shutdown: ShutdownConfig { announce_s: 0.1, drain_timeout_s: 5.0, exit_timeout_s: 1.0 },
        signals: async_channel::bounded(1).1,
        gossip: None,
        deferred: None,
        on_serving: None,
        accept_when_ready: false,
    }
}
