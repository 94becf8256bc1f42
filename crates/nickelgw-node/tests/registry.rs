//! Tests a node that follows an etcd-like registry with injected faults, or an endpoint file.

mod common;

use common::{engine_config, listener, TestCluster};
use nickelgw_node::discovery::RegistryOptions;
use nickelgw_node::EndpointSource;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use nickelgw_registry::core::membership;
use nickelgw_test_servers::client;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: &str = "nickelgw/engines/";
const LEASE_S: f64 = 3.0;

/// Returns an endpoint source that is a registry without users.
fn source(endpoints: &[&str]) -> EndpointSource {
    source_of(endpoints, None)
}

fn source_of(endpoints: &[&str], user: Option<(String, String)>) -> EndpointSource {
    let member = membership::MembershipConfig {
        lease_s: LEASE_S,
        margin_s: 0.5,
        max_staleness_s: 1.0,
        ..membership::MembershipConfig::default()
    };
    EndpointSource::Registry(RegistryOptions {
        endpoints: endpoints.iter().map(|endpoint| endpoint.to_string()).collect(),
        tls_name: None,
        engines: ENGINES.into(),
        nodes: Some("nickelgw/nodes/".into()),
        user,
        member,
    })
}

/// Engines, a registry that lists them, and a node that follows the registry. Tests read the node's view of
/// the endpoints from its cache file.
struct RegistryCluster {
    cluster: TestCluster,
    entries: Vec<EndpointEntry>,
    cache_path: PathBuf,
}

impl Drop for RegistryCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.cache_path);
    }
}

/// Starts a registry; returns its address.
fn registry(cluster: &TestCluster) -> String {
    let (listener, address) = listener();
    let recorder = cluster.recorder.for_source("registry");
    thread::spawn(move || smol::block_on(nickelgw_test_servers::registry::run(listener, recorder)));
    address
}

fn control(address: &str, order: Value) -> Value {
    smol::block_on(client::control(address, &order)).expect("the registry is unreachable")
}

fn put(address: &str, entry: &EndpointEntry) {
    control(address, json!({"order": "put", "key": format!("{ENGINES}{}", entry.id), "value": entry}));
}

impl RegistryCluster {
    fn new(name: &str, ids: &[&str]) -> RegistryCluster {
        let mut cluster = TestCluster::new(Vec::new());
        let entries: Vec<EndpointEntry> =
            ids.iter().map(|id| cluster.start_engine(engine_config(id))).collect();
        cluster.list = registry(&cluster);
        entries.iter().for_each(|entry| put(&cluster.list, entry));
        let cache_path =
            std::env::temp_dir().join(format!("nickelgw-registry-{name}-{}", std::process::id()));
        let mut options = common::node_options(&cluster.list);
        (options.endpoint_source, options.endpoint_cache) =
            (source(&[&cluster.list]), Some(cache_path.clone()));
        cluster.node = common::start_node(options);
        let fixture = RegistryCluster { cluster, entries, cache_path };
        fixture.wait_for_endpoints(ids, 5.0);
        fixture
    }

    fn control(&self, order: Value) {
        control(&self.cluster.list, order);
    }

    /// Returns the ids of the endpoints that the node uses.
    fn active_endpoints(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.cache_path).unwrap_or_default();
        let list: Value = serde_json::from_str(&text).unwrap_or_default();
        let entries = list["engines"].as_array().into_iter().flatten();
        let active = entries.filter(|entry| entry["state"] == "in");
        active.filter_map(|entry| entry["id"].as_str().map(String::from)).collect()
    }

    /// Waits until the node uses exactly these endpoints; returns how many seconds that took.
    fn wait_for_endpoints(&self, ids: &[&str], timeout_s: f64) -> f64 {
        let started_at = Instant::now();
        let mut expected: Vec<&str> = ids.to_vec();
        expected.sort_unstable();
        while self.active_endpoints() != expected {
            assert!(
                started_at.elapsed().as_secs_f64() < timeout_s,
                "active endpoints are {:?} after {timeout_s} s, not {expected:?}",
                self.active_endpoints()
            );
            thread::sleep(Duration::from_millis(10));
        }
        started_at.elapsed().as_secs_f64()
    }

    fn assert_serves(&self, request: &str) {
        let response = self.cluster.send(self.cluster.chat_request(request, "chat"));
        assert_eq!(response.outcome, "completed", "{response:?}");
    }

    fn entry(&self, id: &str) -> EndpointEntry {
        self.entries.iter().find(|entry| entry.id == id).unwrap().clone()
    }
}

