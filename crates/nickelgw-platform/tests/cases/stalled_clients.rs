//! Clients that stop in the middle of a request, as many as a node may have connections: others are served meanwhile.

use crate::common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Descriptors of a node whose table of client connections is small.
const FEW_DESCRIPTORS: usize = 64;
/// Clients that stop: more than the node accepts.
const STALLED_CLIENTS: usize = 50;
/// Time within which a client that stops has to get an error or a close.
const ERROR_WITHIN: Duration = Duration::from_secs(3);
/// Time after a request's timeout by which its final answer has to have come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn start_small_node(prefill: &Peer, decode: &Peer) -> TestNode {
    start_node_with(&silent_discovery(), endpoint_list(&[prefill], &[decode]), None, |config| {
        config["limits"]["sockets"] = FEW_DESCRIPTORS.into();
    })
}

/// Connects clients that send this much of a request and stay.
fn stalled_clients(node: &TestNode, part: &str) -> Vec<TcpStream> {
    (0..STALLED_CLIENTS)
        .map(|_| {
            let mut client = node.connect();
            client.write_all(part.as_bytes()).unwrap();
            client
        })
        .collect()
}

/// A usual client's response, and the time that it took.
type UsualClient = JoinHandle<(String, Duration)>;

/// Sends whole requests with this timeout, each on a new connection.
fn send_usual_requests(node: &TestNode, id_prefix: &str, timeout: Duration) -> Vec<UsualClient> {
    let timeout_header = format!("X-Budget-Ms: {}", timeout.as_millis());
    (0..8)
        .map(|number| {
            let mut client = node.connect();
            let request =
                chat_request(&format!("{id_prefix}{number}")).replace("X-Budget-Ms: 4000", &timeout_header);
            client.write_all(request.as_bytes()).unwrap();
            let sent_at = Instant::now();
            spawn(move || (read_response(&mut client), sent_at.elapsed()))
        })
        .collect()
}

fn assert_answered_in_time(usual: Vec<UsualClient>, timeout: Duration) {
    for client in usual {
        let (response, took) = client.join().unwrap();
        assert!(response.starts_with("HTTP/1.1 "), "no answer: {response}");
        assert!(took < timeout + ANSWER_SLACK, "answered after {took:?}: {response}");
    }
}

/// Regression test: clients with a part of a request each filled the table for 2.4 s, and whole requests of others waited in
/// the backlog past their time.
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: half\r\n"; "half a head")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: half\r\nContent-Length: 5000\r\n\r\n{\"model\""; "half a body")]
#[test_case("P"; "a byte")]
fn stalled_requests_give_way_to_whole_ones(part: &str) {
    const TIMEOUT: Duration = Duration::from_millis(550);
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_small_node(&prefill, &decode);
    let stalled = stalled_clients(&node, part);
    let stalled_at = Instant::now();
    sleep(Duration::from_millis(100));
    let usual = send_usual_requests(&node, "sa", TIMEOUT);
    assert_answered_in_time(usual, TIMEOUT);
    for mut client in stalled {
        let _ = client.read(&mut [0; 100]);
    }
    assert!(
        stalled_at.elapsed() < ERROR_WITHIN,
        "stalled clients got no error for {:?}",
        stalled_at.elapsed()
    );
}

/// A client that writes slowly but steadily does not give way, also while others wait.
#[test]
fn slowly_written_request_is_served_beside_stalled_ones() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_small_node(&prefill, &decode);
    let mut slow = node.connect();
    slow.set_nodelay(true).unwrap();
    let request = chat_request("sb01");
    let (first, rest) = request.split_at(20);
    slow.write_all(first.as_bytes()).unwrap();
    let _stalled = stalled_clients(&node, "POST /v1/chat");
    for part in rest.as_bytes().chunks(rest.len() / 8 + 1) {
        sleep(Duration::from_millis(200));
        slow.write_all(part).unwrap();
    }
    let response = read_response(&mut slow);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Regression test: clients that wrote their requests slowly filled the table for 2.4 s, and whole requests of others waited
/// in the backlog past their time.
#[test_case("X-Note: ", "x"; "a head")]
#[test_case("Content-Length: 5000\r\n\r\n", "x"; "a body")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"; "a chunked body")]
fn slowly_written_requests_give_way_to_whole_ones(start: &str, part: &str) {
    const TIMEOUT: Duration = Duration::from_millis(1000);
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_small_node(&prefill, &decode);
    let mut slow = stalled_clients(&node, &format!("POST /v1/chat/completions HTTP/1.1\r\n{start}"));
    let usual = send_usual_requests(&node, "sc", TIMEOUT);
    while usual.iter().any(|client| !client.is_finished()) {
        slow.iter_mut().for_each(|client| drop(client.write_all(part.as_bytes())));
        sleep(Duration::from_millis(100));
    }
    assert_answered_in_time(usual, TIMEOUT);
}
