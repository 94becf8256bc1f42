//! A node's process, test engines behind fault proxies, and clients.

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

/// Time that a client waits for the first event of a response.
pub const TIMEOUT: Duration = Duration::from_secs(4);
/// Limit of a node's file descriptors.
const DESCRIPTORS: usize = 256;

/// An engine and the proxy in front of it.
pub struct ProxiedEngine {
    pub engine: Engine,
    pub proxy: Proxy,
}

/// A node's process with engines behind proxies, a discovery service, and the table of what the engines
/// observe.
pub struct TestSite {
    pub table: Arc<RequestTable>,
    engines: Vec<ProxiedEngine>,
    pub node: Node,
    log: std::path::PathBuf,
    /// List that discovery announces next.
    next_list: Arc<Mutex<Option<Value>>>,
}

/// Starts a discovery service that announces each list once, and does not answer otherwise. Returns it and
/// its next list.
fn discovery() -> (Peer, Arc<Mutex<Option<Value>>>) {
    let next_list: Arc<Mutex<Option<Value>>> = Arc::default();
    let next = next_list.clone();
    let agent = peer(move |_, _| match next.lock().unwrap().take() {
        Some(list) => PeerAction::Respond(http_response("200 OK", &list.to_string())),
        None => PeerAction::Stall,
    });
    (agent, next_list)
}

/// Starts engines behind proxies. Prefill engines come first.
pub fn start_engines(
    table: &Arc<RequestTable>,
    prefill_engines: usize,
    decode_engines: usize,
) -> Vec<ProxiedEngine> {
    let role_of = |n| if n < prefill_engines { Role::Prefill } else { Role::Decode };
    let roles = (0..prefill_engines + decode_engines).map(role_of);
    let start = |(n, role)| {
        smol::block_on(async {
            let engine = Engine::start(n, role, table.clone()).await.unwrap();
            let proxy = Proxy::start(&engine, table.clone()).await.unwrap();
            ProxiedEngine { engine, proxy }
        })
    };
    roles.enumerate().map(start).collect()
}

/// Returns the endpoint list that contains these engines, at the addresses of their proxies.
pub fn endpoints(engines: &[ProxiedEngine]) -> Value {
    let entries = engines.iter().enumerate().map(|(n, proxied)| {
        let kind = if proxied.engine.role == Role::Prefill { "m1" } else { "m2" };
        endpoint_entry(&format!("e{n}"), kind, "a", proxied.proxy.address)
    });
    json!({"generation": 3, "reset": true, "instances": entries.collect::<Vec<_>>()})
}

/// Compiles the library that lets system calls fail. Returns its path.
pub fn build_fault_library() -> std::path::PathBuf {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/platform_reservations/faults.c");
    let built = std::env::temp_dir().join(format!("nickelgw-faults-{}.so", std::process::id()));
    let compiled = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&built)
        .args([source, "-ldl"])
        .status();
    assert!(
        compiled.is_ok_and(|status| status.success()),
        "faults.c could not be compiled: the test needs a C compiler (cc)"
    );
    built
}

impl TestSite {
    pub fn start(
        address_byte: u8,
        prefill_engines: usize,
        decode_engines: usize,
        change: impl Fn(&mut Value),
    ) -> TestSite {
        TestSite::start_with(address_byte, prefill_engines, decode_engines, change, |_| {})
    }

    /// Starts a site after a change to the node's configuration and one to its command.
    pub fn start_with(
        address_byte: u8,
        prefill_engines: usize,
        decode_engines: usize,
        change: impl Fn(&mut Value),
        command: impl FnOnce(&mut Command),
    ) -> TestSite {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let engines = start_engines(&table, prefill_engines, decode_engines);
        let (agent, next_list) = discovery();
        let (address, path) = write_config(address_byte, &agent, endpoints(&engines), change);
        let log = path.with_extension("log");
        let file = std::fs::File::create(&log).unwrap();
        let child = start_process_with(&path, DESCRIPTORS, |process| {
            process.env("LEVEL", "--log-level debug").stderr(Stdio::from(file));
            command(process);
        });
        let node = Node { child, address, path };
        node.wait_until_ready();
        TestSite { table, engines, node, log, next_list }
    }

    pub fn prefill_engines(&self) -> Vec<&ProxiedEngine> {
        self.engines.iter().filter(|proxied| proxied.engine.role == Role::Prefill).collect()
    }

    pub fn decode_engines(&self) -> Vec<&ProxiedEngine> {
        self.engines.iter().filter(|proxied| proxied.engine.role == Role::Decode).collect()
    }

    /// Makes discovery announce that the engine with this index drains.
    pub fn drain(&self, engine: usize) {
        self.announce(|list| list["instances"][engine]["lifecycle"] = "draining".into());
    }

    /// Makes discovery announce the first list after a change to it.
    pub fn announce(&self, change: impl Fn(&mut Value)) {
        let mut list = endpoints(&self.engines);
        list["generation"] = 4.into();
        change(&mut list);
        *self.next_list.lock().unwrap() = Some(list);
    }

    /// Sends a request and waits for its outcome.
    pub fn request(&self, id: &str) -> Outcome {
        self.request_in_background(id).join().unwrap()
    }

    /// Sends a request in a thread of its own.
    pub fn request_in_background(&self, id: &str) -> JoinHandle<Outcome> {
        self.request_and_disconnect(id, None)
    }

    /// Sends a request in a thread of its own. The client disconnects after this time, or not at all if it is
    /// `None`.
    pub fn request_and_disconnect(
        &self,
        id: &str,
        disconnect_after: Option<Duration>,
    ) -> JoinHandle<Outcome> {
        let (id, class) = (id.to_string(), "chat".to_string());
        let request = ClientRequest { id, class, at_most_once: false, timeout: TIMEOUT, disconnect_after };
        let (address, table) = (self.node.address, self.table.clone());
        std::thread::spawn(move || {
            smol::block_on(send_request(address, &request, &table, RuleLimits::default().answer_slack))
        })
    }

    /// Asserts that the client got a final answer: the request did not time out, and the connection was not
    /// refused or closed.
    pub fn assert_final_answer(&self, outcome: Outcome) {
        assert!(
            !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
            "the client got no final answer: {outcome:?}"
        );
    }

    /// Asserts that no rule was violated and that all reservations are released within 1 s.
    pub fn assert_no_violation(&self) {
        let deadline = Instant::now() + Duration::from_secs(1);
        while self.table.has_reservations() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        let violations = self.table.violations();
        assert!(violations.is_empty(), "{violations:?}\n{}", self.log());
        assert!(!self.table.has_reservations(), "a reservation was not released within 1 s");
    }

    /// Returns the node's log, for the message of a failed assertion.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.node.child), signal).unwrap();
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn wait_for_exit(&mut self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.node.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < deadline, "the node has not exited within TEST_TIMEOUT");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}
