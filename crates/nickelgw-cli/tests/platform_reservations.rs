//! Tests of KV reservations under faults: a node's process behind fault proxies to test engines, which
//! measure how long a reservation exists with no attempt of its request at an engine.

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

/// A decode attempt on a connection that had become silent kept its reservation until the client's deadline.
#[test]
fn decode_attempt_on_a_silent_connection_does_not_keep_its_reservation() {
    for probes in [false, true] {
        let site = TestSite::start(100 + u8::from(probes), 1, 1, |config| {
            config["settings"]["limits"]["probes"] = probes.into()
        });
        assert_eq!(site.request("warm"), Outcome::Completed);
        site.decode_engines()[0].proxy.silence_connections();
        let outcome = site.request("silent");
        site.assert_final_answer(outcome);
        site.assert_no_violation();
    }
}

/// The response of a prefill that succeeds is lost as its connection breaks, and its engine drains: the
/// request waits for another engine, and the reservation must be released meanwhile.
#[test]
fn reservation_of_a_prefill_with_a_lost_response_is_released_in_time() {
    let site = TestSite::start(102, 1, 1, |_| {});
    assert_eq!(site.request("warm"), Outcome::Completed);
    let prefill = &site.prefill_engines()[0].engine.behaviour;
    prefill.loses_responses.store(true, Relaxed);
    // The drain reaches the node within half a second, that is, before the prefill ends.
    prefill.work_ms.store(900, Relaxed);
    let pending = site.request_in_background("lost");
    site.drain(0);
    let outcome = pending.join().unwrap();
    site.assert_final_answer(outcome);
    assert_eq!(
        prefill.attempts.load(Relaxed),
        2,
        "the prefill engine must get exactly one attempt for each of the two requests"
    );
    site.assert_no_violation();
}

/// Attempts that never arrive and whose connections break after a while must not extend a reservation,
/// however many there are.
#[test]
fn attempts_that_break_without_a_response_do_not_extend_a_reservation() {
    let site = TestSite::start(103, 1, 3, |config| config["settings"]["limits"]["most_tries"] = 6.into());
    assert_eq!(site.request("warm"), Outcome::Completed);
    site.decode_engines().iter().for_each(|decode| decode.proxy.silence(true));
    let proxies: Vec<_> = site.decode_engines().iter().map(|decode| decode.proxy.clone()).collect();
    let breaking = std::thread::spawn(move || {
        let deadline = Instant::now() + ms(3500);
        while Instant::now() < deadline {
            sleep(ms(300));
            proxies.iter().for_each(|proxy| proxy.break_connections());
        }
    });
    let outcome = site.request("breaks");
    breaking.join().unwrap();
    site.assert_final_answer(outcome);
    site.assert_no_violation();
}

/// A decode attempt that has arrived keeps its reservation however long it waits at the engine, and is served
/// late.
#[test]
fn decode_attempt_that_waits_at_its_engine_keeps_its_reservation() {
    let site = TestSite::start(104, 1, 1, |_| {});
    site.decode_engines()[0].engine.behaviour.work_ms.store(950, Relaxed);
    assert_eq!(site.request("queued"), Outcome::Completed);
    site.assert_no_violation();
}

/// A node that shuts down must leave no reservation, even if an attempt is in progress at an engine that
/// hangs.
#[test]
fn shutdown_leaves_nothing_reserved() {
    let mut site = TestSite::start(105, 1, 1, |_| {});
    site.decode_engines()[0].engine.behaviour.hangs.store(true, Relaxed);
    let pending = site.request_in_background("hangs");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while site.decode_engines()[0].engine.behaviour.attempts.load(Relaxed) == 0 {
        assert!(Instant::now() < deadline, "no attempt arrived at the decode engine within TEST_TIMEOUT");
        sleep(ms(5));
    }
    site.terminate();
    let outcome = pending.join().unwrap();
    site.assert_final_answer(outcome);
    site.wait_for_exit();
    assert!(!site.table.is_reserved("hangs"));
    site.assert_no_violation();
}

