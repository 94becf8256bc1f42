//! Events are forwarded complete and as soon as they arrive, independently of the chunks in which an engine
//! writes them.

use crate::common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Reads until the text has arrived, or the connection ends.
fn read_until(client: &mut TcpStream, text: &str) -> String {
    let (mut received_text, mut bytes) = (String::new(), [0; 4096]);
    while !received_text.contains(text) {
        match client.read(&mut bytes) {
            Ok(n) if n > 0 => received_text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            _ => break,
        }
    }
    received_text
}

/// Starts a decode engine that writes these pieces one after another, each once the test has received the one
/// before.
fn gated_decode_engine(pieces: Vec<String>, gate: Receiver<()>) -> Peer {
    let unused = Mutex::new(Some((pieces, gate)));
    peer(move |_, _| {
        let Some((pieces, gate)) = unused.lock().unwrap().take() else {
            return PeerAction::Respond(stream_response());
        };
        PeerAction::UseConnection(Box::new(move |connection| {
            for piece in pieces {
                connection.write_all(piece.as_bytes()).unwrap();
                // If the node has cancelled the attempt, the gate is never opened.
                let _ = gate.recv_timeout(TEST_TIMEOUT);
            }
        }))
    })
}

const SECOND_EVENT: &str = "data: {\"n\":2}\n\n";

/// Regression test (requests of one day): a third of the engines' first chunks held ten bytes of an event,
/// the connection was reset after them, and the client received half an event and a close.
#[test_case("data: {\"ch"; "in a line")]
#[test_case("data: {\"n\":1}\n"; "before its empty line")]
fn stream_that_breaks_inside_its_first_event_is_retried(incomplete: &str) {
    let bytes = format!("{STREAM_HEAD}{}", chunk(incomplete)).into_bytes();
    let response = response_after_failed_attempt("ea01", move || PeerAction::RespondAndClose(bytes.clone()));
    assert!(response.contains(&chunk(EVENTS[0])) && response.ends_with("0\r\n\r\n"), "{response}");
}

/// Cases: two events in one chunk, the second much later; one event in a chunk whose end comes late; events
/// in many pieces.
#[test_case(&format!("1e\r\n{}", EVENTS[0]), &format!("{SECOND_EVENT}\r\n"); "two in one chunk")]
#[test_case(&format!("{:x}\r\n{}", EVENTS[0].len(), EVENTS[0]), &format!("\r\n{}", chunk(SECOND_EVENT)); "a chunk without its end")]
#[test_case(&format!("{}{}", chunk("data: {\"n\""), chunk(":1}\n\ndata: ")), &chunk("{\"n\":2}\n\n"); "in pieces")]
fn event_is_forwarded_before_more_arrives(first: &str, second: &str) {
    let (open_gate, gate) = channel();
    let end = format!("{}0\r\n\r\n", chunk(DONE_EVENT));
    let pieces = vec![format!("{STREAM_HEAD}{first}"), second.to_string(), end.clone()];
    let (prefill, decode) = (prefill_engine(), gated_decode_engine(pieces, gate));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.open_request("ea02", &decode);
    let started_at = Instant::now();
    let response = read_until(&mut client, EVENTS[0]);
    assert!(
        response.ends_with(&chunk(EVENTS[0])),
        "only the first event, and all of it, is expected: {response}"
    );
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    open_gate.send(()).unwrap();
    assert_eq!(read_until(&mut client, SECOND_EVENT), chunk(SECOND_EVENT));
    open_gate.send(()).unwrap();
    assert_eq!(read_until(&mut client, "\r\n0\r\n\r\n"), end);
}

/// A chunk size that does not match the data is detected before the first event is forwarded, if the data
/// arrives at once.
#[test]
fn first_chunk_with_a_wrong_size_fails_the_attempt() {
    let first = format!(
        "{STREAM_HEAD}40\r\n{}\r\n{}{}",
        EVENTS[0],
        chunk(SECOND_EVENT),
        chunk(&SECOND_EVENT.repeat(9))
    );
    let response =
        response_after_failed_attempt("ea03", move || PeerAction::Respond(first.clone().into_bytes()));
    assert!(
        response.contains(&chunk(EVENTS[0]))
            && response.ends_with("0\r\n\r\n")
            && !response.contains(SECOND_EVENT),
        "{response}"
    );
}

/// Data that is not an event is not forwarded, and the connection ends without the last chunk.
#[test]
fn chunk_line_inside_the_data_is_not_forwarded() {
    let (open_gate, gate) = channel();
    let second = format!("\r\n{}{}", chunk(SECOND_EVENT), chunk(&SECOND_EVENT.repeat(9)));
    let (prefill, decode) = (
        prefill_engine(),
        gated_decode_engine(vec![format!("{STREAM_HEAD}40\r\n{}", EVENTS[0]), second], gate),
    );
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.open_request("ea04", &decode);
    assert!(read_until(&mut client, EVENTS[0]).ends_with(&chunk(EVENTS[0])));
    open_gate.send(()).unwrap();
    let remainder = read_response(&mut client);
    assert_eq!(remainder, "", "the connection closes without further data");
}

/// Regression test: the client reads 150 KB per second for 8 s, while the data queued for it was one write of
/// megabytes that had to finish within 5 s.
#[test]
fn slow_client_receives_its_whole_stream() {
    let event = format!("data: {}\n\n", "x".repeat(200_000));
    let bytes =
        format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event).repeat(45), chunk(DONE_EVENT)).into_bytes();
    let (prefill, decode) = (prefill_engine(), peer(move |_, _| PeerAction::Respond(bytes.clone())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client: TcpStream = socket.into();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client.write_all(chat_request("eb01").as_bytes()).unwrap();
    let (mut total, mut tail, mut bytes) = (0, Vec::new(), vec![0; 50_000]);
    let started_at = Instant::now();
    loop {
        let n = client.read(&mut bytes).unwrap_or(0);
        if n == 0 {
            break;
        }
        total += n;
        tail = [&tail[tail.len().saturating_sub(5)..], &bytes[..n]].concat();
        if tail.ends_with(b"0\r\n\r\n") {
            break;
        }
        let expected_elapsed = Duration::from_secs_f64((total as f64 / 150_000.0).min(8.0));
        std::thread::sleep(expected_elapsed.saturating_sub(started_at.elapsed()));
    }
    assert!(tail.ends_with(b"0\r\n\r\n") && total > 9_000_000, "{total} bytes in {:?}", started_at.elapsed());
}
