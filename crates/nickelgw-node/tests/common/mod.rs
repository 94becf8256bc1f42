//! Nodes and stand-ins on threads of this process, for tests on sockets.
#![allow(dead_code)]

use nickelgw::interface::{Deployment, Idempotency, IdempotencyScope, ModelRoute};
use nickelgw_audit::{audit, AuditReport, RecordEntry};
use nickelgw_node::{Limits, NodeOptions, TlsOptions};
use nickelgw_node_core::admission::{Model, Tenant};
use nickelgw_node_core::{Admission, CoreConfig};
use nickelgw_protocol::list::{self, EngineState};
use nickelgw_test_servers::client::{self, CallResult, ChatCall};
use nickelgw_test_servers::engine_config::{self, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

pub const KEY: &str = "sk-test-key";
pub const MEMORY_S: f64 = 4.0;

/// A chat request as its bytes, with further headers.
pub fn post(body: &str, more: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{more}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn listener() -> (TcpListener, String) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap().to_string();
    (l, address)
}

pub struct World {
    pub node: String,
    pub list: String,
    pub engines: BTreeMap<String, String>,
    pub record: Recorder,
    /// Orders to the node, and how it ends.
    pub tell: Option<async_channel::Sender<nickelgw_node::ProcessSignal>>,
    pub exit: Option<thread::JoinHandle<nickelgw_node::Exit>>,
}

/// Engines "r*" read, "w*" write; the last letter of an id is its zone.
pub fn figures(id: &str) -> engine_config::EngineConfig {
    let role = if id.starts_with('r') { Role::Prefill } else { Role::Decode };
    let zone = id[id.len() - 1..].to_string();
    engine_config::EngineConfig {
        id: id.into(),
        role,
        zone,
        mean_output_tokens: 10,
        ..engine_config::EngineConfig::default()
    }
}

pub fn line(f: &engine_config::EngineConfig, address: &str) -> list::EndpointEntry {
    list::EndpointEntry {
        id: f.id.clone(),
        address: address.into(),
        zone: f.zone.clone(),
        cell: f.cell,
        role: if f.role == Role::Prefill { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: f.memory_tokens,
        state: EngineState::Active,
        started_at: None,
        tls_name: f.tls.as_ref().map(|t| t.name.clone()),
    }
}

pub fn start(list: &str) -> NodeOptions {
    let route = |repeat| ModelRoute {
        ttft_objective_s: 1.0,
        ttft_objective_per_token_s: 0.0,
        tpot_objective_s: 0.05,
        idempotency: repeat,
    };
    let group = IdempotencyScope::Zone;
    let deployment = Deployment {
        node: 0,
        node_count: 1,
        seed: 3,
        zone: 0,
        tick_s: 0.005,
        routes: vec![
            route(Idempotency::Idempotent),
            route(Idempotency::Keyed { scope: group, window_s: MEMORY_S }),
            route(Idempotency::NonIdempotent),
            route(Idempotency::Keyed { scope: IdempotencyScope::All, window_s: MEMORY_S }),
        ],
        tenant_quotas: vec![1000.0],
        max_attempts: 6,
        decode_engines_prefill: false,
        reservation_limit_s: 0.5,
        connect_timeout_s: 0.0,
        cross_cell_price: 0.0,
        cross_zone_price: 0.0,
        can_cancel: true,
        can_probe: true,
        must_poll_endpoints: false,
        max_retry_after_s: Some(2.0),
        slow_start_initial_share: 0.3,
        warmup_s: 5.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
    };
    let model = |name: &str| Model {
        name: name.into(),
        timeout_s: 4.0,
        timeout_per_token_s: 0.0,
        unary_timeout_s: 8.0,
        is_idempotent: name == "chat",
    };
    NodeOptions {
        name: "node0".into(),
        zone: "a".into(),
        deployment,
        core_config: CoreConfig {
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
        },
        admission: Admission {
            models: ["chat", "review", "booking", "marked"].map(model).to_vec(),
            tenants: vec![Tenant { name: "t".into(), key: KEY.into() }],
            max_prompt_tokens: 50_000.0,
        },
        limits: Limits {
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
        },
        endpoint_source: nickelgw_node::EndpointSource::List(list.into()),
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
        shutdown: nickelgw_node_core::shutdown::ShutdownConfig {
            announce_s: 0.1,
            drain_timeout_s: 5.0,
            exit_timeout_s: 1.0,
        },
        signals: async_channel::bounded(1).1,
        gossip: None,
        deferred: None,
        on_serving: None,
        accept_when_ready: false,
    }
}

pub fn serve(start: NodeOptions) -> String {
    serve_until(start).0
}

/// With how it will have ended.
pub fn serve_until(start: NodeOptions) -> (String, thread::JoinHandle<nickelgw_node::Exit>) {
    let (l, address) = listener();
    (address, thread::spawn(move || smol::block_on(nickelgw_node::run(l, start)).unwrap()))
}

impl World {
    pub fn new(engines: Vec<engine_config::EngineConfig>) -> World {
        World::with(engines, |_| {})
    }

    pub fn with(engines: Vec<engine_config::EngineConfig>, tweak: impl FnOnce(&mut NodeOptions)) -> World {
        let record = Recorder::memory("driver");
        record.record(
            "rules",
            json!({"drain_grace_s": 0.5, "hold_limit_s": 0.5, "slack_s": 0.25, "routes": {
            "chat": {"repeat": "retriable"}, "booking": {"repeat": "non_retriable"},
            "marked": {"repeat": "deduped", "group": "all", "memory_s": MEMORY_S},
            "review": {"repeat": "deduped", "group": "zone", "memory_s": MEMORY_S}}}),
        );
        let (l, list) = listener();
        let mut world = World {
            node: String::new(),
            list,
            engines: BTreeMap::new(),
            record: record.clone(),
            tell: None,
            exit: None,
        };
        let lines: Vec<list::EndpointEntry> = engines.into_iter().map(|f| world.engine(f)).collect();
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::list::run(l, lines, 0.0, record.for_source("list")))
        });
        let mut s = start(&world.list);
        let (tell, orders) = async_channel::bounded(4);
        s.signals = orders;
        tweak(&mut s);
        let (node, exit) = serve_until(s);
        (world.node, world.tell, world.exit) = (node, Some(tell), Some(exit));
        world.wait("the node hears the list", |lines| lines.iter().any(|l| l["ev"] == "told"));
        world
    }

    /// Starts an engine; it is not listed by that.
    pub fn engine(&mut self, f: engine_config::EngineConfig) -> list::EndpointEntry {
        let (l, address) = listener();
        self.engines.insert(f.id.clone(), address.clone());
        let (line, record) = (line(&f, &address), self.record.for_source(&f.id));
        thread::spawn(move || smol::block_on(nickelgw_test_servers::engine::run(l, f, record, 5)));
        line
    }

    /// Waits for something to have been recorded.
    pub fn wait(&self, what: &str, seen: impl Fn(&[Value]) -> bool) {
        let from = Instant::now();
        while !seen(&self.record.entries()) {
            assert!(from.elapsed() < Duration::from_secs(10), "not seen in ten seconds: {what}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn wait_for(&self, ev: &str, req: &str) {
        self.wait(ev, |lines| lines.iter().any(|l| l["ev"] == ev && (req.is_empty() || l["req"] == req)));
    }

    pub fn count(&self, ev: &str, req: &str) -> usize {
        self.record.entries().iter().filter(|l| l["ev"] == ev && (req.is_empty() || l["req"] == req)).count()
    }

    pub fn control(&self, engine: &str, order: Value) -> Value {
        let address = if engine == "list" { &self.list } else { &self.engines[engine] };
        let answer = smol::block_on(client::control(address, &order));
        // One told to die may do so before it answers; any other order that is not taken is a broken test.
        let dying = order["fault"] == "die";
        assert!(
            dying || answer.as_ref().is_some_and(|a| a["error"].is_null()),
            "{engine}: {order}: {answer:?}"
        );
        answer.unwrap_or_default()
    }

    pub fn ask(&self, req: &str, model: &str) -> ChatCall {
        ChatCall {
            request_id: req.into(),
            node: "node0".into(),
            address: self.node.clone(),
            model: model.into(),
            api_key: Some(KEY.into()),
            system: "You are kind.".into(),
            prompt: format!("{req}: tell me more. {}", "word ".repeat(50)),
            max_tokens: Some(10),
            stream: true,
            timeout_s: 4.0,
            ttft_target_s: 1.0,
            intended_start: unix_now(),
            ..ChatCall::default()
        }
    }

    pub fn play(&self, ask: ChatCall) -> CallResult {
        smol::block_on(client::call(&ask, &self.record.for_source("client"))).expect("the node is there")
    }

    /// Plays on another thread.
    pub fn later(&self, ask: ChatCall) -> thread::JoinHandle<CallResult> {
        let record = self.record.for_source("client");
        thread::spawn(move || smol::block_on(client::call(&ask, &record)).expect("the node is there"))
    }

    pub fn verdict(&self) -> AuditReport {
        self.record.record("end", json!({}));
        let mut lines: Vec<RecordEntry> =
            self.record.entries().iter().filter_map(RecordEntry::from_json).collect();
        nickelgw_audit::sort_by_time(&mut lines);
        audit(&lines)
    }

    /// All rules kept, and nothing held or running anywhere.
    pub fn assert_sound(&self) {
        let v = self.verdict();
        assert!(v.violations.is_empty(), "{:#?}", v.violations);
        assert!(v.checked.contains_key("lost"), "nothing was judged");
    }

    pub fn assert_empty(&self, engines: &[&str]) {
        let from = Instant::now();
        loop {
            let states: Vec<Value> =
                engines.iter().map(|e| self.control(e, json!({"fault": "forget"}))).collect();
            if states.iter().all(|s| s["states"] == 0 && s["running"] == 0 && s["waiting"] == 0) {
                return;
            }
            assert!(from.elapsed() < Duration::from_secs(5), "still held: {states:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
