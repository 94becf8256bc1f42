//! Tests of the platform's protocol on sockets. In each failure case a peer causes the failure by its
//! behaviour.

#[path = "cases/arrival.rs"]
mod arrival;
#[path = "cases/client_disconnect.rs"]
mod client_disconnect;
mod common;
#[path = "cases/connection_close.rs"]
mod connection_close;
#[path = "cases/discovery.rs"]
mod discovery;
#[path = "cases/event_stream.rs"]
mod event_stream;
#[path = "cases/idle_connections.rs"]
mod idle_connections;
#[path = "cases/late_discovery.rs"]
mod late_discovery;
#[path = "cases/repeated_id.rs"]
mod repeated_id;
#[path = "cases/shutdown.rs"]
mod shutdown;
#[path = "cases/slow_engine.rs"]
mod slow_engine;
#[path = "cases/stalled_clients.rs"]
mod stalled_clients;
#[path = "cases/surplus_response.rs"]
mod surplus_response;
#[path = "cases/unreachable_zone.rs"]
mod unreachable_zone;

use common::*;
use std::io::{Read, Write};
use test_case::test_case;

#[test]
fn request_is_prefilled_then_decoded_and_its_stream_forwarded_unchanged() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let response = node.exchange(chat_request("aa01").as_bytes());
    let body = response.split_once("\r\n\r\n").unwrap().1;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(body, format!("{}{}0\r\n\r\n", chunk(EVENTS[0]), chunk(EVENTS[1])));
    for engine in [&prefill, &decode] {
        let attempt = engine.received("POST /v1/chat/completions?v=2 HTTP/1.1\r\n").remove(0);
        assert!(attempt.contains("X-Call-Id: aa01\r\n") && attempt.contains("x-budget-ms: "), "{attempt}");
        assert_eq!(
            attempt.split_once("\r\n\r\n").unwrap().1,
            chat_request("").split_once("\r\n\r\n").unwrap().1
        );
    }
    assert!(
        prefill.received("DELETE").is_empty(),
        "engines release reservations by themselves with the first token"
    );
}

#[test_case("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"; "malformed head")]
#[test_case("\u{1}\u{2}noise\r\n"; "random bytes")]
#[test_case(&format!("{STREAM_HEAD}zz\r\nab"); "a chunk without a size")]
#[test_case(&format!("{STREAM_HEAD}c0000000\r\nab"); "a chunk of 3 GB")]
#[test_case(&format!("{STREAM_HEAD}2\r\ndata: 1\n\n\r\n"); "a chunk with a wrong size")]
fn stream_malformed_before_its_first_event_is_retried(bytes: &str) {
    let bytes = bytes.as_bytes().to_vec();
    let response = response_after_failed_attempt("aa02", move || PeerAction::Respond(bytes.clone()));
    assert!(response.contains(&chunk(EVENTS[0])) && response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn interim_and_surplus_responses_are_skipped() {
    let decode = peer(|_, _| {
        let mut bytes = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".to_vec();
        bytes.extend(stream_response());
        bytes.extend(http_response("200 OK", "a second answer"));
        PeerAction::Respond(bytes)
    });
    let prefill = prefill_engine();
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    for id in ["aa03", "aa04"] {
        let response = node.exchange(chat_request(id).as_bytes());
        assert!(response.ends_with("0\r\n\r\n") && !response.contains("second"), "{response}");
    }
}

#[test_case(""; "truncated")]
#[test_case("zz\r\nab\r\n"; "malformed")]
fn broken_stream_ends_the_connection_without_the_last_chunk(remainder: &str) {
    let bytes = format!("{STREAM_HEAD}{}{remainder}", chunk(EVENTS[0])).into_bytes();
    let decode = peer(move |_, _| PeerAction::RespondAndClose(bytes.clone()));
    let prefill = prefill_engine();
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let response = node.exchange(chat_request("aa05").as_bytes());
    assert!(response.ends_with(&chunk(EVENTS[0])), "{response}");
    assert_eq!(decode.received("POST").len(), 1, "there is no retry");
}

#[test]
fn disconnected_client_has_its_attempt_cancelled_and_its_reservation_released() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Stall));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let client = node.open_request("aa06", &decode);
    drop(client);
    decode.wait_for("CLOSED");
    assert!(prefill.wait_for("DELETE").starts_with("DELETE /internal/reservations/aa06 HTTP/1.1\r\n"));
}

