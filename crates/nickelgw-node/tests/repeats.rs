//! Clients that repeat their requests, on sockets: one effect, one answer, heard by all who come with the key.

mod common;

use common::{figures, post, World};
use nickelgw_test_servers::client::{response_status, send_raw};
use nickelgw_test_servers::engine_config::EngineConfig;
use std::thread;
use std::time::Duration;

fn world(tweak: impl FnOnce(&mut nickelgw_node::NodeOptions)) -> World {
    let slow = EngineConfig { decode_step_s: 0.04, ..figures("w0a") };
    World::with(vec![figures("r0a"), slow], tweak)
}

fn body(model: &str, text: &str, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","stream":{stream},"max_tokens":8,"messages":[{{"role":"user","content":"{text}"}}]}}"#
    )
}

/// Asks with a key; what came back, or what came until `patience` had passed without a byte.
fn ask(w: &World, req: &str, key: &str, body: &str, patience: f64) -> String {
    let head = post(body, &format!("connection: close\r\nx-request-id: {req}\r\n{key}"));
    let out = smol::block_on(send_raw(&w.node, &[head.as_bytes()], 0.0, patience));
    String::from_utf8_lossy(&out).into_owned()
}

fn idem(key: &str) -> String {
    format!("idempotency-key: {key}\r\n")
}

fn words(answer: &str) -> Vec<String> {
    let text = answer.split("\"content\":\"").skip(1);
    text.filter_map(|t| t.split('"').next()).map(|t| t.trim().to_string()).collect()
}

fn later(w: &World, req: &str, key: &str, body: &str, patience: f64) -> thread::JoinHandle<String> {
    let (node, record) = (w.node.clone(), w.record.clone());
    let (req, key, body) = (req.to_string(), key.to_string(), body.to_string());
    let w = World { node, list: String::new(), engines: Default::default(), record, tell: None, exit: None };
    thread::spawn(move || ask(&w, &req, &key, &body, patience))
}

#[test]
fn the_same_request_three_times_runs_once_and_all_hear_it_whole() {
    for (n, model) in ["chat", "booking"].iter().enumerate() {
        let w = world(|_| {});
        let (key, b) = (idem(&format!("k{n}")), body(model, "pay the bill", true));
        let first = later(&w, "a", &key, &b, 2.0);
        w.wait_for("ran", "a");
        // While it streams, from another connection.
        let second = later(&w, "b", &key, &b, 2.0);
        let (first, second) = (first.join().unwrap(), second.join().unwrap());
        // After its end.
        let third = ask(&w, "c", &key, &b, 2.0);
        assert!(first.contains("[DONE]") && !words(&first).is_empty(), "{first}");
        assert_eq!((words(&first), words(&first)), (words(&second), words(&third)));
        assert_eq!(w.count("ran", ""), 1);
    }
}

#[test]
fn a_client_that_comes_back_takes_over_what_it_left() {
    let w = world(|_| {});
    let (key, b) = (idem("gone"), body("booking", "book it", true));
    // Goes as soon as the stream has begun; comes back.
    let left = ask(&w, "a", &key, &b, 0.03);
    assert!(!left.contains("[DONE]"));
    thread::sleep(Duration::from_millis(100));
    let back = ask(&w, "b", &key, &b, 2.0);
    assert!(back.contains("[DONE]"), "{back}");
    assert_eq!((words(&back)[0].as_str(), w.count("ran", "")), ("w0", 1));
}

#[test]
fn one_that_nobody_takes_over_is_called_off_and_never_runs_again_where_that_may_harm() {
    let w = world(|s| s.idempotency.takeover_s = 0.2);
    let slow = serde_json::json!({"fault": "slow", "for_s": 5.0, "factor": 8.0});
    w.control("w0a", slow);
    let (key, b) = (idem("off"), body("booking", "book it once", true));
    ask(&w, "a", &key, &b, 0.25);
    w.wait_for("ran", "a");
    w.wait_for("dropped", "a");
    let again = ask(&w, "b", &key, &b, 1.0);
    assert_eq!((response_status(again.as_bytes()), w.count("ran", "")), (409, 1), "{again}");
    w.assert_empty(&["r0a", "w0a"]);
}

#[test]
fn another_body_under_the_key_is_refused_and_other_keys_are_others() {
    let w = world(|_| {});
    let whole = ask(&w, "a", &idem("k"), &body("chat", "one", false), 2.0);
    assert_eq!(response_status(whole.as_bytes()), 200);
    assert_eq!(response_status(ask(&w, "b", &idem("k"), &body("chat", "two", false), 2.0).as_bytes()), 422);
    assert_eq!(response_status(ask(&w, "c", &idem("l"), &body("chat", "two", false), 2.0).as_bytes()), 200);
    assert_eq!(
        response_status(ask(&w, "d", &idem(&"x".repeat(300)), &body("chat", "two", false), 2.0).as_bytes()),
        400
    );
    assert_eq!(w.count("ran", ""), 2);
}

#[test]
fn what_failed_is_not_repeated_on_a_non_retriable_route_and_is_on_others() {
    let w = world(|_| {});
    w.control("w0a", serde_json::json!({"fault": "lose", "for_s": 60.0, "share": 1.0}));
    let (key, b) = (idem("lost"), body("booking", "transfer", false));
    let first = ask(&w, "a", &key, &b, 5.0);
    let again = ask(&w, "b", &key, &b, 5.0);
    assert_eq!((response_status(first.as_bytes()), response_status(again.as_bytes())), (502, 502), "{again}");
    assert_eq!(w.count("ran", ""), 1);
    w.control("w0a", serde_json::json!({"fault": "lose", "for_s": 0.0, "share": 0.0}));
    let (key, b) = (idem("fine"), body("chat", "look up", false));
    assert_eq!(response_status(ask(&w, "c", &key, &b, 5.0).as_bytes()), 200);
}

#[test]
fn an_answer_too_long_to_keep_streams_on_but_is_not_repeated() {
    let w = world(|s| s.idempotency.max_bytes_per_entry = 300);
    let (key, b) = (idem("long"), body("booking", "tell all", true));
    let first = ask(&w, "a", &key, &b, 2.0);
    assert!(first.contains("[DONE]"), "{first}");
    assert_eq!(response_status(ask(&w, "b", &key, &b, 2.0).as_bytes()), 409);
    assert_eq!(w.count("ran", ""), 1);
}

#[test]
fn a_storm_of_retries_is_sent_away_with_times_to_come_back() {
    let w = world(|s| (s.retry_budget.burst, s.retry_budget.retry_ratio) = (3.0, 0.2));
    let mut refused = 0;
    for n in 0..12 {
        let marked = format!("x-stainless-retry-count: {}\r\n", 1 + n % 3);
        let answer = ask(&w, &format!("r{n}"), &marked, &body("chat", "again", false), 2.0);
        match response_status(answer.as_bytes()) {
            200 => {}
            429 => {
                refused += 1;
                assert!(answer.contains("retry-after: ") && answer.contains("retry_budget"), "{answer}");
            }
            other => panic!("{other}: {answer}"),
        }
    }
    assert_eq!(refused, 9);
    // First tries are served all the same.
    assert_eq!(response_status(ask(&w, "first", "", &body("chat", "new", false), 2.0).as_bytes()), 200);
}
