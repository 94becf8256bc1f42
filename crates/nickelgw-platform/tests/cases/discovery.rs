//! Time until a change of the endpoint list is applied. Whichever calls failed before, a change counts as
//! announced 6 s after discovery had it and could be reached, and the node reserves one second of that for
//! itself.

use crate::common::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Maximum time until a change is applied, from when discovery has it and can be reached.
pub(crate) const MAX_DELAY_S: f64 = 5.0;

/// State of the discovery agent, and the faults of its next responses.
pub(crate) struct Agent {
    generation: u64,
    instances: Value,
    /// Number of further calls for the list that will not be answered.
    pub(crate) unanswered_lists: usize,
    /// Number of further watches that will not be answered.
    unanswered_watches: usize,
    /// Number of further lists that will be truncated in the middle.
    truncated_lists: usize,
    /// Delay of each response. Its content is determined before the delay.
    pub(crate) delay: Duration,
    /// Time that the response's body takes after its head, in two halves.
    pub(crate) transfer_time: Duration,
}

pub(crate) type SharedAgent = Arc<Mutex<Agent>>;

pub(crate) fn new_agent(instances: Value) -> SharedAgent {
    Arc::new(Mutex::new(Agent {
        generation: 3,
        instances,
        unanswered_lists: 0,
        unanswered_watches: 0,
        truncated_lists: 0,
        delay: Duration::ZERO,
        transfer_time: Duration::ZERO,
    }))
}

fn count_down(n: &mut usize) -> bool {
    let remaining = *n > 0;
    *n = n.saturating_sub(1);
    remaining
}

pub(crate) fn respond(shared: &SharedAgent, request: &str) -> PeerAction {
    let field = |name: &str| {
        let (_, value) = request.split_once(name)?;
        value.split(|character: char| !character.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    let started_at = Instant::now();
    if let Some(since) = field("since=") {
        let watch_time = Duration::from_millis(field("timeout_ms=").unwrap());
        while started_at.elapsed() < watch_time && shared.lock().unwrap().generation == since {
            sleep(Duration::from_millis(5));
            if shared.lock().unwrap().unanswered_watches > 0 {
                break;
            }
        }
    }
    let mut agent = shared.lock().unwrap();
    let is_watch = request.contains("since=");
    if count_down(if is_watch { &mut agent.unanswered_watches } else { &mut agent.unanswered_lists }) {
        return PeerAction::Stall;
    }
    let list =
        json!({"generation": agent.generation, "reset": true, "instances": agent.instances}).to_string();
    let response = http_response("200 OK", &list);
    if !is_watch && count_down(&mut agent.truncated_lists) {
        return PeerAction::RespondAndClose(response[..response.len() / 2].to_vec());
    }
    let (delay, transfer_time) = (agent.delay, agent.transfer_time);
    drop(agent);
    sleep(delay);
    match transfer_time.is_zero() {
        true => PeerAction::Respond(response),
        false => respond_slowly(response, transfer_time),
    }
}

/// Sends the response's first half at once, and the rest after `transfer_time`.
fn respond_slowly(response: Vec<u8>, transfer_time: Duration) -> PeerAction {
    PeerAction::UseConnection(Box::new(move |connection| {
        let (first, rest) = response.split_at(response.len() / 2);
        let _ = connection.write_all(first);
        sleep(transfer_time);
        let _ = connection.write_all(rest);
    }))
}

pub(crate) fn discovery(shared: &SharedAgent) -> Peer {
    let shared = shared.clone();
    peer(move |request, _| respond(&shared, request))
}

/// Two prefill engines, the first of which drains, and the lists before and after its drain.
pub(crate) struct DrainScenario {
    first: Peer,
    second: Peer,
    pub(crate) before: Value,
    after: Value,
}

pub(crate) fn drain_scenario() -> DrainScenario {
    let (first, second) = (prefill_engine(), prefill_engine());
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let before = endpoint_list(&[&first], &[&decode])["instances"].clone();
    let mut after = endpoint_list(&[&first, &second], &[&decode])["instances"].clone();
    after[0]["lifecycle"] = "draining".into();
    DrainScenario { first, second, before, after }
}

impl DrainScenario {
    fn start_node(&self, discovery: &Peer, path: Option<std::path::PathBuf>) -> TestNode {
        self.start_node_with_limit(discovery, path, 1.0)
    }

    /// Starts a node that may not dispatch to an engine later than `limit_s` after its drain was announced.
    pub(crate) fn start_node_with_limit(
        &self,
        discovery: &Peer,
        path: Option<std::path::PathBuf>,
        limit_s: f64,
    ) -> TestNode {
        let known = json!({"generation": 3, "reset": true, "instances": self.before});
        start_node_with(discovery, known, path, |config| {
            config["settings"]["rules"]["stop_sending_within_s"] = limit_s.into()
        })
    }

    /// Returns the seconds until the node applies the change. From now on discovery has the change and can be
    /// reached.
    pub(crate) fn seconds_until_applied(&self, node: &TestNode) -> f64 {
        let started_at = Instant::now();
        let mut n = 0;
        while self.second.received("POST").is_empty() {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the change was not applied within {TEST_TIMEOUT:?}"
            );
            node.exchange(chat_request(&format!("{:08x}", started_at.elapsed().as_micros())).as_bytes());
            sleep(Duration::from_millis(20));
        }
        let delay_s = started_at.elapsed().as_secs_f64();
        let before = self.first.received("POST").len();
        while n < 5 {
            node.exchange(chat_request(&format!("b{n}")).as_bytes());
            n += 1;
        }
        assert_eq!(self.first.received("POST").len(), before, "the draining engine got an attempt");
        delay_s
    }
}

pub(crate) fn announce_drain(shared: &SharedAgent, drain: &DrainScenario) {
    let mut agent = shared.lock().unwrap();
    agent.generation += 1;
    agent.instances = drain.after.clone();
}

/// Regression test: a watch is not answered from its start, and neither is the next call for the list. With
/// watches of 4 s and a timeout of 1 s for each response, the node applied the change after more than 6 s.
#[test]
fn change_missed_by_a_silent_watch_is_applied_in_time() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    let discovery_peer = discovery(&shared);
    let node = drain.start_node(&discovery_peer, None);
    discovery_peer.wait_for("GET /v1/servers?since=");
    {
        let mut agent = shared.lock().unwrap();
        (agent.unanswered_watches, agent.unanswered_lists) = (1, 1);
    }
    sleep(Duration::from_millis(30));
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < MAX_DELAY_S);
}

