//! Node processes in three zones, test engines, an endpoint list for the nodes of each zone, and relays
//! before all engines and nodes.

mod node;
mod traffic;

use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_test_servers::client;
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::relay::{self, Link, Mode};
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub use node::Node;
pub use traffic::served_fraction;

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Key of the fleet's gossip.
pub const GOSSIP_KEY: &str = "the secret of a fleet on loopback";
/// A state that a test waits for must occur within this time.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reserves the machine for one test's fleet: each fleet has up to a dozen processes.
pub fn exclusive() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::new(());
    FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A test engine and the relays to it.
pub struct Engine {
    pub id: String,
    pub zone: &'static str,
    pub role: Role,
    pub address: SocketAddr,
    /// Relays to the engine: one for the nodes of each zone, in the order of `ZONES`.
    pub relays: Vec<Link>,
}

/// Running nodes, engines, endpoint lists and relays, and the record of what they did.
pub struct TestFleet {
    pub nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// Address of each zone's endpoint list.
    lists: Vec<String>,
    pub record: Recorder,
    dir: PathBuf,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|node| node.kill());
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns an engine's entry in the endpoint lists.
fn endpoint_entry(engine: &EngineConfig, address: SocketAddr, started_at: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        id: engine.id.clone(),
        address: address.to_string(),
        zone: engine.zone.clone(),
        cell: 0,
        role: if engine.role == Role::Prefill { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: engine.memory_tokens,
        state: EngineState::Active,
        started_at,
        tls_name: None,
    }
}

fn spawn<F: std::future::Future>(server: impl FnOnce() -> F + Send + 'static) {
    thread::spawn(move || drop(smol::block_on(server())));
}

/// Numbers and settings of a fleet's nodes and engines.
pub struct FleetPlan<'a> {
    /// Number of nodes in each zone.
    pub nodes: usize,
    /// Number of engines of each role in each zone.
    pub engines: usize,
    /// Whether the nodes gossip.
    pub with_gossip: bool,
    /// Settings in addition to the default ones. `FILE` is replaced with the path of the node's file of
    /// deferred requests.
    pub more_settings: &'a str,
    pub engine: EngineConfig,
}

impl Default for FleetPlan<'_> {
    fn default() -> Self {
        let engine = EngineConfig {
            mean_output_tokens: 4,
            prefill_base_s: 0.004,
            decode_step_s: 0.004,
            slots: 64,
            ..EngineConfig::default()
        };
        FleetPlan { nodes: 2, engines: 3, with_gossip: true, more_settings: "", engine }
    }
}

/// Starts an engine, and a relay to it for the nodes of each zone, and adds its entry to the list of each
/// zone.
fn spawn_engine(
    engine: EngineConfig,
    zone: &'static str,
    seed: u64,
    record: &Recorder,
    entries_by_zone: &mut [Vec<EndpointEntry>],
) -> Engine {
    let (listener, address) = bind();
    let own_record = record.for_source(&engine.id);
    let config = engine.clone();
    spawn(move || nickelgw_test_servers::engine::run(listener, config, own_record, seed));
    let mut relays = Vec::new();
    for entries in entries_by_zone {
        let (listener, relayed_address) = bind();
        let relay = Link::default();
        let running = relay.clone();
        spawn(move || relay::tcp(listener, address, running));
        relays.push(relay);
        entries.push(endpoint_entry(&engine, relayed_address, None));
    }
    Engine { id: engine.id, zone, role: engine.role, address, relays }
}

fn spawn_list(entries: Vec<EndpointEntry>) -> String {
    let (listener, address) = bind();
    spawn(move || nickelgw_test_servers::list::run(listener, entries, 0.0, Recorder::default()));
    address.to_string()
}