#[test]
fn reservation_at_an_unreachable_engine_is_released_through_another() {
    // The prefill engine finishes one prefill, and then accepts no connection.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut prefill = prefill_engine();
    prefill.address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut connection = listener.accept().unwrap().0;
        let _ = connection.read(&mut [0; 4096]);
        drop(listener);
        let _ = connection.write_all(&http_response("202 Accepted\r\nconnection: close", "{}"));
    });
    let decode = peer(|_, _| PeerAction::Stall);
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let client = node.open_request("aa07", &decode);
    drop(client);
    assert!(decode.wait_for("DELETE").contains("/aa07 "));
}

#[test]
fn request_that_cannot_be_served_is_rejected_and_the_connection_stays_open() {
    let prefill = peer(|_, _| PeerAction::Respond(http_response("500 Error", "")));
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.connect();
    for id in ["aa08", "aa09"] {
        client.write_all(chat_request(id).as_bytes()).unwrap();
        let response = read_response(&mut client);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(
            !response.contains("retry-after"),
            "a retry-after time is stated only where the settings allow it"
        );
    }
    assert!(decode.received("POST").is_empty());
}

#[test_case("GET / HTTP/1.1\r\n\r\n"; "unknown path")]
#[test_case("nonsense\r\n\r\n"; "not HTTP")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\nxx"; "body of 60 MB")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\nxx"; "a negative length")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\n\r\nxx"; "half a body")]
#[test_case("POST /v1/chat/completions HTTP/1.1\r\nX: "; "half a head")]
#[test_case(""; "no bytes")]
fn misbehaving_client_gets_an_error_or_a_close_in_time(bytes: &str) {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let started_at = std::time::Instant::now();
    let response = node.exchange(bytes.as_bytes());
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{response}");
    assert!(started_at.elapsed().as_secs_f64() < 2.9);
    assert!(prefill.received("POST").is_empty());
}

#[test]
fn request_with_two_framings_is_not_forwarded() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let ambiguous =
        chat_request("aa10").replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length");
    assert!(node.exchange(ambiguous.as_bytes()).starts_with("HTTP/1.1 400"));
    assert!(prefill.received("POST").is_empty());
}

#[test]
fn id_of_an_open_request_is_refused() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Stall));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let _open = node.open_request("aa11", &decode);
    assert!(node.exchange(chat_request("aa11").as_bytes()).starts_with("HTTP/1.1 409"));
}

#[test]
fn reloaded_configuration_changes_discovery_and_the_new_list_is_applied() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let list_text = endpoint_list(&[&prefill], &[&decode]).to_string();
    let other = peer(move |head, _| match head.starts_with("GET /v1/servers HTTP") {
        true => PeerAction::Respond(http_response("200 OK", &list_text)),
        false => PeerAction::Stall,
    });
    let path = std::env::temp_dir().join(format!("nickelgw-platform-{}.json", std::process::id()));
    let first = silent_discovery();
    let node = start_node(&first, &[], &[], Some(path.clone()));
    first.wait_for("GET /v1/servers");
    assert!(
        node.exchange(chat_request("aa12").as_bytes()).starts_with("HTTP/1.1 503"),
        "no engine is known yet"
    );
    std::fs::write(&path, node_config("x", &other.address.to_string(), serde_json::Value::Null).to_string())
        .unwrap();
    node.signals.request_reload();
    other.wait_for("GET /v1/servers?since=3&timeout_ms=");
    let response = node.exchange(chat_request("aa13").as_bytes());
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    std::fs::remove_file(path).unwrap();
}