/// Returns a bound socket that does not listen yet, and its address.
fn refusing_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// The gap between calls is limited, however many calls were refused before.
#[test]
fn change_is_applied_at_once_after_20_s_of_refused_connections() {
    let drain = drain_scenario();
    let (socket, address) = refusing_address();
    let mut refusing_discovery = silent_discovery();
    refusing_discovery.address = address;
    let node = drain.start_node(&refusing_discovery, None);
    sleep(Duration::from_secs(20));
    let shared = new_agent(drain.after.clone());
    socket.listen(64).unwrap();
    let listener: TcpListener = socket.into();
    let recovered = peer_on(listener, move |request, _| respond(&shared, request));
    assert!(drain.seconds_until_applied(&node) < 1.0);
    assert!(!recovered.received("GET").is_empty());
}

/// The agent accepts connections and answers nothing. A call that it accepted before its recovery is never
/// answered.
#[test]
fn change_is_applied_in_time_after_calls_that_are_never_answered() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    shared.lock().unwrap().unanswered_lists = usize::MAX;
    let node = drain.start_node(&discovery(&shared), None);
    sleep(Duration::from_secs(3));
    announce_drain(&shared, &drain);
    shared.lock().unwrap().unanswered_lists = 0;
    assert!(drain.seconds_until_applied(&node) < 2.0);
}

#[test]
fn change_is_applied_in_time_after_truncated_lists() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    shared.lock().unwrap().truncated_lists = 3;
    let node = drain.start_node(&discovery(&shared), None);
    sleep(Duration::from_millis(100));
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < 2.0);
}

/// What a new discovery address announces counts from 4 s after SIGHUP, also if the old address does not
/// respond.
#[test]
fn new_discovery_address_during_an_outage_is_called_at_once() {
    let drain = drain_scenario();
    let old = new_agent(drain.before.clone());
    old.lock().unwrap().unanswered_lists = usize::MAX;
    let path = std::env::temp_dir().join(format!("nickelgw-discovery-{}.json", std::process::id()));
    let node = drain.start_node(&discovery(&old), Some(path.clone()));
    sleep(Duration::from_millis(700));
    let new = discovery(&new_agent(drain.after.clone()));
    std::fs::write(&path, node_config("x", &new.address.to_string(), Value::Null).to_string()).unwrap();
    node.signals.request_reload();
    let delay_s = drain.seconds_until_applied(&node);
    std::fs::remove_file(path).unwrap();
    assert!(delay_s < 1.0);
}

