//! Tests the path of a request from the client to the engines and back, with a fault injected at each step.

mod common;

use common::{engine_config, node_options, post, TestCluster};
use nickelgw_chat::core::grant::{grant, GrantClaims, GrantKey};
use nickelgw_node_core::GrantConfig;
use nickelgw_test_servers::client::{self, response_status, ChatCall, DisconnectAt};
use nickelgw_test_servers::engine_config;
use nickelgw_test_servers::recorder::unix_now;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;
use test_case::test_case;

const SECRET: &str = "a secret that is long enough";

fn test_cluster(ids: &[&str], configure: impl FnOnce(&mut nickelgw_node::NodeOptions)) -> TestCluster {
    TestCluster::with_options(ids.iter().map(|id| engine_config(id)).collect(), configure)
}

/// Returns the engine that holds a request's reservation, and the id of the prefill attempt.
fn reservation_of(cluster: &TestCluster, request: &str) -> (String, String) {
    cluster.wait_for_event("read", request);
    let events = cluster.recorder.entries();
    let event = events.iter().find(|event| event["ev"] == "read" && event["req"] == request).unwrap();
    (event["who"].as_str().unwrap().into(), event["send"].as_str().unwrap().into())
}

#[test]
fn a_prefill_engine_lost_during_the_kv_fetch_costs_a_second_prefill() {
    let heavy = |id: &str| engine_config::EngineConfig { kv_bytes_per_token: 40_000.0, ..engine_config(id) };
    let cluster = TestCluster::new(vec![heavy("r0a"), heavy("r1a"), heavy("w0a")]);
    cluster.control("w0a", json!({"fault": "silence", "for_s": 0.1}));
    let pending = cluster.send_in_background(cluster.chat_request("q", "booking"));
    let (prefill_engine, _) = reservation_of(&cluster, "q");
    cluster.control(&prefill_engine, json!({"fault": "die_in_fetch"}));
    assert_eq!(pending.join().unwrap().outcome, "completed");
    assert_eq!(
        (
            cluster.count_events("died", ""),
            cluster.count_events("read", "q"),
            cluster.count_events("ran", "q")
        ),
        (1, 2, 1)
    );
    cluster.assert_audit_passes();
}

#[test]
fn a_decode_engine_that_rejects_three_times_is_retried_or_avoided() {
    let cluster = test_cluster(&["r0a", "w0a", "w1b"], |_| {});
    cluster.control("w0a", json!({"fault": "refuse", "times": 3}));
    cluster.control("w1b", json!({"fault": "refuse", "times": 3}));
    for n in 0..3 {
        let response = cluster.send(cluster.chat_request(&format!("q{n}"), "booking"));
        assert!(response.outcome == "completed" || response.outcome == "shed", "{response:?}");
    }
    assert_eq!(cluster.count_events("turned", ""), 6);
    cluster.assert_engines_idle(&["r0a", "w0a", "w1b"]);
    cluster.assert_audit_passes();
}

/// A client disconnects in one phase of its request; nothing stays reserved or running after that.
#[test_case("queued"; "queued")]
#[test_case("prefilling"; "prefilling")]
#[test_case("reserved"; "reserved")]
#[test_case("fetching"; "fetching")]
#[test_case("streaming"; "streaming")]
fn a_client_disconnect_leaves_nothing_reserved_or_running(phase: &str) {
    let prefill_engine = engine_config::EngineConfig {
        slots: 1,
        prefill_base_s: if phase == "queued" { 0.4 } else { 0.1 },
        ..engine_config("r0a")
    };
    let decode_engine = engine_config::EngineConfig { decode_step_s: 0.03, ..engine_config("w0a") };
    let cluster = TestCluster::new(vec![prefill_engine, decode_engine]);
    let others = if phase == "queued" { 6 } else { 0 };
    let others: Vec<_> = (0..others)
        .map(|n| cluster.send_in_background(cluster.chat_request(&format!("o{n}"), "chat")))
        .collect();
    match phase {
        "reserved" => drop(cluster.control("w0a", json!({"fault": "silence", "for_s": 0.6}))),
        "fetching" => drop(cluster.control("w0a", json!({"fault": "silence", "for_s": 0.2}))),
        _ => {}
    }
    let disconnect = match phase {
        "streaming" => DisconnectAt::EventCount(2),
        "queued" => DisconnectAt::WaitingFor(0.1),
        "prefilling" => DisconnectAt::WaitingFor(0.06),
        _ => DisconnectAt::WaitingFor(0.35),
    };
    let pending = cluster.send_in_background(ChatCall { disconnect, ..cluster.chat_request("q", "booking") });
    if phase == "fetching" {
        let (prefill_engine, _) = reservation_of(&cluster, "q");
        cluster.control(&prefill_engine, json!({"fault": "silence", "for_s": 0.6}));
    }
    assert_eq!(pending.join().unwrap().outcome, "left");
    others.into_iter().for_each(|other| drop(other.join()));
    thread::sleep(Duration::from_millis(700));
    assert_eq!(cluster.count_events("done", "q"), 0, "the request ran to its end without a client");
    cluster.assert_engines_idle(&["r0a", "w0a"]);
    cluster.assert_audit_passes();
}

