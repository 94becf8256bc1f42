//! The deadline of a request counts from the arrival of its last byte, wherever the request waits before it
//! is read.

use crate::common::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Amount by which the timeout stated to an engine may exceed the time that the client has left (the
/// platform's protocol).
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Shortest wait that shows whether waiting time is counted.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// The client's timeout for the first token: less than an attempt may take by itself, so that it limits the
/// attempt.
const BUDGET: Duration = Duration::from_millis(1500);
/// Objective of the class in seconds, long enough that no request is rejected because it has waited.
const OBJECTIVE_S: f64 = 4.0;
const DESCRIPTORS: usize = 256;
/// Descriptors of a node whose table of client connections is small.
const FEW_DESCRIPTORS: usize = 64;

/// Arrival time of each attempt, and the timeout that the attempt stated.
type Attempts = Arc<Mutex<Vec<(Instant, Duration)>>>;

/// Starts a prefill engine that responds after `delay`, and returns it with the attempts that it has
/// received.
fn timed_prefill_engine(delay: Duration) -> (Peer, Attempts) {
    let attempts = Attempts::default();
    let recorded = attempts.clone();
    let engine = peer(move |request, _| {
        let budget = request.lines().find_map(|line| line.strip_prefix("x-budget-ms: ")).unwrap();
        recorded.lock().unwrap().push((Instant::now(), Duration::from_millis(budget.parse().unwrap())));
        sleep(delay);
        PeerAction::Respond(http_response("202 Accepted", r#"{"cached_tokens":4}"#))
    });
    (engine, attempts)
}

fn request_with_budget(id: &str, budget: Duration) -> String {
    chat_request(id).replace("X-Budget-Ms: 4000", &format!("X-Budget-Ms: {}", budget.as_millis()))
}

/// Asserts that an attempt waited long enough for the test, and that its timeout was no longer than the
/// client had left.
fn assert_budget_within(sent_at: Instant, (arrived_at, given): (Instant, Duration)) {
    let waited = arrived_at - sent_at;
    assert!(waited > MIN_WAIT, "the request waited only {waited:?}");
    let left = BUDGET.saturating_sub(waited);
    assert!(
        given <= left + DEADLINE_SLACK,
        "the attempt stated {given:?} while the client had {left:?} left, {waited:?} after it sent the request"
    );
}

/// Connects silent clients that fill a node's table and part of its backlog, where further connections wait.
fn fill_table(node: &TestNode) -> Vec<TcpStream> {
    (0..FEW_DESCRIPTORS / 2).map(|_| node.connect()).collect()
}

fn start_node_with_descriptors(prefill: &Peer, decode: &Peer, descriptors: usize) -> TestNode {
    start_node_with(&silent_discovery(), endpoint_list(&[prefill], &[decode]), None, |config| {
        config["limits"]["sockets"] = json!(descriptors);
        config["settings"]["classes"][0]["slo_s"] = json!(OBJECTIVE_S);
    })
}

/// Regression test (soak with a crowd, seed 4): the timeout stated to engines still included the time that
/// the request had waited in the backlog because the table was full.
#[test]
fn time_in_the_backlog_counts_against_the_deadline() {
    let (prefill, attempts) = timed_prefill_engine(Duration::ZERO);
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with_descriptors(&prefill, &decode, FEW_DESCRIPTORS);
    let _silent = fill_table(&node);
    let sent_at = Instant::now();
    let response = node.exchange(request_with_budget("wa01", BUDGET).as_bytes());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let attempt = attempts.lock().unwrap()[0];
    assert_budget_within(sent_at, attempt);
}

/// Regression test: a request whose deadline had passed when it was read was still sent to engines.
#[test]
fn request_that_is_read_after_its_deadline_is_answered_and_reaches_no_engine() {
    let (prefill, attempts) = timed_prefill_engine(Duration::ZERO);
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with_descriptors(&prefill, &decode, FEW_DESCRIPTORS);
    let _silent = fill_table(&node);
    let response = node.exchange(request_with_budget("wa02", MIN_WAIT / 2).as_bytes());
    assert!(response.starts_with("HTTP/1.1 50"), "{response}");
    assert!(attempts.lock().unwrap().is_empty(), "the request reached an engine");
}

/// Regression test: the deadline of a request sent after an open one on the same connection counted from the
/// end of that one.
#[test_case(false; "sent while the first is open")]
#[test_case(true; "sent together with the first")]
fn time_behind_an_open_request_counts_against_the_deadline(together: bool) {
    let (prefill, attempts) = timed_prefill_engine(2 * MIN_WAIT);
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with_descriptors(&prefill, &decode, DESCRIPTORS);
    let mut client = node.connect();
    let (first, second) = (request_with_budget("wa03", BUDGET), request_with_budget("wa04", BUDGET));
    if together {
        client.write_all(format!("{first}{second}").as_bytes()).unwrap();
    } else {
        client.write_all(first.as_bytes()).unwrap();
        prefill.wait_for("POST");
        client.write_all(second.as_bytes()).unwrap();
    }
    let sent_at = Instant::now();
    for _ in 0..2 {
        let response = read_response(&mut client);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    let attempt = attempts.lock().unwrap()[1];
    assert_budget_within(sent_at, attempt);
}