/// The first list after an outage is followed by a watch at once, so that a drain right after that list is
/// applied.
#[test]
fn drain_in_the_second_after_the_recovery_is_applied() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    shared.lock().unwrap().unanswered_lists = usize::MAX;
    let discovery_peer = discovery(&shared);
    let node = drain.start_node(&discovery_peer, None);
    sleep(Duration::from_secs(1));
    shared.lock().unwrap().unanswered_lists = 0;
    discovery_peer.wait_for("GET /v1/servers?since=");
    sleep(Duration::from_millis(300));
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < 1.0);
}

/// Regression test (fleet days of another deployment): nothing may be dispatched to an engine 0.25 s after
/// the recovery announced its drain, but a call under way was awaited until its timeout of one second, and 24
/// attempts started too late.
#[test]
fn drain_at_the_recovery_is_applied_within_the_time_to_stop_dispatching() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    shared.lock().unwrap().unanswered_lists = usize::MAX;
    let node = drain.start_node_with_limit(&discovery(&shared), None, 0.25);
    sleep(Duration::from_millis(1510));
    announce_drain(&shared, &drain);
    shared.lock().unwrap().unanswered_lists = 0;
    assert!(drain.seconds_until_applied(&node) < 0.25);
}

/// If a connection to an engine is established only after the engine's drain was announced, the attempt goes
/// to another engine.
#[test]
fn no_attempt_is_written_to_a_connection_established_after_the_drain() {
    let (unreachable, second) = (unreachable_host(), prefill_engine());
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let mut first = prefill_engine();
    first.address = unreachable.address;
    let before = endpoint_list(&[&first], &[&decode])["instances"].clone();
    let mut after = endpoint_list(&[&first, &second], &[&decode])["instances"].clone();
    after[0]["lifecycle"] = "draining".into();
    let shared = new_agent(before.clone());
    let known = json!({"generation": 3, "reset": true, "instances": before});
    let node = start_node_with(&discovery(&shared), known, None, |config| {
        config["settings"]["limits"]["connect_timeout_s"] = json!(3.5);
    });
    let mut client = node.connect();
    client.write_all(chat_request("fa01").as_bytes()).unwrap();
    sleep(Duration::from_millis(100));
    shared.lock().unwrap().instances = after;
    shared.lock().unwrap().generation += 1;
    sleep(Duration::from_millis(600));
    let bytes = unreachable.bytes_after_recovery(Duration::from_millis(2500));
    assert_eq!(bytes, 0, "bytes were sent to the draining engine");
    let response = read_response(&mut client);
    assert!(response.ends_with("0\r\n\r\n") && second.received("POST").len() == 1, "{response}");
}

/// An agent that answers each watch at once and without changes is called at a limited rate.
#[test]
fn watch_that_is_answered_at_once_is_repeated_at_a_limited_rate() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    let agent = shared.clone();
    let discovery_peer = peer(move |request, _| match request.contains("since=") {
        true => {
            PeerAction::Respond(http_response("200 OK", r#"{"generation":3,"reset":false,"instances":[]}"#))
        }
        false => respond(&agent, request),
    });
    let _node = drain.start_node(&discovery_peer, None);
    discovery_peer.wait_for("GET /v1/servers?since=");
    let before = discovery_peer.received("GET").len();
    sleep(Duration::from_secs(1));
    let calls = discovery_peer.received("GET").len() - before;
    assert!((4..=12).contains(&calls), "{calls} calls in a second");
}

/// Discovery has restarted and counts generations from the beginning: changes of its new list cannot be
/// applied to the old list.
#[test]
fn changes_of_an_older_list_lead_to_a_fetch_of_the_whole_list() {
    let drain = drain_scenario();
    let (before, after) = (drain.before.clone(), drain.after.clone());
    let lists = std::sync::atomic::AtomicUsize::new(0);
    let discovery_peer = peer(move |request, _| {
        let list_response = |generation: u64, instances: &Value| {
            let list = json!({"generation": generation, "reset": true, "instances": instances}).to_string();
            PeerAction::Respond(http_response("200 OK", &list))
        };
        if request.contains("since=41") {
            return PeerAction::Respond(http_response(
                "200 OK",
                r#"{"generation":2,"reset":false,"instances":[]}"#,
            ));
        }
        if request.contains("since=") {
            // There are no changes since that generation.
            sleep(Duration::from_millis(400));
            return PeerAction::Respond(http_response(
                "200 OK",
                r#"{"generation":2,"reset":false,"instances":[]}"#,
            ));
        }
        match lists.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 => list_response(41, &before),
            _ => list_response(2, &after),
        }
    });
    let node = drain.start_node(&discovery_peer, None);
    assert!(drain.seconds_until_applied(&node) < 1.0);
}

