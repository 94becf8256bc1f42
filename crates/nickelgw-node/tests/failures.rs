//! Engines that fail in each way on real sockets: one coherent answer each, all rules kept.

mod common;

use common::{figures, World};
use nickelgw_audit::Rule;
use nickelgw_test_servers::client::{self, DisconnectAt};
use nickelgw_test_servers::engine_config;
use serde_json::json;
use std::thread;
use std::time::Duration;

fn engines(ids: &[&str]) -> Vec<engine_config::EngineConfig> {
    ids.iter().map(|id| figures(id)).collect()
}

#[test]
fn all_goes_its_ordinary_way() {
    let w = World::new(engines(&["r0a", "r1a", "w0a", "w1a"]));
    let asks: Vec<_> = (0..24)
        .map(|n| {
            let mut a = w.ask(&format!("q{n}"), ["chat", "review", "booking"][n % 3]);
            a.stream = n % 2 == 0;
            w.later(a)
        })
        .collect();
    for a in asks {
        let seen = a.join().unwrap();
        assert_eq!((seen.outcome.as_str(), seen.status), ("completed", 200));
        assert!(seen.text.starts_with("w0 w1 w2 "), "{}", seen.text);
    }
    w.assert_empty(&["r0a", "r1a", "w0a", "w1a"]);
    // Each state moved as bytes.
    assert_eq!(w.count("fetched", ""), 24);
    w.assert_sound();
}

#[test]
fn a_reader_that_dies_holding_a_state_costs_a_second_read() {
    let w = World::new(engines(&["r0a", "r1a", "w0a"]));
    // The writer answers nothing for a while: the state waits at its reader.
    w.control("w0a", json!({"fault": "silence", "for_s": 0.5}));
    let asked = w.later(w.ask("q", "chat"));
    w.wait_for("read", "q");
    let holder =
        w.record.entries().iter().find(|l| l["ev"] == "read").unwrap()["who"].as_str().unwrap().to_string();
    w.control(&holder, json!({"fault": "die"}));
    w.record.for_source(&holder).record("died", json!({}));
    assert_eq!(asked.join().unwrap().outcome, "completed");
    assert_eq!(w.count("read", "q"), 2);
    w.assert_sound();
}

#[test]
fn a_writer_silent_amid_its_stream_costs_one_clear_error() {
    let w = World::new(engines(&["r0a", "w0a"]));
    let mut ask = w.ask("q", "chat");
    ask.max_tokens = None;
    let slow = json!({"fault": "slow", "for_s": 5.0, "factor": 10.0});
    w.control("w0a", slow);
    let asked = w.later(ask);
    w.wait_for("first", "q");
    w.control("w0a", json!({"fault": "silence", "for_s": 2.0}));
    let seen = asked.join().unwrap();
    assert_eq!((seen.outcome.as_str(), seen.code.as_deref()), ("errored", Some("stream_broken")));
    thread::sleep(Duration::from_millis(1200));
    // What woke up later was not heard: still one final answer.
    assert_eq!(w.count("final", "q"), 1);
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

#[test]
fn an_answer_lost_is_not_run_again_where_that_may_harm() {
    let w = World::new(engines(&["r0a", "w0a", "w1a", "w2b"]));
    for e in ["w0a", "w1a", "w2b"] {
        w.control(e, json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    }
    let booking = w.play(w.ask("b", "booking"));
    assert_eq!((booking.outcome.as_str(), w.count("ran", "b")), ("errored", 1));
    // Deduped inside a zone: its prompt is not read again for it, as the module has it; among all: again.
    let review = w.play(w.ask("d", "review"));
    assert_eq!((review.outcome.as_str(), w.count("ran", "d")), ("errored", 1));
    let marked = w.play(w.ask("m", "marked"));
    assert!(marked.outcome != "completed" && w.count("ran", "m") >= 2, "{marked:?}");
    // Retriable: as often as sends are left.
    let chat = w.play(w.ask("c", "chat"));
    assert!(chat.outcome != "completed" && w.count("ran", "c") >= 2, "{chat:?}");
    w.assert_empty(&["r0a", "w0a", "w1a", "w2b"]);
    w.assert_sound();
}

#[test]
fn a_lost_read_leaves_nothing_pinned() {
    let w = World::new(engines(&["r0a", "w0a"]));
    w.control("r0a", json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    let seen = w.play(w.ask("q", "chat"));
    assert_ne!(seen.outcome, "completed");
    assert!(w.count("lost", "q") >= 1);
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

#[test]
fn clients_that_leave_free_what_was_done_for_them() {
    let slow =
        |id: &str| engine_config::EngineConfig { prefill_base_s: 0.4, decode_step_s: 0.05, ..figures(id) };
    let w = World::new(vec![slow("r0a"), slow("w0a")]);
    let mut early = w.ask("early", "chat");
    early.disconnect = DisconnectAt::WaitingFor(0.2);
    assert_eq!(w.play(early).outcome, "left");
    let mut amid = w.ask("amid", "booking");
    amid.disconnect = DisconnectAt::EventCount(3);
    assert_eq!(w.play(amid).outcome, "left");
    w.wait_for("dropped", "amid");
    w.assert_empty(&["r0a", "w0a"]);
    assert_eq!(w.count("send", "early"), 1);
    w.assert_sound();
}

#[test]
fn a_draining_engine_gets_nothing_new_and_one_that_is_back_does() {
    let mut w = World::new(engines(&["r0a", "w0a", "w1a"]));
    let address = w.engines["w0a"].clone();
    let mut line = common::line(&figures("w0a"), &address);
    line.state = nickelgw_protocol::list::EngineState::Draining;
    w.control("list", json!({"line": line}));
    w.wait("the drain is told", |l| l.iter().any(|l| l["ev"] == "told" && l["draining"] == json!(["w0a"])));
    thread::sleep(Duration::from_millis(600));
    for n in 0..6 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), "chat")).outcome, "completed");
    }
    let to =
        |w: &World, e: &str| w.record.entries().iter().filter(|l| l["ev"] == "send" && l["who"] == e).count();
    assert_eq!((to(&w, "w0a"), to(&w, "w1a")), (0, 6));
    // A new process under the old id, at another address.
    let line = w.engine(engine_config::EngineConfig { slow_start: false, ..figures("w0a") });
    w.control("list", json!({"line": line}));
    w.control("list", json!({"remove": "w1a"}));
    w.wait("the return is told", |l| l.iter().any(|l| l["ev"] == "told" && l["in"] == json!(["r0a", "w0a"])));
    thread::sleep(Duration::from_millis(50));
    assert_eq!(w.play(w.ask("back", "chat")).outcome, "completed");
    assert_eq!(to(&w, "w0a"), 1);
    let v = w.verdict();
    assert!(v.violations.is_empty() && v.checked["drain"] > 0, "{:?} {:?}", v.violations, v.checked);
}

