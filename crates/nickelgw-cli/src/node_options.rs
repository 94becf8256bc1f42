//! Converts a node's settings into the options that it is started with.

mod tls;

use crate::error::CommandError;
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_chat::core::idempotency::IdempotencyConfig;
use nickelgw_chat::core::retry_budget::RetryBudgetConfig;
use nickelgw_deferred::core::DeferredLimits;
use nickelgw_gossip::core::record::{NodeRecord, SharedKey};
use nickelgw_gossip::core::{Gossip, GossipConfig};
use nickelgw_node::discovery::RegistryOptions;
use nickelgw_node::{
    DeferredQueueConfig, EndpointSource, GossipOptions, GossipSocket, LatencyMetrics, Limits, NodeOptions,
};
use nickelgw_node_core::admission::{Model, Tenant};
use nickelgw_node_core::shutdown::ShutdownConfig;
use nickelgw_node_core::{Admission, CoreConfig, FairShareConfig, GrantConfig};
use nickelgw_registry::core::endpoint_view::EndpointViewConfig;
use nickelgw_registry::core::membership::MembershipConfig;
use nickelgw_settings::proto;
use nickelgw_settings::Node;
use nickelgw_test_servers::recorder::unix_now;
use std::sync::{Arc, Mutex};

/// How long the release of a reservation is retried. A prefill engine that is unreachable for longer frees
/// its state by itself.
const RELEASE_TIMEOUT_S: f64 = 15.0;
/// Time after the start within which newly listed prefill engines may hold reservations of an earlier
/// process.
const ORPHAN_CLEANUP_S: f64 = 60.0;

fn endpoint_source(node: &Node) -> EndpointSource {
    if let Some(registry) = &node.registry {
        let lease_s = registry.lease_ms() / 1e3;
        return EndpointSource::Registry(RegistryOptions {
            endpoints: registry.endpoint.clone(),
            tls_name: registry.tls_name.clone(),
            engines: registry.engines_prefix().into(),
            nodes: Some(registry.nodes_prefix().to_string()).filter(|prefix| !prefix.is_empty()),
            user: registry.user.clone().zip(registry.password.clone()),
            member: MembershipConfig {
                lease_s,
                margin_s: lease_s / 5.0,
                max_staleness_s: lease_s / 2.0,
                ..MembershipConfig::default()
            },
        });
    }
    match &node.list_file {
        Some(file) => EndpointSource::File(file.into()),
        None => EndpointSource::List(node.list.clone().unwrap_or_default()),
    }
}

fn view_config(node: &Node) -> EndpointViewConfig {
    let doubt = node.doubt.unwrap_or_default();
    EndpointViewConfig {
        max_removal_share: doubt.share(),
        max_unsuspected_removals: doubt.least() as usize,
        suspicion_timeout_s: doubt.doubt_ms() / 1e3,
        ..EndpointViewConfig::default()
    }
}

fn idempotency(node: &Node) -> IdempotencyConfig {
    let repeats = node.repeats.unwrap_or_default();
    IdempotencyConfig {
        max_entries: repeats.most_entries() as usize,
        max_bytes: repeats.most_bytes() as usize,
        max_bytes_per_entry: repeats.most_bytes_each() as usize,
        retention_s: repeats.keep_ms() / 1e3,
        takeover_s: repeats.takeover_ms() / 1e3,
    }
}

fn retry_budget(node: &Node) -> RetryBudgetConfig {
    let retries = node.retries.unwrap_or_default();
    RetryBudgetConfig {
        retry_ratio: retries.share(),
        burst: retries.burst(),
        detect_by_body: retries.by_body(),
        min_retry_after_s: retries.first_come_back_ms() / 1e3,
        max_retry_after_s: retries.longest_come_back_ms() / 1e3,
        ..RetryBudgetConfig::default()
    }
}

/// Returns the gossip options; `None` if the settings have no `accord`. The caller binds the socket, because
/// only it knows whether another process still has it.
fn gossip(node: &Node, epoch: f64) -> Option<GossipOptions> {
    let accord = node.accord.as_ref()?;
    let round_s = accord.round_ms() / 1e3;
    let own = NodeRecord {
        name: node.name.clone(),
        incarnation: (epoch * 1e3) as u64,
        seq: 0,
        address: accord.address.clone().unwrap_or_else(|| accord.listen.clone()),
        zone: node.zone.clone(),
        zone_reports: Vec::new(),
        deferred_by_tenant: Vec::new(),
    };
    let config = GossipConfig { round_s, ..GossipConfig::default() };
    let seed = node.seed() ^ epoch.to_bits();
    Some(GossipOptions {
        gossip: Gossip::new(config, SharedKey::from_secret(&accord.key), own, accord.peer.clone(), seed),
        zones: nickelgw_zones::core::ZoneConfig {
            detection_s: node.limits.unwrap_or_default().probe_ms() / 1e3,
            recovery_step_s: accord.step_ms() / 1e3,
            failback_delay_s: accord.wait_ms() / 1e3,
            max_failback_delay_s: accord.longest_wait_ms() / 1e3,
            ..Default::default()
        },
        socket: GossipSocket { bound: None, address: accord.listen.clone() },
    })
}

