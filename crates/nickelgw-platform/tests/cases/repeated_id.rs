//! An id that comes again: engines tell requests apart by their ids, so none of them may get one twice.

use crate::common::*;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

/// Time for which a second attempt would have come.
const SETTLED: Duration = Duration::from_millis(700);

fn attempts(engine: &Peer, id: &str) -> usize {
    let line = format!("X-Call-Id: {id}\r\n");
    engine.received("POST").iter().filter(|request| request.contains(&line)).count()
}

/// Regression test: an id ran twice when it came again after its client had left.
#[test_case("pure", true; "repeatable, left during prefill")]
#[test_case("pure", false; "repeatable, left during decode")]
#[test_case("side_effect", true; "runs once, left during prefill")]
#[test_case("side_effect", false; "runs once, left during decode")]
fn id_does_not_run_again_after_its_client_left(idempotency: &'static str, during_prefill: bool) {
    let (prefill, decode) = if during_prefill {
        (peer(|_, _| PeerAction::Stall), peer(|_, _| PeerAction::Respond(stream_response())))
    } else {
        (prefill_engine(), peer(|_, _| PeerAction::Stall))
    };
    let stalling = if during_prefill { &prefill } else { &decode };
    let known = endpoint_list(&[&prefill], &[&decode]);
    let node = start_node_with(&silent_discovery(), known, None, |config| {
        config["settings"]["classes"][0]["idempotency"] = idempotency.into();
    });
    for pause_ms in [0, 30, 300] {
        let id = format!("ra{pause_ms}");
        let mut client = node.connect();
        client.write_all(chat_request(&id).as_bytes()).unwrap();
        while attempts(stalling, &id) == 0 {
            sleep(Duration::from_millis(1));
        }
        drop(client);
        sleep(Duration::from_millis(pause_ms));
        let mut again = node.connect();
        again.write_all(chat_request(&id).as_bytes()).unwrap();
        sleep(SETTLED);
        assert_eq!(attempts(&prefill, &id), 1, "after {pause_ms} ms");
        assert!(read_response(&mut again).starts_with("HTTP/1.1 409"), "after {pause_ms} ms");
    }
}

/// An id that was served does not run again either.
#[test]
fn id_does_not_run_again_after_it_was_served() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    assert!(node.exchange(chat_request("rb01").as_bytes()).ends_with("0\r\n\r\n"));
    assert!(node.exchange(chat_request("rb01").as_bytes()).starts_with("HTTP/1.1 409"));
    assert_eq!((attempts(&prefill, "rb01"), attempts(&decode, "rb01")), (1, 1));
}

/// A request of which no attempt was sent may come again under its id.
#[test]
fn id_that_was_rejected_unsent_may_come_again() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let list_text = endpoint_list(&[&prefill], &[&decode]).to_string();
    let (announce, announced) = async_channel::bounded::<()>(1);
    let discovery = peer(move |request, _| match request.contains("since=") {
        true => PeerAction::Stall,
        false => {
            let _ = announced.recv_blocking();
            PeerAction::Respond(http_response("200 OK", &list_text))
        }
    });
    let node = start_node(&discovery, &[], &[], None);
    assert!(node.exchange(chat_request("rc01").as_bytes()).starts_with("HTTP/1.1 503"));
    announce.send_blocking(()).unwrap();
    let is_served = (0..100).any(|_| {
        sleep(Duration::from_millis(50));
        node.exchange(chat_request("rc01").as_bytes()).starts_with("HTTP/1.1 200")
    });
    assert!(is_served, "the request was not served");
}
