//! Tests idempotency keys and retries over sockets: a key has one run, and every client with the key receives
//! its response.

mod common;

use common::{engine_config, post, TestCluster};
use nickelgw_test_servers::client::{response_status, send_raw};
use nickelgw_test_servers::engine_config::EngineConfig;
use std::thread;
use std::time::Duration;

fn test_cluster(configure: impl FnOnce(&mut nickelgw_node::NodeOptions)) -> TestCluster {
    let slow = EngineConfig { decode_step_s: 0.04, ..engine_config("w0a") };
    TestCluster::with_options(vec![engine_config("r0a"), slow], configure)
}

fn body(model: &str, text: &str, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","stream":{stream},"max_tokens":8,"messages":[{{"role":"user","content":"{text}"}}]}}"#
    )
}

/// Sends a request and returns the response, or the part that arrived before `timeout_s` passed without a
/// byte.
fn send(node: &str, request_id: &str, headers: &str, body: &str, timeout_s: f64) -> String {
    let request = post(body, &format!("connection: close\r\nx-request-id: {request_id}\r\n{headers}"));
    let response = smol::block_on(send_raw(node, &[request.as_bytes()], 0.0, timeout_s));
    String::from_utf8_lossy(&response).into_owned()
}

fn idempotency_key(key: &str) -> String {
    format!("idempotency-key: {key}\r\n")
}

/// Returns the contents of the events of a stream, without surrounding spaces.
fn words(response: &str) -> Vec<String> {
    let contents = response.split("\"content\":\"").skip(1);
    let words = contents.filter_map(|content| content.split('"').next());
    words.map(|word| word.trim().to_string()).collect()
}

fn send_in_background(
    node: &str,
    request_id: &str,
    headers: &str,
    body: &str,
    timeout_s: f64,
) -> thread::JoinHandle<String> {
    let (node, request_id) = (node.to_string(), request_id.to_string());
    let (headers, body) = (headers.to_string(), body.to_string());
    thread::spawn(move || send(&node, &request_id, &headers, &body, timeout_s))
}

#[test]
fn repeats_of_a_keyed_request_share_one_run() {
    for (n, model) in ["chat", "booking"].iter().enumerate() {
        let cluster = test_cluster(|_| {});
        let (key, request_body) = (idempotency_key(&format!("k{n}")), body(model, "pay the bill", true));
        let first = send_in_background(&cluster.node, "a", &key, &request_body, 2.0);
        cluster.wait_for_event("ran", "a");
        // A repeat on another connection while the first stream is open.
        let second = send_in_background(&cluster.node, "b", &key, &request_body, 2.0);
        let (first, second) = (first.join().unwrap(), second.join().unwrap());
        // A repeat after the end of the first stream.
        let third = send(&cluster.node, "c", &key, &request_body, 2.0);
        assert!(first.contains("[DONE]") && !words(&first).is_empty(), "{first}");
        assert_eq!((words(&first), words(&first)), (words(&second), words(&third)));
        assert_eq!(cluster.count_events("ran", ""), 1);
    }
}

#[test]
fn a_reconnecting_client_joins_the_run_it_left() {
    let cluster = test_cluster(|_| {});
    let (key, request_body) = (idempotency_key("gone"), body("booking", "book it", true));
    // The client disconnects as soon as the stream has begun, and reconnects.
    let partial = send(&cluster.node, "a", &key, &request_body, 0.03);
    assert!(!partial.contains("[DONE]"));
    thread::sleep(Duration::from_millis(100));
    let rejoined = send(&cluster.node, "b", &key, &request_body, 2.0);
    assert!(rejoined.contains("[DONE]"), "{rejoined}");
    assert_eq!((words(&rejoined)[0].as_str(), cluster.count_events("ran", "")), ("w0", 1));
}

