//! Shutdown: open requests finish or end in one error, and no reservation is leaked. Also tests the admin
//! port.

mod common;

use common::{engine_config, http_get, post, TestCluster};
use nickelgw_node::{Exit, ProcessSignal};
use nickelgw_test_servers::client::{self, response_status, ChatCall};
use nickelgw_test_servers::engine_config;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn test_cluster(drain_timeout_s: f64) -> TestCluster {
    let slow = engine_config::EngineConfig { decode_step_s: 0.05, ..engine_config("w0a") };
    TestCluster::with_options(vec![engine_config("r0a"), slow], |options| {
        options.shutdown.drain_timeout_s = drain_timeout_s
    })
}

fn send_signal(cluster: &TestCluster, signal: ProcessSignal) {
    cluster.signals.as_ref().unwrap().send_blocking(signal).unwrap();
}

fn health_status(cluster: &TestCluster) -> u16 {
    let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    response_status(&smol::block_on(client::send_raw(&cluster.node, &[request], 0.0, 1.0)))
}

#[test]
fn a_drain_finishes_open_requests_and_closes_connections() {
    let mut cluster = test_cluster(5.0);
    // The node is healthy once it has fetched an endpoint list, which can take a while on a busy machine.
    let until = Instant::now() + Duration::from_secs(10);
    while health_status(&cluster) != 200 {
        assert!(Instant::now() < until, "the node is not healthy after 10 s");
    }
    // An idle connection that its client keeps open.
    let mut idle = TcpStream::connect(&cluster.node).unwrap();
    let stream = cluster.send_in_background(cluster.chat_request("stream", "booking"));
    cluster.wait_for_event("first", "stream");
    send_signal(&cluster, ProcessSignal::Drain);
    let started_at = Instant::now();
    while health_status(&cluster) == 200 {
        assert!(started_at.elapsed() < Duration::from_secs(2));
    }
    // While the node announces its shutdown it still accepts requests, and closes each connection after the
    // response.
    let body = r#"{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}"#;
    idle.write_all(post(body, "").as_bytes()).unwrap();
    let mut response = String::new();
    idle.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("connection: close"), "{response}");
    assert_eq!(stream.join().unwrap().outcome, "completed");
    assert_eq!(cluster.exit.take().unwrap().join().unwrap(), Exit::Clean);
    assert!(TcpStream::connect(&cluster.node).is_err(), "the node still listens");
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

