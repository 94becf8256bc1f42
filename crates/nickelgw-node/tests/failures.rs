//! Tests failures of engines over real sockets: each request gets one coherent response, and no rule of the
//! audit is violated.

mod common;

use common::{engine_config, post, TestCluster};
use nickelgw_audit::Rule;
use nickelgw_test_servers::client::{self, DisconnectAt};
use nickelgw_test_servers::engine_config;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use test_case::test_case;

fn engines(ids: &[&str]) -> Vec<engine_config::EngineConfig> {
    ids.iter().map(|id| engine_config(id)).collect()
}

#[test]
fn requests_of_all_models_complete() {
    let cluster = TestCluster::new(engines(&["r0a", "r1a", "w0a", "w1a"]));
    let pending: Vec<_> = (0..24)
        .map(|n| {
            let mut request = cluster.chat_request(&format!("q{n}"), ["chat", "review", "booking"][n % 3]);
            request.stream = n % 2 == 0;
            cluster.send_in_background(request)
        })
        .collect();
    for response in pending {
        let response = response.join().unwrap();
        assert_eq!((response.outcome.as_str(), response.status), ("completed", 200));
        assert!(response.text.starts_with("w0 w1 w2 "), "{}", response.text);
    }
    cluster.assert_engines_idle(&["r0a", "r1a", "w0a", "w1a"]);
    // The KV cache of each request was transferred.
    assert_eq!(cluster.count_events("fetched", ""), 24);
    cluster.assert_audit_passes();
}

#[test]
fn a_prefill_engine_lost_with_a_reservation_costs_a_second_prefill() {
    let cluster = TestCluster::new(engines(&["r0a", "r1a", "w0a"]));
    // The decode engine does not respond for a while, so that the reservation stays at the prefill engine.
    cluster.control("w0a", json!({"fault": "silence", "for_s": 0.5}));
    let pending = cluster.send_in_background(cluster.chat_request("q", "chat"));
    cluster.wait_for_event("read", "q");
    let prefill_engine = cluster.recorder.entries().iter().find(|event| event["ev"] == "read").unwrap()
        ["who"]
        .as_str()
        .unwrap()
        .to_string();
    cluster.control(&prefill_engine, json!({"fault": "die"}));
    cluster.recorder.for_source(&prefill_engine).record("died", json!({}));
    assert_eq!(pending.join().unwrap().outcome, "completed");
    assert_eq!(cluster.count_events("read", "q"), 2);
    cluster.assert_audit_passes();
}

