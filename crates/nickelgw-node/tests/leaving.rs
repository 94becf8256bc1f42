//! A node that goes: what is open ends well or with one clear word, and no state stays behind.

mod common;

use common::{figures, post, World};
use nickelgw_node::{Exit, ProcessSignal};
use nickelgw_test_servers::client::{self, response_status, ChatCall};
use nickelgw_test_servers::engine_config;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn world(grace_s: f64) -> World {
    let slow = engine_config::EngineConfig { decode_step_s: 0.05, ..figures("w0a") };
    World::with(vec![figures("r0a"), slow], |s| s.shutdown.drain_timeout_s = grace_s)
}

fn tell(w: &World, order: ProcessSignal) {
    w.tell.as_ref().unwrap().send_blocking(order).unwrap();
}

fn healthy(w: &World) -> u16 {
    let call = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    response_status(&smol::block_on(client::send_raw(&w.node, &[call], 0.0, 1.0)))
}

#[test]
fn what_is_open_ends_and_what_comes_is_sent_elsewhere() {
    let mut w = world(5.0);
    // It is healthy once it has heard a list, which a busy machine delays.
    let until = Instant::now() + Duration::from_secs(10);
    while healthy(&w) != 200 {
        assert!(Instant::now() < until, "never healthy");
    }
    // An unused connection, kept open by its client.
    let mut idle = TcpStream::connect(&w.node).unwrap();
    let stream = w.later(w.ask("stream", "booking"));
    w.wait_for("first", "stream");
    tell(&w, ProcessSignal::Drain);
    let from = Instant::now();
    while healthy(&w) == 200 {
        assert!(from.elapsed() < Duration::from_secs(2));
    }
    // While its notice lasts it takes what comes, each the last of its connection.
    let body = r#"{"model":"chat","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}"#;
    idle.write_all(post(body, "").as_bytes()).unwrap();
    let mut answer = String::new();
    idle.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
    assert_eq!(stream.join().unwrap().outcome, "completed");
    assert_eq!(w.exit.take().unwrap().join().unwrap(), Exit::Clean);
    assert!(TcpStream::connect(&w.node).is_err(), "it listens no longer");
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

#[test]
fn when_the_grace_is_over_each_gets_one_ending_and_held_states_go() {
    let mut w = world(0.3);
    w.control("w0a", json!({"fault": "slow", "for_s": 30.0, "factor": 8.0}));
    let mut ask = w.ask("stream", "booking");
    ask.max_tokens = None;
    let stream = w.later(ask);
    w.wait_for("first", "stream");
    let whole = w.later(ChatCall { stream: false, max_tokens: None, ..w.ask("whole", "chat") });
    w.wait_for("ran", "whole");
    // One whose state is held at its reader while a silent writer is asked.
    w.control("w0a", json!({"fault": "silence", "for_s": 0.9}));
    let held = w.later(w.ask("held", "chat"));
    w.wait_for("read", "held");
    tell(&w, ProcessSignal::Drain);
    let (stream, whole, held) = (stream.join().unwrap(), whole.join().unwrap(), held.join().unwrap());
    assert_eq!((stream.outcome.as_str(), stream.code.as_deref()), ("errored", Some("node_stopping")));
    assert_eq!((whole.status, whole.code.as_deref()), (503, Some("node_stopping")));
    assert_ne!(held.outcome, "completed");
    assert_eq!(w.exit.take().unwrap().join().unwrap(), Exit::RequestsCut);
    thread::sleep(Duration::from_millis(900));
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

#[test]
fn told_again_it_hurries() {
    let mut w = world(60.0);
    w.control("w0a", json!({"fault": "slow", "for_s": 30.0, "factor": 8.0}));
    let mut ask = w.ask("stream", "chat");
    ask.max_tokens = None;
    let stream = w.later(ask);
    w.wait_for("first", "stream");
    let from = Instant::now();
    for o in [ProcessSignal::Drain, ProcessSignal::SkipStage, ProcessSignal::SkipStage] {
        tell(&w, o);
    }
    assert_eq!(stream.join().unwrap().code.as_deref(), Some("node_stopping"));
    assert_eq!(w.exit.take().unwrap().join().unwrap(), Exit::RequestsCut);
    assert!(from.elapsed() < Duration::from_secs(5));
    w.assert_empty(&["r0a", "w0a"]);
}

#[test]
fn operators_hear_what_became_of_a_request_and_of_all() {
    let (l, admin) = common::listener();
    let w = World::with(vec![figures("r0a"), figures("w0a")], |s| s.admin = Some(l));
    w.control("w0a", json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    assert_eq!(w.play(w.ask("lost-one", "booking")).outcome, "errored");
    let get = |path: &str| {
        let call = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let answer = smol::block_on(client::send_raw(&admin, &[call.as_bytes()], 0.0, 2.0));
        String::from_utf8(answer).unwrap()
    };
    let told = get("/why/lost-one");
    for wanted in [
        "model booking",
        "prefill dispatched to r0a",
        "decode dispatched to w0a",
        "it may have run",
        "failed: AttemptsFailed",
    ] {
        assert!(told.contains(wanted), "{wanted}: {told}");
    }
    assert_eq!(response_status(get("/why/unknown").as_bytes()), 404);
    let metrics = get("/metrics");
    for wanted in [
        "nickelgw_inferences_total{how=\"errored\"} 1",
        "nickelgw_states_total{how=\"let_go\"}",
        "nickelgw_open 0",
        "nickelgw_held_wait_longest_seconds",
        "# EOF",
    ] {
        assert!(metrics.contains(wanted), "{wanted}: {metrics}");
    }
    assert_eq!(response_status(get("/healthz").as_bytes()), 200);
}
