//! Bytes that arrive just as a connection is closed, and peers that are slow, send without end, or are too
//! many.

use crate::common::*;
use std::io::{ErrorKind, Read, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Reads to the end of the connection. Returns what arrived, and whether the connection ended cleanly rather
/// than by a reset.
fn read_to_end(client: &mut std::net::TcpStream) -> (String, bool) {
    let (mut received_text, mut bytes) = (String::new(), [0; 4096]);
    loop {
        match client.read(&mut bytes) {
            Ok(0) => return (received_text, true),
            Ok(n) => received_text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return (received_text, false),
        }
    }
}

/// A connection that is closed with unread bytes is reset, and the response is lost with it.
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", "HTTP/1.1 413"; "body too long")]
#[test_case("nonsense\r\n\r\n", "HTTP/1.1 400"; "not HTTP")]
fn last_response_is_not_lost_by_a_reset(head: &str, expected: &str) {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    // More bytes follow than the node reads before it answers.
    let request = [head.as_bytes(), &[b'x'; 100_000]].concat();
    client.write_all(&request).unwrap();
    sleep(Duration::from_millis(200));
    let (response, closed_cleanly) = read_to_end(&mut client);
    assert!(
        response.starts_with(expected) && response.ends_with('}') && closed_cleanly,
        "closed cleanly: {closed_cleanly}, response: {response}"
    );
}

/// A request on an idle connection that arrives just as a shutdown closes it is answered, or is never
/// forwarded.
#[test]
fn request_at_the_moment_of_a_shutdown_is_answered_or_never_forwarded() {
    for round in 0..12 {
        let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
        let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
        let mut idle_client = node.connect();
        idle_client.write_all(chat_request("da01").as_bytes()).unwrap();
        assert!(read_response(&mut idle_client).ends_with("0\r\n\r\n"));
        node.signals.request_shutdown();
        // Idle connections are closed half a second after the request to shut down.
        sleep(Duration::from_micros(497_000 + 1_000 * round));
        let written = idle_client.write_all(chat_request("da02").as_bytes()).is_ok();
        let (response, _) = read_to_end(&mut idle_client);
        // A request that was read after the close would be forwarded a little later.
        sleep(Duration::from_millis(100));
        let was_forwarded =
            prefill.received("POST").iter().any(|request| request.contains("X-Call-Id: da02"));
        assert!(
            !was_forwarded || response.ends_with("0\r\n\r\n"),
            "the request was forwarded; written: {written}, response: {response:?}"
        );
    }
}

/// While the table is full and a request arrives slowly, idle connections are closed to make room, but not
/// the request's.
#[test]
fn connection_with_an_arriving_request_is_not_closed_to_make_room() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut slow = node.connect();
    let bytes = chat_request("da03").into_bytes();
    slow.write_all(&bytes[..1]).unwrap();
    let clients: Vec<_> = (0..200).map(|_| node.connect()).collect();
    for piece in bytes[1..].chunks(bytes.len() / 12 + 1) {
        slow.write_all(piece).unwrap();
        sleep(Duration::from_millis(120));
    }
    let response = read_response(&mut slow);
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n"), "{response}");
    drop(clients);
}

#[test_case(b"HTTP/1.1 20".to_vec(); "in the status line")]
#[test_case(format!("{STREAM_HEAD}4").into_bytes(); "in a chunk's size")]
#[test_case(format!("{STREAM_HEAD}40\r\ndata: {{\"n\"").into_bytes(); "in an event")]
fn truncated_response_before_the_first_event_is_retried(bytes: Vec<u8>) {
    let response = response_after_failed_attempt("da04", move || PeerAction::RespondAndClose(bytes.clone()));
    assert!(response.contains(&chunk(EVENTS[0])) && response.ends_with("0\r\n\r\n"), "{response}");
}

/// An endless response affects only its connection: it is limited in bytes or by the attempt's timeout, and a
/// retry is served.
#[test_case("HTTP/1.1 200 OK\r\nx-more: ", "and more "; "a head")]
#[test_case("", "HTTP/1.1 102 Processing\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nmore\r\n"; "an error")]
#[test_case(STREAM_HEAD, "1"; "a chunk's size")]
fn endless_response_affects_only_its_connection(first: &'static str, repeated: &'static str) {
    let decode = peer(move |_, n| match n {
        1 => PeerAction::RespondEndlessly(first, repeated),
        _ => PeerAction::Respond(stream_response()),
    });
    let prefill = prefill_engine();
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let started_at = Instant::now();
    let response = node.exchange(chat_request("da05").as_bytes());
    assert!(response.contains(&chunk(EVENTS[0])) && response.ends_with("0\r\n\r\n"), "{response}");
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

/// A client that reads a response slowly gets all of it in order; one that sends a request slowly gets an
/// error in time.
#[test]
fn very_slow_client_is_served_or_refused_in_time() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    client.write_all(chat_request("da06").as_bytes()).unwrap();
    let (mut response, mut byte_buffer) = (String::new(), [0; 16]);
    while !response.ends_with("0\r\n\r\n") {
        let n = client.read(&mut byte_buffer).unwrap();
        assert!(n > 0, "the response ended early: {response}");
        response.push_str(&String::from_utf8_lossy(&byte_buffer[..n]));
        sleep(Duration::from_millis(10));
    }
    let mut client = node.connect();
    let started_at = Instant::now();
    while started_at.elapsed() < TEST_TIMEOUT && client.write_all(b"x").is_ok() {
        sleep(Duration::from_millis(100));
        client.set_nonblocking(true).unwrap();
        let peeked = client.peek(&mut [0]);
        client.set_nonblocking(false).unwrap();
        if peeked.is_ok() {
            break;
        }
    }
    assert!(started_at.elapsed() < Duration::from_secs(3));
    assert!(read_response(&mut client).starts_with("HTTP/1.1 408"));
}

/// Many connections send bodies of a wrong length at once: each gets an error response or a close, and the
/// node continues to serve.
#[test]
fn flood_over_many_connections_is_answered_and_ends() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let clients: Vec<_> = (0..120)
        .map(|n| {
            let mut client = node.connect();
            client.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
            std::thread::spawn(move || {
                let head = chat_request(&format!("db{n}")).replace("Content-Length: ", "Content-Length: 26");
                let _ = client.write_all(head.as_bytes());
                let _ = client.write_all(&vec![b'x'; 200_000]);
                // The request sends fewer bytes than it announces, or more: the connection ends in either
                // case.
                let (response, _) = read_to_end(&mut client);
                response
            })
        })
        .collect();
    let started_at = Instant::now();
    for client in clients {
        let response = client.join().unwrap();
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4") || response.starts_with("HTTP/1.1 5"),
            "{response}"
        );
    }
    assert!(started_at.elapsed() < Duration::from_secs(4));
    assert!(node.exchange(chat_request("db").as_bytes()).ends_with("0\r\n\r\n"));
}
