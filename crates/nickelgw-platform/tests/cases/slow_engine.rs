//! Engines that are slow with bytes: they write a long answer slowly, or read a large request slowly.

use crate::common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time after an engine's last event by which the client of a broken stream must not be left waiting.
const CLOSE_WITHIN: Duration = Duration::from_secs(5);
/// Time after a request's timeout by which its final answer has to have come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

fn write_slowly(connection: &mut TcpStream, text: &str, pause: Duration) -> bool {
    connection.set_nodelay(true).unwrap();
    text.bytes().all(|byte| {
        sleep(pause);
        connection.write_all(&[byte]).is_ok()
    })
}

/// Starts a decode engine that writes its first event at once, and then what `write` writes.
fn slow_decode_engine(write: impl Fn(&mut TcpStream) + Clone + Send + Sync + 'static) -> Peer {
    peer(move |_, _| {
        let write = write.clone();
        PeerAction::UseConnection(Box::new(move |connection| {
            let _ = connection.write_all(format!("{STREAM_HEAD}{}", chunk(EVENTS[0])).as_bytes());
            write(connection);
        }))
    })
}

fn response_of(decode: &Peer, id: &str) -> (String, Duration) {
    let prefill = prefill_engine();
    let node = start_node(&silent_discovery(), &[&prefill], &[decode], None);
    let started_at = Instant::now();
    let response = node.exchange(chat_request(id).as_bytes());
    (response, started_at.elapsed())
}

/// Regression test: an event that an engine wrote for longer than the time without data was cut off while its bytes
/// still came.
#[test]
fn slowly_written_event_is_forwarded() {
    const EVENT: &str = "data: {\"text\":\"an event that is written for more than five seconds\"}\n\n";
    let rest = format!("{}{}0\r\n\r\n", chunk(EVENT), chunk(DONE_EVENT));
    let decode = slow_decode_engine(move |connection| {
        write_slowly(connection, &rest, Duration::from_millis(70));
    });
    let (response, took) = response_of(&decode, "fa01");
    assert!(took > Duration::from_secs(6), "{took:?}");
    assert!(response.contains(EVENT) && response.ends_with("0\r\n\r\n"), "after {took:?}: {response}");
}

/// Regression test: a stream was cut off 4 s after its last event, though the next one was still to come within the
/// 5 s for which a client may wait.
#[test]
fn stream_with_long_pauses_is_forwarded() {
    let decode = slow_decode_engine(|connection| {
        for event in ["data: {\"n\":2}\n\n", DONE_EVENT] {
            sleep(Duration::from_millis(4500));
            let _ = connection.write_all(chunk(event).as_bytes());
        }
        let _ = connection.write_all(b"0\r\n\r\n");
    });
    let (response, took) = response_of(&decode, "fa02");
    assert!(response.ends_with("0\r\n\r\n"), "after {took:?}: {response}");
}

/// An engine that stops inside an event keeps its client waiting no longer than one that stops after one.
#[test_case(0; "at once")]
#[test_case(800; "later")]
#[test_case(2500; "much later")]
fn event_that_is_broken_off_ends_the_connection(after_ms: u64) {
    let decode = slow_decode_engine(move |connection| {
        sleep(Duration::from_millis(after_ms));
        let _ = connection.write_all(b"40\r\ndata: {\"n\"");
        sleep(TEST_TIMEOUT);
    });
    let (response, took) = response_of(&decode, "fa04");
    assert!(!response.ends_with("0\r\n\r\n") && took < CLOSE_WITHIN, "after {took:?}: {response}");
}

/// Noise inside an event is recognized though the event never ends.
#[test]
fn slowly_written_noise_inside_an_event_ends_the_connection() {
    let decode = slow_decode_engine(|connection| {
        let _ = connection.write_all(b"4000\r\ndata: {");
        while write_slowly(connection, "\u{1}\u{7f}abc", Duration::from_millis(100)) {}
    });
    let (response, took) = response_of(&decode, "fa05");
    assert!(!response.ends_with("0\r\n\r\n") && took < CLOSE_WITHIN, "after {took:?}: {response}");
}

/// What is no event does not keep a client waiting, however slowly it comes.
#[test_case("noise that goes on and on, and is no event at all, whatever follows, for many seconds"; "noise")]
#[test_case("\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"; "empty lines")]
fn slowly_written_noise_ends_the_connection(noise: &'static str) {
    let decode = slow_decode_engine(move |connection| {
        let _ = connection.write_all(b"400\r\n");
        while write_slowly(connection, noise, Duration::from_millis(100)) {}
    });
    let (response, took) = response_of(&decode, "fa03");
    assert!(!response.ends_with("0\r\n\r\n") && took < CLOSE_WITHIN, "after {took:?}: {response}");
}

/// An engine that reads its requests slowly, and what it has read.
#[derive(Default)]
struct SlowReader {
    /// Whole requests that it has read.
    whole: AtomicUsize,
    /// Whether it reads without pauses.
    is_fast: AtomicBool,
}

const REQUEST_BODY_BYTES: usize = 250_000;

/// Starts an engine that reads a few bytes at a time, with little buffered by the system, and answers whole requests.
fn slow_reader(response: fn() -> Vec<u8>) -> (Peer, Arc<SlowReader>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    socket.listen(64).unwrap();
    let listener: std::net::TcpListener = socket.into();
    let engine = Peer::at(listener.local_addr().unwrap());
    let reader = Arc::new(SlowReader::default());
    let shared = reader.clone();
    spawn(move || {
        for mut connection in listener.incoming().flatten() {
            let reader = shared.clone();
            spawn(move || {
                while read_slowly(&mut connection, &reader) {
                    reader.whole.fetch_add(1, Relaxed);
                    let _ = connection.write_all(&response());
                }
            });
        }
    });
    (engine, reader)
}

