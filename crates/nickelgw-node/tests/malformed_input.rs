//! Malformed input from clients and engines causes a clear error, no panic and no leaked reservation.

mod common;

use common::{engine_config, TestCluster, API_KEY};
use nickelgw_test_servers::client::{self, response_status, send_raw};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use test_case::test_case;

fn test_cluster() -> TestCluster {
    TestCluster::new(vec![engine_config("r0a"), engine_config("w0a")])
}

/// Returns a chat request whose content-length header has the given value.
fn post(body: &[u8], length: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {API_KEY}\r\n\
         content-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn status_of(cluster: &TestCluster, request: &[u8], timeout_s: f64) -> u16 {
    response_status(&smol::block_on(send_raw(&cluster.node, &[request], 0.0, timeout_s)))
}

fn assert_still_serves(cluster: &TestCluster) {
    assert_eq!(cluster.send(cluster.chat_request("q", "chat")).outcome, "completed");
    cluster.assert_engines_idle(&["r0a", "w0a"]);
}

#[test]
fn malformed_json_and_unknown_models_are_rejected() {
    let cluster = test_cluster();
    let send = |json: &str| status_of(&cluster, &post(json.as_bytes(), json.len()), 2.0);
    assert_eq!(send("{\"model\":"), 400);
    assert_eq!(send("[1,2]"), 400);
    assert_eq!(send("{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"), 404);
    assert_eq!(send("{\"model\":\"chat\",\"messages\":[]}"), 400);
    assert_eq!(send(&"[".repeat(90_000)), 400);
    assert_still_serves(&cluster);
}

#[test]
fn oversized_and_incomplete_bodies_are_rejected() {
    let cluster = test_cluster();
    assert_eq!(status_of(&cluster, &post(b"", 200_000), 2.0), 413);
    assert_eq!(status_of(&cluster, &post(b"{\"model\"", 500), 2.0), 408);
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         30000\r\n{}\r\n0\r\n\r\n",
        "x".repeat(0x30000)
    );
    assert_eq!(status_of(&cluster, chunked.as_bytes(), 2.0), 413);
    assert_still_serves(&cluster);
}

#[test]
fn malformed_http_and_unknown_paths_are_rejected() {
    let cluster = test_cluster();
    // After half a request line the connection is closed at the head timeout. A head of ten megabytes is
    // rejected and not buffered.
    assert!(matches!(status_of(&cluster, b"POST /v1/ch", 3.0), 0 | 408));
    let huge = format!("GET / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(10 << 20));
    assert!(matches!(status_of(&cluster, huge.as_bytes(), 2.0), 0 | 431));
    assert!(matches!(status_of(&cluster, b"\x16\x03\x01\x00\xa5\x01garbage\r\n\r\n", 2.0), 0 | 400));
    let unknown_path = b"GET /none HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(status_of(&cluster, unknown_path, 2.0), 404);
    assert_still_serves(&cluster);
}

#[test]
fn an_unknown_api_key_is_rejected_with_401() {
    let cluster = test_cluster();
    let mut request = cluster.chat_request("s", "chat");
    request.api_key = Some("sk-wrong-key".into());
    assert_eq!(cluster.send(request).status, 401);
    assert_still_serves(&cluster);
}

#[test]
fn requests_over_the_open_limit_are_rejected_with_retry_after() {
    let slow =
        nickelgw_test_servers::engine_config::EngineConfig { prefill_base_s: 0.5, ..engine_config("r0a") };
    let cluster = TestCluster::with_options(vec![slow, engine_config("w0a")], |options| {
        options.core_config.max_open_requests = 2
    });
    let first: Vec<_> =
        (0..2).map(|n| cluster.send_in_background(cluster.chat_request(&format!("q{n}"), "chat"))).collect();
    cluster.wait_for("both have started", |events| {
        events.iter().filter(|event| event["ev"] == "send").count() >= 2
    });
    let third = cluster.send(cluster.chat_request("q2", "chat"));
    assert_eq!((third.status, third.code.as_deref()), (503, Some("node_full")));
    assert_eq!(third.retry_after.as_deref(), Some("1"));
    first.into_iter().for_each(|pending| assert_eq!(pending.join().unwrap().outcome, "completed"));
    assert_eq!(cluster.send(cluster.chat_request("q3", "chat")).outcome, "completed");
    cluster.assert_audit_passes();
}

#[test]
fn a_full_event_queue_rejects_requests_and_loses_no_engine_event() {
    let cluster = TestCluster::with_options(vec![engine_config("r0a"), engine_config("w0a")], |options| {
        options.limits.max_queued = 1
    });
    let pending: Vec<_> =
        (0..60).map(|n| cluster.send_in_background(cluster.chat_request(&format!("q{n}"), "chat"))).collect();
    let mut completed = 0;
    for response in pending {
        let response = response.join().unwrap();
        match response.outcome.as_str() {
            "completed" => completed += 1,
            _ => assert!(response.status == 503 && response.retry_after.is_some(), "{response:?}"),
        }
    }
    assert!(completed > 0);
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

/// Starts an engine that responds to every call with the same bytes and then closes the connection. Returns
/// its address.
fn fixed_response_engine(response: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), response) = (stream, response.clone()) else { continue };
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 65536]);
                let _ = stream.write_all(&response);
            });
        }
    });
    address
}

