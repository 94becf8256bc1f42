//! Wiring: a node's settings become what the node is started with.

use crate::Unusable;
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_chat::core::idempotency::IdempotencyConfig;
use nickelgw_chat::core::retry_budget::RetryBudgetConfig;
use nickelgw_deferred::core::DeferredLimits;
use nickelgw_gossip::core::record::{NodeRecord, SharedKey};
use nickelgw_gossip::core::{Gossip, GossipConfig};
use nickelgw_node::discovery::RegistryOptions;
use nickelgw_node::{
    DeferredQueueConfig, EndpointSource, GossipOptions, GossipSockets, LatencyMetrics, Limits, NodeOptions,
    TlsOptions,
};
use nickelgw_node_core::admission::{Model, Tenant};
use nickelgw_node_core::{Admission, CoreConfig, FairShareConfig, GrantConfig};
use nickelgw_registry::core::endpoint_view::EndpointViewConfig;
use nickelgw_registry::core::membership::MembershipConfig;
use nickelgw_settings::{Node, SettingsError};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_tls::{Files, TlsEvent, Versions};
use std::sync::{Arc, Mutex};

pub fn problems(all: &[SettingsError]) -> Unusable {
    let lines: Vec<String> = all.iter().map(SettingsError::to_string).collect();
    Unusable(lines.join("\n"))
}

/// How long a let-go call is repeated: a reader back from a longer cut frees its states by itself.
const LET_GO_WITHIN_S: f64 = 15.0;

fn source(n: &Node) -> EndpointSource {
    if let Some(r) = &n.registry {
        let lease_s = r.lease_ms() / 1e3;
        return EndpointSource::Registry(RegistryOptions {
            endpoints: r.endpoint.clone(),
            tls_name: r.tls_name.clone(),
            engines: r.engines_prefix().into(),
            nodes: Some(r.nodes_prefix().to_string()).filter(|p| !p.is_empty()),
            user: r.user.clone().zip(r.password.clone()),
            member: MembershipConfig {
                lease_s,
                margin_s: lease_s / 5.0,
                max_staleness_s: lease_s / 2.0,
                ..MembershipConfig::default()
            },
        });
    }
    match &n.list_file {
        Some(f) => EndpointSource::File(f.into()),
        None => EndpointSource::List(n.list.clone().unwrap_or_default()),
    }
}

fn doubt(n: &Node) -> EndpointViewConfig {
    let d = n.doubt.unwrap_or_default();
    EndpointViewConfig {
        max_removal_share: d.share(),
        max_unsuspected_removals: d.least() as usize,
        suspicion_timeout_s: d.doubt_ms() / 1e3,
        ..EndpointViewConfig::default()
    }
}

/// Readers listed within this time of the start may hold states that an earlier process left.
const SWEEP_S: f64 = 60.0;

fn repeats(n: &Node) -> IdempotencyConfig {
    let r = n.repeats.unwrap_or_default();
    IdempotencyConfig {
        max_entries: r.most_entries() as usize,
        max_bytes: r.most_bytes() as usize,
        max_bytes_per_entry: r.most_bytes_each() as usize,
        retention_s: r.keep_ms() / 1e3,
        takeover_s: r.takeover_ms() / 1e3,
    }
}

fn retries(n: &Node) -> RetryBudgetConfig {
    let r = n.retries.unwrap_or_default();
    RetryBudgetConfig {
        retry_ratio: r.share(),
        burst: r.burst(),
        detect_by_body: r.by_body(),
        min_retry_after_s: r.first_come_back_ms() / 1e3,
        max_retry_after_s: r.longest_come_back_ms() / 1e3,
        ..RetryBudgetConfig::default()
    }
}