/// Starts a site whose node has system calls that fail temporarily, short reads and writes, and a wall clock that steps by
/// an hour.
fn site_with_failing_system_calls(address_byte: u8) -> TestSite {
    let faults = world::build_fault_library();
    let set_faults = |process: &mut std::process::Command| {
        process.env("LD_PRELOAD", &faults).env("FAULTS_EVERY", "7").env("FAULTS_STEP_S", "3600");
    };
    TestSite::start_with(address_byte, 2, 2, |_| {}, set_faults)
}

/// System calls that fail temporarily, short reads and writes, and a wall clock that steps by an hour must
/// not fail requests.
#[test]
fn requests_succeed_despite_failing_system_calls_and_a_stepping_clock() {
    let site = site_with_failing_system_calls(106);
    let outcomes: Vec<Outcome> = (0..30).map(|number| site.request(&format!("shim{number}"))).collect();
    let served = outcomes.iter().filter(|outcome| **outcome == Outcome::Completed).count();
    assert!(served >= 29, "{outcomes:?}\n{}", site.log());
    site.assert_no_violation();
}

/// The same while a quarter of the streams fall short: none of them is taken for a whole one, and the others are served.
#[test]
fn short_streams_are_told_from_whole_ones_despite_failing_system_calls() {
    const REQUESTS: usize = 64;
    let site = site_with_failing_system_calls(116);
    for proxied in site.decode_engines() {
        proxied.engine.behaviour.falls_short.store(true, Relaxed);
    }
    let outcomes: Vec<Outcome> =
        (0..REQUESTS).map(|number| site.request(&format!("short{number:02}"))).collect();
    let count = |wanted: &Outcome| outcomes.iter().filter(|outcome| *outcome == wanted).count();
    let (served, broken) = (count(&Outcome::Completed), count(&Outcome::StreamBroken));
    assert!(served >= REQUESTS / 2 && broken > 0, "{outcomes:?}\n{}", site.log());
    assert!(served + broken + 1 >= REQUESTS, "{outcomes:?}\n{}", site.log());
}

/// All open connections become silent while the prefill's response is on its way back: release calls must use
/// new connections.
#[test]
fn release_succeeds_though_every_open_connection_is_silent() {
    let site = TestSite::start(107, 1, 3, |_| {});
    for number in 0..6 {
        assert_eq!(site.request(&format!("warm{number}")), Outcome::Completed);
    }
    site.prefill_engines()[0].engine.behaviour.work_ms.store(300, Relaxed);
    let pending = site.request_in_background("silent");
    sleep(ms(200));
    site.decode_engines().iter().for_each(|decode| decode.proxy.silence_connections());
    sleep(ms(120));
    site.prefill_engines()[0].proxy.silence_connections();
    let outcome = pending.join().unwrap();
    site.assert_final_answer(outcome);
    site.assert_no_violation();
}

/// The process is suspended for 0.15 s shortly before the lease ends.
#[test]
fn suspended_node_releases_in_time() {
    let site = TestSite::start(108, 1, 1, |_| {});
    assert_eq!(site.request("warm"), Outcome::Completed);
    site.decode_engines()[0].proxy.silence_connections();
    let pending = site.request_in_background("held-up");
    sleep(ms(350));
    site.signal(Signal::STOP);
    sleep(ms(150));
    site.signal(Signal::CONT);
    pending.join().unwrap();
    site.assert_no_violation();
}

/// An engine that was removed from the list may still run: its reservation must be released through another
/// engine.
#[test]
fn reservation_at_a_removed_engine_is_released() {
    let site = TestSite::start(109, 1, 1, |_| {});
    assert_eq!(site.request("warm"), Outcome::Completed);
    site.decode_engines()[0].proxy.silence_connections();
    let pending = site.request_in_background("delisted");
    site.announce(|list| drop(list["instances"].as_array_mut().unwrap().remove(0)));
    pending.join().unwrap();
    site.assert_no_violation();
}