impl TestFleet {
    pub fn new(name: &str, plan: FleetPlan) -> TestFleet {
        let dir = std::env::temp_dir().join(format!("nickelgw-fleet-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let record = Recorder::memory("driver");
        let rules = json!({"drain_grace_s": 0.5, "hold_limit_s": 0.5, "slack_s": 1.0,
            "routes": {"chat": {"repeat": "retriable"}, "booking": {"repeat": "non_retriable"}}});
        record.record("rules", rules);
        let mut engines = Vec::new();
        let mut entries_by_zone: Vec<Vec<EndpointEntry>> = vec![Vec::new(); ZONES.len()];
        for zone in ZONES {
            for (role, letter) in [(Role::Prefill, 'r'), (Role::Decode, 'w')] {
                for number in 0..plan.engines {
                    let id = format!("{zone}-{letter}{number}");
                    let engine = EngineConfig { id, zone: zone.into(), role, ..plan.engine.clone() };
                    let seed = number as u64;
                    engines.push(spawn_engine(engine, zone, seed, &record, &mut entries_by_zone));
                }
            }
        }
        let lists: Vec<String> = entries_by_zone.into_iter().map(spawn_list).collect();
        let nodes = new_nodes(&plan, &lists, &dir);
        let fleet = TestFleet { nodes, engines, lists, record, dir };
        fleet.nodes.iter().for_each(Node::start);
        if plan.with_gossip {
            let count = fleet.nodes.len() as f64;
            fleet.wait_until("all nodes hear of all", || {
                fleet.nodes.iter().all(|node| node.metric("nodes") == Some(count))
            });
        }
        fleet
    }

    /// Waits until the condition holds. Returns how long that took.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) -> Duration {
        let started_at = Instant::now();
        while !condition() {
            assert!(started_at.elapsed() < STATE_TIMEOUT, "did not happen within {STATE_TIMEOUT:?}: {what}");
            thread::sleep(Duration::from_millis(10));
        }
        started_at.elapsed()
    }

    /// Sends a control command to all engines of a zone.
    pub fn control_engines(&self, zone: &str, order: &Value) {
        for engine in self.engines.iter().filter(|engine| engine.zone == zone) {
            let answer = smol::block_on(client::control(&engine.address.to_string(), order));
            answer.expect("the engine must respond to a control command");
        }
    }

    /// Makes all engines of a zone silent for `for_s` seconds.
    pub fn silence_zone(&self, zone: &str, for_s: f64) {
        self.control_engines(zone, &json!({"fault": "silence", "for_s": for_s}));
    }

    /// Sets the mode of the relays from the nodes of zone `from` to the engines of zone `to`.
    pub fn set_relays(&self, from: &str, to: &str, mode: Mode) {
        let from = ZONES.iter().position(|zone| *zone == from).unwrap();
        for engine in self.engines.iter().filter(|engine| engine.zone == to) {
            engine.relays[from].set_mode(mode);
        }
    }

    pub fn nodes_of(&self, zone: &'static str) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| node.zone == zone)
    }

    /// Replaces a zone's engines with new, cold engines under new IDs.
    pub fn replace_engines(&self, zone: &'static str, config: &EngineConfig) {
        for old in self.engines.iter().filter(|engine| engine.zone == zone) {
            let id = format!("{}-anew", old.id);
            let engine =
                EngineConfig { id, zone: zone.into(), role: old.role, slow_start: true, ..config.clone() };
            let (listener, address) = bind();
            let record = self.record.for_source(&engine.id);
            let entry = endpoint_entry(&engine, address, Some(unix_now()));
            spawn(move || nickelgw_test_servers::engine::run(listener, engine, record, 1));
            for list in &self.lists {
                control_list(list, &json!({"line": entry}));
                control_list(list, &json!({"remove": old.id}));
            }
        }
    }

    /// Whether all nodes of the zones `node_zones` give the zone `zone` this traffic weight.
    pub fn all_weights_are(&self, node_zones: &[&'static str], zone: &str, weight: f64) -> bool {
        node_zones.iter().all(|of| self.nodes_of(of).all(|node| node.zone_weight(zone) == Some(weight)))
    }

    /// Sets the mode of the relays for datagrams between the two halves of the fleet.
    pub fn partition(&self, mode: Mode) {
        let half = self.nodes.len() / 2;
        for (receiver_number, receiver) in self.nodes.iter().enumerate() {
            for (sender_number, sender) in self.nodes.iter().enumerate() {
                if (sender_number < half) != (receiver_number < half) {
                    receiver.gossip_relay.set_sender_mode(sender.gossip_address, mode);
                }
            }
        }
    }

    /// Returns the number of attempts that reached engines of a zone between two times (Unix time).
    pub fn attempts(&self, zone: &str, from: f64, to: f64) -> usize {
        let is_in_zone = |id: &str| self.engines.iter().any(|engine| engine.zone == zone && engine.id == id);
        let lines = self.record.entries();
        let attempts = lines
            .iter()
            .filter(|line| line["ev"] == "send" && is_in_zone(line["who"].as_str().unwrap_or("")));
        attempts.filter(|line| line["t"].as_f64().is_some_and(|at| at >= from && at < to)).count()
    }

    /// Audits the record, without the requests to one node.
    fn audit_report(&self, except_node: &str) -> nickelgw_audit::AuditReport {
        let mut lines: Vec<_> =
            self.record.entries().iter().filter_map(nickelgw_audit::RecordEntry::from_json).collect();
        lines.retain(|line| line.event != "ask" || line.text("node") != except_node);
        nickelgw_audit::sort_by_time(&mut lines);
        nickelgw_audit::audit(&lines)
    }

    /// Returns the highest load of a cold engine, as a share of the load that overloads it.
    pub fn max_slow_start_load(&self) -> f64 {
        self.audit_report("").max_slow_start_load
    }

    /// Returns the violations that the auditor finds in the record.
    pub fn violations(&self) -> Vec<String> {
        self.violations_except("")
    }

    /// Returns the violations that the auditor finds, without the requests to this node.
    pub fn violations_except(&self, node: &str) -> Vec<String> {
        let report = self.audit_report(node);
        assert!(
            report.checked.get("lost").is_some_and(|cases| *cases > 0),
            "the rule \"lost\" was checked in no case"
        );
        let violations = report.violations.iter().take(10);
        violations.map(|found| format!("{}: {}", found.rule.name(), found.description)).collect()
    }

    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "rules were violated: {violations:?}");
    }
}