#[test]
fn events_split_at_every_byte_reach_the_client_whole() {
    let cluster = test_cluster(&["r0a", "w0a"], |_| {});
    let text = "Žluťoučký kůň 🐎 dost\u{301} 漢字\u{200d}";
    cluster.control("w0a", json!({"fault": "say", "text": text}));
    cluster.control("w0a", json!({"fault": "split", "bytes": 1}));
    for stream in [true, false] {
        let response = cluster.send(ChatCall {
            stream,
            max_tokens: None,
            ..cluster.chat_request(&format!("q{stream}"), "chat")
        });
        assert_eq!((response.outcome.as_str(), response.text.as_str()), ("completed", text));
    }
    cluster.assert_audit_passes();
}

#[test_case("twice", "completed", None; "two endings")]
#[test_case("text", "completed", None; "text after the end")]
#[test_case("none", "errored", Some("stream_broken"); "no ending")]
fn a_malformed_stream_end_is_handled(how: &str, expected: &str, code: Option<&str>) {
    let cluster = test_cluster(&["r0a", "w0a"], |_| {});
    cluster.control("w0a", json!({"fault": "ending", "how": how}));
    for n in 0..4 {
        let response =
            cluster.send(ChatCall { stream: n != 3, ..cluster.chat_request(&format!("q{n}"), "chat") });
        assert_eq!((response.outcome.as_str(), response.code.as_deref()), (expected, code));
        assert!(!response.text.contains("more") && cluster.count_events("final", &format!("q{n}")) == 1);
    }
    cluster.control("w0a", json!({"fault": "ending", "how": ""}));
    assert_eq!(cluster.send(cluster.chat_request("after", "chat")).outcome, "completed");
    cluster.assert_audit_passes();
}

#[test]
fn eight_megabyte_bodies_and_one_token_prompts_are_served() {
    let big = |id| engine_config::EngineConfig {
        memory_tokens: 1e7,
        prefill_tokens_per_s: 1e8,
        ..engine_config(id)
    };
    let large = |options: &mut nickelgw_node::NodeOptions| {
        (options.limits.max_body_bytes, options.limits.body_timeout_s, options.admission.max_prompt_tokens) =
            (9_000_000, 5.0, 4e6);
    };
    let cluster = TestCluster::with_options(vec![big("r0a"), big("w0a")], large);
    let mut request = cluster.chat_request("big", "chat");
    request.prompt = "word ".repeat(8_000_000 / 5);
    let response = cluster.send(ChatCall { timeout_s: 4.0, ..request });
    assert_eq!((response.outcome.as_str(), response.status), ("completed", 200));
    let mut request = cluster.chat_request("small", "chat");
    (request.prompt, request.system) = ("a".into(), String::new());
    let response = cluster.send(request);
    assert_eq!((response.outcome.as_str(), response.text.starts_with("w0 ")), ("completed", true));
    let mut over = cluster.chat_request("over", "chat");
    over.prompt = "word ".repeat(9_000_000 / 5);
    let response = cluster.send(over);
    // The body is rejected by its length alone. A client that is still writing may see the connection end
    // instead of the response.
    assert!(response.status == 413 || response.outcome == "cut", "{response:?}");
    assert_eq!(cluster.count_events("send", "over"), 0);
}

