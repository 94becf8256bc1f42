//! Responses that engines send on a connection without a request for them.

use crate::common::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;
use test_case::test_case;

fn request_id(request: &str) -> &str {
    let value = request.split_once("X-Call-Id: ").unwrap().1;
    value.split_once("\r\n").unwrap().0
}

/// Returns a stream whose event names the request.
fn stream_for(id: &str) -> Vec<u8> {
    let event = format!("data: {{\"request\":\"{id}\"}}\n\n");
    format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event)).into_bytes()
}

/// Starts a decode engine that sends the stream for each request twice on the same connection, the second time
/// after this delay.
fn decode_engine_that_repeats_streams(delay: Duration) -> Peer {
    peer(move |request, _| {
        let stream = stream_for(request_id(request));
        PeerAction::UseConnection(Box::new(move |connection: &mut TcpStream| {
            let _ = connection.write_all(&stream);
            sleep(delay);
            let _ = connection.write_all(&stream);
        }))
    })
}

/// Regression test: an engine's second response, some milliseconds after a stream, was taken for the response to
/// the request that was written to that connection meanwhile, and another client got it.
#[test_case(0, 0; "at once")]
#[test_case(2, 0; "after 2 ms")]
#[test_case(10, 0; "after 10 ms")]
#[test_case(10, 5; "after 10 ms and the next request after 5 ms")]
#[test_case(40, 20; "after 40 ms and the next request after 20 ms")]
fn late_second_response_is_not_served_to_the_next_request(delay_ms: u64, next_request_after_ms: u64) {
    let decode = decode_engine_that_repeats_streams(Duration::from_millis(delay_ms));
    let prefill = prefill_engine();
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    for number in 0..20 {
        let id = format!("5e{number:02}");
        let response = node.exchange(chat_request(&id).as_bytes());
        assert!(response.contains(&format!("\"request\":\"{id}\"")), "the client of {id} got {response}");
        sleep(Duration::from_millis(next_request_after_ms));
    }
    assert_eq!(decode.received("POST").len(), 20, "no request runs twice");
}

/// Connections are still reused once an engine has had time for a second response.
#[test]
fn connection_is_reused_after_a_stream() {
    let prefill = prefill_engine();
    let connections = Arc::new(Mutex::new(HashSet::new()));
    let seen = connections.clone();
    let decode = peer(move |_, _| {
        // Each connection has a thread of its own.
        seen.lock().unwrap().insert(thread::current().id());
        PeerAction::Respond(stream_response())
    });
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    for number in 0..3 {
        let response = node.exchange(chat_request(&format!("5f{number:02}")).as_bytes());
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        sleep(Duration::from_millis(300));
    }
    assert_eq!(connections.lock().unwrap().len(), 1);
}
