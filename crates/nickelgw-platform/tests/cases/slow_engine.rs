//! Engines that write a long answer slowly.

use crate::common::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time after an engine's last event by which the client of a broken stream must not be left waiting.
const CLOSE_WITHIN: Duration = Duration::from_secs(5);
const DONE_EVENT: &str = "data: [DONE]\n\n";

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
