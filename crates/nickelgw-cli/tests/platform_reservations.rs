//! KV reservations under faults, on real processes: a node behind fault proxies to stand-in engines, which judge how long
//! a reservation stood with no attempt of its request at an engine.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
mod processes;
#[path = "platform_reservations/world.rs"]
mod world;

use common::TEST_TIMEOUT;
use nickelgw_test_servers::platform::Outcome;
use rustix::process::Signal;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};
use world::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A decode attempt on a connection that had fallen silent kept its reservation until the client's deadline.
#[test]
fn decode_attempt_on_a_silent_connection_does_not_keep_its_reservation() {
    for probes in [false, true] {
        let world = World::start(100 + u8::from(probes), 1, 1, |config| {
            config["settings"]["limits"]["probes"] = probes.into()
        });
        assert_eq!(world.request("warm"), Outcome::Completed);
        world.decodes()[0].proxy.silence_connections();
        let outcome = world.request("silent");
        world.assert_final_answer(outcome);
        world.assert_no_violation();
    }
}

/// A prefill succeeds as its connection breaks and its engine drains: the request waits for another engine.
#[test]
fn reservation_of_a_prefill_with_a_lost_response_is_released_in_time() {
    let world = World::start(102, 1, 1, |_| {});
    assert_eq!(world.request("warm"), Outcome::Completed);
    let prefill = &world.prefills()[0].engine.behaviour;
    prefill.loses_responses.store(true, Relaxed);
    // A node counts what it watches within half a second.
    prefill.work_ms.store(900, Relaxed);
    let pending = world.request_in_background("lost");
    world.drain(0);
    let outcome = pending.join().unwrap();
    world.assert_final_answer(outcome);
    assert_eq!(prefill.attempts.load(Relaxed), 2, "the prefill has run once");
    world.assert_no_violation();
}

/// Attempts that never arrive and break after a while do not renew a reservation, however many there are.
#[test]
fn attempts_that_break_without_a_response_do_not_renew_a_reservation() {
    let world = World::start(103, 1, 3, |config| config["settings"]["limits"]["most_tries"] = 6.into());
    assert_eq!(world.request("warm"), Outcome::Completed);
    world.decodes().iter().for_each(|decode| decode.proxy.silence(true));
    let proxies: Vec<_> = world.decodes().iter().map(|decode| decode.proxy.clone()).collect();
    let breaking = std::thread::spawn(move || {
        let deadline = Instant::now() + ms(3500);
        while Instant::now() < deadline {
            sleep(ms(300));
            proxies.iter().for_each(|proxy| proxy.break_connections());
        }
    });
    let outcome = world.request("breaks");
    breaking.join().unwrap();
    world.assert_final_answer(outcome);
    world.assert_no_violation();
}

/// A decode attempt that has arrived keeps its reservation however long it waits there: it is served, late as it is.
#[test]
fn decode_attempt_that_waits_at_its_engine_keeps_its_reservation() {
    let world = World::start(104, 1, 1, |_| {});
    world.decodes()[0].engine.behaviour.work_ms.store(950, Relaxed);
    assert_eq!(world.request("queued"), Outcome::Completed);
    world.assert_no_violation();
}

/// A node that shuts down leaves nothing reserved, whatever attempts were under way.
#[test]
fn shutdown_leaves_nothing_reserved() {
    let mut world = World::start(105, 1, 1, |_| {});
    world.decodes()[0].engine.behaviour.hangs.store(true, Relaxed);
    let pending = world.request_in_background("hangs");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while world.decodes()[0].engine.behaviour.attempts.load(Relaxed) == 0 {
        assert!(Instant::now() < deadline, "never sent");
        sleep(ms(5));
    }
    world.terminate();
    let outcome = pending.join().unwrap();
    world.assert_final_answer(outcome);
    world.wait_for_end();
    assert!(!world.table.is_reserved("hangs"));
    world.assert_no_violation();
}

/// System calls that fail for a moment, short reads and writes, a wall clock that steps by an hour: no matter.
#[test]
fn failing_system_calls_and_a_stepping_clock_cost_no_request() {
    let faults = world::shim();
    let world = World::start_with(
        106,
        2,
        2,
        |_| {},
        |process| {
            process.env("LD_PRELOAD", &faults).env("FAULTS_EVERY", "7").env("FAULTS_STEP_S", "3600");
        },
    );
    let outcomes: Vec<Outcome> = (0..30).map(|number| world.request(&format!("shim{number}"))).collect();
    let served = outcomes.iter().filter(|outcome| **outcome == Outcome::Completed).count();
    assert!(served >= 29, "{outcomes:?}\n{}", world.log());
    world.assert_no_violation();
}

/// All open connections fall silent while the prefill's answer is on its way back: release calls find new ones.
#[test]
fn release_succeeds_though_every_open_connection_is_silent() {
    let world = World::start(107, 1, 3, |_| {});
    for number in 0..6 {
        assert_eq!(world.request(&format!("warm{number}")), Outcome::Completed);
    }
    world.prefills()[0].engine.behaviour.work_ms.store(300, Relaxed);
    let pending = world.request_in_background("silent");
    sleep(ms(200));
    world.decodes().iter().for_each(|decode| decode.proxy.silence_connections());
    sleep(ms(120));
    world.prefills()[0].proxy.silence_connections();
    let outcome = pending.join().unwrap();
    world.assert_final_answer(outcome);
    world.assert_no_violation();
}