fn control_list(list: &str, order: &Value) {
    smol::block_on(client::control(list, order))
        .expect("the endpoint list must respond to a control command");
}

/// Creates the nodes, which are not started yet, and assigns them to the zones in turn.
fn new_nodes(plan: &FleetPlan, lists: &[String], dir: &Path) -> Vec<Node> {
    static FLEETS: AtomicUsize = AtomicUsize::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let mut nodes: Vec<Node> = Vec::new();
    for number in 0..plan.nodes * ZONES.len() {
        // Each node has a loopback address of its own, where nothing else takes the ports that it listens on
        // after a restart.
        let node_address =
            format!("127.{}.{}.{}:0", 1 + std::process::id() % 250, 1 + fleet % 250, 1 + number);
        let gossip_address = UdpSocket::bind(&node_address).unwrap().local_addr().unwrap();
        let free_address = || TcpListener::bind(&node_address).unwrap().local_addr().unwrap();
        let (chat, admin) = (free_address(), free_address());
        let (relay_socket, gossip_relay) = (UdpSocket::bind("127.0.0.1:0").unwrap(), Link::default());
        let relay_address = relay_socket.local_addr().unwrap();
        let running = gossip_relay.clone();
        spawn(move || relay::udp(relay_socket, gossip_address, running));
        // The settings name up to two other nodes; each node learns of the rest by gossip.
        let peers: String =
            nodes.iter().take(2).map(|peer| format!(" peer: '{}'", peer.relay_address)).collect();
        let gossip = format!(
            "accord {{ listen: '{gossip_address}' address: '{relay_address}'{peers} key: '{GOSSIP_KEY}' step_ms: 500 }}\n"
        );
        let name = format!("node{number}");
        let file = dir.join(format!("{name}.txtpb"));
        let deferred_file = dir.join(format!("{name}.parked")).display().to_string();
        let zone = number % ZONES.len();
        let settings = format!(
            "name: '{name}' number: {number} nodes: {} zone: '{}' zones: 'a' zones: 'b' zones: 'c' seed: {number}\n\
             listen: '{chat}' list: '{}' admin: '{admin}'\n\
             model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 4000 }}\n\
             leaving {{ notice_ms: 50 grace_ms: 2000 end_ms: 500 }}\n{}{}\n",
            plan.nodes * ZONES.len(),
            ZONES[zone],
            lists[zone],
            if plan.with_gossip { gossip } else { String::new() },
            plan.more_settings.replace("FILE", &deferred_file),
        );
        nodes.push(Node {
            name,
            zone: ZONES[zone],
            gossip_address,
            relay_address,
            gossip_relay,
            address: chat.to_string(),
            admin: admin.to_string(),
            child: Mutex::new(None),
            settings,
            file,
        });
    }
    nodes
}
