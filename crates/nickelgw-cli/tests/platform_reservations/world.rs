//! One node's process, engines behind proxies, and clients.

use crate::common::{line, peer, plain, Peer, Then, LONG};
use crate::processes::{configured, start_with, Node};
use nickelgw_test_servers::platform::{
    send_request, ClientRequest, Engine, Outcome, Proxy, RequestTable, Role, RuleLimits,
};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a client waits for a first event.
pub const TIMEOUT: Duration = Duration::from_secs(4);
/// Descriptors of a node.
const DESCRIPTORS: usize = 256;

/// An engine and the proxy in front of it.
pub struct Place {
    pub engine: Engine,
    pub proxy: Proxy,
}

pub struct World {
    pub table: Arc<RequestTable>,
    places: Vec<Place>,
    pub node: Node,
    log: std::path::PathBuf,
    /// What discovery tells next.
    news: Arc<Mutex<Option<Value>>>,
}

/// A discovery that tells each list once, and is silent otherwise.
fn discovery() -> (Peer, Arc<Mutex<Option<Value>>>) {
    let news: Arc<Mutex<Option<Value>>> = Arc::default();
    let next = news.clone();
    let agent = peer(move |_, _| match next.lock().unwrap().take() {
        Some(list) => Then::Answer(plain("200 OK", &list.to_string())),
        None => Then::Hold,
    });
    (agent, news)
}

/// Engines behind proxies: prefill engines first.
pub fn places(table: &Arc<RequestTable>, prefills: usize, decodes: usize) -> Vec<Place> {
    let roles = (0..prefills + decodes).map(|n| if n < prefills { Role::Prefill } else { Role::Decode });
    let start = |(n, role)| {
        smol::block_on(async {
            let engine = Engine::start(n, role, table.clone()).await.unwrap();
            let proxy = Proxy::start(&engine, table.clone()).await.unwrap();
            Place { engine, proxy }
        })
    };
    roles.enumerate().map(start).collect()
}

/// The list that discovery would tell of them, one zone for each half of a role.
pub fn endpoints(places: &[Place]) -> Value {
    let lines = places.iter().enumerate().map(|(n, p)| {
        let kind = if p.engine.role == Role::Prefill { "m1" } else { "m2" };
        line(&format!("e{n}"), kind, "a", p.proxy.address)
    });
    json!({"generation": 3, "reset": true, "instances": lines.collect::<Vec<_>>()})
}

/// The library that lets system calls fail, built for this run.
pub fn shim() -> std::path::PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/platform_reservations/faults.c");
    let built = std::env::temp_dir().join(format!("nickelgw-faults-{}.so", std::process::id()));
    let cc = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&built)
        .args([source, "-ldl"])
        .status();
    assert!(cc.is_ok_and(|s| s.success()), "a C compiler is wanted");
    built
}

impl World {
    pub fn start(n: u8, prefills: usize, decodes: usize, but: impl Fn(&mut Value)) -> World {
        World::start_with(n, prefills, decodes, but, |_| {})
    }

    /// With something else in the node's configuration, and in its command.
    pub fn start_with(
        n: u8,
        prefills: usize,
        decodes: usize,
        but: impl Fn(&mut Value),
        command: impl FnOnce(&mut Command),
    ) -> World {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let places = places(&table, prefills, decodes);
        let (agent, news) = discovery();
        let (address, path) = configured(n, &agent, endpoints(&places), but);
        let log = path.with_extension("log");
        let file = std::fs::File::create(&log).unwrap();
        let child = start_with(&path, DESCRIPTORS, |c| {
            c.env("LEVEL", "--log-level debug").stderr(Stdio::from(file));
            command(c);
        });
        let node = Node { child, address, path };
        node.ready_in();
        World { table, places, node, log, news }
    }

    pub fn prefills(&self) -> Vec<&Place> {
        self.places.iter().filter(|p| p.engine.role == Role::Prefill).collect()
    }

    pub fn decodes(&self) -> Vec<&Place> {
        self.places.iter().filter(|p| p.engine.role == Role::Decode).collect()
    }

    /// Discovery tells that an engine drains.
    pub fn drain(&self, n: usize) {
        self.tell(|list| list["instances"][n]["lifecycle"] = "draining".into());
    }

    /// Discovery tells a list that differs from the first.
    pub fn tell(&self, change: impl Fn(&mut Value)) {
        let mut list = endpoints(&self.places);
        list["generation"] = 4.into();
        change(&mut list);
        *self.news.lock().unwrap() = Some(list);
    }

    /// A client asks and waits for what comes.
    pub fn ask(&self, id: &str) -> Outcome {
        self.ask_in_background(id).join().unwrap()
    }

    pub fn ask_in_background(&self, id: &str) -> JoinHandle<Outcome> {
        self.ask_and_leave(id, None)
    }

    /// A client asks, and goes after a while.
    pub fn ask_and_leave(&self, id: &str, leaves_after: Option<Duration>) -> JoinHandle<Outcome> {
        let (id, class) = (id.to_string(), "chat".to_string());
        let asked = ClientRequest {
            id,
            class,
            at_most_once: false,
            timeout: TIMEOUT,
            disconnect_after: leaves_after,
        };
        let (address, table) = (self.node.address, self.table.clone());
        std::thread::spawn(move || {
            smol::block_on(send_request(address, &asked, &table, RuleLimits::default().answer_slack))
        })
    }

    /// No rule was broken, and nothing stays reserved.
    pub fn assert_kept(&self) {
        let until = Instant::now() + Duration::from_secs(1);
        while self.table.has_reservations() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let found = self.table.violations();
        assert!(found.is_empty(), "{found:?}\n{}", self.log());
        assert!(!self.table.has_reservations(), "something stays reserved");
    }

    /// The node's log, for a test that fails.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.node.child), signal).unwrap();
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn wait_for_end(&mut self) {
        let until = Instant::now() + LONG;
        while self.node.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}