/// The process is held up for 0.15 s as the lease is about to end.
#[test]
fn suspended_node_releases_in_time() {
    let world = World::start(108, 1, 1, |_| {});
    assert_eq!(world.request("warm"), Outcome::Completed);
    world.decodes()[0].proxy.silence_connections();
    let pending = world.request_in_background("held-up");
    sleep(ms(350));
    world.signal(Signal::STOP);
    sleep(ms(150));
    world.signal(Signal::CONT);
    pending.join().unwrap();
    world.assert_no_violation();
}

/// An engine that was removed from the list may still run: what is reserved there is released through another one.
#[test]
fn reservation_at_a_removed_engine_is_released() {
    let world = World::start(109, 1, 1, |_| {});
    assert_eq!(world.request("warm"), Outcome::Completed);
    world.decodes()[0].proxy.silence_connections();
    let pending = world.request_in_background("delisted");
    world.announce(|list| drop(list["instances"].as_array_mut().unwrap().remove(0)));
    pending.join().unwrap();
    world.assert_no_violation();
}

/// No engine can be reached for longer than any timeout; then they recover, and the release reaches them.
#[test]
fn reservation_is_released_when_engines_recover() {
    let world = World::start(110, 1, 1, |_| {});
    assert_eq!(world.request("warm"), Outcome::Completed);
    // The prefill ends well before its client leaves, which ends the attempt.
    world.prefills()[0].engine.behaviour.work_ms.store(200, Relaxed);
    let pending = world.request_and_disconnect("away", Some(ms(400)));
    sleep(ms(100));
    // The prefill ends well behind a connection that tells nobody, and no call gets through.
    for proxied in world.prefills().into_iter().chain(world.decodes()) {
        proxied.proxy.silence(true);
        proxied.proxy.refuse(true);
    }
    pending.join().unwrap();
    sleep(ms(4000));
    assert!(world.table.is_reserved("away"), "nothing was reserved there");
    world.prefills().into_iter().chain(world.decodes()).for_each(|proxied| proxied.proxy.heal());
    let deadline = Instant::now() + ms(1500);
    while world.table.is_reserved("away") {
        assert!(Instant::now() < deadline, "not released after their recovery");
        sleep(ms(10));
    }
}

/// A client disconnects, or the configuration is reloaded, while an attempt is written to a silent connection.
#[test]
fn disconnect_and_reload_do_not_keep_a_reservation() {
    for (n, reload) in [(111, false), (112, true)] {
        let world = World::start(n, 1, 1, |_| {});
        assert_eq!(world.request("warm"), Outcome::Completed);
        world.decodes()[0].proxy.silence_connections();
        let pending = world.request_and_disconnect("leaves", (!reload).then(|| ms(150)));
        sleep(ms(100));
        if reload {
            world.signal(Signal::HUP);
        }
        pending.join().unwrap();
        world.assert_no_violation();
    }
}

/// Release calls kept engines too busy to confirm them, and so went on after the faults that began them (release-storm.md).
#[test]
fn many_releases_at_once_end_within_a_second_of_the_faults() {
    let world = World::start(113, 2, 2, |_| {});
    for number in 0..4 {
        assert_eq!(world.request(&format!("warm{number}")), Outcome::Completed);
    }
    let engines: Vec<_> = world.prefills().into_iter().chain(world.decodes()).collect();
    engines.iter().for_each(|proxied| proxied.engine.behaviour.connection_work_ms.store(20, Relaxed));
    for prefill in world.prefills() {
        prefill.engine.behaviour.work_ms.store(600, Relaxed);
        prefill.engine.behaviour.loses_responses.store(true, Relaxed);
    }
    let pending: Vec<_> = (0..200)
        .map(|number| {
            sleep(ms(3));
            world.request_in_background(&format!("many{number}"))
        })
        .collect();
    sleep(ms(1200));
    let reserved: u64 =
        world.prefills().iter().map(|prefill| prefill.engine.behaviour.attempts.load(Relaxed)).sum();
    assert!(reserved > 60, "only {reserved} prefills");
    for prefill in world.prefills() {
        prefill.engine.behaviour.work_ms.store(10, Relaxed);
        prefill.engine.behaviour.loses_responses.store(false, Relaxed);
    }
    let release_calls = || -> u64 {
        engines.iter().map(|proxied| proxied.engine.behaviour.release_calls.load(Relaxed)).sum()
    };
    sleep(ms(1000));
    let calls = release_calls();
    sleep(ms(500));
    assert_eq!(release_calls(), calls, "release calls go on");
    assert_eq!(world.request("after"), Outcome::Completed);
    pending.into_iter().for_each(|client| world.assert_final_answer(client.join().unwrap()));
    world.assert_no_violation();
}