/// Reads one request; `false` at the end of the connection. Release calls are not counted.
fn read_slowly(connection: &mut TcpStream, reader: &SlowReader) -> bool {
    let (mut received, mut bytes) = (Vec::new(), [0; 2048]);
    loop {
        match connection.read(&mut bytes) {
            Ok(length) if length > 0 => received.extend_from_slice(&bytes[..length]),
            _ => return false,
        }
        let text = String::from_utf8_lossy(&received);
        if text.starts_with("DELETE") && text.ends_with("\r\n\r\n") {
            let _ = connection.write_all(&http_response("204 No Content", ""));
            received.clear();
            continue;
        }
        if text.split_once("\r\n\r\n").is_some_and(|(_, body)| body.len() >= REQUEST_BODY_BYTES) {
            return true;
        }
        if !reader.is_fast.load(Relaxed) {
            sleep(Duration::from_millis(40));
        }
    }
}

/// Returns a request with a large body, and this timeout.
fn large_request(id: &str, timeout: Duration) -> String {
    let start = r#"{"model":"chat","messages":["#;
    let body = format!("{start}\"{}\"]}}", "x".repeat(REQUEST_BODY_BYTES - start.len() - 4));
    let head =
        chat_request(id).replace("X-Budget-Ms: 4000", &format!("X-Budget-Ms: {}", timeout.as_millis()));
    let head = head.split("Content-Length").next().unwrap().to_string();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Regression test: where an engine reads a large request slowly, the final answer came after its time, and the rest of
/// the request went on to the engine.
#[test_case(true; "prefill engine")]
#[test_case(false; "decode engine")]
fn request_that_is_read_slowly_is_answered_in_time_and_withdrawn(is_prefill: bool) {
    const TIMEOUT: Duration = Duration::from_millis(1500);
    let (prefill, decode, reader) = if is_prefill {
        let (prefill, reader) = slow_reader(|| http_response("202 Accepted", "{}"));
        (prefill, peer(|_, _| PeerAction::Respond(stream_response())), reader)
    } else {
        let (decode, reader) = slow_reader(stream_response);
        (prefill_engine(), decode, reader)
    };
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    let request = large_request("fb01", TIMEOUT);
    client.write_all(request.as_bytes()).unwrap();
    let sent_at = Instant::now();
    let response = read_response(&mut client);
    let took = sent_at.elapsed();
    assert!(response.starts_with("HTTP/1.1 50"), "{response}");
    assert!(took < TIMEOUT + ANSWER_SLACK, "answered after {took:?}");
    reader.is_fast.store(true, Relaxed);
    sleep(Duration::from_secs(2));
    assert_eq!(reader.whole.load(Relaxed), 0, "the engine got the whole request after its time");
    // Usual requests are served.
    assert!(node.exchange(chat_request("fb02").as_bytes()).starts_with("HTTP/1.1 "));
}

/// The same for a client that leaves: its request does not reach the engine afterwards.
#[test]
fn request_that_is_read_slowly_is_withdrawn_when_its_client_leaves() {
    let (prefill, reader) = slow_reader(|| http_response("202 Accepted", "{}"));
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    client.write_all(large_request("fc01", Duration::from_secs(4)).as_bytes()).unwrap();
    sleep(Duration::from_millis(300));
    drop(client);
    sleep(Duration::from_millis(100));
    reader.is_fast.store(true, Relaxed);
    sleep(Duration::from_secs(2));
    assert_eq!(reader.whole.load(Relaxed), 0, "the engine got the whole request after its client had left");
}

/// Each of many large requests is answered in time while all engines of a role read slowly, whatever its class allows.
#[test_case(true, "pure"; "prefill engines of a repeatable class")]
#[test_case(true, "side_effect"; "prefill engines of a class that runs once")]
#[test_case(false, "pure"; "decode engines of a repeatable class")]
#[test_case(false, "side_effect"; "decode engines of a class that runs once")]
fn many_requests_that_are_read_slowly_are_answered_in_time(is_prefill: bool, idempotency: &'static str) {
    const TIMEOUT: Duration = Duration::from_millis(2500);
    let fast =
        if is_prefill { peer(|_, _| PeerAction::Respond(stream_response())) } else { prefill_engine() };
    let slow: Vec<Peer> = (0..3)
        .map(|_| match is_prefill {
            true => slow_reader(|| http_response("202 Accepted", "{}")).0,
            false => slow_reader(stream_response).0,
        })
        .collect();
    let slow: Vec<&Peer> = slow.iter().collect();
    let known = if is_prefill { endpoint_list(&slow, &[&fast]) } else { endpoint_list(&[&fast], &slow) };
    let node = start_node_with(&silent_discovery(), known, None, |config| {
        config["settings"]["classes"][0]["idempotency"] = idempotency.into();
        config["settings"]["classes"][0]["slo_s"] = 2.0.into();
    });
    let address = node.address;
    let clients: Vec<_> = (0..12)
        .map(|number| {
            spawn(move || {
                let mut client = TcpStream::connect(address).unwrap();
                client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                client.write_all(large_request(&format!("fd{number}"), TIMEOUT).as_bytes()).unwrap();
                let sent_at = Instant::now();
                let response = read_response(&mut client);
                (response.lines().next().unwrap_or_default().to_string(), sent_at.elapsed())
            })
        })
        .collect();
    let answers: Vec<(String, Duration)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let is_late = |(status, took): &(String, Duration)| status.is_empty() || *took > TIMEOUT + ANSWER_SLACK;
    assert!(!answers.iter().any(is_late), "{answers:?}");
}