#[test]
fn an_abandoned_run_is_cancelled_and_not_repeated_where_not_idempotent() {
    let cluster = test_cluster(|options| options.idempotency.takeover_s = 0.2);
    let slow = serde_json::json!({"fault": "slow", "for_s": 5.0, "factor": 8.0});
    cluster.control("w0a", slow);
    let (key, request_body) = (idempotency_key("off"), body("booking", "book it once", true));
    send(&cluster.node, "a", &key, &request_body, 0.25);
    cluster.wait_for_event("ran", "a");
    cluster.wait_for_event("dropped", "a");
    let repeated = send(&cluster.node, "b", &key, &request_body, 1.0);
    assert_eq!(
        (response_status(repeated.as_bytes()), cluster.count_events("ran", "")),
        (409, 1),
        "{repeated}"
    );
    cluster.assert_engines_idle(&["r0a", "w0a"]);
}

#[test]
fn a_key_reused_with_another_body_is_rejected_with_422() {
    let cluster = test_cluster(|_| {});
    let whole = send(&cluster.node, "a", &idempotency_key("k"), &body("chat", "one", false), 2.0);
    assert_eq!(response_status(whole.as_bytes()), 200);
    assert_eq!(
        response_status(
            send(&cluster.node, "b", &idempotency_key("k"), &body("chat", "two", false), 2.0).as_bytes()
        ),
        422
    );
    assert_eq!(
        response_status(
            send(&cluster.node, "c", &idempotency_key("l"), &body("chat", "two", false), 2.0).as_bytes()
        ),
        200
    );
    assert_eq!(
        response_status(
            send(&cluster.node, "d", &idempotency_key(&"x".repeat(300)), &body("chat", "two", false), 2.0)
                .as_bytes()
        ),
        400
    );
    assert_eq!(cluster.count_events("ran", ""), 2);
}

#[test]
fn failed_requests_are_repeated_only_on_idempotent_routes() {
    let cluster = test_cluster(|_| {});
    cluster.control("w0a", serde_json::json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    let (key, request_body) = (idempotency_key("lost"), body("booking", "transfer", false));
    let first = send(&cluster.node, "a", &key, &request_body, 5.0);
    let repeated = send(&cluster.node, "b", &key, &request_body, 5.0);
    assert_eq!(
        (response_status(first.as_bytes()), response_status(repeated.as_bytes())),
        (502, 502),
        "{repeated}"
    );
    assert_eq!(cluster.count_events("ran", ""), 1);
    cluster.control("w0a", serde_json::json!({"fault": "lose", "for_s": 0.0, "share": 0.0}));
    let (key, request_body) = (idempotency_key("fine"), body("chat", "look up", false));
    assert_eq!(response_status(send(&cluster.node, "c", &key, &request_body, 5.0).as_bytes()), 200);
}

#[test]
fn a_response_too_long_to_record_is_streamed_but_not_replayed() {
    let cluster = test_cluster(|options| options.idempotency.max_bytes_per_entry = 300);
    let (key, request_body) = (idempotency_key("long"), body("booking", "tell all", true));
    let first = send(&cluster.node, "a", &key, &request_body, 2.0);
    assert!(first.contains("[DONE]"), "{first}");
    assert_eq!(response_status(send(&cluster.node, "b", &key, &request_body, 2.0).as_bytes()), 409);
    assert_eq!(cluster.count_events("ran", ""), 1);
}

#[test]
fn retries_over_the_budget_are_rejected_with_retry_after() {
    let cluster =
        test_cluster(|options| (options.retry_budget.burst, options.retry_budget.retry_ratio) = (3.0, 0.2));
    let mut rejected = 0;
    for n in 0..12 {
        let retry_header = format!("x-stainless-retry-count: {}\r\n", 1 + n % 3);
        let response =
            send(&cluster.node, &format!("r{n}"), &retry_header, &body("chat", "again", false), 2.0);
        match response_status(response.as_bytes()) {
            200 => {}
            429 => {
                rejected += 1;
                assert!(
                    response.contains("retry-after: ") && response.contains("retry_budget"),
                    "{response}"
                );
            }
            other => panic!("{other}: {response}"),
        }
    }
    assert_eq!(rejected, 9);
    // Requests that are no retries are served nevertheless.
    assert_eq!(
        response_status(send(&cluster.node, "first", "", &body("chat", "new", false), 2.0).as_bytes()),
        200
    );
}
