//! Clients and engines that speak badly: a clear error, no panic, nothing pinned.

mod common;

use common::{figures, World, KEY};
use nickelgw_test_servers::client::{self, response_status, send_raw};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use test_case::test_case;

fn world() -> World {
    World::new(vec![figures("r0a"), figures("w0a")])
}

fn post(body: &[u8], length: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn sent(w: &World, bytes: &[u8], patience: f64) -> Vec<u8> {
    smol::block_on(send_raw(&w.node, &[bytes], 0.0, patience))
}

#[test]
fn clients_that_speak_badly_are_told_and_others_are_served() {
    let w = world();
    let ask = |json: &str| response_status(&sent(&w, &post(json.as_bytes(), json.len()), 2.0));
    assert_eq!(ask("{\"model\":"), 400);
    assert_eq!(ask("[1,2]"), 400);
    assert_eq!(ask("{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"), 404);
    assert_eq!(ask("{\"model\":\"chat\",\"messages\":[]}"), 400);
    assert_eq!(ask(&"[".repeat(90_000)), 400);
    // Its length too large, and its length not kept.
    assert_eq!(response_status(&sent(&w, &post(b"", 200_000), 2.0)), 413);
    assert_eq!(response_status(&sent(&w, &post(b"{\"model\"", 500), 2.0)), 408);
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         30000\r\n{}\r\n0\r\n\r\n",
        "x".repeat(0x30000)
    );
    assert_eq!(response_status(&sent(&w, chunked.as_bytes(), 2.0)), 413);
    // Half a request line: closed when its time is up. A head of ten megabytes: refused, not stored.
    assert!(matches!(response_status(&sent(&w, b"POST /v1/ch", 3.0)), 0 | 408));
    let huge = format!("GET / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(10 << 20));
    assert!(matches!(response_status(&sent(&w, huge.as_bytes(), 2.0)), 0 | 431));
    assert!(matches!(response_status(&sent(&w, b"\x16\x03\x01\x00\xa5\x01garbage\r\n\r\n", 2.0)), 0 | 400));
    assert_eq!(
        response_status(&sent(&w, b"GET /none HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", 2.0)),
        404
    );
    let mut stranger = w.ask("s", "chat");
    stranger.api_key = Some("sk-wrong-key".into());
    assert_eq!(w.play(stranger).status, 401);
    assert_eq!(w.play(w.ask("q", "chat")).outcome, "completed");
    w.assert_empty(&["r0a", "w0a"]);
}

#[test]
fn what_does_not_fit_is_refused_with_a_time_to_come_back() {
    let slow = nickelgw_test_servers::engine_config::EngineConfig { prefill_base_s: 0.5, ..figures("r0a") };
    let w = World::with(vec![slow, figures("w0a")], |s| s.core_config.max_open_requests = 2);
    let first: Vec<_> = (0..2).map(|n| w.later(w.ask(&format!("q{n}"), "chat"))).collect();
    w.wait("both are taken", |l| l.iter().filter(|l| l["ev"] == "send").count() >= 2);
    let third = w.play(w.ask("q2", "chat"));
    assert_eq!((third.status, third.code.as_deref()), (503, Some("node_full")));
    assert_eq!(third.retry_after.as_deref(), Some("1"));
    first.into_iter().for_each(|f| assert_eq!(f.join().unwrap().outcome, "completed"));
    assert_eq!(w.play(w.ask("q3", "chat")).outcome, "completed");
    w.assert_sound();
}

#[test]
fn a_full_queue_to_the_core_refuses_and_loses_no_engine_event() {
    let w = World::with(vec![figures("r0a"), figures("w0a")], |s| s.limits.max_queued = 1);
    let asks: Vec<_> = (0..60).map(|n| w.later(w.ask(&format!("q{n}"), "chat"))).collect();
    let mut completed = 0;
    for a in asks {
        let seen = a.join().unwrap();
        match seen.outcome.as_str() {
            "completed" => completed += 1,
            _ => assert!(seen.status == 503 && seen.retry_after.is_some(), "{seen:?}"),
        }
    }
    assert!(completed > 0);
    w.assert_empty(&["r0a", "w0a"]);
    w.assert_sound();
}

/// An engine that answers every call with the same bytes, then closes.
fn garbler(answer: Vec<u8>) -> String {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for s in l.incoming() {
            let (Ok(mut s), answer) = (s, answer.clone()) else { continue };
            thread::spawn(move || {
                let _ = s.read(&mut [0; 65536]);
                let _ = s.write_all(&answer);
            });
        }
    });
    address
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

#[test_case("r0a", "complete nonsense\r\n\r\n"; "reader, no HTTP")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{\"a\":"; "reader, cut JSON")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"; "reader, no state named")]
#[test_case("r0a", "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"id\""; "reader, early close")]
#[test_case("r0a", ""; "reader, closes at once")]
#[test_case("w0a", "HTTP/1.1 200 OK\r\ncontent-type: text/html\r\ncontent-length: 4\r\n\r\n<ht>"; "writer, no stream")]
#[test_case("w0a", "STREAM<html>\n\n"; "writer, no events")]
#[test_case("w0a", "STREAMdata: {\"choices\n\n"; "writer, cut JSON")]
#[test_case("w0a", "STREAMdata: {\"choices\":[]}\n\ndata: {\"ch"; "writer, cut in a frame")]
#[test_case("w0a", "STREAMdata: {\"choices\":[]}\n\n"; "writer, no end")]
#[test_case("w0a", "STREAM"; "writer, an empty stream")]
fn engines_that_speak_badly_cost_one_clear_error(id: &str, answer: &str) {
    let answer = answer.replacen("STREAM", STREAM, 1);
    let mut w = world();
    let f = figures(id);
    let line = common::line(&f, &garbler(answer.into_bytes()));
    let told = w.count("told", "");
    w.control("list", serde_json::json!({"line": line}));
    w.wait("the change is told", |l| l.iter().filter(|l| l["ev"] == "told").count() > told);
    thread::sleep(std::time::Duration::from_millis(50));
    let seen = w.play(w.ask("q", "booking"));
    assert!(seen.outcome == "errored" || seen.outcome == "shed", "{seen:?}");
    assert!(seen.code.is_some() && seen.duration_s < 4.5, "{seen:?}");
    // Put right, all is as before.
    let good = w.engine(figures(id));
    let told = w.count("told", "");
    w.control("list", serde_json::json!({"line": good}));
    w.wait("the change is told", |l| l.iter().filter(|l| l["ev"] == "told").count() > told);
    thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(
        w.play(client::ChatCall { request_id: "again".into(), ..w.ask("again", "chat") }).outcome,
        "completed"
    );
    w.assert_sound();
}