#[test]
fn a_decode_stream_that_stalls_ends_in_one_error() {
    let cluster = TestCluster::new(engines(&["r0a", "w0a"]));
    let mut request = cluster.chat_request("q", "chat");
    request.max_tokens = None;
    let slow = json!({"fault": "slow", "for_s": 5.0, "factor": 10.0});
    cluster.control("w0a", slow);
    let pending = cluster.send_in_background(request);
    cluster.wait_for_event("first", "q");
    cluster.control("w0a", json!({"fault": "silence", "for_s": 2.0}));
    let response = pending.join().unwrap();
    assert_eq!((response.outcome.as_str(), response.code.as_deref()), ("errored", Some("stream_broken")));
    thread::sleep(Duration::from_millis(1200));
    // The node ignored what the engine sent later: the client received one final response.
    assert_eq!(cluster.count_events("final", "q"), 1);
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

#[test]
fn a_lost_response_is_retried_only_if_the_route_allows_it() {
    let cluster = TestCluster::new(engines(&["r0a", "w0a", "w1a", "w2b"]));
    for engine in ["w0a", "w1a", "w2b"] {
        cluster.control(engine, json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    }
    let booking = cluster.send(cluster.chat_request("b", "booking"));
    assert_eq!((booking.outcome.as_str(), cluster.count_events("ran", "b")), ("errored", 1));
    // If requests are deduplicated within a zone, the decision module does not prefill again; if they are
    // deduplicated among all engines, it does.
    let review = cluster.send(cluster.chat_request("d", "review"));
    assert_eq!((review.outcome.as_str(), cluster.count_events("ran", "d")), ("errored", 1));
    let marked = cluster.send(cluster.chat_request("m", "marked"));
    assert!(marked.outcome != "completed" && cluster.count_events("ran", "m") >= 2, "{marked:?}");
    // An idempotent request is retried as long as attempts are left.
    let chat = cluster.send(cluster.chat_request("c", "chat"));
    assert!(chat.outcome != "completed" && cluster.count_events("ran", "c") >= 2, "{chat:?}");
    cluster.assert_engines_idle(&["r0a", "w0a", "w1a", "w2b"]);
    cluster.assert_audit_passes();
}

#[test]
fn a_lost_prefill_response_leaks_no_reservation() {
    let cluster = TestCluster::new(engines(&["r0a", "w0a"]));
    cluster.control("r0a", json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    let response = cluster.send(cluster.chat_request("q", "chat"));
    assert_ne!(response.outcome, "completed");
    assert!(cluster.count_events("lost", "q") >= 1);
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

#[test]
fn client_disconnects_free_the_engines() {
    let slow = |id: &str| engine_config::EngineConfig {
        prefill_base_s: 0.4,
        decode_step_s: 0.05,
        ..engine_config(id)
    };
    let cluster = TestCluster::new(vec![slow("r0a"), slow("w0a")]);
    let mut in_prefill = cluster.chat_request("early", "chat");
    in_prefill.disconnect = DisconnectAt::WaitingFor(0.2);
    assert_eq!(cluster.send(in_prefill).outcome, "left");
    let mut in_decode = cluster.chat_request("amid", "booking");
    in_decode.disconnect = DisconnectAt::EventCount(3);
    assert_eq!(cluster.send(in_decode).outcome, "left");
    cluster.wait_for_event("dropped", "amid");
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    assert_eq!(cluster.count_events("send", "early"), 1);
    cluster.assert_audit_passes();
}

#[test]
fn a_draining_engine_gets_no_attempts_until_it_is_listed_again() {
    let mut cluster = TestCluster::new(engines(&["r0a", "w0a", "w1a"]));
    let address = cluster.engines["w0a"].clone();
    let mut entry = common::endpoint_entry(&engine_config("w0a"), &address);
    entry.state = nickelgw_protocol::list::EngineState::Draining;
    cluster.control("list", json!({"line": entry}));
    cluster.wait_for("the drain is published", |events| {
        events.iter().any(|event| event["ev"] == "told" && event["draining"] == json!(["w0a"]))
    });
    thread::sleep(Duration::from_millis(600));
    for n in 0..6 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("q{n}"), "chat")).outcome, "completed");
    }
    assert_eq!((cluster.count_events_at("send", "w0a"), cluster.count_events_at("send", "w1a")), (0, 6));
    // A new process with the old id at another address.
    let entry =
        cluster.start_engine(engine_config::EngineConfig { slow_start: false, ..engine_config("w0a") });
    cluster.control("list", json!({"line": entry}));
    cluster.control("list", json!({"remove": "w1a"}));
    cluster.wait_for("the return is published", |events| {
        events.iter().any(|event| event["ev"] == "told" && event["in"] == json!(["r0a", "w0a"]))
    });
    thread::sleep(Duration::from_millis(50));
    assert_eq!(cluster.send(cluster.chat_request("back", "chat")).outcome, "completed");
    assert_eq!(cluster.count_events_at("send", "w0a"), 1);
    let report = cluster.audit();
    assert!(
        report.violations.is_empty() && report.checked["drain"] > 0,
        "{:?} {:?}",
        report.violations,
        report.checked
    );
}

#[test]
fn engines_that_fail_fast_cause_fast_errors() {
    let cluster = TestCluster::new(engines(&["r0a", "r1a", "w0a"]));
    cluster.control("r0a", json!({"fault": "fail", "for_s": 60.0, "share": 1.0}));
    for n in 0..8 {
        assert_eq!(cluster.send(cluster.chat_request(&format!("q{n}"), "chat")).outcome, "completed");
    }
    cluster.control("r1a", json!({"fault": "fail", "for_s": 60.0, "share": 1.0}));
    let response = cluster.send(cluster.chat_request("none", "booking"));
    assert!(response.outcome != "completed" && response.duration_s < 4.5, "{response:?}");
    cluster.assert_audit_passes();
}