/// Sends requests for this time, and asserts that the draining engine gets no attempt.
fn assert_drain_is_kept(drain: &DrainScenario, node: &TestNode, duration: Duration) {
    let (started_at, before) = (Instant::now(), drain.first.received("POST").len());
    while started_at.elapsed() < duration {
        let id = format!("{before:x}-{:08x}", started_at.elapsed().as_micros());
        node.exchange(chat_request(&id).as_bytes());
        sleep(Duration::from_millis(50));
    }
    assert_eq!(drain.first.received("POST").len(), before, "the draining engine got an attempt");
}

/// Regression test: the agent at a new address was behind the previous one, and the node sent to an engine again
/// whose drain it had been told; in an outage also later than 4 s after the change of the address.
#[test_case(0.0, 3.0; "new agent responds at once")]
#[test_case(0.0, 7.5; "new agent is behind for long")]
#[test_case(4.5, 2.0; "new agent responds after an outage")]
fn drain_is_not_taken_back_by_an_older_list_after_a_reload(outage_s: f64, behind_s: f64) {
    let drain = drain_scenario();
    let (old, new) = (new_agent(drain.before.clone()), new_agent(drain.before.clone()));
    let name = format!("nickelgw-stale-list-{}-{outage_s}-{behind_s}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    let node = drain.start_node(&discovery(&old), Some(path.clone()));
    announce_drain(&old, &drain);
    drain.seconds_until_applied(&node);
    if outage_s > 0.0 {
        new.lock().unwrap().unanswered_lists = usize::MAX;
    }
    let new_peer = discovery(&new);
    std::fs::write(&path, node_config("x", &new_peer.address.to_string(), Value::Null).to_string()).unwrap();
    node.signals.request_reload();
    assert_drain_is_kept(&drain, &node, Duration::from_secs_f64(outage_s));
    new.lock().unwrap().unanswered_lists = 0;
    new_peer.wait_for("GET /v1/servers?since=");
    assert_drain_is_kept(&drain, &node, Duration::from_secs_f64(behind_s));
    // The new agent's list counts once it has caught up, also with fewer engines or other ones.
    announce_drain(&new, &drain);
    drain.seconds_until_applied(&node);
    std::fs::remove_file(path).unwrap();
}

/// Regression test: a new process did not take the generation of its known list as announced, and a drain in that
/// list was taken back by the older list of an agent that was behind.
#[test]
fn drain_in_the_known_list_is_not_taken_back_by_an_older_list_after_a_restart() {
    let drain = drain_scenario();
    let agent = new_agent(drain.before.clone());
    let agent_peer = discovery(&agent);
    let known = json!({"generation": 4, "reset": true, "instances": drain.after});
    let node = start_node_with(&agent_peer, known, None, |_| {});
    agent_peer.wait_for("GET /v1/servers?since=");
    assert_drain_is_kept(&drain, &node, Duration::from_secs(2));
    announce_drain(&agent, &drain);
    drain.seconds_until_applied(&node);
}

/// Regression test: a list without a stated length, whose end is that of its connection (RFC 9112, section 6.3),
/// was read as empty, and no list was ever applied.
#[test]
fn list_that_ends_with_its_connection_is_applied() {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    let agent = shared.clone();
    let discovery_peer = peer(move |request, _| match respond(&agent, request) {
        PeerAction::Respond(response) => {
            let response = String::from_utf8(response).unwrap();
            let (_, body) = response.split_once("\r\n\r\n").unwrap();
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
            PeerAction::RespondAndClose(format!("{head}{body}").into_bytes())
        }
        other => other,
    });
    let node = drain.start_node(&discovery_peer, None);
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < MAX_DELAY_S);
}
