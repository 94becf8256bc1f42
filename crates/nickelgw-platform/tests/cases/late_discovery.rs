//! Discovery that responds late, slowly, or to one call at a time.

use crate::common::*;
use crate::discovery::*;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

/// Regression test: a node gave up each call whose response came later than the timeout that it derives from
/// the time to stop dispatching, and repeated the call with the same timeout; it never received a list again.
#[test_case(0.25, 0.1, 0.0; "late by less than the time to stop dispatching")]
#[test_case(0.25, 0.6, 0.0; "late by more than the time to stop dispatching")]
#[test_case(0.25, 1.8, 0.0; "late by seconds")]
#[test_case(2.0, 0.4, 0.0; "late with a longer time to stop dispatching")]
#[test_case(2.0, 1.8, 0.0; "late by nearly the longer time to stop dispatching")]
#[test_case(1.0, 0.0, 1.8; "with a body that takes seconds")]
fn change_is_applied_though_all_responses_of_discovery_are_late(limit_s: f64, delay_s: f64, transfer_s: f64) {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    let discovery_peer = discovery(&shared);
    let node = drain.start_node_with_limit(&discovery_peer, None, limit_s);
    discovery_peer.wait_for("GET /v1/servers?since=");
    {
        let mut agent = shared.lock().unwrap();
        agent.delay = Duration::from_secs_f64(delay_s);
        agent.transfer_time = Duration::from_secs_f64(transfer_s);
    }
    // Several responses are late before the change.
    sleep(Duration::from_secs(2));
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < MAX_DELAY_S);
}

/// Like the test above, after an outage: the calls that discovery accepted during the outage are never
/// answered, and after its recovery all responses are late.
#[test_case(0.25, 0.1)]
#[test_case(0.25, 1.5)]
#[test_case(2.0, 1.5)]
fn change_is_applied_though_responses_are_late_after_an_outage(limit_s: f64, delay_s: f64) {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    shared.lock().unwrap().unanswered_lists = usize::MAX;
    let node = drain.start_node_with_limit(&discovery(&shared), None, limit_s);
    sleep(Duration::from_secs(4));
    announce_drain(&shared, &drain);
    {
        let mut agent = shared.lock().unwrap();
        (agent.unanswered_lists, agent.delay) = (0, Duration::from_secs_f64(delay_s));
    }
    assert!(drain.seconds_until_applied(&node) < MAX_DELAY_S);
}

/// A crowded agent answers one call at a time, and works on calls that were given up too.
#[test_case(0.25, 0.1)]
#[test_case(2.0, 0.5)]
fn change_is_applied_though_discovery_answers_one_call_at_a_time(limit_s: f64, response_time_s: f64) {
    let drain = drain_scenario();
    let shared = new_agent(drain.before.clone());
    let (agent, turn) = (shared.clone(), Mutex::new(()));
    let discovery_peer = peer(move |request, _| {
        let _turn = turn.lock().unwrap();
        respond(&agent, request)
    });
    let node = drain.start_node_with_limit(&discovery_peer, None, limit_s);
    discovery_peer.wait_for("GET /v1/servers?since=");
    shared.lock().unwrap().delay = Duration::from_secs_f64(response_time_s);
    sleep(Duration::from_secs(2));
    announce_drain(&shared, &drain);
    assert!(drain.seconds_until_applied(&node) < MAX_DELAY_S);
}
