//! A zone that is cut off: connections to its engines never come up, and the time of a held state runs on meanwhile.

use crate::common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

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
