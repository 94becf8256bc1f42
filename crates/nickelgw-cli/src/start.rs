//! Wiring: a node's settings become what the node is started with.

use crate::Unusable;
use nickelgw_gossip::core::record::{Key, Record};
use nickelgw_gossip::core::{Accord, Figures as AccordFigures};
use nickelgw_chat::core::budget::Figures as RetryFigures;
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_chat::core::repeats::Figures as RepeatFigures;
use nickelgw_node::core::admission::{Model, Tenant};
use nickelgw_node::core::{Admission, CoreConfig, FairShareConfig, GrantConfig};
use nickelgw_node::fleet::Registry;
use nickelgw_node::{Limits, Lot, Meter, Sockets, Source, Start, TlsStart, Together};
use nickelgw_deferred::core::Figures as ParkedFigures;
use nickelgw_registry::core::member::Figures as MemberFigures;
use nickelgw_registry::core::view::Figures as ViewFigures;
use nickelgw_settings::{check, Node, Problem};
use nickelgw_test_servers::record::unix_now;
use nickelgw_tls::{Files, Said, Versions};
use std::sync::{Arc, Mutex};

pub fn problems(all: &[Problem]) -> Unusable {
    let lines: Vec<String> = all.iter().map(Problem::to_string).collect();
    Unusable(lines.join("\n"))
}

/// How long a let-go call is repeated: a reader back from a longer cut frees its states by itself.
const LET_GO_WITHIN_S: f64 = 15.0;

fn source(n: &Node) -> Source {
    if let Some(r) = &n.registry {
        let lease_s = r.lease_ms() / 1e3;
        return Source::Registry(Registry {
            endpoints: r.endpoint.clone(),
            tls_name: r.tls_name.clone(),
            engines: r.engines_prefix().into(),
            nodes: Some(r.nodes_prefix().to_string()).filter(|p| !p.is_empty()),
            user: r.user.clone().zip(r.password.clone()),
            member: MemberFigures {
                lease_s,
                margin_s: lease_s / 5.0,
                look_s: lease_s / 2.0,
                ..MemberFigures::default()
            },
        });
    }
    match &n.list_file {
        Some(f) => Source::File(f.into()),
        None => Source::List(n.list.clone().unwrap_or_default()),
    }
}

fn doubt(n: &Node) -> ViewFigures {
    let d = n.doubt.unwrap_or_default();
    ViewFigures {
        doubt_share: d.share(),
        doubt_least: d.least() as usize,
        doubt_s: d.doubt_ms() / 1e3,
        ..ViewFigures::default()
    }
}

/// Readers listed within this time of the start may hold states that an earlier process left.
const SWEEP_S: f64 = 60.0;

fn repeats(n: &Node) -> RepeatFigures {
    let r = n.repeats.unwrap_or_default();
    RepeatFigures {
        most_entries: r.most_entries() as usize,
        most_bytes: r.most_bytes() as usize,
        most_bytes_each: r.most_bytes_each() as usize,
        keep_s: r.keep_ms() / 1e3,
        takeover_s: r.takeover_ms() / 1e3,
    }
}

fn retries(n: &Node) -> RetryFigures {
    let r = n.retries.unwrap_or_default();
    RetryFigures {
        share: r.share(),
        burst: r.burst(),
        by_body: r.by_body(),
        first_come_back_s: r.first_come_back_ms() / 1e3,
        longest_come_back_s: r.longest_come_back_ms() / 1e3,
        ..RetryFigures::default()
    }
}

/// Keys and trust as the settings name them, looked at once: unsound, the node does not start.
fn tls(n: &Node) -> Result<TlsStart, Unusable> {
    let path = |p: &Option<String>| p.as_ref().map(Into::into);
    let versions = |old| if old { Versions::From12 } else { Versions::Only13 };
    let sound = |said: Vec<Said>, any: bool| match said.into_iter().next() {
        _ if any => Ok(()),
        Some(Said::Unreadable(p)) => Err(Unusable(p.to_string())),
        Some(Said::Refused(why)) => Err(Unusable(format!("keys and trust: {why}"))),
        _ => Err(Unusable("keys and trust: cannot be used".into())),
    };
    let mut out = TlsStart { reload_s: 1.0, at_once: 16, at_once_engine: 2, ..TlsStart::default() };
    if let Some(t) = &n.engine_tls {
        let files = Files { chain: path(&t.chain), key: path(&t.key), trust: Some((&t.trust).into()) };
        let mut c = nickelgw_tls::Client::new(files, versions(t.allow_tls12()), t.trust_overlap_ms() / 1e3);
        c.resume = t.resume();
        let said = c.look(unix_now());
        sound(said, c.config().is_some())?;
        out = TlsStart {
            engines: Some(c),
            chat: None,
            reload_s: t.reload_ms() / 1e3,
            at_once: t.handshakes_at_once() as usize,
            at_once_engine: t.handshakes_at_once_engine() as usize,
            retire_gap_s: t.retire_gap_ms() / 1e3,
        };
    }
    if let Some(t) = &n.chat_tls {
        let (chain, key) = (Some((&t.chain).into()), Some((&t.key).into()));
        let files = Files { chain, key, trust: path(&t.client_trust) };
        let mutual = t.client_trust.is_some();
        let mut s = nickelgw_tls::Server::new(files, versions(t.allow_tls12()), OVERLAP_S, mutual);
        let said = s.look(unix_now());
        sound(said, s.config().is_some())?;
        out.chat = Some(s);
    }
    Ok(out)
}