#[test]
fn without_engines_requests_fail_within_their_timeout() {
    let cluster = TestCluster::new(Vec::new());
    let response = cluster.send(cluster.chat_request("q", "chat"));
    assert!(response.status >= 500 && response.duration_s < 4.3, "{response:?}");
    cluster.assert_audit_passes();
}

#[test]
fn the_endpoint_cache_serves_while_the_list_is_unreachable() {
    let dir = std::env::temp_dir().join(format!("nickelgw-last-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("node0.list");
    let mut cluster = TestCluster::with_options(engines(&["r0a", "w0a"]), |options| {
        options.endpoint_cache = Some(path.clone())
    });
    let started_at = std::time::Instant::now();
    while !path.exists() {
        assert!(started_at.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(5));
    }
    // A second process of the node, which cannot reach the endpoint list service.
    let (closed, unreachable) = common::listener();
    drop(closed);
    let mut options = common::node_options(&unreachable);
    options.endpoint_cache = Some(path.clone());
    cluster.node = common::start_node(options);
    assert_eq!(cluster.send(cluster.chat_request("q", "chat")).outcome, "completed");
    std::fs::write(&path, "{\"revision\":1,\"engi").unwrap();
    let mut options = common::node_options(&unreachable);
    options.endpoint_cache = Some(path);
    cluster.node = common::start_node(options);
    let mut impatient = cluster.chat_request("cold", "chat");
    impatient.disconnect = DisconnectAt::WaitingFor(0.3);
    assert_ne!(cluster.send(impatient).outcome, "completed");
    let _ = std::fs::remove_dir_all(dir);
    cluster.assert_audit_passes();
}

/// A fake node violates a rule on purpose, and the audit has to report it.
#[test]
fn the_audit_reports_an_attempt_after_the_final_response() {
    let cluster = TestCluster::new(engines(&["r0a", "w0a"]));
    let request = cluster.chat_request("q", "chat");
    let prefill_engine = cluster.engines["r0a"].clone();
    let prefill = move |attempt: &str| {
        let body = "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-request-id: q\r\n\
             x-send-id: {attempt}\r\nx-node: node0\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        smol::block_on(client::send_raw(&prefill_engine, &[head.as_bytes()], 0.0, 1.0))
    };
    let (listener, address) = common::listener();
    let faulty = thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 65536];
        let _ = stream.read(&mut buffer).unwrap();
        assert_eq!(client::response_status(&prefill("bad-0")), 200);
        let body = "{\"error\":{\"code\":\"shed\"}}";
        let response = format!("HTTP/1.1 503 x\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(500));
        prefill("bad-1");
    });
    let response = cluster.send(client::ChatCall { address, ..request });
    assert_eq!(response.outcome, "shed");
    faulty.join().unwrap();
    thread::sleep(Duration::from_millis(500));
    let report = cluster.audit();
    // The fake node never releases its reservations, which the audit reports as well.
    assert!(
        report.count(Rule::DroppedRequest) == 1 && report.count(Rule::UnattendedReservation) >= 1,
        "{:#?}",
        report.violations
    );
}

/// Guards against a fault of the connection limit: the node closed a connection over the limit before it had
/// read the request, so that the system reset the connection.
#[test_case(0; "that sends at once")]
#[test_case(50; "that sends later")]
fn client_over_the_limit_of_connections_can_send_its_whole_request(pause_ms: u64) {
    const PIECES: usize = 16;
    let cluster = TestCluster::with_options(vec![engine_config("r0a"), engine_config("w0a")], |options| {
        options.limits.max_connections = 1;
    });
    let mut within_limit = TcpStream::connect(&cluster.node).unwrap();
    within_limit.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    assert!(within_limit.read(&mut [0; 512]).unwrap() > 0, "the connection within the limit got no response");
    let mut client = TcpStream::connect(&cluster.node).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    thread::sleep(Duration::from_millis(pause_ms));
    let request = post(&"x".repeat(PIECES * 1024), "");
    for piece in request.as_bytes().chunks(1024) {
        client.write_all(piece).expect("the connection was reset during the request");
        thread::sleep(Duration::from_millis(2));
    }
    let mut response = String::new();
    client.read_to_string(&mut response).expect("the response was lost");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}
