//! Starts a node, its engines and an endpoint list service on threads of this process, for tests over real
//! sockets.
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

/// Returns the HTTP text of a chat request with the given body and additional headers.
pub fn post(body: &str, headers: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a GET request and returns the whole response; empty if none arrives within `timeout_s`.
pub fn http_get(address: &str, path: &str, timeout_s: f64) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let response = smol::block_on(client::send_raw(address, &[request.as_bytes()], 0.0, timeout_s));
    String::from_utf8(response).unwrap()
}

/// Binds a listener to a free port; returns it with its address.
pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Calls `is_true` at intervals of `poll` until it returns true; fails the test after `timeout_s`.
/// `condition` describes what is waited for.
pub fn wait_until(condition: &str, timeout_s: f64, poll: Duration, mut is_true: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_true() {
        assert!(
            started_at.elapsed().as_secs_f64() < timeout_s,
            "not true within {timeout_s} seconds: {condition}"
        );
        thread::sleep(poll);
    }
}

/// Longest wait for an event to be recorded.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A node, its engines and the endpoint list service. The engines, the list service and the clients record
/// their events.
pub struct TestCluster {
    /// Address of the node's chat port.
    pub node: String,
    /// Address of the endpoint list service.
    pub list: String,
    /// Addresses of the engines, by id.
    pub engines: BTreeMap<String, String>,
    pub recorder: Recorder,
    /// Sends control signals to the node.
    pub signals: Option<async_channel::Sender<ProcessSignal>>,
    /// Thread of the node, which returns how the node exited.
    pub exit: Option<thread::JoinHandle<Exit>>,
}

/// Returns the configuration of an engine. Ids that start with "r" are prefill engines, all others decode
/// engines; the last letter of an id is the zone.
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

/// Returns the engine's entry in the endpoint list.
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

/// Starts a node; returns its address.
pub fn start_node(options: NodeOptions) -> String {
    start_node_with_exit(options).0
}

/// Starts a node; returns its address and its thread, which returns how the node exited.
pub fn start_node_with_exit(options: NodeOptions) -> (String, thread::JoinHandle<Exit>) {
    let (listener, address) = listener();
    let node = move || smol::block_on(nickelgw_node::run(listener, options)).unwrap();
    (address, thread::spawn(node))
}

/// Returns the routes and time limits that the audit checks against.
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
        let recorder = Recorder::memory("driver");
        recorder.record("rules", audit_rules());
        let (list_listener, list) = listener();
        let mut cluster = TestCluster {
            node: String::new(),
            list,
            engines: BTreeMap::new(),
            recorder: recorder.clone(),
            signals: None,
            exit: None,
        };
        let entries: Vec<EndpointEntry> =
            engines.into_iter().map(|config| cluster.start_engine(config)).collect();
        let list_recorder = recorder.for_source("list");
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::list::run(list_listener, entries, 0.0, list_recorder))
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

    /// Starts an engine and returns its entry, which is not in the endpoint list yet.
    pub fn start_engine(&mut self, config: engine_config::EngineConfig) -> EndpointEntry {
        let (listener, address) = listener();
        self.engines.insert(config.id.clone(), address.clone());
        let (entry, recorder) = (endpoint_entry(&config, &address), self.recorder.for_source(&config.id));
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::engine::run(listener, config, recorder, 5))
        });
        entry
    }

    /// Waits until `is_recorded` is true of the recorded events. `condition` describes what is waited for.
    pub fn wait_for(&self, condition: &str, is_recorded: impl Fn(&[Value]) -> bool) {
        let started_at = Instant::now();
        while !is_recorded(&self.recorder.entries()) {
            let last_events = || self.last_events();
            assert!(
                started_at.elapsed() < EVENT_TIMEOUT,
                "not true within {EVENT_TIMEOUT:?}: {condition}\n{}",
                last_events()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the last recorded event of each request, which shows its progress.
    fn last_events(&self) -> String {
        let entries = self.recorder.entries();
        let by_request = entries.iter().filter_map(|event| Some((event["req"].as_str()?, event)));
        let last: BTreeMap<&str, &Value> = by_request.collect();
        last.values().map(|event| format!("{event}\n")).collect()
    }

    /// Waits for an event of the request with this id, or of any request if the id is empty.
    pub fn wait_for_event(&self, event: &str, request: &str) {
        self.wait_for(event, |events| events.iter().any(|recorded| is_event(recorded, event, request)));
    }

    /// Counts the events of the request with this id, or of all requests if the id is empty.
    pub fn count_events(&self, event: &str, request: &str) -> usize {
        self.recorder.entries().iter().filter(|recorded| is_event(recorded, event, request)).count()
    }

    /// Counts the events of one engine.
    pub fn count_events_at(&self, event: &str, engine: &str) -> usize {
        let is_at = |recorded: &&Value| recorded["ev"] == event && recorded["who"] == engine;
        self.recorder.entries().iter().filter(is_at).count()
    }

    /// Injects a fault at an engine, or orders a change at the endpoint list service ("list").
    pub fn control(&self, engine: &str, order: Value) -> Value {
        let address = if engine == "list" { &self.list } else { &self.engines[engine] };
        let response = smol::block_on(client::control(address, &order));
        // An engine ordered to die may do so before it responds. If any other order fails, the test is wrong.
        let is_dying = order["fault"] == "die";
        assert!(
            is_dying || response.as_ref().is_some_and(|response| response["error"].is_null()),
            "{engine}: {order}: {response:?}"
        );
        response.unwrap_or_default()
    }

    /// Returns a chat request to the node with the given request id.
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
        smol::block_on(client::call(&request, &self.recorder.for_source("client")))
            .expect("the node is unreachable")
    }

    /// Sends the request on another thread.
    pub fn send_in_background(&self, request: ChatCall) -> thread::JoinHandle<CallResult> {
        let recorder = self.recorder.for_source("client");
        thread::spawn(move || {
            smol::block_on(client::call(&request, &recorder)).expect("the node is unreachable")
        })
    }

    /// Checks the recorded events against the rules.
    pub fn audit(&self) -> AuditReport {
        self.recorder.record("end", json!({}));
        let mut events: Vec<RecordEntry> =
            self.recorder.entries().iter().filter_map(RecordEntry::from_json).collect();
        nickelgw_audit::sort_by_time(&mut events);
        audit(&events)
    }

    /// Fails the test if the audit finds a violation, or has checked nothing.
    pub fn assert_audit_passes(&self) {
        let report = self.audit();
        assert!(report.violations.is_empty(), "{:#?}", report.violations);
        assert!(report.checked.contains_key("lost"), "the audit checked nothing");
    }

    /// Waits until nothing is reserved, running or queued at these engines; fails the test after 5 s.
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
            assert!(started_at.elapsed() < Duration::from_secs(5), "engines not idle after 5 s: {states:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn is_event(recorded: &Value, event: &str, request: &str) -> bool {
    recorded["ev"] == event && (request.is_empty() || recorded["req"] == request)
}