/// Head that replaces the word STREAM in the responses below.
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

#[test_case("r0a", "complete nonsense\r\n\r\n"; "prefill, no HTTP")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{\"a\":"; "prefill, truncated JSON")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"; "prefill, no reservation named")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"id\""; "prefill, early close")]
#[test_case("r0a", ""; "prefill, closes at once")]
#[test_case("w0a", "HTTP/1.1 200 OK\r\ncontent-type: text/html\r\ncontent-length: 4\r\n\r\n<ht>"; "decode, no stream")]
#[test_case("w0a", "STREAM<html>\n\n"; "decode, no events")]
#[test_case("w0a", "STREAMdata: {\"choices\n\n"; "decode, truncated JSON")]
#[test_case("w0a", "STREAMdata: {\"choices\":[]}\n\ndata: {\"ch"; "decode, cut in a frame")]
#[test_case("w0a", "STREAMdata: {\"choices\":[]}\n\n"; "decode, no end")]
#[test_case("w0a", "STREAM"; "decode, empty stream")]
fn a_malformed_engine_response_causes_one_error(id: &str, response: &str) {
    let response = response.replacen("STREAM", STREAM, 1);
    let mut cluster = test_cluster();
    let config = engine_config(id);
    let entry = common::endpoint_entry(&config, &fixed_response_engine(response.into_bytes()));
    let published = cluster.count_events("told", "");
    cluster.control("list", serde_json::json!({"line": entry}));
    cluster.wait_for("the change is published", |events| {
        events.iter().filter(|event| event["ev"] == "told").count() > published
    });
    thread::sleep(std::time::Duration::from_millis(50));
    let response = cluster.send(cluster.chat_request("q", "booking"));
    assert!(response.outcome == "errored" || response.outcome == "shed", "{response:?}");
    assert!(response.code.is_some() && response.duration_s < 4.5, "{response:?}");
    // After a working engine replaces the faulty one, requests complete again.
    let working = cluster.start_engine(engine_config(id));
    let published = cluster.count_events("told", "");
    cluster.control("list", serde_json::json!({"line": working}));
    cluster.wait_for("the change is published", |events| {
        events.iter().filter(|event| event["ev"] == "told").count() > published
    });
    thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(
        cluster
            .send(client::ChatCall { request_id: "again".into(), ..cluster.chat_request("again", "chat") })
            .outcome,
        "completed"
    );
    cluster.assert_audit_passes();
}
