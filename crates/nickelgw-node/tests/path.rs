//! The path from client to client on sockets: what is hard on it, each caused.

mod common;

use common::{figures, post, start, World};
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

fn world(ids: &[&str], tweak: impl FnOnce(&mut nickelgw_node::NodeOptions)) -> World {
    World::with(ids.iter().map(|id| figures(id)).collect(), tweak)
}

fn holder(w: &World, req: &str) -> (String, String) {
    w.wait_for("read", req);
    let lines = w.record.entries();
    let l = lines.iter().find(|l| l["ev"] == "read" && l["req"] == req).unwrap();
    (l["who"].as_str().unwrap().into(), l["send"].as_str().unwrap().into())
}

#[test]
fn a_reader_that_dies_during_the_fetch_costs_a_second_read() {
    let heavy = |id: &str| engine_config::EngineConfig { kv_bytes_per_token: 40_000.0, ..figures(id) };
    let w = World::new(vec![heavy("r0a"), heavy("r1a"), heavy("w0a")]);
    w.control("w0a", json!({"fault": "silence", "for_s": 0.1}));
    let asked = w.later(w.ask("q", "booking"));
    let (reader, _) = holder(&w, "q");
    w.control(&reader, json!({"fault": "die_in_fetch"}));
    assert_eq!(asked.join().unwrap().outcome, "completed");
    assert_eq!((w.count("died", ""), w.count("read", "q"), w.count("ran", "q")), (1, 2, 1));
    w.assert_sound();
}

#[test]
fn a_writer_that_refuses_three_times_is_asked_again_or_left() {
    let w = world(&["r0a", "w0a", "w1b"], |_| {});
    w.control("w0a", json!({"fault": "refuse", "times": 3}));
    w.control("w1b", json!({"fault": "refuse", "times": 3}));
    for n in 0..3 {
        let seen = w.play(w.ask(&format!("q{n}"), "booking"));
        assert!(seen.outcome == "completed" || seen.outcome == "shed", "{seen:?}");
    }
    assert_eq!(w.count("turned", ""), 6);
    w.assert_empty(&["r0a", "w0a", "w1b"]);
    w.assert_sound();
}

