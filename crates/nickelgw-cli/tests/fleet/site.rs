//! Nodes as processes over three zones, stand-in engines of a list for each zone, and a relay between any two parties.

use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_test_servers::client::{self, ChatCall};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::relay::{self, Link, Mode};
use nickelgw_test_servers::Recorder;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const SECRET: &str = "the secret of a fleet on loopback";
/// One site at a time: each is a dozen processes' worth of work.
pub fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(|e| e.into_inner())
}

pub struct Node {
    pub name: String,
    pub zone: &'static str,
    /// Its own port for datagrams, and the relay before it.
    pub port: SocketAddr,
    pub relay: SocketAddr,
    pub way: Link,
    pub address: Mutex<String>,
    pub admin: Mutex<String>,
    child: Mutex<Option<Child>>,
    settings: String,
    file: PathBuf,
}

pub struct Engine {
    pub id: String,
    pub zone: &'static str,
    pub role: Role,
    pub address: SocketAddr,
    /// From each zone's nodes.
    pub ways: Vec<Link>,
}

pub struct Site {
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub lists: Vec<String>,
    pub record: Recorder,
    dir: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|n| n.kill());
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn bind() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let a = l.local_addr().unwrap();
    (l, a)
}

/// An engine as the lists have it.
fn line(f: &EngineConfig, address: SocketAddr, started_at: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        id: f.id.clone(),
        address: address.to_string(),
        zone: f.zone.clone(),
        cell: 0,
        role: if f.role == Role::Prefill { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: f.memory_tokens,
        state: EngineState::Active,
        started_at,
        tls_name: None,
    }
}

fn spawn<F: std::future::Future>(f: impl FnOnce() -> F + Send + 'static) {
    thread::spawn(move || drop(smol::block_on(f())));
}

/// What a site is: how many nodes in each zone, whether they tell each other, and what else their settings say.
pub struct Plan<'a> {
    pub nodes: usize,
    /// Of each role, in each zone.
    pub engines: usize,
    pub exchange: bool,
    pub more: &'a str,
    pub engine: EngineConfig,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        let engine = EngineConfig {
            mean_output_tokens: 4,
            prefill_base_s: 0.004,
            decode_step_s: 0.004,
            slots: 64,
            ..EngineConfig::default()
        };
        Plan { nodes: 2, engines: 3, exchange: true, more: "", engine }
    }
}