#[test]
fn engines_that_fail_at_once_are_answered_for_at_once() {
    let w = World::new(engines(&["r0a", "r1a", "w0a"]));
    w.control("r0a", json!({"fault": "fail", "for_s": 60.0, "share": 1.0}));
    for n in 0..8 {
        assert_eq!(w.play(w.ask(&format!("q{n}"), "chat")).outcome, "completed");
    }
    w.control("r1a", json!({"fault": "fail", "for_s": 60.0, "share": 1.0}));
    let seen = w.play(w.ask("none", "booking"));
    assert!(seen.outcome != "completed" && seen.duration_s < 4.5, "{seen:?}");
    w.assert_sound();
}

#[test]
fn no_engine_at_all_is_said_in_time() {
    let w = World::new(Vec::new());
    let seen = w.play(w.ask("q", "chat"));
    assert!(seen.status >= 500 && seen.duration_s < 4.3, "{seen:?}");
    w.assert_sound();
}

#[test]
fn the_last_list_serves_while_the_list_is_away() {
    let dir = std::env::temp_dir().join(format!("nickelgw-last-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("node0.list");
    let mut w = World::with(engines(&["r0a", "w0a"]), |s| s.endpoint_cache = Some(path.clone()));
    let from = std::time::Instant::now();
    while !path.exists() {
        assert!(from.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(5));
    }
    // A second process of the node, whose list is nowhere.
    let (gone, nowhere) = common::listener();
    drop(gone);
    let mut s = common::start(&nowhere);
    s.endpoint_cache = Some(path.clone());
    w.node = common::serve(s);
    assert_eq!(w.play(w.ask("q", "chat")).outcome, "completed");
    std::fs::write(&path, "{\"revision\":1,\"engi").unwrap();
    let mut s = common::start(&nowhere);
    s.endpoint_cache = Some(path);
    w.node = common::serve(s);
    let mut hasty = w.ask("cold", "chat");
    hasty.disconnect = DisconnectAt::WaitingFor(0.3);
    assert_ne!(w.play(hasty).outcome, "completed");
    let _ = std::fs::remove_dir_all(dir);
    w.assert_sound();
}

/// A node that breaks a rule on purpose, by a fault built into a stand-in of it: the auditor is no ornament.
#[test]
fn a_node_that_sends_after_its_final_answer_is_caught() {
    let w = World::new(engines(&["r0a", "w0a"]));
    let ask = w.ask("q", "chat");
    let reader = w.engines["r0a"].clone();
    let read = move |send: &str| {
        let body = "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-request-id: q\r\n\
             x-send-id: {send}\r\nx-node: node0\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        smol::block_on(client::send_raw(&reader, &[head.as_bytes()], 0.0, 1.0))
    };
    let (l, address) = common::listener();
    let faulty = thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut s, _) = l.accept().unwrap();
        let mut buffer = [0; 65536];
        let _ = s.read(&mut buffer).unwrap();
        assert_eq!(client::response_status(&read("bad-0")), 200);
        let body = "{\"error\":{\"code\":\"shed\"}}";
        let answer = format!("HTTP/1.1 503 x\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        s.write_all(answer.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(500));
        read("bad-1");
    });
    let seen = w.play(client::ChatCall { address, ..ask });
    assert_eq!(seen.outcome, "shed");
    faulty.join().unwrap();
    thread::sleep(Duration::from_millis(500));
    let v = w.verdict();
    // Its states, never let go, are pinned too.
    assert!(
        v.count(Rule::DroppedRequest) == 1 && v.count(Rule::UnattendedReservation) >= 1,
        "{:#?}",
        v.violations
    );
}