/// Gone while it is queued behind others, read, held, fetched, streamed: nothing stays anywhere.
#[test_case("queued"; "queued")]
#[test_case("reading"; "reading")]
#[test_case("held"; "held")]
#[test_case("fetching"; "fetching")]
#[test_case("streaming"; "streaming")]
fn a_client_vanishes(at: &str) {
    let reader = engine_config::EngineConfig {
        slots: 1,
        prefill_base_s: if at == "queued" { 0.4 } else { 0.1 },
        ..figures("r0a")
    };
    let writer = engine_config::EngineConfig { decode_step_s: 0.03, ..figures("w0a") };
    let w = World::new(vec![reader, writer]);
    let others = if at == "queued" { 6 } else { 0 };
    let others: Vec<_> = (0..others).map(|n| w.later(w.ask(&format!("o{n}"), "chat"))).collect();
    match at {
        "held" => drop(w.control("w0a", json!({"fault": "silence", "for_s": 0.6}))),
        "fetching" => drop(w.control("w0a", json!({"fault": "silence", "for_s": 0.2}))),
        _ => {}
    }
    let leave = match at {
        "streaming" => DisconnectAt::EventCount(2),
        "queued" => DisconnectAt::WaitingFor(0.1),
        "reading" => DisconnectAt::WaitingFor(0.06),
        _ => DisconnectAt::WaitingFor(0.35),
    };
    let asked = w.later(ChatCall { disconnect: leave, ..w.ask("q", "booking") });
    if at == "fetching" {
        let (reader, _) = holder(&w, "q");
        w.control(&reader, json!({"fault": "silence", "for_s": 0.6}));
    }
    assert_eq!(asked.join().unwrap().outcome, "left");
    others.into_iter().for_each(|o| drop(o.join()));
    thread::sleep(Duration::from_millis(700));
    assert_eq!(w.count("done", "q"), 0, "it ran on for nobody");
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

#[test]
fn events_cut_at_every_byte_and_letters_cut_in_their_middle_come_whole() {
    let w = world(&["r0a", "w0a"], |_| {});
    let text = "Žluťoučký kůň 🐎 dost\u{301} 漢字\u{200d}";
    w.control("w0a", json!({"fault": "say", "text": text}));
    w.control("w0a", json!({"fault": "split", "bytes": 1}));
    for stream in [true, false] {
        let seen = w.play(ChatCall { stream, max_tokens: None, ..w.ask(&format!("q{stream}"), "chat") });
        assert_eq!((seen.outcome.as_str(), seen.text.as_str()), ("completed", text));
    }
    w.assert_sound();
}

#[test_case("twice", "completed", None; "two endings")]
#[test_case("text", "completed", None; "text after the end")]
#[test_case("none", "errored", Some("stream_broken"); "no ending")]
fn an_engine_ends_its_stream_wrongly(how: &str, seen_as: &str, code: Option<&str>) {
    let w = world(&["r0a", "w0a"], |_| {});
    w.control("w0a", json!({"fault": "ending", "how": how}));
    for n in 0..4 {
        let seen = w.play(ChatCall { stream: n != 3, ..w.ask(&format!("q{n}"), "chat") });
        assert_eq!((seen.outcome.as_str(), seen.code.as_deref()), (seen_as, code));
        assert!(!seen.text.contains("more") && w.count("final", &format!("q{n}")) == 1);
    }
    w.control("w0a", json!({"fault": "ending", "how": ""}));
    assert_eq!(w.play(w.ask("after", "chat")).outcome, "completed");
    w.assert_sound();
}

#[test]
fn bodies_of_eight_megabytes_and_prompts_of_one_token() {
    let big =
        |id| engine_config::EngineConfig { memory_tokens: 1e7, prefill_tokens_per_s: 1e8, ..figures(id) };
    let large = |s: &mut nickelgw_node::NodeOptions| {
        (s.limits.max_body_bytes, s.limits.body_timeout_s, s.admission.max_prompt_tokens) =
            (9_000_000, 5.0, 4e6);
    };
    let w = World::with(vec![big("r0a"), big("w0a")], large);
    let mut ask = w.ask("big", "chat");
    ask.prompt = "word ".repeat(8_000_000 / 5);
    let seen = w.play(ChatCall { timeout_s: 4.0, ..ask });
    assert_eq!((seen.outcome.as_str(), seen.status), ("completed", 200));
    let mut ask = w.ask("small", "chat");
    (ask.prompt, ask.system) = ("a".into(), String::new());
    let seen = w.play(ask);
    assert_eq!((seen.outcome.as_str(), seen.text.starts_with("w0 ")), ("completed", true));
    let mut over = w.ask("over", "chat");
    over.prompt = "word ".repeat(9_000_000 / 5);
    let seen = w.play(over);
    // Refused by its length alone; a client that is still writing may see its connection end instead.
    assert!(seen.status == 413 || seen.outcome == "cut", "{seen:?}");
    assert_eq!(w.count("send", "over"), 0);
}

#[test]
fn an_answer_ends_before_its_stop_and_says_why_it_ended() {
    let w = world(&["r0a", "w0a"], |_| {});
    let body =
        |more: &str| format!(r#"{{"model":"chat","messages":[{{"role":"user","content":"hi"}}]{more}}}"#);
    for (more, text, finish) in [
        (r#","stop":["w3","nothing"]"#, "w0 w1 w2 ", "stop"),
        (r#","stop":"1""#, "w0 w", "stop"),
        (r#","max_tokens":2"#, "w0 w1 ", "length"),
        (r#","max_completion_tokens":2,"max_tokens":null"#, "w0 w1 ", "length"),
    ] {
        let text_of = post(&body(more), "connection: close\r\n");
        let answer = smol::block_on(client::send_raw(&w.node, &[text_of.as_bytes()], 0.0, 2.0));
        let answer = String::from_utf8(answer).unwrap();
        let v: Value = serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
        let choice = &v["choices"][0];
        assert_eq!((&choice["message"]["content"], &choice["finish_reason"]), (&json!(text), &json!(finish)));
    }
}

#[test]
fn requests_follow_each_other_on_a_connection_and_a_half_closed_one_is_gone() {
    let w = world(&["r0a", "w0a"], |_| {});
    let body = r#"{"model":"chat","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
    let bad = post("{", "");
    let three = [post(body, ""), bad, post(body, "connection: close\r\n")].concat();
    let answer = smol::block_on(client::send_raw(&w.node, &[three.as_bytes()], 0.0, 2.0));
    let answer = String::from_utf8_lossy(&answer).to_string();
    let statuses: Vec<&str> = answer.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
    assert_eq!(statuses, ["200", "400", "200"], "{answer}");
    // One that will send nothing more has left: the API's clients keep their side open.
    w.control("w0a", json!({"fault": "silence", "for_s": 0.5}));
    let mut s = TcpStream::connect(&w.node).unwrap();
    let id = "x-request-id: half\r\n";
    s.write_all(post(body, id).as_bytes()).unwrap();
    w.wait_for("read", "half");
    s.shutdown(Shutdown::Write).unwrap();
    thread::sleep(Duration::from_millis(700));
    assert_eq!(w.count("done", "half"), 0);
    w.assert_empty(&["r0a", "w0a"]);
}

#[test]
fn a_tenant_has_its_own_limit_of_open_requests() {
    let w = world(&["r0a", "w0a"], |s| s.core_config.tenant_max_open = vec![Some(2)]);
    w.control("w0a", json!({"fault": "silence", "for_s": 0.6}));
    let first = [w.later(w.ask("a", "chat")), w.later(w.ask("b", "chat"))];
    w.wait("both are taken", |l| l.iter().filter(|l| l["ev"] == "read").count() == 2);
    let third = w.play(w.ask("c", "chat"));
    assert_eq!((third.status, third.code.as_deref()), (429, Some("too_many_open")));
    assert!(third.retry_after.is_some());
    first.into_iter().for_each(|f| assert_eq!(f.join().unwrap().outcome, "completed"));
    assert_eq!(w.play(w.ask("d", "chat")).outcome, "completed");
}

#[test]
fn a_state_goes_only_to_the_writer_that_was_granted_it_and_once() {
    let known = |id| engine_config::EngineConfig { grant_keys: vec![(7, SECRET.into())], ..figures(id) };
    let key = || GrantKey::of(7, SECRET).unwrap();
    let grants = GrantConfig { keys: vec![(0.0, key())], lifetime_s: 5.0 };
    let w = World::with(vec![known("r0a"), figures("w0a")], |s| s.core_config.grants = Some(grants));
    assert_eq!(w.play(w.ask("fine", "chat")).outcome, "completed");
    assert_eq!((w.count("fetched", ""), w.count("not_granted", "")), (1, 0));
    w.control("w0a", json!({"fault": "silence", "for_s": 1.0}));
    let asked = w.later(w.ask("q", "chat"));
    let (_, state) = holder(&w, "q");
    let fetch = |grant: &str, writer: &str| {
        let text = format!(
            "GET /v1/states/{state} HTTP/1.1\r\nhost: x\r\nx-engine-id: {writer}\r\nx-state-grant: {grant}\r\n\
             connection: close\r\n\r\n"
        );
        response_status(&smol::block_on(client::send_raw(&w.engines["r0a"], &[text.as_bytes()], 0.0, 1.0)))
    };
    let g = GrantClaims {
        reservation: &state,
        prefill_engine: "r0a",
        decode_engine: "w9a",
        expires_at: unix_now() + 5.0,
    };
    let good = grant(&key(), &g);
    let forged = grant(&GrantKey::of(7, "another secret of some length").unwrap(), &g);
    let unknown = grant(&GrantKey::of(8, SECRET).unwrap(), &g);
    let expired = grant(&key(), &GrantClaims { expires_at: unix_now() - 0.5, ..g });
    let altered = good.replace(&good[2..6], "9999");
    for (bad, writer) in [
        ("", "w9a"),
        ("junk", "w9a"),
        (&forged, "w9a"),
        (&unknown, "w9a"),
        (&expired, "w9a"),
        (&altered, "w9a"),
        (&good, "w8a"),
    ] {
        assert_eq!(fetch(bad, writer), 403, "{bad} by {writer}");
    }
    assert_eq!(fetch(&good, "w9a"), 200);
    assert_eq!(fetch(&good, "w9a"), 403, "replayed");
    let whys: Vec<String> = w
        .record
        .entries()
        .iter()
        .filter(|l| l["ev"] == "not_granted")
        .map(|l| l["why"].to_string())
        .collect();
    assert_eq!(whys.len(), 8, "{whys:?}");
    assert!(whys[4].contains("Expired") && whys[7].contains("Replayed"), "{whys:?}");
    // Its state was stolen by a granted fetch: the writer finds none, and it is read again.
    assert_eq!(asked.join().unwrap().outcome, "completed");
    assert_eq!(w.count("read", "q"), 2);
}

#[test]
fn another_node_knows_nothing_of_a_key_and_says_so_by_running() {
    let w = world(&["r0a", "w0a"], |_| {});
    let mut second = start(&w.list);
    second.name = "node1".into();
    second.core_config.incarnation = "node1".into();
    (second.deployment.node, second.deployment.node_count) = (1, 2);
    let other = common::serve(second);
    w.wait("the other hears the list", |l| l.iter().any(|l| l["ev"] == "told" && l["node"] == "node1"));
    let body = r#"{"model":"chat","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
    let text = post(body, "idempotency-key: k\r\nconnection: close\r\n");
    for node in [&w.node, &w.node, &other] {
        let answer = smol::block_on(client::send_raw(node, &[text.as_bytes()], 0.0, 2.0));
        assert_eq!(response_status(&answer), 200);
    }
    // Once for the first node's two, once for the other: nodes share nothing.
    assert_eq!(w.count("ran", ""), 2);
}