/// Keys and trust as the settings name them, looked at once: unsound, the node does not start.
fn tls(n: &Node) -> Result<TlsOptions, Unusable> {
    let path = |p: &Option<String>| p.as_ref().map(Into::into);
    let versions = |old| if old { Versions::From12 } else { Versions::Only13 };
    let sound = |said: Vec<TlsEvent>, any: bool| match said.into_iter().next() {
        _ if any => Ok(()),
        Some(TlsEvent::Unreadable(p)) => Err(Unusable(p.to_string())),
        Some(TlsEvent::Refused(why)) => Err(Unusable(format!("keys and trust: {why}"))),
        _ => Err(Unusable("keys and trust: cannot be used".into())),
    };
    let mut out = TlsOptions {
        reload_s: 1.0,
        max_handshakes: 16,
        max_handshakes_per_engine: 2,
        ..TlsOptions::default()
    };
    if let Some(t) = &n.engine_tls {
        let files = Files { chain: path(&t.chain), key: path(&t.key), trust: Some((&t.trust).into()) };
        let mut c = nickelgw_tls::Client::new(files, versions(t.allow_tls12()), t.trust_overlap_ms() / 1e3);
        c.resume = t.resume();
        let said = c.reload_if_changed(unix_now());
        sound(said, c.config().is_some())?;
        out = TlsOptions {
            engines: Some(c),
            chat: None,
            reload_s: t.reload_ms() / 1e3,
            max_handshakes: t.handshakes_at_once() as usize,
            max_handshakes_per_engine: t.handshakes_at_once_engine() as usize,
            retire_gap_s: t.retire_gap_ms() / 1e3,
        };
    }
    if let Some(t) = &n.chat_tls {
        let (chain, key) = (Some((&t.chain).into()), Some((&t.key).into()));
        let files = Files { chain, key, trust: path(&t.client_trust) };
        let mutual = t.client_trust.is_some();
        let mut s = nickelgw_tls::Server::new(files, versions(t.allow_tls12()), OVERLAP_S, mutual);
        let said = s.reload_if_changed(unix_now());
        sound(said, s.config().is_some())?;
        out.chat = Some(s);
    }
    Ok(out)
}

/// Roots for clients' certificates that a new file leaves out are trusted for so long still.
const OVERLAP_S: f64 = 600.0;

/// How the node is one of a fleet; its socket is bound by the caller, who knows whether another process has it still.
fn together(n: &Node, epoch: f64) -> Option<GossipOptions> {
    let a = n.accord.as_ref()?;
    let round_s = a.round_ms() / 1e3;
    let own = NodeRecord {
        name: n.name.clone(),
        incarnation: (epoch * 1e3) as u64,
        seq: 0,
        address: a.address.clone().unwrap_or_else(|| a.listen.clone()),
        zone: n.zone.clone(),
        zone_reports: Vec::new(),
        deferred_by_tenant: Vec::new(),
    };
    let figures = GossipConfig { round_s, ..GossipConfig::default() };
    let seed = n.seed() ^ epoch.to_bits();
    Some(GossipOptions {
        gossip: Gossip::new(figures, SharedKey::from_secret(&a.key), own, a.peer.clone(), seed),
        zones: nickelgw_zones::core::ZoneConfig {
            detection_s: n.limits.unwrap_or_default().probe_ms() / 1e3,
            recovery_step_s: a.step_ms() / 1e3,
            failback_delay_s: a.wait_ms() / 1e3,
            max_failback_delay_s: a.longest_wait_ms() / 1e3,
            ..Default::default()
        },
        sockets: GossipSockets { socket: None, listen: a.listen.clone() },
    })
}

fn parked(n: &Node) -> Option<DeferredQueueConfig> {
    let p = n.parked.as_ref()?;
    Some(DeferredQueueConfig {
        file: (&p.file).into(),
        limits: DeferredLimits {
            max_records: p.most_records() as usize,
            max_bytes: p.most_bytes() as usize,
            max_records_per_tenant: p.most_records_tenant() as usize,
            max_wait_s: p.longest_wait_ms() / 1e3,
            retention_s: p.keep_ms() / 1e3,
            max_answer_bytes: p.most_answer_bytes() as usize,
            max_attempts: nickelgw_node::MAX_ATTEMPTS,
        },
        max_running: p.most_running() as usize,
        weights: n.tenant.iter().map(|t| t.weight()).collect(),
    })
}

