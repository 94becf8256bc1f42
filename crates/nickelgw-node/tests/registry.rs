//! A node that follows an etcd-like registry through its bad days.

mod common;

use common::{figures, listener, World};
use nickelgw_node::discovery::RegistryOptions;
use nickelgw_node::EndpointSource;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use nickelgw_registry::core::membership::MembershipConfig;
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
    let member = MembershipConfig {
        lease_s: LEASE_S,
        margin_s: 0.5,
        max_staleness_s: 1.0,
        ..MembershipConfig::default()
    };
    EndpointSource::Registry(RegistryOptions {
        endpoints: endpoints.iter().map(|e| e.to_string()).collect(),
        tls_name: None,
        engines: ENGINES.into(),
        nodes: Some("nickelgw/nodes/".into()),
        user,
        member,
    })
}

/// Engines, a registry that has their lines, and a node that follows it; its list goes to a file, which is how a test
/// sees what it believes.
struct Site {
    w: World,
    lines: Vec<EndpointEntry>,
    kept: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.kept);
    }
}

fn registry(w: &World) -> String {
    let (l, address) = listener();
    let record = w.record.for_source("registry");
    thread::spawn(move || smol::block_on(nickelgw_test_servers::registry::run(l, record)));
    address
}

fn order(address: &str, v: Value) -> Value {
    smol::block_on(client::control(address, &v)).expect("the registry is there")
}

fn put(address: &str, l: &EndpointEntry) {
    order(address, json!({"order": "put", "key": format!("{ENGINES}{}", l.id), "value": l}));
}

impl Site {
    fn new(name: &str, ids: &[&str]) -> Site {
        let mut w = World::new(Vec::new());
        let lines: Vec<EndpointEntry> = ids.iter().map(|id| w.engine(figures(id))).collect();
        w.list = registry(&w);
        lines.iter().for_each(|l| put(&w.list, l));
        let kept = std::env::temp_dir().join(format!("nickelgw-registry-{name}-{}", std::process::id()));
        let mut s = common::start(&w.list);
        (s.endpoint_source, s.endpoint_cache) = (source(&[&w.list]), Some(kept.clone()));
        w.node = common::serve(s);
        let site = Site { w, lines, kept };
        site.sees(ids, 5.0);
        site
    }

    fn order(&self, v: Value) {
        order(&self.w.list, v);
    }

    /// What the node believes to be in.
    fn believed(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.kept).unwrap_or_default();
        let v: Value = serde_json::from_str(&text).unwrap_or_default();
        let inside = v["engines"].as_array().into_iter().flatten().filter(|l| l["state"] == "in");
        inside.filter_map(|l| l["id"].as_str().map(String::from)).collect()
    }

    fn sees(&self, ids: &[&str], within_s: f64) -> f64 {
        let from = Instant::now();
        let mut want: Vec<&str> = ids.to_vec();
        want.sort_unstable();
        while self.believed() != want {
            assert!(from.elapsed().as_secs_f64() < within_s, "{:?}, not {want:?}", self.believed());
            thread::sleep(Duration::from_millis(10));
        }
        from.elapsed().as_secs_f64()
    }

    fn serves(&self, req: &str) {
        let seen = self.w.play(self.w.ask(req, "chat"));
        assert_eq!(seen.outcome, "completed", "{seen:?}");
    }

    fn line(&self, id: &str) -> EndpointEntry {
        self.lines.iter().find(|l| l.id == id).unwrap().clone()
    }
}

