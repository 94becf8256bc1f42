//! One node's process, engines behind fault proxies, and clients.

use crate::common::{endpoint_entry, http_response, peer, Peer, PeerAction, TEST_TIMEOUT};
use crate::processes::{start_process_with, write_config, Node};
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
pub struct ProxiedEngine {
    pub engine: Engine,
    pub proxy: Proxy,
}

pub struct World {
    pub table: Arc<RequestTable>,
    engines: Vec<ProxiedEngine>,
    pub node: Node,
    log: std::path::PathBuf,
    /// What discovery announces next.
    next_list: Arc<Mutex<Option<Value>>>,
}

/// A discovery service that announces each list once, and does not answer otherwise.
fn discovery() -> (Peer, Arc<Mutex<Option<Value>>>) {
    let next_list: Arc<Mutex<Option<Value>>> = Arc::default();
    let next = next_list.clone();
    let agent = peer(move |_, _| match next.lock().unwrap().take() {
        Some(list) => PeerAction::Respond(http_response("200 OK", &list.to_string())),
        None => PeerAction::Stall,
    });
    (agent, next_list)
}

/// Engines behind proxies: prefill engines first.
pub fn start_engines(table: &Arc<RequestTable>, prefills: usize, decodes: usize) -> Vec<ProxiedEngine> {
    let roles = (0..prefills + decodes).map(|n| if n < prefills { Role::Prefill } else { Role::Decode });
    let start = |(n, role)| {
        smol::block_on(async {
            let engine = Engine::start(n, role, table.clone()).await.unwrap();
            let proxy = Proxy::start(&engine, table.clone()).await.unwrap();
            ProxiedEngine { engine, proxy }
        })
    };
    roles.enumerate().map(start).collect()
}

/// The list that discovery would announce of them.
pub fn endpoints(engines: &[ProxiedEngine]) -> Value {
    let entries = engines.iter().enumerate().map(|(n, proxied)| {
        let kind = if proxied.engine.role == Role::Prefill { "m1" } else { "m2" };
        endpoint_entry(&format!("e{n}"), kind, "a", proxied.proxy.address)
    });
    json!({"generation": 3, "reset": true, "instances": entries.collect::<Vec<_>>()})
}

/// The library that lets system calls fail, built for this run.
pub fn shim() -> std::path::PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/platform_reservations/faults.c");
    let built = std::env::temp_dir().join(format!("nickelgw-faults-{}.so", std::process::id()));
    let compiled = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&built)
        .args([source, "-ldl"])
        .status();
    assert!(compiled.is_ok_and(|status| status.success()), "a C compiler is needed");
    built
}

impl World {
    pub fn start(n: u8, prefills: usize, decodes: usize, change: impl Fn(&mut Value)) -> World {
        World::start_with(n, prefills, decodes, change, |_| {})
    }

    /// With a change of the node's configuration, and of its command.
    pub fn start_with(
        n: u8,
        prefills: usize,
        decodes: usize,
        change: impl Fn(&mut Value),
        command: impl FnOnce(&mut Command),
    ) -> World {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let engines = start_engines(&table, prefills, decodes);
        let (agent, next_list) = discovery();
        let (address, path) = write_config(n, &agent, endpoints(&engines), change);
        let log = path.with_extension("log");
        let file = std::fs::File::create(&log).unwrap();
        let child = start_process_with(&path, DESCRIPTORS, |process| {
            process.env("LEVEL", "--log-level debug").stderr(Stdio::from(file));
            command(process);
        });
        let node = Node { child, address, path };
        node.wait_until_ready();
        World { table, engines, node, log, next_list }
    }

    pub fn prefills(&self) -> Vec<&ProxiedEngine> {
        self.engines.iter().filter(|proxied| proxied.engine.role == Role::Prefill).collect()
    }

    pub fn decodes(&self) -> Vec<&ProxiedEngine> {
        self.engines.iter().filter(|proxied| proxied.engine.role == Role::Decode).collect()
    }

    /// Discovery announces that an engine drains.
    pub fn drain(&self, n: usize) {
        self.announce(|list| list["instances"][n]["lifecycle"] = "draining".into());
    }

    /// Discovery announces a list that differs from the first.
    pub fn announce(&self, change: impl Fn(&mut Value)) {
        let mut list = endpoints(&self.engines);
        list["generation"] = 4.into();
        change(&mut list);
        *self.next_list.lock().unwrap() = Some(list);
    }

    /// A client sends a request and waits for its outcome.
    pub fn request(&self, id: &str) -> Outcome {
        self.request_in_background(id).join().unwrap()
    }

    /// A client sends a request in a thread of its own.
    pub fn request_in_background(&self, id: &str) -> JoinHandle<Outcome> {
        self.request_and_disconnect(id, None)
    }

    /// A client sends a request, and disconnects after a while.
    pub fn request_and_disconnect(&self, id: &str, leaves_after: Option<Duration>) -> JoinHandle<Outcome> {
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

    /// The client got a final answer: its request was not lost, and its connection neither refused nor closed.
    pub fn assert_final_answer(&self, outcome: Outcome) {
        assert!(
            !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
            "no final answer: {outcome:?}"
        );
    }

    /// No rule was violated, and nothing stays reserved.
    pub fn assert_no_violation(&self) {
        let deadline = Instant::now() + Duration::from_secs(1);
        while self.table.has_reservations() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        let violations = self.table.violations();
        assert!(violations.is_empty(), "{violations:?}\n{}", self.log());
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
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.node.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < deadline, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}
