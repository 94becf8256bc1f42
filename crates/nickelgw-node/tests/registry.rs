//! A node that follows an etcd-like registry through its faults, or a file.

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

/// Engines, a registry that lists them, and a node that follows it. Its endpoint cache is a file, by which a test sees
/// its view.
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

fn registry(cluster: &TestCluster) -> String {
    let (listener, address) = listener();
    let record = cluster.record.for_source("registry");
    thread::spawn(move || smol::block_on(nickelgw_test_servers::registry::run(listener, record)));
    address
}

fn control(address: &str, order: Value) -> Value {
    smol::block_on(client::control(address, &order)).expect("the registry is there")
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
        let site = RegistryCluster { cluster, entries, cache_path };
        site.wait_for_endpoints(ids, 5.0);
        site
    }

    fn control(&self, order: Value) {
        control(&self.cluster.list, order);
    }

    /// Ids of the endpoints that the node uses.
    fn active_endpoints(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.cache_path).unwrap_or_default();
        let list: Value = serde_json::from_str(&text).unwrap_or_default();
        let entries = list["engines"].as_array().into_iter().flatten();
        let active = entries.filter(|entry| entry["state"] == "in");
        active.filter_map(|entry| entry["id"].as_str().map(String::from)).collect()
    }

    fn wait_for_endpoints(&self, ids: &[&str], timeout_s: f64) -> f64 {
        let started_at = Instant::now();
        let mut expected: Vec<&str> = ids.to_vec();
        expected.sort_unstable();
        while self.active_endpoints() != expected {
            assert!(
                started_at.elapsed().as_secs_f64() < timeout_s,
                "{:?}, not {expected:?}",
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
fn changes_are_followed_at_once_and_across_restarts() {
    let site = RegistryCluster::new("breaks", &["r0a", "r1a", "w0a", "w1a"]);
    site.assert_serves("first");
    put(&site.cluster.list, &EndpointEntry { state: EngineState::Draining, ..site.entry("w1a") });
    assert!(site.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0) < 1.0);
    // Back, and replaced in one batch.
    put(&site.cluster.list, &site.entry("w1a"));
    site.wait_for_endpoints(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    site.control(json!({"order": "replace", "key": format!("{ENGINES}r1a"), "value": site.entry("r1a")}));
    // While it is away, and its history compacted, something changes.
    site.control(json!({"order": "restart", "for_s": 0.6}));
    site.control(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    site.control(json!({"order": "compact"}));
    site.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0);
    site.assert_serves("after a compaction");
    site.control(json!({"order": "refuse", "for_s": 0.5}));
    site.control(json!({"order": "restart", "for_s": 0.0}));
    put(&site.cluster.list, &site.entry("w1a"));
    site.wait_for_endpoints(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    site.assert_serves("after refusals");
}

#[test]
fn a_silent_watch_is_detected() {
    let site = RegistryCluster::new("silent", &["r0a", "w0a", "w1a"]);
    site.control(json!({"order": "stall", "for_s": 5.0}));
    site.control(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    site.wait_for_endpoints(&["r0a", "w0a"], 8.0);
    site.assert_serves("q");
}

#[test]
fn an_emptied_registry_removes_only_unreachable_engines() {
    let site = RegistryCluster::new("empty", &["r0a", "r1a", "w0a", "w1a"]);
    site.cluster.control("w1a", json!({"fault": "die"}));
    site.control(json!({"order": "empty", "key": ENGINES}));
    // The one that does not answer is gone indeed.
    site.wait_for_endpoints(&["r0a", "r1a", "w0a"], 5.0);
    for n in 0..5 {
        site.assert_serves(&format!("q{n}"));
    }
    // A drain in the meantime acts at once.
    put(&site.cluster.list, &EndpointEntry { state: EngineState::Draining, ..site.entry("r1a") });
    site.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    ["r0a", "w0a"].iter().for_each(|id| put(&site.cluster.list, &site.entry(id)));
    site.assert_serves("again");
    site.wait_for_endpoints(&["r0a", "w0a"], 1.0);
}

#[test]
fn a_registry_restored_from_a_backup_is_followed() {
    let site = RegistryCluster::new("restored", &["r0a", "w0a"]);
    site.control(json!({"order": "save"}));
    let mut cluster = TestCluster::new(Vec::new());
    let extra = cluster.start_engine(engine_config("w2a"));
    put(&site.cluster.list, &extra);
    site.wait_for_endpoints(&["r0a", "w0a", "w2a"], 5.0);
    site.control(json!({"order": "roll_back"}));
    site.wait_for_endpoints(&["r0a", "w0a"], 10.0);
    put(&site.cluster.list, &extra);
    site.wait_for_endpoints(&["r0a", "w0a", "w2a"], 5.0);
    site.assert_serves("q");
}

#[test]
fn with_the_registry_unreachable_at_start_it_serves_from_its_cache_or_is_unhealthy() {
    let site = RegistryCluster::new("start", &["r0a", "w0a"]);
    let (closed, unreachable) = listener();
    drop(closed);
    let health = |node: &str| {
        let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        client::response_status(&smol::block_on(client::send_raw(node, &[request], 0.0, 1.0)))
    };
    let mut with = common::node_options(&unreachable);
    (with.endpoint_source, with.endpoint_cache) = (source(&[&unreachable]), Some(site.cache_path.clone()));
    let started_at = Instant::now();
    let node = common::start_node(with);
    while health(&node) != 200 {
        assert!(started_at.elapsed() < Duration::from_secs(3));
    }
    let mut request = site.cluster.chat_request("from the last", "chat");
    request.address = node;
    assert_eq!(site.cluster.send(request).outcome, "completed");
    let mut without = common::node_options(&unreachable);
    without.endpoint_source = source(&[&unreachable, &site.cluster.list]);
    // Its second endpoint is there: it is found.
    let node = common::start_node(without);
    let started_at = Instant::now();
    while health(&node) != 200 {
        assert!(started_at.elapsed() < Duration::from_secs(5));
    }
    let mut none = common::node_options(&unreachable);
    none.endpoint_source = source(&[&unreachable]);
    let node = common::start_node(none);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(health(&node), 503);
}

#[test]
fn node_numbers_are_claimed_and_expire_with_their_lease() {
    let site = RegistryCluster::new("places", &["r0a", "w0a"]);
    let keys =
        || control(&site.cluster.list, json!({"order": "slow", "for_s": 0.0}))["keys"].as_i64().unwrap();
    let wait_for_keys = |n: i64, within_s: f64| {
        let started_at = Instant::now();
        while keys() != n {
            assert!(started_at.elapsed().as_secs_f64() < within_s, "{} keys, not {n}", keys());
            thread::sleep(Duration::from_millis(20));
        }
    };
    // Two engines and the first node's place.
    wait_for_keys(3, 5.0);
    let mut second = common::node_options(&site.cluster.list);
    second.name = "node1".into();
    second.endpoint_source = source(&[&site.cluster.list]);
    let (signals, received_signals) = async_channel::bounded(4);
    second.signals = received_signals;
    second.shutdown.announce_s = 0.0;
    let (_, exit) = common::start_node_with_exit(second);
    wait_for_keys(4, 5.0);
    signals.send_blocking(nickelgw_node::ProcessSignal::Drain).unwrap();
    exit.join().unwrap();
    // Its place goes with its lease, not before.
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
    let site = RegistryCluster { cluster, entries: entries.clone(), cache_path };
    site.wait_for_endpoints(&["r0a", "w0a", "w1a"], 5.0);
    site.assert_serves("q");
    let complete = text(&entries[..2]);
    std::fs::write(&path, &complete[..complete.len() / 2]).unwrap();
    thread::sleep(Duration::from_millis(700));
    site.wait_for_endpoints(&["r0a", "w0a", "w1a"], 0.1);
    std::fs::write(&path, &complete).unwrap();
    site.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn it_signs_in_again_when_its_token_is_rejected() {
    let site = RegistryCluster::new("users", &["r0a", "w0a"]);
    site.control(json!({"order": "auth", "user": "gw", "password": "secret"}));
    let cache_path = site.cache_path.with_extension("user");
    let mut with = common::node_options(&site.cluster.list);
    with.endpoint_source = source_of(&[&site.cluster.list], Some(("gw".into(), "secret".into())));
    with.endpoint_cache = Some(cache_path.clone());
    common::start_node(with);
    let with = RegistryCluster { cluster: TestCluster::new(Vec::new()), entries: Vec::new(), cache_path };
    with.wait_for_endpoints(&["r0a", "w0a"], 5.0);
    site.control(json!({"order": "auth", "user": "gw", "password": "secret"}));
    put(&site.cluster.list, &EndpointEntry { state: EngineState::Draining, ..site.entry("w0a") });
    with.wait_for_endpoints(&["r0a"], 5.0);
    // One that gives no name hears nothing more, and serves on from what it knows.
    site.wait_for_endpoints(&["r0a", "w0a"], 0.5);
    site.assert_serves("q");
}