fn deferred(node: &Node) -> Option<DeferredQueueConfig> {
    let parked = node.parked.as_ref()?;
    Some(DeferredQueueConfig {
        file: (&parked.file).into(),
        limits: DeferredLimits {
            max_records: parked.most_records() as usize,
            max_bytes: parked.most_bytes() as usize,
            max_records_per_tenant: parked.most_records_tenant() as usize,
            max_wait_s: parked.longest_wait_ms() / 1e3,
            retention_s: parked.keep_ms() / 1e3,
            max_answer_bytes: parked.most_answer_bytes() as usize,
            max_attempts: nickelgw_node::MAX_ATTEMPTS,
        },
        max_running: parked.most_running() as usize,
        weights: node.tenant.iter().map(|tenant| tenant.weight()).collect(),
    })
}

/// Returns the options of a node with these settings. The caller adds sockets, signals and callbacks.
pub fn from_settings(
    node: &Node,
    latency: Option<Arc<Mutex<LatencyMetrics>>>,
) -> Result<NodeOptions, CommandError> {
    let started_at = unix_now();
    Ok(NodeOptions {
        tls: tls::options(node)?,
        idempotency: idempotency(node),
        retry_budget: retry_budget(node),
        name: node.name.clone(),
        zone: node.zone.clone(),
        deployment: nickelgw_settings::deployment(node),
        core_config: core_config(node, started_at),
        admission: admission(node),
        limits: limits(&node.limits.unwrap_or_default()),
        endpoint_source: endpoint_source(node),
        view_config: view_config(node),
        gossip: gossip(node, started_at),
        deferred: deferred(node),
        endpoint_cache: node.last_list.as_ref().map(Into::into),
        store: node.store.as_ref().map(Into::into),
        admin: None,
        admin_address: None,
        shutdown: shutdown(&node.leaving.unwrap_or_default()),
        // A closed channel, unless the caller puts its own here.
        signals: async_channel::bounded(1).1,
        on_serving: None,
        accept_when_ready: false,
        latency,
    })
}

fn core_config(node: &Node, started_at: f64) -> CoreConfig {
    let limits = node.limits.unwrap_or_default();
    CoreConfig {
        // Unique to this process: reservations named by an earlier process are not its own.
        incarnation: format!("{}-{:x}-{:x}", node.name, std::process::id(), (started_at * 1e6) as u64),
        started_at_unix_s: started_at,
        zones: node.zones.clone(),
        max_open_requests: limits.most_open() as usize,
        stream_idle_timeout_s: limits.stream_idle_ms() / 1e3,
        release_timeout_s: RELEASE_TIMEOUT_S,
        orphan_cleanup_window_s: (0.0, ORPHAN_CLEANUP_S),
        retry_after_s: limits.come_back_ms() / 1e3,
        fair_share: node.fair_admission().then(|| FairShareConfig {
            limits: Default::default(),
            weights: node.tenant.iter().map(|tenant| tenant.weight()).collect(),
        }),
        grants: node.state_grants.as_ref().map(grants),
        tenant_max_open: node
            .tenant
            .iter()
            .map(|tenant| tenant.most_open.map(|most_open| most_open as usize))
            .collect(),
    }
}

fn grants(grants: &proto::StateGrants) -> GrantConfig {
    let keys = grants.key.iter();
    GrantConfig {
        keys: keys
            .filter_map(|key| Some((key.sign_from(), GrantKey::of(key.number, &key.secret)?)))
            .collect(),
        lifetime_s: grants.lifetime_ms() / 1e3,
    }
}

fn admission(node: &Node) -> Admission {
    let model = |route: &proto::ModelRoute| Model {
        name: route.model.clone(),
        timeout_s: route.route_timeout_ms / 1e3,
        timeout_per_token_s: 2.0 * route.target_per_1000_tokens_ms() / 1e6,
        unary_timeout_s: route.whole_timeout_ms() / 1e3,
        is_idempotent: route.repeat() == proto::Repeat::Retriable,
    };
    let tenant = |tenant: &proto::Tenant| Tenant { name: tenant.name.clone(), key: tenant.key.clone() };
    Admission {
        models: node.model_route.iter().map(model).collect(),
        tenants: node.tenant.iter().map(tenant).collect(),
        max_prompt_tokens: node.limits.unwrap_or_default().most_prompt_tokens(),
    }
}

fn limits(limits: &proto::Limits) -> Limits {
    Limits {
        max_connections: limits.most_connections() as usize,
        max_body_bytes: limits.most_body_bytes() as usize,
        head_timeout_s: limits.head_ms() / 1e3,
        body_timeout_s: limits.body_ms() / 1e3,
        connect_timeout_s: limits.connect_ms() / 1e3,
        probe_timeout_s: limits.probe_ms() / 1e3,
        max_idle_connections: limits.most_idle_connections() as usize,
        idle_timeout_s: limits.idle_connection_ms() / 1e3,
        max_queued: limits.most_waiting() as usize,
        client_stall_timeout_s: limits.client_stall_ms() / 1e3,
        retry_after_s: limits.come_back_ms() / 1e3,
        send_buffer: limits.send_buffer_bytes() as usize,
    }
}

fn shutdown(leaving: &proto::Leaving) -> ShutdownConfig {
    ShutdownConfig {
        announce_s: leaving.notice_ms() / 1e3,
        drain_timeout_s: leaving.grace_ms() / 1e3,
        exit_timeout_s: leaving.end_ms() / 1e3,
    }
}
