//! KV reservations under faults, on real processes: a node behind fault proxies to stand-in engines, which judge how long
//! a reservation stood with no attempt of its request at an engine.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
mod processes;
#[path = "platform_reservations/world.rs"]
mod world;

use common::LONG;
use nickelgw_standin::platform::Outcome;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};
use world::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Issue 39, cause: a decode attempt was written to a connection that had fallen silent; its reservation stood until the client's
/// deadline.
#[test]
fn a_decode_attempt_on_a_silent_connection_does_not_keep_its_reservation() {
    for probes in [false, true] {
        let w = World::start(100 + u8::from(probes), 1, 1, |all| {
            all["settings"]["limits"]["probes"] = probes.into()
        });
        assert_eq!(w.ask("warm"), Outcome::Served);
        w.decodes()[0].proxy.silence_open();
        let outcome = w.ask("silent");
        assert!(!matches!(outcome, Outcome::Silent | Outcome::Closed), "no final answer: {outcome:?}");
        w.assert_kept();
    }
}

/// A prefill ends well and its connection breaks in the same moment, and its engine was told to drain meanwhile: the request
/// waits in the queue for one that may take it.
#[test]
fn what_a_prefill_left_whose_answer_was_lost_is_released_in_time() {
    let w = World::start(102, 1, 1, |_| {});
    assert_eq!(w.ask("warm"), Outcome::Served);
    let prefill = &w.prefills()[0].engine.behaviour;
    prefill.loses_answers.store(true, Relaxed);
    // A node counts what it watches within half a second.
    prefill.work_ms.store(900, Relaxed);
    let asked = w.ask_in_background("lost");
    w.drain(0);
    let outcome = asked.join().unwrap();
    assert!(!matches!(outcome, Outcome::Silent | Outcome::Closed), "no final answer: {outcome:?}");
    assert_eq!(prefill.attempts.load(Relaxed), 2, "the prefill has run once");
    w.assert_kept();
}

/// Attempts that never arrive and break after a while do not give a reservation time anew, however many there are.
#[test]
fn attempts_that_break_without_a_sign_do_not_renew_a_reservation() {
    let w = World::start(103, 1, 3, |all| all["settings"]["limits"]["most_tries"] = 6.into());
    assert_eq!(w.ask("warm"), Outcome::Served);
    w.decodes().iter().for_each(|d| d.proxy.silence(true));
    let proxies: Vec<_> = w.decodes().iter().map(|d| d.proxy.clone()).collect();
    let breaking = std::thread::spawn(move || {
        let until = Instant::now() + ms(3500);
        while Instant::now() < until {
            sleep(ms(300));
            proxies.iter().for_each(|p| p.break_open());
        }
    });
    let outcome = w.ask("breaks");
    breaking.join().unwrap();
    assert!(!matches!(outcome, Outcome::Silent | Outcome::Closed), "no final answer: {outcome:?}");
    w.assert_kept();
}

/// A decode attempt that has arrived keeps its reservation however long it waits there: it is served, late as it is.
#[test]
fn a_decode_attempt_that_waits_at_its_engine_keeps_its_reservation() {
    let w = World::start(104, 1, 1, |_| {});
    w.decodes()[0].engine.behaviour.work_ms.store(950, Relaxed);
    assert_eq!(w.ask("queued"), Outcome::Served);
    w.assert_kept();
}

/// Told to end, a node leaves nothing reserved, whatever it still had out.
#[test]
fn a_node_that_is_told_to_end_leaves_nothing_reserved() {
    let mut w = World::start(105, 1, 1, |_| {});
    w.decodes()[0].engine.behaviour.hangs.store(true, Relaxed);
    let asked = w.ask_in_background("hangs");
    let until = Instant::now() + LONG;
    while w.decodes()[0].engine.behaviour.attempts.load(Relaxed) == 0 {
        assert!(Instant::now() < until, "never sent");
        sleep(ms(5));
    }
    w.terminate();
    let outcome = asked.join().unwrap();
    assert!(!matches!(outcome, Outcome::Silent | Outcome::Closed), "no final answer: {outcome:?}");
    w.wait_for_end();
    assert!(!w.table.is_reserved("hangs"));
    w.assert_kept();
}