#[test]
fn changes_are_seen_at_once_and_through_breaks() {
    let s = Site::new("breaks", &["r0a", "r1a", "w0a", "w1a"]);
    s.serves("first");
    put(&s.w.list, &EndpointEntry { state: EngineState::Draining, ..s.line("w1a") });
    assert!(s.sees(&["r0a", "r1a", "w0a"], 5.0) < 1.0);
    // Back, and replaced in one batch.
    put(&s.w.list, &s.line("w1a"));
    s.sees(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    s.order(json!({"order": "replace", "key": format!("{ENGINES}r1a"), "value": s.line("r1a")}));
    // While it is away, and its history compacted, something changes.
    s.order(json!({"order": "restart", "for_s": 0.6}));
    s.order(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    s.order(json!({"order": "compact"}));
    s.sees(&["r0a", "r1a", "w0a"], 5.0);
    s.serves("after a compaction");
    s.order(json!({"order": "refuse", "for_s": 0.5}));
    s.order(json!({"order": "restart", "for_s": 0.0}));
    put(&s.w.list, &s.line("w1a"));
    s.sees(&["r0a", "r1a", "w0a", "w1a"], 5.0);
    s.serves("after refusals");
}

#[test]
fn a_watch_that_is_open_but_silent_is_noticed() {
    let s = Site::new("silent", &["r0a", "w0a", "w1a"]);
    s.order(json!({"order": "stall", "for_s": 5.0}));
    s.order(json!({"order": "delete", "key": format!("{ENGINES}w1a")}));
    s.sees(&["r0a", "w0a"], 8.0);
    s.serves("q");
}

#[test]
fn an_empty_registry_amid_service_costs_nothing_and_its_dead_engines_go() {
    let s = Site::new("empty", &["r0a", "r1a", "w0a", "w1a"]);
    s.w.control("w1a", json!({"fault": "die"}));
    s.order(json!({"order": "empty", "key": ENGINES}));
    // The one that does not answer is gone indeed.
    s.sees(&["r0a", "r1a", "w0a"], 5.0);
    for n in 0..5 {
        s.serves(&format!("q{n}"));
    }
    // A drain in the meantime acts at once.
    put(&s.w.list, &EndpointEntry { state: EngineState::Draining, ..s.line("r1a") });
    s.sees(&["r0a", "w0a"], 5.0);
    ["r0a", "w0a"].iter().for_each(|id| put(&s.w.list, &s.line(id)));
    s.serves("again");
    s.sees(&["r0a", "w0a"], 1.0);
}

#[test]
fn a_registry_restored_from_before_is_followed_again() {
    let s = Site::new("restored", &["r0a", "w0a"]);
    s.order(json!({"order": "save"}));
    let mut w = World::new(Vec::new());
    let extra = w.engine(figures("w2a"));
    put(&s.w.list, &extra);
    s.sees(&["r0a", "w0a", "w2a"], 5.0);
    s.order(json!({"order": "roll_back"}));
    s.sees(&["r0a", "w0a"], 10.0);
    put(&s.w.list, &extra);
    s.sees(&["r0a", "w0a", "w2a"], 5.0);
    s.serves("q");
}

#[test]
fn unreachable_at_start_it_serves_from_the_last_list_and_without_one_it_says_so() {
    let s = Site::new("start", &["r0a", "w0a"]);
    let (l, nobody) = listener();
    drop(l);
    let health = |node: &str| {
        let call = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        client::response_status(&smol::block_on(client::send_raw(node, &[call], 0.0, 1.0)))
    };
    let mut with = common::start(&nobody);
    (with.endpoint_source, with.endpoint_cache) = (source(&[&nobody]), Some(s.kept.clone()));
    let from = Instant::now();
    let node = common::serve(with);
    while health(&node) != 200 {
        assert!(from.elapsed() < Duration::from_secs(3));
    }
    let mut ask = s.w.ask("from the last", "chat");
    ask.address = node;
    assert_eq!(s.w.play(ask).outcome, "completed");
    let mut without = common::start(&nobody);
    without.endpoint_source = source(&[&nobody, &s.w.list]);
    // Its second endpoint is there: it is found.
    let node = common::serve(without);
    let from = Instant::now();
    while health(&node) != 200 {
        assert!(from.elapsed() < Duration::from_secs(5));
    }
    let mut none = common::start(&nobody);
    none.endpoint_source = source(&[&nobody]);
    let node = common::serve(none);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(health(&node), 503);
}

#[test]
fn nodes_take_their_places_and_leave_them_with_their_lease() {
    let s = Site::new("places", &["r0a", "w0a"]);
    let keys = || order(&s.w.list, json!({"order": "slow", "for_s": 0.0}))["keys"].as_i64().unwrap();
    let until = |n: i64, within_s: f64| {
        let from = Instant::now();
        while keys() != n {
            assert!(from.elapsed().as_secs_f64() < within_s, "{} keys, not {n}", keys());
            thread::sleep(Duration::from_millis(20));
        }
    };
    // Two engines and the first node's place.
    until(3, 5.0);
    let mut second = common::start(&s.w.list);
    second.name = "node1".into();
    second.endpoint_source = source(&[&s.w.list]);
    let (tell, orders) = async_channel::bounded(4);
    second.signals = orders;
    second.shutdown.announce_s = 0.0;
    let (_, exit) = common::serve_until(second);
    until(4, 5.0);
    tell.send_blocking(nickelgw_node::ProcessSignal::Drain).unwrap();
    exit.join().unwrap();
    // Its place goes with its lease, not before.
    until(3, LEASE_S + 3.0);
}

#[test]
fn a_file_of_engines_is_followed_and_a_half_written_one_changes_nothing() {
    let mut w = World::new(Vec::new());
    let lines: Vec<EndpointEntry> = ["r0a", "w0a", "w1a"].iter().map(|id| w.engine(figures(id))).collect();
    let path = std::env::temp_dir().join(format!("nickelgw-file-{}", std::process::id()));
    let text =
        |lines: &[EndpointEntry]| serde_json::to_string(&json!({"revision": 1, "engines": lines})).unwrap();
    std::fs::write(&path, text(&lines)).unwrap();
    let kept = path.with_extension("kept");
    let mut s = common::start("");
    (s.endpoint_source, s.endpoint_cache) = (EndpointSource::File(path.clone()), Some(kept.clone()));
    w.node = common::serve(s);
    let site = Site { w, lines: lines.clone(), kept };
    site.sees(&["r0a", "w0a", "w1a"], 5.0);
    site.serves("q");
    let whole = text(&lines[..2]);
    std::fs::write(&path, &whole[..whole.len() / 2]).unwrap();
    thread::sleep(Duration::from_millis(700));
    site.sees(&["r0a", "w0a", "w1a"], 0.1);
    std::fs::write(&path, &whole).unwrap();
    site.sees(&["r0a", "w0a"], 5.0);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn it_signs_in_and_again_when_its_token_is_refused() {
    let s = Site::new("users", &["r0a", "w0a"]);
    s.order(json!({"order": "auth", "user": "gw", "password": "secret"}));
    let kept = s.kept.with_extension("user");
    let mut with = common::start(&s.w.list);
    with.endpoint_source = source_of(&[&s.w.list], Some(("gw".into(), "secret".into())));
    with.endpoint_cache = Some(kept.clone());
    common::serve(with);
    let with = Site { w: World::new(Vec::new()), lines: Vec::new(), kept };
    with.sees(&["r0a", "w0a"], 5.0);
    s.order(json!({"order": "auth", "user": "gw", "password": "secret"}));
    put(&s.w.list, &EndpointEntry { state: EngineState::Draining, ..s.line("w0a") });
    with.sees(&["r0a"], 5.0);
    // One that gives no name hears nothing more, and serves on from what it knows.
    s.sees(&["r0a", "w0a"], 0.5);
    s.serves("q");
}
