//! A node and its engines on threads of this process, for tests on sockets.
#![allow(dead_code)]

pub mod deployment;
mod options;

pub use options::node_options;

use nickelgw_audit::{audit, AuditReport, RecordEntry};
use nickelgw_node::{Exit, NodeOptions, ProcessSignal};
use nickelgw_protocol::list::{EndpointEntry, EngineRole, EngineState};
use nickelgw_test_servers::client::{self, CallResult, ChatCall};
use nickelgw_test_servers::engine_config::{self, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

pub const API_KEY: &str = "sk-test-key";
pub const DEDUP_WINDOW_S: f64 = 4.0;

/// A chat request as its bytes, with further headers.
pub fn post(body: &str, headers: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The whole response to a GET of this path; empty if none comes within this time.
pub fn http_get(address: &str, path: &str, timeout_s: f64) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let response = smol::block_on(client::send_raw(address, &[request.as_bytes()], 0.0, timeout_s));
    String::from_utf8(response).unwrap()
}

pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Calls `is_true` until it holds; fails the test after `timeout_s`.
pub fn wait_until(what: &str, timeout_s: f64, poll: Duration, mut is_true: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_true() {
        assert!(started_at.elapsed().as_secs_f64() < timeout_s, "not within {timeout_s} seconds: {what}");
        thread::sleep(poll);
    }
}

/// Longest wait for an event to be recorded.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A node, its engines and the endpoint list service, all recording what they see.
pub struct TestCluster {
    /// Address of the node's chat port.
    pub node: String,
    /// Address of the endpoint list service.
    pub list: String,
    /// Addresses of the engines, by id.
    pub engines: BTreeMap<String, String>,
    pub record: Recorder,
    /// Signals to the node, and how it exits.
    pub signals: Option<async_channel::Sender<ProcessSignal>>,
    pub exit: Option<thread::JoinHandle<Exit>>,
}

/// Engines "r*" prefill, "w*" decode; the last letter of an id is its zone.
pub fn engine_config(id: &str) -> engine_config::EngineConfig {
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

pub fn endpoint_entry(config: &engine_config::EngineConfig, address: &str) -> EndpointEntry {
    EndpointEntry {
        id: config.id.clone(),
        address: address.into(),
        zone: config.zone.clone(),
        cell: config.cell,
        role: if config.role == Role::Prefill { EngineRole::Prefill } else { EngineRole::Decode },
        memory_tokens: config.memory_tokens,
        state: EngineState::Active,
        started_at: None,
        tls_name: config.tls.as_ref().map(|tls| tls.name.clone()),
    }
}

pub fn start_node(options: NodeOptions) -> String {
    start_node_with_exit(options).0
}

/// The node's address, and how it will have exited.
pub fn start_node_with_exit(options: NodeOptions) -> (String, thread::JoinHandle<Exit>) {
    let (listener, address) = listener();
    let node = move || smol::block_on(nickelgw_node::run(listener, options)).unwrap();
    (address, thread::spawn(node))
}

/// What the auditor needs to know of the routes and time limits.
fn audit_rules() -> Value {
    json!({"drain_grace_s": 0.5, "hold_limit_s": 0.5, "slack_s": 0.25, "routes": {
        "chat": {"repeat": "retriable"}, "booking": {"repeat": "non_retriable"},
        "marked": {"repeat": "deduped", "group": "all", "memory_s": DEDUP_WINDOW_S},
        "review": {"repeat": "deduped", "group": "zone", "memory_s": DEDUP_WINDOW_S}}})
}

impl TestCluster {
    pub fn new(engines: Vec<engine_config::EngineConfig>) -> TestCluster {
        TestCluster::with_options(engines, |_| {})
    }

    pub fn with_options(
        engines: Vec<engine_config::EngineConfig>,
        configure: impl FnOnce(&mut NodeOptions),
    ) -> TestCluster {
        let record = Recorder::memory("driver");
        record.record("rules", audit_rules());
        let (list_listener, list) = listener();
        let mut cluster = TestCluster {
            node: String::new(),
            list,
            engines: BTreeMap::new(),
            record: record.clone(),
            signals: None,
            exit: None,
        };
        let entries: Vec<EndpointEntry> =
            engines.into_iter().map(|config| cluster.start_engine(config)).collect();
        let list_record = record.for_source("list");
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::list::run(list_listener, entries, 0.0, list_record))
        });
        let mut options = node_options(&cluster.list);
        let (signals, received_signals) = async_channel::bounded(4);
        options.signals = received_signals;
        configure(&mut options);
        let (node, exit) = start_node_with_exit(options);
        (cluster.node, cluster.signals, cluster.exit) = (node, Some(signals), Some(exit));
        cluster.wait_for("the node fetches the endpoint list", |events| {
            events.iter().any(|event| event["ev"] == "told")
        });
        cluster
    }

    /// Starts an engine; it is not listed by that.
    pub fn start_engine(&mut self, config: engine_config::EngineConfig) -> EndpointEntry {
        let (listener, address) = listener();
        self.engines.insert(config.id.clone(), address.clone());
        let (entry, record) = (endpoint_entry(&config, &address), self.record.for_source(&config.id));
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::engine::run(listener, config, record, 5))
        });
        entry
    }

    /// Waits for something to have been recorded.
    pub fn wait_for(&self, what: &str, is_recorded: impl Fn(&[Value]) -> bool) {
        let started_at = Instant::now();
        while !is_recorded(&self.record.entries()) {
            let last_events = || self.last_events();
            assert!(
                started_at.elapsed() < EVENT_TIMEOUT,
                "not within {EVENT_TIMEOUT:?}: {what}\n{}",
                last_events()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The last recorded event of each request: how far it has come.
    fn last_events(&self) -> String {
        let entries = self.record.entries();
        let by_request = entries.iter().filter_map(|event| Some((event["req"].as_str()?, event)));
        let last: BTreeMap<&str, &Value> = by_request.collect();
        last.values().map(|event| format!("{event}\n")).collect()
    }

    /// Waits for an event of a request; an empty id: of any.
    pub fn wait_for_event(&self, event: &str, request: &str) {
        self.wait_for(event, |events| events.iter().any(|recorded| is_event(recorded, event, request)));
    }

    /// Events of a request; an empty id: of all.
    pub fn count_events(&self, event: &str, request: &str) -> usize {
        self.record.entries().iter().filter(|recorded| is_event(recorded, event, request)).count()
    }

    /// Events of one engine.
    pub fn count_events_at(&self, event: &str, engine: &str) -> usize {
        let is_at = |recorded: &&Value| recorded["ev"] == event && recorded["who"] == engine;
        self.record.entries().iter().filter(is_at).count()
    }

    /// Orders a fault at an engine, or a change at the endpoint list service.
    pub fn control(&self, engine: &str, order: Value) -> Value {
        let address = if engine == "list" { &self.list } else { &self.engines[engine] };
        let response = smol::block_on(client::control(address, &order));
        // One ordered to die may do so before it responds; any other order that is rejected is a broken test.
        let is_dying = order["fault"] == "die";
        assert!(
            is_dying || response.as_ref().is_some_and(|response| response["error"].is_null()),
            "{engine}: {order}: {response:?}"
        );
        response.unwrap_or_default()
    }

    /// A chat request to the node.
    pub fn chat_request(&self, request: &str, model: &str) -> ChatCall {
        ChatCall {
            request_id: request.into(),
            node: "node0".into(),
            address: self.node.clone(),
            model: model.into(),
            api_key: Some(API_KEY.into()),
            system: "You are kind.".into(),
            prompt: format!("{request}: tell me more. {}", "word ".repeat(50)),
            max_tokens: Some(10),
            stream: true,
            timeout_s: 4.0,
            ttft_target_s: 1.0,
            intended_start: unix_now(),
            ..ChatCall::default()
        }
    }

    pub fn send(&self, request: ChatCall) -> CallResult {
        smol::block_on(client::call(&request, &self.record.for_source("client"))).expect("the node is there")
    }

    /// Sends on another thread.
    pub fn send_in_background(&self, request: ChatCall) -> thread::JoinHandle<CallResult> {
        let record = self.record.for_source("client");
        thread::spawn(move || smol::block_on(client::call(&request, &record)).expect("the node is there"))
    }

    pub fn audit(&self) -> AuditReport {
        self.record.record("end", json!({}));
        let mut events: Vec<RecordEntry> =
            self.record.entries().iter().filter_map(RecordEntry::from_json).collect();
        nickelgw_audit::sort_by_time(&mut events);
        audit(&events)
    }

    /// No rule is broken.
    pub fn assert_audit_passes(&self) {
        let verdict = self.audit();
        assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
        assert!(verdict.checked.contains_key("lost"), "nothing was judged");
    }

    /// Nothing is reserved, running or queued at the engines.
    pub fn assert_engines_idle(&self, engines: &[&str]) {
        let started_at = Instant::now();
        loop {
            let states: Vec<Value> =
                engines.iter().map(|engine| self.control(engine, json!({"fault": "forget"}))).collect();
            let is_idle =
                |state: &Value| state["states"] == 0 && state["running"] == 0 && state["waiting"] == 0;
            if states.iter().all(is_idle) {
                return;
            }
            assert!(started_at.elapsed() < Duration::from_secs(5), "not idle: {states:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn is_event(recorded: &Value, event: &str, request: &str) -> bool {
    recorded["ev"] == event && (request.is_empty() || recorded["req"] == request)
}