impl Site {
    pub fn new(name: &str, plan: Plan) -> Site {
        let dir = std::env::temp_dir().join(format!("nickelgw-fleet-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        static SITES: AtomicUsize = AtomicUsize::new(0);
        let at = SITES.fetch_add(1, Ordering::Relaxed);
        let record = Recorder::memory("driver");
        let rules = json!({"drain_grace_s": 0.5, "hold_limit_s": 0.5, "slack_s": 1.0,
            "routes": {"chat": {"repeat": "retriable"}, "booking": {"repeat": "non_retriable"}}});
        record.record("rules", rules);
        let mut engines = Vec::new();
        let mut lines: Vec<Vec<EndpointEntry>> = vec![Vec::new(); ZONES.len()];
        for zone in ZONES {
            for (role, letter) in [(Role::Prefill, 'r'), (Role::Decode, 'w')] {
                for n in 0..plan.engines {
                    let id = format!("{zone}-{letter}{n}");
                    let f = EngineConfig { id: id.clone(), zone: zone.into(), role, ..plan.engine.clone() };
                    let (l, address) = bind();
                    let of = record.for_source(&id);
                    let own = f.clone();
                    spawn(move || nickelgw_test_servers::engine::run(l, own, of, n as u64));
                    let mut ways = Vec::new();
                    for lines in &mut lines {
                        let (l, relayed) = bind();
                        let way = Link::default();
                        let w = way.clone();
                        spawn(move || relay::tcp(l, address, w));
                        ways.push(way);
                        lines.push(line(&f, relayed, None));
                    }
                    engines.push(Engine { id, zone, role, address, ways });
                }
            }
        }
        let lists: Vec<String> = lines
            .into_iter()
            .map(|lines| {
                let (l, a) = bind();
                spawn(move || nickelgw_test_servers::list::run(l, lines, 0.0, Recorder::default()));
                a.to_string()
            })
            .collect();
        let mut nodes: Vec<Node> = Vec::new();
        for n in 0..plan.nodes * ZONES.len() {
            let zone = n % ZONES.len();
            // Ports that a node started anew can listen on again: on an address of its own nothing else takes them.
            let own = format!("127.{}.{}.{}:0", 1 + std::process::id() % 250, 1 + at % 250, 1 + n);
            let port = UdpSocket::bind(&own).unwrap().local_addr().unwrap();
            let free = || TcpListener::bind(&own).unwrap().local_addr().unwrap();
            let (chat, admin) = (free(), free());
            let (socket, way) = (UdpSocket::bind("127.0.0.1:0").unwrap(), Link::default());
            let relay = socket.local_addr().unwrap();
            let w = way.clone();
            spawn(move || relay::udp(socket, port, w));
            // Each is told of two others; of the rest it hears.
            let peers: String = nodes.iter().take(2).map(|p| format!(" peer: '{}'", p.relay)).collect();
            let accord = format!(
                "accord {{ listen: '{port}' address: '{relay}'{peers} key: '{SECRET}' step_ms: 500 }}\n"
            );
            let settings = format!(
                "name: 'node{n}' number: {n} nodes: {} zone: '{}' zones: 'a' zones: 'b' zones: 'c' seed: {n}\n\
                 listen: '{chat}' list: '{}' admin: '{admin}'\n\
                 model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 4000 }}\n\
                 leaving {{ notice_ms: 50 grace_ms: 2000 end_ms: 500 }}\n{}{}\n",
                plan.nodes * ZONES.len(),
                ZONES[zone],
                lists[zone],
                if plan.exchange { accord } else { String::new() },
                plan.more.replace("FILE", &dir.join(format!("node{n}.parked")).display().to_string()),
            );
            let name = format!("node{n}");
            let file = dir.join(format!("{name}.txtpb"));
            nodes.push(Node {
                name,
                zone: ZONES[zone],
                port,
                relay,
                way,
                address: Mutex::new(chat.to_string()),
                admin: Mutex::new(admin.to_string()),
                child: Mutex::new(None),
                settings,
                file,
            });
        }
        let site = Site { nodes, engines, lists, record, dir };
        site.nodes.iter().for_each(Node::start);
        if plan.exchange {
            let all = site.nodes.len() as f64;
            site.wait("all nodes hear of all", || site.nodes.iter().all(|n| n.metric("nodes") == Some(all)));
        }
        site
    }

    pub fn wait(&self, what: &str, seen: impl Fn() -> bool) -> Duration {
        let from = Instant::now();
        while !seen() {
            assert!(from.elapsed() < Duration::from_secs(20), "not seen in twenty seconds: {what}");
            thread::sleep(Duration::from_millis(10));
        }
        from.elapsed()
    }

    /// What the engines of a zone are made to do.
    pub fn fault(&self, zone: &str, order: &Value) {
        for e in self.engines.iter().filter(|e| e.zone == zone) {
            smol::block_on(client::control(&e.address.to_string(), order)).expect("an engine that listens");
        }
    }

    /// What the ways from one zone's nodes to another's engines do.
    pub fn ways(&self, from: &str, to: &str, mode: Mode) {
        let k = ZONES.iter().position(|z| *z == from).unwrap();
        self.engines.iter().filter(|e| e.zone == to).for_each(|e| e.ways[k].set_mode(mode));
    }

    pub fn of_zone(&self, zone: &'static str) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |n| n.zone == zone)
    }

    /// In place of a zone's engines come new ones, cold, under new names; the old ones are off the lists.
    pub fn renew(&self, zone: &'static str, figures: &EngineConfig) {
        let tell = |list: &str, order: Value| {
            smol::block_on(client::control(list, &order)).expect("a list that listens");
        };
        for e in self.engines.iter().filter(|e| e.zone == zone) {
            let id = format!("{}-anew", e.id);
            let f = EngineConfig {
                id: id.clone(),
                zone: zone.into(),
                role: e.role,
                slow_start: true,
                ..figures.clone()
            };
            let (l, address) = bind();
            let of = self.record.for_source(&id);
            let line = line(&f, address, Some(unix_now()));
            spawn(move || nickelgw_test_servers::engine::run(l, f, of, 1));
            for list in &self.lists {
                tell(list, json!({"line": line}));
                tell(list, json!({"remove": e.id}));
            }
        }
    }

    /// Whether all nodes of these zones give a zone this part.
    pub fn all_give(&self, zones: &[&'static str], zone: &str, part: f64) -> bool {
        zones.iter().all(|z| self.of_zone(z).all(|n| n.part(zone) == Some(part)))
    }

    /// Parts the fleet's datagrams: no node of the one half hears one of the other.
    pub fn part_fleet(&self, mode: Mode) {
        let half = self.nodes.len() / 2;
        for (n, to) in self.nodes.iter().enumerate() {
            for from in self.nodes.iter().enumerate().filter(|f| (f.0 < half) != (n < half)) {
                to.way.set_sender_mode(from.1.port, mode);
            }
        }
    }

    /// Clients that ask each node so often a second, until told to stop.
    pub fn traffic(self: &Arc<Self>, each_s: f64) -> Traffic {
        self.traffic_of(each_s, None)
    }

    /// With a tenant's key.
    pub fn traffic_of(self: &Arc<Self>, each_s: f64, key: Option<&'static str>) -> Traffic {
        static RUNS: AtomicUsize = AtomicUsize::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(Mutex::new(Vec::new()));
        let client = |n: usize| {
            let (site, stop, asked) = (self.clone(), stop.clone(), asked.clone());
            thread::spawn(move || {
                let ex = smol::LocalExecutor::new();
                let asking = async {
                    let mut tasks = Vec::new();
                    let began = Instant::now();
                    for k in 0.. {
                        let at = Duration::from_secs_f64(f64::from(k) / each_s);
                        smol::Timer::at(began + at).await;
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                        let (site, asked) = (site.clone(), asked.clone());
                        tasks.push(ex.spawn(async move {
                            let node = &site.nodes[n];
                            let address = node.address.lock().unwrap().clone();
                            let ask = ChatCall {
                                request_id: format!("q{run}-{n}-{k}"),
                                node: node.name.clone(),
                                address,
                                model: "chat".into(),
                                api_key: key.map(str::to_string),
                                prompt: format!("session {k} of {n}: tell me more"),
                                stream: true,
                                timeout_s: 4.0,
                                ttft_target_s: 1.0,
                                intended_start: unix_now(),
                                ..ChatCall::default()
                            };
                            let (at, seen) = (unix_now(), client::call(&ask, &site.record).await);
                            asked.lock().unwrap().push((at, n, seen));
                        }));
                    }
                    for t in tasks {
                        t.await;
                    }
                };
                smol::block_on(ex.run(asking));
            })
        };
        let clients = (0..self.nodes.len()).map(client).collect();
        Traffic { stop, asked, clients }
    }

    /// Sends that reached engines of a zone between two moments (Unix time).
    pub fn sends(&self, zone: &str, from: f64, to: f64) -> usize {
        let of_zone = |who: &str| self.engines.iter().any(|e| e.zone == zone && e.id == who);
        let lines = self.record.entries();
        let sent = lines.iter().filter(|l| l["ev"] == "send" && of_zone(l["who"].as_str().unwrap_or("")));
        sent.filter(|l| l["t"].as_f64().is_some_and(|t| t >= from && t < to)).count()
    }

    fn verdict(&self, but: &str) -> nickelgw_audit::AuditReport {
        let mut lines: Vec<_> =
            self.record.entries().iter().filter_map(nickelgw_audit::RecordEntry::from_json).collect();
        lines.retain(|l| l.event != "ask" || l.text("node") != but);
        nickelgw_audit::sort_by_time(&mut lines);
        nickelgw_audit::audit(&lines)
    }

    /// Nearest that a cold engine came to being pushed over, as a part of what it stands.
    pub fn nearest_cold(&self) -> f64 {
        self.verdict("").max_slow_start_load
    }

    /// What the auditor finds wrong in all that crossed the wire.
    pub fn breaks(&self) -> Vec<String> {
        self.breaks_but("")
    }

    /// Leaving out what was asked of this node.
    pub fn breaks_but(&self, node: &str) -> Vec<String> {
        let verdict = self.verdict(node);
        assert!(verdict.checked.get("lost").is_some_and(|n| *n > 0), "nothing was judged");
        verdict.violations.iter().take(10).map(|b| format!("{}: {}", b.rule.name(), b.description)).collect()
    }
}

/// When it was asked, at which node, and what came of it.
pub type Asked = (f64, usize, Option<client::CallResult>);

pub struct Traffic {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub fn end(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| c.join().unwrap());
        let mut all = std::mem::take(&mut *self.asked.lock().unwrap());
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all
    }
}

/// Part of those asked between two moments that were served within their target.
pub fn served(all: &[Asked], from: f64, to: f64) -> f64 {
    let some: Vec<_> = all.iter().filter(|a| a.0 >= from && a.0 < to).collect();
    let good = |s: &client::CallResult| s.outcome == "completed" && s.ttft_s.is_some_and(|f| f <= 1.0);
    some.iter().filter(|a| a.2.as_ref().is_some_and(good)).count() as f64 / some.len().max(1) as f64
}

impl Node {
    pub fn start(&self) {
        std::fs::write(&self.file, &self.settings).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.file.with_extension("log"));
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
            .args(["--log-level", "info", "serve", "--config"])
            .arg(&self.file)
            .stdout(Stdio::piped())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        assert!(lines.any(|l| l.is_ok_and(|l| l == "serving")), "{} did not come to serve", self.name);
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, s: Signal) {
        let child = self.child.lock().unwrap();
        kill_process(Pid::from_child(child.as_ref().unwrap()), s).unwrap();
    }

    /// Until it has ended by itself.
    pub fn ended(&self) {
        let mut child = self.child.lock().unwrap().take().unwrap();
        let from = Instant::now();
        while child.try_wait().unwrap().is_none() {
            assert!(from.elapsed() < Duration::from_secs(15), "{} has not ended", self.name);
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn parked_file(&self) -> PathBuf {
        self.file.with_extension("parked")
    }

    /// A call of the chat API: status and body.
    pub fn call(&self, method: &str, path: &str, key: &str, body: &str) -> (u16, Value) {
        let address = self.address.lock().unwrap().clone();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let raw = smol::block_on(client::send_raw(&address, &[text.as_bytes()], 0.0, 5.0));
        let body = String::from_utf8_lossy(&raw).to_string();
        let body = body.split_once("\r\n\r\n").map_or("", |b| b.1);
        (client::response_status(&raw), serde_json::from_str(body).unwrap_or_default())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }

    /// A metric by its name and labels, as the operators' port has it.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let address = self.admin.lock().unwrap().clone();
        let head = format!("GET /metrics HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        let answer = smol::block_on(client::send_raw(&address, &[head.as_bytes()], 0.0, 1.0));
        let text = String::from_utf8_lossy(&answer).to_string();
        let name = format!("nickelgw_{name} ");
        text.lines().find_map(|l| l.strip_prefix(&name)).and_then(|v| v.trim().parse().ok())
    }

    /// The part of the traffic that it gives a zone.
    pub fn part(&self, zone: &str) -> Option<f64> {
        self.metric(&format!("zone_part{{zone=\"{zone}\"}}"))
    }
}