#[test]
fn registry_changes_are_followed_at_once_and_across_restarts() {
    let fixture = RegistryCluster::new("breaks", &["r0a", "r1a", "w0a", "w1a"]);
    fixture.assert_serves("first");
    put(&fixture.cluster.list, &EndpointEntry { state: EngineState::Draining, ..fixture.entry("w1a") });
    assert!(fixture.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0) < 1.0);
    // The engine returns; another one is replaced in one transaction.
    put(&fixture.cluster.list, &fixture.entry("w1a"));
    fixture.wait_for_endpoints(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    fixture
        .control(json!({"order": "replace", "key": format!("{ENGINES}r1a"), "value": fixture.entry("r1a")}));
    // An entry is deleted while the registry restarts, and the history with that change is compacted.
    fixture.control(json!({"order": "restart", "for_s": 0.6}));
    fixture.control(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    fixture.control(json!({"order": "compact"}));
    fixture.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0);
    fixture.assert_serves("after a compaction");
    fixture.control(json!({"order": "refuse", "for_s": 0.5}));
    fixture.control(json!({"order": "restart", "for_s": 0.0}));
    put(&fixture.cluster.list, &fixture.entry("w1a"));
    fixture.wait_for_endpoints(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    fixture.assert_serves("after refusals");
}

#[test]
fn a_silent_watch_is_detected() {
    let fixture = RegistryCluster::new("silent", &["r0a", "w0a", "w1a"]);
    fixture.control(json!({"order": "stall", "for_s": 5.0}));
    fixture.control(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    fixture.wait_for_endpoints(&["r0a", "w0a"], 8.0);
    fixture.assert_serves("q");
}

#[test]
fn an_emptied_registry_removes_only_unreachable_engines() {
    let fixture = RegistryCluster::new("empty", &["r0a", "r1a", "w0a", "w1a"]);
    fixture.cluster.control("w1a", json!({"fault": "die"}));
    fixture.control(json!({"order": "empty", "key": ENGINES}));
    // Only the engine that does not respond is removed.
    fixture.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0);
    for n in 0..5 {
        fixture.assert_serves(&format!("q{n}"));
    }
    // A drain that is reported in the meantime takes effect at once.
    put(&fixture.cluster.list, &EndpointEntry { state: EngineState::Draining, ..fixture.entry("r1a") });
    fixture.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    ["r0a", "w0a"].iter().for_each(|id| put(&fixture.cluster.list, &fixture.entry(id)));
    fixture.assert_serves("again");
    fixture.wait_for_endpoints(&["r0a", "w0a"], 1.0);
}

#[test]
fn a_registry_restored_from_a_backup_is_followed() {
    let fixture = RegistryCluster::new("restored", &["r0a", "w0a"]);
    fixture.control(json!({"order": "save"}));
    let mut cluster = TestCluster::new(Vec::new());
    let extra = cluster.start_engine(engine_config("w2a"));
    put(&fixture.cluster.list, &extra);
    fixture.wait_for_endpoints(&["r0a", "w0a", "w2a"], 5.0);
    fixture.control(json!({"order": "roll_back"}));
    fixture.wait_for_endpoints(&["r0a", "w0a"], 10.0);
    put(&fixture.cluster.list, &extra);
    fixture.wait_for_endpoints(&["r0a", "w0a", "w2a"], 5.0);
    fixture.assert_serves("q");
}

#[test]
fn a_node_started_without_its_registry_serves_from_its_cache_or_is_unhealthy() {
    let fixture = RegistryCluster::new("start", &["r0a", "w0a"]);
    let (closed, unreachable) = listener();
    drop(closed);
    let health = |node: &str| {
        let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        client::response_status(&smol::block_on(client::send_raw(node, &[request], 0.0, 1.0)))
    };
    let mut cached = common::node_options(&unreachable);
    (cached.endpoint_source, cached.endpoint_cache) =
        (source(&[&unreachable]), Some(fixture.cache_path.clone()));
    let started_at = Instant::now();
    let node = common::start_node(cached);
    while health(&node) != 200 {
        assert!(started_at.elapsed() < Duration::from_secs(3));
    }
    let mut request = fixture.cluster.chat_request("from the last", "chat");
    request.address = node;
    assert_eq!(fixture.cluster.send(request).outcome, "completed");
    let mut two_endpoints = common::node_options(&unreachable);
    two_endpoints.endpoint_source = source(&[&unreachable, &fixture.cluster.list]);
    // The second endpoint is reachable, and the node finds it.
    let node = common::start_node(two_endpoints);
    let started_at = Instant::now();
    while health(&node) != 200 {
        assert!(started_at.elapsed() < Duration::from_secs(5));
    }
    let mut uncached = common::node_options(&unreachable);
    uncached.endpoint_source = source(&[&unreachable]);
    let node = common::start_node(uncached);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(health(&node), 503);
}

#[test]
fn node_numbers_are_claimed_and_expire_with_their_lease() {
    let fixture = RegistryCluster::new("places", &["r0a", "w0a"]);
    let keys =
        || control(&fixture.cluster.list, json!({"order": "slow", "for_s": 0.0}))["keys"].as_i64().unwrap();
    let wait_for_keys = |n: i64, within_s: f64| {
        let started_at = Instant::now();
        while keys() != n {
            assert!(
                started_at.elapsed().as_secs_f64() < within_s,
                "the registry has {} keys, not {n}",
                keys()
            );
            thread::sleep(Duration::from_millis(20));
        }
    };
    // Two engines and the number of the first node.
    wait_for_keys(3, 5.0);
    let mut second = common::node_options(&fixture.cluster.list);
    second.name = "node1".into();
    second.endpoint_source = source(&[&fixture.cluster.list]);
    let (signals, received_signals) = async_channel::bounded(4);
    second.signals = received_signals;
    second.shutdown.announce_s = 0.0;
    let (_, exit) = common::start_node_with_exit(second);
    wait_for_keys(4, 5.0);
    signals.send_blocking(nickelgw_node::ProcessSignal::Drain).unwrap();
    exit.join().unwrap();
    // The number is freed when its lease expires, not before.
    wait_for_keys(3, LEASE_S + 3.0);
}

#[test]
fn an_endpoint_file_is_followed_and_a_truncated_one_ignored() {
    let mut cluster = TestCluster::new(Vec::new());
    let entries: Vec<EndpointEntry> =
        ["r0a", "w0a", "w1a"].iter().map(|id| cluster.start_engine(engine_config(id))).collect();
    let path = std::env::temp_dir().join(format!("nickelgw-file-{}", std::process::id()));
    let text = |entries: &[EndpointEntry]| {
        serde_json::to_string(&json!({"revision": 1, "engines": entries})).unwrap()
    };
    std::fs::write(&path, text(&entries)).unwrap();
    let cache_path = path.with_extension("kept");
    let mut options = common::node_options("");
    (options.endpoint_source, options.endpoint_cache) =
        (EndpointSource::File(path.clone()), Some(cache_path.clone()));
    cluster.node = common::start_node(options);
    let fixture = RegistryCluster { cluster, entries: entries.clone(), cache_path };
    fixture.wait_for_endpoints(&["r0a", "w0a", "w1a"], 5.0);
    fixture.assert_serves("q");
    let complete = text(&entries[..2]);
    std::fs::write(&path, &complete[..complete.len() / 2]).unwrap();
    thread::sleep(Duration::from_millis(700));
    fixture.wait_for_endpoints(&["r0a", "w0a", "w1a"], 0.1);
    std::fs::write(&path, &complete).unwrap();
    fixture.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn a_node_signs_in_again_when_its_token_is_rejected() {
    let fixture = RegistryCluster::new("users", &["r0a", "w0a"]);
    fixture.control(json!({"order": "auth", "user": "gw", "password": "secret"}));
    let cache_path = fixture.cache_path.with_extension("user");
    let mut options = common::node_options(&fixture.cluster.list);
    options.endpoint_source = source_of(&[&fixture.cluster.list], Some(("gw".into(), "secret".into())));
    options.endpoint_cache = Some(cache_path.clone());
    common::start_node(options);
    let signed_in =
        RegistryCluster { cluster: TestCluster::new(Vec::new()), entries: Vec::new(), cache_path };
    signed_in.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    fixture.control(json!({"order": "auth", "user": "gw", "password": "secret"}));
    put(&fixture.cluster.list, &EndpointEntry { state: EngineState::Draining, ..fixture.entry("w0a") });
    signed_in.wait_for_endpoints(&["r0a"], 5.0);
    // A node without a user gets no more updates and continues to serve with the endpoints that it knows.
    fixture.wait_for_endpoints(&["r0a", "w0a"], 0.5);
    fixture.assert_serves("q");
}
