//! A zone that is cut off: connections to its engines never come up, and the time of a held state runs on meanwhile.

use crate::common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the settings and the platform's protocol allow a state to be held with no send out.
const HELD_S: f64 = 0.5 + 0.3;

/// A reader, and when it answered a read.
fn timed() -> (Peer, Arc<Mutex<Option<Instant>>>) {
    let at = Arc::new(Mutex::new(None));
    let told = at.clone();
    let read = plain("202 Accepted", r#"{"cached_tokens":4}"#);
    let r = peer(move |_, _| {
        *told.lock().unwrap() = Some(Instant::now());
        Then::Answer(read.clone())
    });
    (r, at)
}

/// Zone a has the reader and five writers that are cut off; what else there is stands in zone b.
fn world(r: SocketAddr, cut: SocketAddr, other: Option<SocketAddr>) -> World {
    let mut all = vec![line("r0", "m1", "a", r)];
    all.extend((0..5).map(|n| line(&format!("w{n}"), "m2", "a", cut)));
    all.extend(other.map(|w| line("w9", "m2", "b", w)));
    let two_zones = |told: &mut Value| {
        told["settings"]["zones"] = json!(["a", "b"]);
        told["settings"]["limits"]["most_tries"] = 6.into();
    };
    node_of(&silent(), json!({"generation": 3, "reset": true, "instances": all}), None, two_zones)
}

/// Fleet days with a zone lost: five writers of it were tried, 250 ms each, and the state was held for 1.25 s.
#[test]
fn a_state_that_no_writer_can_be_reached_for_is_let_go_in_time() {
    let ((r, read_at), cut) = (timed(), cut_off());
    let world = world(r.address, cut.address, None);
    let got = world.say(ask("ba01").as_bytes());
    r.wait("DELETE");
    let held_s = read_at.lock().unwrap().unwrap().elapsed().as_secs_f64();
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(held_s < HELD_S, "held for {held_s} s");
}

#[test]
fn after_one_writer_that_cannot_be_reached_another_zone_is_tried() {
    let ((r, read_at), cut) = (timed(), cut_off());
    let w = peer(|_, _| Then::Answer(stream()));
    let world = world(r.address, cut.address, Some(w.address));
    let got = world.say(ask("ba02").as_bytes());
    let held_s = read_at.lock().unwrap().unwrap().elapsed().as_secs_f64();
    assert!(got.starts_with("HTTP/1.1 200") && held_s < HELD_S, "{held_s} s, {got}");
}

/// An attempt tells its engine what is left as it goes out, not what was left as its connection was begun.
#[test]
fn an_attempt_on_a_late_connection_tells_what_is_left_by_then() {
    let cut = cut_off();
    let w = peer(|_, _| Then::Answer(stream()));
    let mut r = reader();
    r.address = cut.address;
    let world = node_of(&silent(), list(&[&r], &[&w]), None, |told| {
        told["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
        told["settings"]["limits"]["probes"] = json!(true);
        told["settings"]["family_info"]["release_s"] = json!(30.0);
    });
    let mut client = world.client();
    let asked = Instant::now();
    client.write_all(ask("ba03").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    let text = cut.text_when_back(Duration::from_millis(1500));
    let attempt = text.split("POST ").nth(1).expect("an attempt goes out");
    let told_ms: u64 =
        attempt.lines().find_map(|l| l.strip_prefix("x-budget-ms: ")).and_then(|ms| ms.parse().ok()).unwrap();
    // It went out no sooner than the machine was back.
    assert!(told_ms <= 4000 - 600 + 150, "{told_ms} ms told, {:?} after the request", asked.elapsed());
}
