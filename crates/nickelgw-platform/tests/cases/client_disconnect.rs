//! Clients that disconnect: no attempt starts for them, whatever the state of their request, and their
//! reservations are released.

use crate::common::*;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time after a client's disconnection after which no attempt may start.
const MAX_DELAY: Duration = Duration::from_millis(100);

fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// Starts a prefill engine that responds with `bytes` after `ms` milliseconds.
fn slow_prefill_engine(ms: u64, bytes: Vec<u8>) -> Peer {
    peer(move |_, _| {
        sleep_ms(ms);
        PeerAction::Respond(bytes.clone())
    })
}

fn prefill_response() -> Vec<u8> {
    http_response("202 Accepted", r#"{"cached_tokens":4}"#)
}

/// How a client disconnects.
#[derive(Clone, Copy)]
enum DisconnectKind {
    Closes,
    /// The client closes only its sending direction: on this platform that cancels an attempt, and a request
    /// as well.
    HalfCloses,
    /// The client closes after this many pipelined requests, of this many bytes each.
    ClosesAfterPipelining(usize, usize),
}

/// Sends a request and disconnects after `after_ms` milliseconds. Returns the connection if it is only half
/// closed.
fn request_and_disconnect(
    node: &TestNode,
    id: &str,
    disconnect: DisconnectKind,
    after_ms: u64,
) -> Option<std::net::TcpStream> {
    let mut client = node.connect();
    client.write_all(chat_request(id).as_bytes()).unwrap();
    if let DisconnectKind::ClosesAfterPipelining(n, bytes) = disconnect {
        for number in 0..n {
            let body = format!(r#"{{"model":"chat","messages":["{}"]}}"#, "x".repeat(bytes));
            let head = chat_request(&format!("{id}-{number}"));
            let head = head.split("Content-Length").next().unwrap();
            let pipelined = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            client.write_all(pipelined.as_bytes()).unwrap();
        }
    }
    sleep_ms(after_ms);
    if matches!(disconnect, DisconnectKind::HalfCloses) {
        client.shutdown(Shutdown::Write).unwrap();
        return Some(client);
    }
    None
}

#[test_case(DisconnectKind::Closes; "closed")]
#[test_case(DisconnectKind::HalfCloses; "half closed")]
#[test_case(DisconnectKind::ClosesAfterPipelining(6, 20_000); "closed after pipelined requests")]
fn no_attempt_starts_for_a_client_that_disconnected_while_queued(disconnect: DisconnectKind) {
    // No prefill engine is known until a while after the client has disconnected.
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let list_text = endpoint_list(&[&prefill], &[&decode]).to_string();
    let announced_at = Instant::now() + Duration::from_millis(400);
    let discovery = peer(move |request, _| {
        if request.contains("since=") {
            return PeerAction::Stall;
        }
        sleep(announced_at.saturating_duration_since(Instant::now()));
        PeerAction::Respond(http_response("200 OK", &list_text))
    });
    let node = start_node(&discovery, &[], &[&decode], None);
    let _half_open = request_and_disconnect(&node, "ca01", disconnect, 60);
    sleep_ms(900);
    assert!(prefill.received("POST").is_empty() && decode.received("POST").is_empty());
    // A later request is served: the prefill engine had got no attempt because of the disconnection, not
    // because of the list.
    assert!(node.exchange(chat_request("ca02").as_bytes()).starts_with("HTTP/1.1 200"));
}

#[test_case(DisconnectKind::Closes; "closed")]
#[test_case(DisconnectKind::HalfCloses; "half closed")]
#[test_case(DisconnectKind::ClosesAfterPipelining(6, 20_000); "closed after pipelined requests")]
fn no_decode_starts_for_a_client_that_disconnected_during_prefill(disconnect: DisconnectKind) {
    let (prefill, decode) =
        (slow_prefill_engine(400, prefill_response()), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let _half_open = request_and_disconnect(&node, "ca03", disconnect, 60);
    prefill.wait_for("DELETE /internal/reservations/ca03 ");
    sleep_ms(600);
    assert!(
        decode.received("POST").is_empty(),
        "the prefill finished 340 ms after the client had disconnected"
    );
    assert_eq!(prefill.received("POST").len(), 1, "no attempt starts for a pipelined request either");
}

#[test_case(DisconnectKind::Closes; "closed")]
#[test_case(DisconnectKind::ClosesAfterPipelining(6, 20_000); "closed after pipelined requests")]
fn no_retry_starts_for_a_client_that_disconnected_before_it(disconnect: DisconnectKind) {
    // The engine is full: another attempt is dispatched only after a while.
    let rejection = http_response("503 Full\r\nX-Rejected: 1", "");
    let (prefill, decode) =
        (slow_prefill_engine(150, rejection), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let _half_open = request_and_disconnect(&node, "ca04", disconnect, 60);
    let before = prefill.received("POST").len();
    sleep_ms(MAX_DELAY.as_millis() as u64);
    let within_delay = prefill.received("POST").len();
    sleep_ms(600);
    assert_eq!((before, within_delay, prefill.received("POST").len()), (1, 1, 1));
}

/// An attempt starts when its bytes are written: on a connection established after the client has
/// disconnected, none are.
#[test_case(DisconnectKind::Closes; "closed")]
#[test_case(DisconnectKind::ClosesAfterPipelining(6, 20_000); "closed after pipelined requests")]
fn connection_established_too_late_carries_no_attempt(disconnect: DisconnectKind) {
    let unreachable = unreachable_host();
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let mut prefill = prefill_engine();
    prefill.address = unreachable.address;
    let known = endpoint_list(&[&prefill], &[&decode]);
    let node = start_node_with(&silent_discovery(), known, None, |config| {
        config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
        config["settings"]["limits"]["most_tries"] = json!(2);
    });
    let _half_open = request_and_disconnect(&node, "ca05", disconnect, 150);
    let bytes = unreachable.bytes_after_recovery(Duration::from_millis(2500));
    assert_eq!(bytes, 0);
    assert!(decode.received("POST").is_empty());
}

/// A client sends more before its response than the longest request has: unread bytes would hide whether it
/// has disconnected.
#[test]
fn client_that_floods_its_connection_gets_an_error_and_its_attempt_is_cancelled() {
    let (prefill, decode) =
        (peer(|_, _| PeerAction::Stall), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.open_request("ca06", &prefill);
    let junk = vec![b'x'; 64 * 1024];
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(2)
        && client.write_all(&junk).is_ok()
        && prefill.received("CLOSED").is_empty()
    {}
    prefill.wait_for("CLOSED");
    let response = read_response(&mut client);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(node.exchange(b"GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
}

/// Clients are answered if they pipeline requests within the limit of buffered bytes.
#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let (prefill, decode) =
        (slow_prefill_engine(20, prefill_response()), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    let requests: String = (0..5).map(|number| chat_request(&format!("cb{number}"))).collect();
    client.write_all(requests.as_bytes()).unwrap();
    for _ in 0..5 {
        let response = read_response(&mut client);
        assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n"), "{response}");
    }
    let ids: Vec<String> = prefill
        .received("POST")
        .iter()
        .map(|request| request.split("X-Call-Id: ").nth(1).unwrap()[..3].into())
        .collect();
    assert_eq!(ids, ["cb0", "cb1", "cb2", "cb3", "cb4"]);
}

/// Starts a prefill engine that responds after 15 ms, so that pipelined requests are sent one after another.
fn paced_engines() -> (Peer, Peer) {
    (slow_prefill_engine(15, prefill_response()), peer(|_, _| PeerAction::Respond(stream_response())))
}

/// Returns this many requests, with bodies of this many bytes besides the usual ones.
fn pipelined_requests(count: usize, bytes: usize) -> Vec<u8> {
    let request = |number: usize| {
        let body = format!(r#"{{"model":"chat","messages":["{}"]}}"#, "x".repeat(bytes));
        let head = chat_request(&format!("ce{number}"));
        let head = head.split("Content-Length").next().unwrap().to_string();
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    (0..count).map(request).collect::<String>().into_bytes()
}

/// A client sends many requests at once and closes its connection, with much of them unread: none of them is sent on
/// afterwards, whether the client has read its answers or not.
#[test_case(50, 0, 60, true; "few, answers read")]
#[test_case(50, 0, 60, false; "few, answers unread")]
#[test_case(400, 0, 150, false; "many")]
#[test_case(800, 200, 150, false; "many, more than is buffered")]
#[test_case(4000, 500, 150, false; "megabytes")]
#[test_case(4000, 500, 0, false; "megabytes, closed at once")]
#[test_case(12, 20_000, 60, false; "large ones")]
#[test_case(40, 60_000, 60, true; "large ones, more than is buffered")]
fn no_pipelined_request_is_sent_after_its_client_closed(
    count: usize,
    bytes: usize,
    after_ms: u64,
    reads_answers: bool,
) {
    let (prefill, decode) = paced_engines();
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let client = node.connect();
    client.set_nonblocking(true).unwrap();
    let (requests, started_at) = (pipelined_requests(count, bytes), Instant::now());
    let (mut written, mut answers) = (0, [0; 16 * 1024]);
    while started_at.elapsed() < Duration::from_millis(after_ms) || (after_ms == 0 && written == 0) {
        written += (&client).write(&requests[written..]).unwrap_or(0);
        if reads_answers {
            let _ = std::io::Read::read(&mut &client, &mut answers);
        }
        sleep_ms(1);
    }
    drop(client);
    sleep_ms(MAX_DELAY.as_millis() as u64);
    let sent = (prefill.received("POST").len(), decode.received("POST").len());
    sleep_ms(1000);
    assert_eq!(
        (prefill.received("POST").len(), decode.received("POST").len()),
        sent,
        "{written} bytes written"
    );
    assert!(node.exchange(chat_request("cf01").as_bytes()).starts_with("HTTP/1.1 200"));
}
