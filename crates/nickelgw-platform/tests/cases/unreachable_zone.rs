//! An unreachable zone: connections to its engines are never established, while the time limit of a
//! reservation runs.

use crate::common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which the settings and the platform's protocol allow a reservation without an attempt under way.
const MAX_RESERVATION_S: f64 = 0.5 + 0.3;

/// Starts a prefill engine, and returns it with the time at which it last finished a prefill.
fn timed_prefill_engine() -> (Peer, Arc<Mutex<Option<Instant>>>) {
    let prefilled_at = Arc::new(Mutex::new(None));
    let recorded = prefilled_at.clone();
    let prefill_response = http_response("202 Accepted", r#"{"cached_tokens":4}"#);
    let prefill = peer(move |_, _| {
        *recorded.lock().unwrap() = Some(Instant::now());
        PeerAction::Respond(prefill_response.clone())
    });
    (prefill, prefilled_at)
}

/// Starts a node. Zone a has the prefill engine and five unreachable decode engines; the other decode engine,
/// if there is one, is in zone b.
fn start_node_with_unreachable_zone(
    prefill: SocketAddr,
    unreachable: SocketAddr,
    other_decode: Option<SocketAddr>,
) -> TestNode {
    let mut entries = vec![endpoint_entry("r0", "m1", "a", prefill)];
    entries.extend((0..5).map(|n| endpoint_entry(&format!("w{n}"), "m2", "a", unreachable)));
    entries.extend(other_decode.map(|decode| endpoint_entry("w9", "m2", "b", decode)));
    let set_two_zones = |config: &mut Value| {
        config["settings"]["zones"] = json!(["a", "b"]);
        config["settings"]["limits"]["most_tries"] = 6.into();
    };
    start_node_with(
        &silent_discovery(),
        json!({"generation": 3, "reset": true, "instances": entries}),
        None,
        set_two_zones,
    )
}

/// Regression test (fleet days with a zone lost): five of its decode engines were tried for 250 ms each, and
/// the reservation was held for 1.25 s.
#[test]
fn reservation_without_a_reachable_decode_engine_is_released_in_time() {
    let ((prefill, prefilled_at), unreachable) = (timed_prefill_engine(), unreachable_host());
    let node = start_node_with_unreachable_zone(prefill.address, unreachable.address, None);
    let response = node.exchange(chat_request("ba01").as_bytes());
    prefill.wait_for("DELETE");
    let reserved_s = prefilled_at.lock().unwrap().unwrap().elapsed().as_secs_f64();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(reserved_s < MAX_RESERVATION_S, "reserved for {reserved_s} s");
}

#[test]
fn another_zone_is_tried_after_one_unreachable_decode_engine() {
    let ((prefill, prefilled_at), unreachable) = (timed_prefill_engine(), unreachable_host());
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with_unreachable_zone(prefill.address, unreachable.address, Some(decode.address));
    let response = node.exchange(chat_request("ba02").as_bytes());
    let reserved_s = prefilled_at.lock().unwrap().unwrap().elapsed().as_secs_f64();
    assert!(
        response.starts_with("HTTP/1.1 200") && reserved_s < MAX_RESERVATION_S,
        "{reserved_s} s, {response}"
    );
}

/// An attempt states the time that remains when it is written, not the time when the node began to open its
/// connection.
#[test]
fn attempt_on_a_late_connection_states_the_remaining_timeout() {
    let unreachable = unreachable_host();
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let mut prefill = prefill_engine();
    prefill.address = unreachable.address;
    let node = start_node_with(&silent_discovery(), endpoint_list(&[&prefill], &[&decode]), None, |config| {
        config["settings"]["limits"]["connect_timeout_s"] = json!(5.0);
        config["settings"]["limits"]["probes"] = json!(true);
        config["settings"]["family_info"]["release_s"] = json!(30.0);
    });
    let mut client = node.connect();
    let requested_at = Instant::now();
    client.write_all(chat_request("ba03").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    let text = unreachable.text_after_recovery(Duration::from_millis(1500));
    let attempt = text.split("POST ").nth(1).expect("an attempt is written after the recovery");
    let timeout_ms: u64 = attempt
        .lines()
        .find_map(|line| line.strip_prefix("x-budget-ms: "))
        .and_then(|ms| ms.parse().ok())
        .unwrap();
    // The attempt was written no sooner than the host had recovered.
    assert!(
        timeout_ms <= 4000 - 600 + 150,
        "{timeout_ms} ms stated, {:?} after the request",
        requested_at.elapsed()
    );
}