#[test]
fn responses_end_before_a_stop_sequence_with_their_finish_reason() {
    let cluster = test_cluster(&["r0a", "w0a"], |_| {});
    let body =
        |more: &str| format!(r#"{{"model":"chat","messages":[{{"role":"user","content":"hi"}}]{more}}}"#);
    for (more, text, finish) in [
        (r#","stop":["w3","nothing"]"#, "w0 w1 w2 ", "stop"),
        (r#","stop":"1""#, "w0 w", "stop"),
        (r#","max_tokens":2"#, "w0 w1 ", "length"),
        (r#","max_completion_tokens":2,"max_tokens":null"#, "w0 w1 ", "length"),
    ] {
        let request = post(&body(more), "connection: close\r\n");
        let response = smol::block_on(client::send_raw(&cluster.node, &[request.as_bytes()], 0.0, 2.0));
        let response = String::from_utf8(response).unwrap();
        let body: Value = serde_json::from_str(response.split_once("\r\n\r\n").unwrap().1).unwrap();
        let choice = &body["choices"][0];
        assert_eq!((&choice["message"]["content"], &choice["finish_reason"]), (&json!(text), &json!(finish)));
    }
}

#[test]
fn pipelined_requests_are_served_and_a_half_closed_connection_is_a_disconnect() {
    let cluster = test_cluster(&["r0a", "w0a"], |_| {});
    let body = r#"{"model":"chat","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
    let bad = post("{", "");
    let three = [post(body, ""), bad, post(body, "connection: close\r\n")].concat();
    let response = smol::block_on(client::send_raw(&cluster.node, &[three.as_bytes()], 0.0, 2.0));
    let response = String::from_utf8_lossy(&response).to_string();
    let statuses: Vec<&str> = response.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
    assert_eq!(statuses, ["200", "400", "200"], "{response}");
    // Closing the sending side counts as a disconnect: clients of the API keep it open until the response
    // ends.
    cluster.control("w0a", json!({"fault": "silence", "for_s": 0.5}));
    let mut stream = TcpStream::connect(&cluster.node).unwrap();
    let id = "x-request-id: half\r\n";
    stream.write_all(post(body, id).as_bytes()).unwrap();
    cluster.wait_for_event("read", "half");
    stream.shutdown(Shutdown::Write).unwrap();
    thread::sleep(Duration::from_millis(700));
    assert_eq!(cluster.count_events("done", "half"), 0);
    cluster.assert_engines_idle(&["r0a", "w0a"]);
}

#[test]
fn a_tenant_has_its_own_limit_of_open_requests() {
    let cluster = test_cluster(&["r0a", "w0a"], |s| s.core_config.tenant_max_open = vec![Some(2)]);
    cluster.control("w0a", json!({"fault": "silence", "for_s": 0.6}));
    let first = [
        cluster.send_in_background(cluster.chat_request("a", "chat")),
        cluster.send_in_background(cluster.chat_request("b", "chat")),
    ];
    cluster.wait_for("both are accepted", |events| {
        events.iter().filter(|event| event["ev"] == "read").count() == 2
    });
    let third = cluster.send(cluster.chat_request("c", "chat"));
    assert_eq!((third.status, third.code.as_deref()), (429, Some("too_many_open")));
    assert!(third.retry_after.is_some());
    first.into_iter().for_each(|pending| assert_eq!(pending.join().unwrap().outcome, "completed"));
    assert_eq!(cluster.send(cluster.chat_request("d", "chat")).outcome, "completed");
}

/// Fetches a reservation as a decode engine does; returns the status of the response.
fn fetch_status(prefill_engine: &str, reservation: &str, grant: &str, decode_engine: &str) -> u16 {
    let request = format!(
        "GET /v1/states/{reservation} HTTP/1.1\r\nhost: x\r\nx-engine-id: {decode_engine}\r\n\
         x-state-grant: {grant}\r\nconnection: close\r\n\r\n"
    );
    response_status(&smol::block_on(client::send_raw(prefill_engine, &[request.as_bytes()], 0.0, 1.0)))
}

#[test]
fn a_reservation_is_served_once_and_only_to_the_engine_of_its_grant() {
    let known =
        |id| engine_config::EngineConfig { grant_keys: vec![(7, SECRET.into())], ..engine_config(id) };
    let key = || GrantKey::of(7, SECRET).unwrap();
    let grants = GrantConfig { keys: vec![(0.0, key())], lifetime_s: 5.0 };
    let cluster = TestCluster::with_options(vec![known("r0a"), engine_config("w0a")], |s| {
        s.core_config.grants = Some(grants)
    });
    assert_eq!(cluster.send(cluster.chat_request("fine", "chat")).outcome, "completed");
    assert_eq!((cluster.count_events("fetched", ""), cluster.count_events("not_granted", "")), (1, 0));
    cluster.control("w0a", json!({"fault": "silence", "for_s": 1.0}));
    let pending = cluster.send_in_background(cluster.chat_request("q", "chat"));
    let (_, state) = reservation_of(&cluster, "q");
    let prefill_engine = &cluster.engines["r0a"];
    let fetch = |grant: &str, decode_engine: &str| fetch_status(prefill_engine, &state, grant, decode_engine);
    let claims = GrantClaims {
        reservation: &state,
        prefill_engine: "r0a",
        decode_engine: "w9a",
        expires_at: unix_now() + 5.0,
    };
    let good = grant(&key(), &claims);
    let forged = grant(&GrantKey::of(7, "another secret of some length").unwrap(), &claims);
    let unknown = grant(&GrantKey::of(8, SECRET).unwrap(), &claims);
    let expired = grant(&key(), &GrantClaims { expires_at: unix_now() - 0.5, ..claims });
    let altered = good.replace(&good[2..6], "9999");
    for (bad, decode_engine) in [
        ("", "w9a"),
        ("junk", "w9a"),
        (&forged, "w9a"),
        (&unknown, "w9a"),
        (&expired, "w9a"),
        (&altered, "w9a"),
        (&good, "w8a"),
    ] {
        assert_eq!(fetch(bad, decode_engine), 403, "{bad} by {decode_engine}");
    }
    assert_eq!(fetch(&good, "w9a"), 200);
    assert_eq!(fetch(&good, "w9a"), 403, "replayed");
    let reasons: Vec<String> = cluster
        .recorder
        .entries()
        .iter()
        .filter(|event| event["ev"] == "not_granted")
        .map(|event| event["why"].to_string())
        .collect();
    assert_eq!(reasons.len(), 8, "{reasons:?}");
    assert!(reasons[4].contains("Expired") && reasons[7].contains("Replayed"), "{reasons:?}");
    // The fetch above has taken the reservation: the decode engine finds none, and the request is prefilled
    // again.
    assert_eq!(pending.join().unwrap().outcome, "completed");
    assert_eq!(cluster.count_events("read", "q"), 2);
}

#[test]
fn idempotency_keys_are_not_shared_between_nodes() {
    let cluster = test_cluster(&["r0a", "w0a"], |_| {});
    let mut second = node_options(&cluster.list);
    second.name = "node1".into();
    second.core_config.incarnation = "node1".into();
    (second.deployment.node, second.deployment.node_count) = (1, 2);
    let other = common::start_node(second);
    cluster.wait_for("the other node fetches the endpoint list", |events| {
        events.iter().any(|event| event["ev"] == "told" && event["node"] == "node1")
    });
    let body = r#"{"model":"chat","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
    let text = post(body, "idempotency-key: k\r\nconnection: close\r\n");
    for node in [&cluster.node, &cluster.node, &other] {
        let response = smol::block_on(client::send_raw(node, &[text.as_bytes()], 0.0, 2.0));
        assert_eq!(response_status(&response), 200);
    }
    // One run for both requests to the first node, and one for the request to the other node.
    assert_eq!(cluster.count_events("ran", ""), 2);
}

/// Guards against a fault of pipelined requests: the timeout of a request that was sent behind an open one
/// started only when the open one had ended.
#[test]
fn time_behind_an_open_request_counts_against_the_timeout() {
    let slow = engine_config::EngineConfig { decode_step_s: 0.1, ..engine_config("w0a") };
    let cluster = TestCluster::new(vec![engine_config("r0a"), slow]);
    let body = |text: &str| {
        json!({"model": "chat", "max_tokens": 10, "messages": [{"role": "user", "content": text}]})
            .to_string()
    };
    let first = post(&body("first"), "x-request-id: first\r\n");
    let second = post(&body("second"), "x-request-id: second\r\nx-request-timeout-ms: 300\r\n");
    let pieces = [first.as_bytes(), second.as_bytes()];
    let responses = smol::block_on(client::send_raw(&cluster.node, &pieces, 0.1, 2.0));
    let text = String::from_utf8_lossy(&responses);
    let statuses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
    assert_eq!(statuses.len(), 2, "{text}");
    assert_eq!(statuses[0], "200", "{text}");
    assert_ne!(
        statuses[1], "200",
        "the timeout of the second request had passed before the first ended: {text}"
    );
    assert_eq!(cluster.count_events("read", "second"), 0, "the second request reached an engine");
}