#[test]
fn after_the_drain_timeout_open_requests_fail_and_reservations_are_released() {
    let mut cluster = test_cluster(0.3);
    cluster.control("w0a", json!({"fault": "slow", "for_s": 30.0, "factor": 8.0}));
    let mut request = cluster.chat_request("stream", "booking");
    request.max_tokens = None;
    let stream = cluster.send_in_background(request);
    cluster.wait_for_event("first", "stream");
    let whole = cluster.send_in_background(ChatCall {
        stream: false,
        max_tokens: None,
        ..cluster.chat_request("whole", "chat")
    });
    cluster.wait_for_event("ran", "whole");
    // A request whose reservation waits because the decode engine does not respond.
    cluster.control("w0a", json!({"fault": "silence", "for_s": 0.9}));
    let held = cluster.send_in_background(cluster.chat_request("held", "chat"));
    cluster.wait_for_event("read", "held");
    send_signal(&cluster, ProcessSignal::Drain);
    let (stream, whole, held) = (stream.join().unwrap(), whole.join().unwrap(), held.join().unwrap());
    assert_eq!((stream.outcome.as_str(), stream.code.as_deref()), ("errored", Some("node_stopping")));
    assert_eq!((whole.status, whole.code.as_deref()), (503, Some("node_stopping")));
    assert_ne!(held.outcome, "completed");
    assert_eq!(cluster.exit.take().unwrap().join().unwrap(), Exit::RequestsCut);
    thread::sleep(Duration::from_millis(900));
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

#[test]
fn further_signals_skip_the_shutdown_stages() {
    let mut cluster = test_cluster(60.0);
    cluster.control("w0a", json!({"fault": "slow", "for_s": 30.0, "factor": 8.0}));
    let mut request = cluster.chat_request("stream", "chat");
    request.max_tokens = None;
    let stream = cluster.send_in_background(request);
    cluster.wait_for_event("first", "stream");
    let started_at = Instant::now();
    for signal in [ProcessSignal::Drain, ProcessSignal::SkipStage, ProcessSignal::SkipStage] {
        send_signal(&cluster, signal);
    }
    assert_eq!(stream.join().unwrap().code.as_deref(), Some("node_stopping"));
    assert_eq!(cluster.exit.take().unwrap().join().unwrap(), Exit::RequestsCut);
    assert!(started_at.elapsed() < Duration::from_secs(5));
    cluster.assert_engines_idle(&["r0a", "w0a"]);
}

#[test]
fn the_admin_port_serves_traces_and_metrics() {
    let (admin_listener, admin) = common::listener();
    let cluster = TestCluster::with_options(vec![engine_config("r0a"), engine_config("w0a")], |options| {
        options.admin = Some(admin_listener)
    });
    cluster.control("w0a", json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    assert_eq!(cluster.send(cluster.chat_request("lost-one", "booking")).outcome, "errored");
    let get = |path: &str| http_get(&admin, path, 2.0);
    let trace = get("/why/lost-one");
    for expected in [
        "model booking",
        "prefill dispatched to r0a",
        "decode dispatched to w0a",
        "it may have run",
        "failed: AttemptsFailed",
    ] {
        assert!(trace.contains(expected), "{expected}: {trace}");
    }
    assert_eq!(response_status(get("/why/unknown").as_bytes()), 404);
    let metrics = get("/metrics");
    for expected in [
        "nickelgw_inferences_total{how=\"errored\"} 1",
        "nickelgw_states_total{how=\"let_go\"}",
        "nickelgw_open 0",
        "nickelgw_held_wait_longest_seconds",
        "# EOF",
    ] {
        assert!(metrics.contains(expected), "{expected}: {metrics}");
    }
    assert_eq!(response_status(get("/healthz").as_bytes()), 200);
}

const SHORT_REQUEST: &str = r#"{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}"#;

/// Sends a request on this connection and returns the response; empty if the connection was closed or reset
/// without one.
fn response_on(mut connection: TcpStream, request_id: &str) -> String {
    let request = post(SHORT_REQUEST, &format!("x-request-id: {request_id}\r\nconnection: close\r\n"));
    let sent_at = Instant::now();
    let written = connection.write_all(request.as_bytes());
    let mut response = Vec::new();
    let read = connection.read_to_end(&mut response);
    if response.is_empty() {
        println!("no response to {request_id} after {:?}: {written:?}, {read:?}", sent_at.elapsed());
    }
    String::from_utf8_lossy(&response).to_string()
}

/// Guards against a fault of the shutdown: hyper's graceful shutdown closed a new connection at once, before
/// its first request had arrived.
#[test]
fn first_request_on_a_new_connection_is_answered_during_shutdown() {
    let mut cluster = test_cluster(5.0);
    let connection = TcpStream::connect(&cluster.node).unwrap();
    send_signal(&cluster, ProcessSignal::Drain);
    thread::sleep(Duration::from_millis(350));
    let response = response_on(connection, "late");
    assert!(response.starts_with("HTTP/1.1 "), "connection closed without a response: {response:?}");
    assert_eq!(cluster.exit.take().unwrap().join().unwrap(), Exit::Clean);
}

/// Guards against a fault of the shutdown: the listener was closed while connections waited in its backlog,
/// which reset them and lost their requests.
#[test]
fn connections_accepted_by_the_system_are_answered_before_the_listener_closes() {
    let cluster = test_cluster(5.0);
    let clients: Vec<_> = (0..64)
        .map(|client| {
            let node = cluster.node.clone();
            thread::spawn(move || {
                let mut unanswered = 0;
                for number in 0.. {
                    let Ok(connection) = TcpStream::connect(&node) else { break };
                    let response = response_on(connection, &format!("c{client}n{number}"));
                    unanswered += usize::from(!response.starts_with("HTTP/1.1 "));
                }
                unanswered
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    send_signal(&cluster, ProcessSignal::Drain);
    let unanswered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(unanswered, 0, "connections closed without a response");
}