/// Roots for clients' certificates that a new file leaves out are trusted for so long still.
const OVERLAP_S: f64 = 600.0;

/// How the node is one of a fleet; its socket is bound by the caller, who knows whether another process has it still.
fn together(n: &Node, epoch: f64) -> Option<Together> {
    let a = n.accord.as_ref()?;
    let round_s = a.round_ms() / 1e3;
    let own = Record {
        name: n.name.clone(),
        incarnation: (epoch * 1e3) as u64,
        seq: 0,
        address: a.address.clone().unwrap_or_else(|| a.listen.clone()),
        zone: n.zone.clone(),
        seen: Vec::new(),
        parked: Vec::new(),
    };
    let figures = AccordFigures { round_s, ..AccordFigures::default() };
    let seed = n.seed() ^ epoch.to_bits();
    Some(Together {
        accord: Accord::new(figures, Key::of(&a.key), own, a.peer.clone(), seed),
        zones: nickelgw_zones::core::Figures {
            silent_s: n.limits.unwrap_or_default().probe_ms() / 1e3,
            step_s: a.step_ms() / 1e3,
            wait_s: a.wait_ms() / 1e3,
            longest_wait_s: a.longest_wait_ms() / 1e3,
            ..Default::default()
        },
        sockets: Sockets { socket: None, listen: a.listen.clone() },
    })
}

fn parked(n: &Node) -> Option<Lot> {
    let p = n.parked.as_ref()?;
    Some(Lot {
        file: (&p.file).into(),
        figures: ParkedFigures {
            most_records: p.most_records() as usize,
            most_bytes: p.most_bytes() as usize,
            most_each: p.most_records_tenant() as usize,
            longest_wait_s: p.longest_wait_ms() / 1e3,
            keep_s: p.keep_ms() / 1e3,
            most_answer: p.most_answer_bytes() as usize,
            most_tries: nickelgw_node::MOST_TRIES,
        },
        most_running: p.most_running() as usize,
        weights: n.tenant.iter().map(|t| t.weight()).collect(),
    })
}

pub fn start(n: &Node, meter: Option<Arc<Mutex<Meter>>>) -> Result<Start, Unusable> {
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
    Ok(Start {
        tls: tls(n)?,
        repeats: repeats(n),
        retries: retries(n),
        name: n.name.clone(),
        zone: n.zone.clone(),
        deployment: check::deployment(n),
        figures: CoreConfig {
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
        door: Admission {
            models: n.model_route.iter().map(model).collect(),
            tenants: n.tenant.iter().map(tenant).collect(),
            max_prompt_tokens: l.most_prompt_tokens(),
        },
        limits: Limits {
            most_connections: l.most_connections() as usize,
            most_body_bytes: l.most_body_bytes() as usize,
            head_s: l.head_ms() / 1e3,
            body_s: l.body_ms() / 1e3,
            connect_s: l.connect_ms() / 1e3,
            probe_s: l.probe_ms() / 1e3,
            most_idle: l.most_idle_connections() as usize,
            idle_s: l.idle_connection_ms() / 1e3,
            most_waiting: l.most_waiting() as usize,
            client_stall_s: l.client_stall_ms() / 1e3,
            come_back_s: l.come_back_ms() / 1e3,
            send_buffer: l.send_buffer_bytes() as usize,
        },
        source: source(n),
        view: doubt(n),
        together: together(n, epoch),
        parked: parked(n),
        last_list: n.last_list.as_ref().map(Into::into),
        store: n.store.as_ref().map(Into::into),
        admin: None,
        admin_later: None,
        life: nickelgw_node::core::shutdown::Figures {
            notice_s: leaving.notice_ms() / 1e3,
            grace_s: leaving.grace_ms() / 1e3,
            end_s: leaving.end_ms() / 1e3,
        },
        // Told nothing, unless the caller puts its own here.
        orders: async_channel::bounded(1).1,
        on_serving: None,
        patient: false,
        meter,
    })
}