/// No engine can be reached for longer than any timeout. After the engines recover, the release must reach
/// them.
#[test]
fn reservation_is_released_when_engines_recover() {
    let site = TestSite::start(110, 1, 1, |_| {});
    assert_eq!(site.request("warm"), Outcome::Completed);
    // The prefill ends well before its client disconnects, which ends the attempt.
    site.prefill_engines()[0].engine.behaviour.work_ms.store(200, Relaxed);
    let pending = site.request_and_disconnect("away", Some(ms(400)));
    sleep(ms(100));
    // The prefill succeeds, but its response does not get through the silent connection, and neither does any
    // other call.
    for proxied in site.prefill_engines().into_iter().chain(site.decode_engines()) {
        proxied.proxy.silence(true);
        proxied.proxy.refuse(true);
    }
    pending.join().unwrap();
    sleep(ms(4000));
    assert!(
        site.table.is_reserved("away"),
        "the prefill made no reservation, or it was released while no engine could be reached"
    );
    site.prefill_engines().into_iter().chain(site.decode_engines()).for_each(|proxied| proxied.proxy.heal());
    let deadline = Instant::now() + ms(1500);
    while site.table.is_reserved("away") {
        assert!(
            Instant::now() < deadline,
            "the reservation was not released within 1.5 s of the engines' recovery"
        );
        sleep(ms(10));
    }
}

/// A client disconnects, or the configuration is reloaded, while an attempt is in progress on a silent
/// connection.
#[test]
fn disconnect_and_reload_do_not_keep_a_reservation() {
    for (n, reload) in [(111, false), (112, true)] {
        let site = TestSite::start(n, 1, 1, |_| {});
        assert_eq!(site.request("warm"), Outcome::Completed);
        site.decode_engines()[0].proxy.silence_connections();
        let pending = site.request_and_disconnect("leaves", (!reload).then(|| ms(150)));
        sleep(ms(100));
        if reload {
            site.signal(Signal::HUP);
        }
        pending.join().unwrap();
        site.assert_no_violation();
    }
}

/// Release calls kept engines too busy to confirm them, and were therefore repeated after the faults that
/// caused them had ended (docs/incidents/release-storm.md).
#[test]
fn many_releases_at_once_end_within_a_second_of_the_faults() {
    let site = TestSite::start(113, 2, 2, |_| {});
    for number in 0..4 {
        assert_eq!(site.request(&format!("warm{number}")), Outcome::Completed);
    }
    let engines: Vec<_> = site.prefill_engines().into_iter().chain(site.decode_engines()).collect();
    engines.iter().for_each(|proxied| proxied.engine.behaviour.connection_work_ms.store(20, Relaxed));
    for prefill in site.prefill_engines() {
        prefill.engine.behaviour.work_ms.store(600, Relaxed);
        prefill.engine.behaviour.loses_responses.store(true, Relaxed);
    }
    let pending: Vec<_> = (0..200)
        .map(|number| {
            sleep(ms(3));
            site.request_in_background(&format!("many{number}"))
        })
        .collect();
    sleep(ms(1200));
    let reserved: u64 =
        site.prefill_engines().iter().map(|prefill| prefill.engine.behaviour.attempts.load(Relaxed)).sum();
    assert!(reserved > 60, "only {reserved} prefills arrived");
    for prefill in site.prefill_engines() {
        prefill.engine.behaviour.work_ms.store(10, Relaxed);
        prefill.engine.behaviour.loses_responses.store(false, Relaxed);
    }
    let release_calls = || -> u64 {
        engines.iter().map(|proxied| proxied.engine.behaviour.release_calls.load(Relaxed)).sum()
    };
    sleep(ms(1000));
    let calls = release_calls();
    sleep(ms(500));
    assert_eq!(release_calls(), calls, "release calls continue more than 1 s after the faults");
    assert_eq!(site.request("after"), Outcome::Completed);
    pending.into_iter().for_each(|client| site.assert_final_answer(client.join().unwrap()));
    site.assert_no_violation();
}
