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
use nickelgw_test_servers::platform::Outcome;
use rustix::process::Signal;
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
        assert_eq!(w.ask("warm"), Outcome::Completed);
        w.decodes()[0].proxy.silence_connections();
        let outcome = w.ask("silent");
        assert!(
            !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
            "no final answer: {outcome:?}"
        );
        w.assert_kept();
    }
}

/// A prefill ends well and its connection breaks in the same moment, and its engine was told to drain meanwhile: the request
/// waits in the queue for one that may take it.
#[test]
fn what_a_prefill_left_whose_answer_was_lost_is_released_in_time() {
    let w = World::start(102, 1, 1, |_| {});
    assert_eq!(w.ask("warm"), Outcome::Completed);
    let prefill = &w.prefills()[0].engine.behaviour;
    prefill.loses_responses.store(true, Relaxed);
    // A node counts what it watches within half a second.
    prefill.work_ms.store(900, Relaxed);
    let asked = w.ask_in_background("lost");
    w.drain(0);
    let outcome = asked.join().unwrap();
    assert!(
        !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
        "no final answer: {outcome:?}"
    );
    assert_eq!(prefill.attempts.load(Relaxed), 2, "the prefill has run once");
    w.assert_kept();
}

/// Attempts that never arrive and break after a while do not give a reservation time anew, however many there are.
#[test]
fn attempts_that_break_without_a_sign_do_not_renew_a_reservation() {
    let w = World::start(103, 1, 3, |all| all["settings"]["limits"]["most_tries"] = 6.into());
    assert_eq!(w.ask("warm"), Outcome::Completed);
    w.decodes().iter().for_each(|d| d.proxy.silence(true));
    let proxies: Vec<_> = w.decodes().iter().map(|d| d.proxy.clone()).collect();
    let breaking = std::thread::spawn(move || {
        let until = Instant::now() + ms(3500);
        while Instant::now() < until {
            sleep(ms(300));
            proxies.iter().for_each(|p| p.break_connections());
        }
    });
    let outcome = w.ask("breaks");
    breaking.join().unwrap();
    assert!(
        !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
        "no final answer: {outcome:?}"
    );
    w.assert_kept();
}

/// A decode attempt that has arrived keeps its reservation however long it waits there: it is served, late as it is.
#[test]
fn a_decode_attempt_that_waits_at_its_engine_keeps_its_reservation() {
    let w = World::start(104, 1, 1, |_| {});
    w.decodes()[0].engine.behaviour.work_ms.store(950, Relaxed);
    assert_eq!(w.ask("queued"), Outcome::Completed);
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
    assert!(
        !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
        "no final answer: {outcome:?}"
    );
    w.wait_for_end();
    assert!(!w.table.is_reserved("hangs"));
    w.assert_kept();
}

/// System calls that fail for a moment, short reads and writes, a wall clock that steps by an hour: no matter.
#[test]
fn failing_system_calls_and_a_stepping_clock_cost_no_request() {
    let faults = world::shim();
    let w = World::start_with(
        106,
        2,
        2,
        |_| {},
        |c| {
            c.env("LD_PRELOAD", &faults).env("FAULTS_EVERY", "7").env("FAULTS_STEP_S", "3600");
        },
    );
    let outcomes: Vec<Outcome> = (0..30).map(|k| w.ask(&format!("shim{k}"))).collect();
    let served = outcomes.iter().filter(|o| **o == Outcome::Completed).count();
    assert!(served >= 29, "{outcomes:?}\n{}", w.log());
    w.assert_kept();
}

/// All open connections fall silent while the prefill's answer is on its way back: release calls find new ones.
#[test]
fn a_release_gets_through_though_every_open_connection_is_silent() {
    let w = World::start(107, 1, 3, |_| {});
    for k in 0..6 {
        assert_eq!(w.ask(&format!("warm{k}")), Outcome::Completed);
    }
    w.prefills()[0].engine.behaviour.work_ms.store(300, Relaxed);
    let asked = w.ask_in_background("silent");
    sleep(ms(200));
    w.decodes().iter().for_each(|d| d.proxy.silence_connections());
    sleep(ms(120));
    w.prefills()[0].proxy.silence_connections();
    let outcome = asked.join().unwrap();
    assert!(
        !matches!(outcome, Outcome::TimedOut | Outcome::ConnectionClosed | Outcome::ConnectionRefused),
        "no final answer: {outcome:?}"
    );
    w.assert_kept();
}

/// The process is held up for 0.15 s as the lease is about to end.
#[test]
fn a_node_that_is_held_up_releases_in_time() {
    let w = World::start(108, 1, 1, |_| {});
    assert_eq!(w.ask("warm"), Outcome::Completed);
    w.decodes()[0].proxy.silence_connections();
    let asked = w.ask_in_background("held-up");
    sleep(ms(350));
    w.signal(Signal::STOP);
    sleep(ms(150));
    w.signal(Signal::CONT);
    asked.join().unwrap();
    w.assert_kept();
}

/// An engine that has left the list may still run: what stands there is released through another one.
#[test]
fn what_stands_at_an_engine_that_left_the_list_is_released() {
    let w = World::start(109, 1, 1, |_| {});
    assert_eq!(w.ask("warm"), Outcome::Completed);
    w.decodes()[0].proxy.silence_connections();
    let asked = w.ask_in_background("delisted");
    w.tell(|list| drop(list["instances"].as_array_mut().unwrap().remove(0)));
    asked.join().unwrap();
    w.assert_kept();
}

/// No engine can be reached for longer than any call is worth; then they are back, and are told.
#[test]
fn what_stands_is_released_when_engines_are_back() {
    let w = World::start(110, 1, 1, |_| {});
    assert_eq!(w.ask("warm"), Outcome::Completed);
    // The prefill ends well before its client leaves, which ends the attempt.
    w.prefills()[0].engine.behaviour.work_ms.store(200, Relaxed);
    let asked = w.ask_and_leave("away", Some(ms(400)));
    sleep(ms(100));
    // The prefill ends well behind a connection that tells nobody, and no call gets through.
    for p in w.prefills().into_iter().chain(w.decodes()) {
        p.proxy.silence(true);
        p.proxy.refuse(true);
    }
    asked.join().unwrap();
    sleep(ms(4000));
    assert!(w.table.is_reserved("away"), "nothing stood there");
    w.prefills().into_iter().chain(w.decodes()).for_each(|p| p.proxy.heal());
    let until = Instant::now() + ms(1500);
    while w.table.is_reserved("away") {
        assert!(Instant::now() < until, "not released after their return");
        sleep(ms(10));
    }
}

/// A client leaves, or a new configuration comes, while an attempt goes into a silent connection.
#[test]
fn leaving_and_reloading_do_not_keep_a_reservation() {
    for (n, reload) in [(111, false), (112, true)] {
        let w = World::start(n, 1, 1, |_| {});
        assert_eq!(w.ask("warm"), Outcome::Completed);
        w.decodes()[0].proxy.silence_connections();
        let asked = w.ask_and_leave("leaves", (!reload).then(|| ms(150)));
        sleep(ms(100));
        if reload {
            w.signal(Signal::HUP);
        }
        asked.join().unwrap();
        w.assert_kept();
    }
}