#[test]
fn shutdown_serves_open_requests_and_ends() {
    let (open_gate, gate) = async_channel::bounded::<()>(1);
    let (prefill, decode) = (
        prefill_engine(),
        peer(move |_, _| {
            let _ = gate.recv_blocking();
            PeerAction::Respond(stream_response())
        }),
    );
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut client = node.open_request("aa14", &decode);
    node.signals.request_shutdown();
    // New connections are still accepted for a while.
    let ready = b"GET /healthz HTTP/1.1\r\n\r\n";
    assert!(node.exchange(ready).starts_with("HTTP/1.1 "));
    open_gate.send_blocking(()).unwrap();
    let response = read_response(&mut client);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while !node.thread.is_finished() {
        assert!(std::time::Instant::now() < deadline, "the node does not exit");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Regression test (day of bad clients): while silent connections filled the table, new connections were
/// closed unserved.
#[test]
fn silent_connections_make_room_for_one_with_a_request() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    // More connections than the share of the 256 descriptors that is for clients.
    let idle_clients: Vec<_> = (0..200).map(|_| node.connect()).collect();
    let response = node.exchange(chat_request("aa15").as_bytes());
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    drop(idle_clients);
}

/// Regression test (incident rd36976): hundreds of connections that stayed open after a readiness probe kept
/// regular clients out.
#[test]
fn connection_of_a_readiness_probe_is_closed_after_its_response() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let mut connections = Vec::new();
    for _ in 0..200 {
        let mut client = node.connect();
        client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
        connections.push(client);
    }
    let started_at = std::time::Instant::now();
    let response = node.exchange(chat_request("aa16").as_bytes());
    assert!(response.ends_with("0\r\n\r\n") && started_at.elapsed().as_secs_f64() < 1.5, "{response}");
    assert_eq!(connections[0].read(&mut [0; 8]).unwrap(), 0, "the connection is closed after its response");
}

/// Regression test: a list longer than the longest request was refused, and the node knew only the engines
/// from its start.
#[test_case(false; "with a content length")]
#[test_case(true; "as one chunk")]
fn list_of_over_a_thousand_engines_is_applied(chunked: bool) {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let (prefill_engines, decode_engines) = (vec![&prefill; 800], vec![&decode; 800]);
    let mut list = endpoint_list(&prefill_engines, &decode_engines);
    for (n, instance) in list["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
        instance["instanceId"] = format!("{n}-{}", "long".repeat(50)).into();
    }
    let list = list.to_string();
    assert!(list.len() > 256 * 1024);
    let discovery = peer(move |request, _| match request.contains("since=") {
        true => PeerAction::Stall,
        false if chunked => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            PeerAction::Respond(format!("{head}{}0\r\n\r\n", chunk(&list)).into_bytes())
        }
        false => PeerAction::Respond(http_response("200 OK", &list)),
    });
    let node = start_node(&discovery, &[], &[], None);
    let served = (0..40).any(|n| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        node.exchange(chat_request(&format!("ab{n:02}")).as_bytes()).starts_with("HTTP/1.1 200")
    });
    assert!(served, "no request was served by the engines of the list");
}

/// Regression test: a body whose head had arrived alone took the bytes of the next request for its own.
#[test]
fn short_body_after_its_head_leaves_the_bytes_of_the_next_request() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    let first = chat_request("bb01");
    let (head, body) = first.split_once("\r\n\r\n").unwrap();
    let mut client = node.connect();
    client.write_all(format!("{head}\r\n\r\n").as_bytes()).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(100));
    client.write_all(format!("{body}{}", chat_request("bb02")).as_bytes()).unwrap();
    for id in ["bb01", "bb02"] {
        let response = read_response(&mut client);
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        let attempts = decode.received("POST");
        let attempt = attempts.iter().find(|attempt| attempt.contains(&format!("X-Call-Id: {id}\r\n")));
        assert!(attempt.is_some_and(|attempt| attempt.ends_with(body)), "{attempts:?}");
    }
}