pub fn start(n: &Node, meter: Option<Arc<Mutex<LatencyMetrics>>>) -> Result<NodeOptions, Unusable> {
    let leaving = n.leaving.unwrap_or_default();
    let l = n.limits.unwrap_or_default();
    let epoch = unix_now();
    let model = |r: &nickelgw_settings::proto::ModelRoute| Model {
        name: r.model.clone(),
        timeout_s: r.route_timeout_ms / 1e3,
        timeout_per_token_s: 2.0 * r.target_per_1000_tokens_ms() / 1e6,
        unary_timeout_s: r.whole_timeout_ms() / 1e3,
        is_idempotent: r.repeat() == nickelgw_settings::proto::Repeat::Retriable,
    };
    let tenant = |t: &nickelgw_settings::proto::Tenant| Tenant { name: t.name.clone(), key: t.key.clone() };
    Ok(NodeOptions {
        tls: tls(n)?,
        idempotency: repeats(n),
        retry_budget: retries(n),
        name: n.name.clone(),
        zone: n.zone.clone(),
        deployment: nickelgw_settings::deployment(n),
        core_config: CoreConfig {
            // A process's own: states named by an earlier one are not this one's.
            incarnation: format!("{}-{:x}-{:x}", n.name, std::process::id(), (epoch * 1e6) as u64),
            started_at_unix_s: epoch,
            zones: n.zones.clone(),
            max_open_requests: l.most_open() as usize,
            stream_idle_timeout_s: l.stream_idle_ms() / 1e3,
            release_timeout_s: LET_GO_WITHIN_S,
            orphan_cleanup_window_s: (0.0, SWEEP_S),
            retry_after_s: l.come_back_ms() / 1e3,
            fair_share: n.fair_admission().then(|| FairShareConfig {
                limits: Default::default(),
                weights: n.tenant.iter().map(|t| t.weight()).collect(),
            }),
            grants: n.state_grants.as_ref().map(|g| GrantConfig {
                keys: g
                    .key
                    .iter()
                    .filter_map(|k| Some((k.sign_from(), GrantKey::of(k.number, &k.secret)?)))
                    .collect(),
                lifetime_s: g.lifetime_ms() / 1e3,
            }),
            tenant_max_open: n.tenant.iter().map(|t| t.most_open.map(|m| m as usize)).collect(),
        },
        admission: Admission {
            models: n.model_route.iter().map(model).collect(),
            tenants: n.tenant.iter().map(tenant).collect(),
            max_prompt_tokens: l.most_prompt_tokens(),
        },
        limits: Limits {
            max_connections: l.most_connections() as usize,
            max_body_bytes: l.most_body_bytes() as usize,
            head_timeout_s: l.head_ms() / 1e3,
            body_timeout_s: l.body_ms() / 1e3,
            connect_timeout_s: l.connect_ms() / 1e3,
            probe_timeout_s: l.probe_ms() / 1e3,
            max_idle_connections: l.most_idle_connections() as usize,
            idle_timeout_s: l.idle_connection_ms() / 1e3,
            max_queued: l.most_waiting() as usize,
            client_stall_timeout_s: l.client_stall_ms() / 1e3,
            retry_after_s: l.come_back_ms() / 1e3,
            send_buffer: l.send_buffer_bytes() as usize,
        },
        endpoint_source: source(n),
        view_config: doubt(n),
        gossip: together(n, epoch),
        deferred: parked(n),
        endpoint_cache: n.last_list.as_ref().map(Into::into),
        store: n.store.as_ref().map(Into::into),
        admin: None,
        admin_address: None,
        shutdown: nickelgw_node_core::shutdown::ShutdownConfig {
            announce_s: leaving.notice_ms() / 1e3,
            drain_timeout_s: leaving.grace_ms() / 1e3,
            exit_timeout_s: leaving.end_ms() / 1e3,
        },
        // Told nothing, unless the caller puts its own here.
        signals: async_channel::bounded(1).1,
        on_serving: None,
        accept_when_ready: false,
        latency: meter,
    })
}
