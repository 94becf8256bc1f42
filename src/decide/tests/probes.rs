//! Probes and their results.

use super::*;
use test_case::test_case;

/// Guards against treating busy prefill engines as dead where probes queue like requests: the attempts there
/// were cancelled.
#[test_case(1.0, Outcome::TimedOut, false; "a queue explains the missing answer")]
#[test_case(0.0, Outcome::TimedOut, true; "nothing explains the missing answer")]
#[test_case(0.0, Outcome::Rejected, false; "a full engine is reachable")]
fn an_unanswered_probe_is_unreachable_only_without_a_queue(
    reported_wait_s: f64,
    outcome: Outcome,
    is_unreachable: bool,
) {
    let mut router = new_router(Idempotency::Idempotent);
    (router.engines[0].reported_wait_s, router.engines[0].probed_at) = (reported_wait_s, NOW - 0.25);
    router.probe_finished(NOW, "r0", outcome, None);
    assert_eq!(router.engines[0].unreachable_at == NOW, is_unreachable);
}

/// Guards against rejecting requests because of old reports of full decode engines: without probes this
/// continued long after the engines had room.
#[test]
fn stale_engines_are_probed_before_anything_is_rejected() {
    let mut router = loose_objective_under_overload();
    router
        .engines
        .iter_mut()
        .for_each(|engine| (engine.reported_at, engine.probed_at) = (NOW - 60.0, NOW - 60.0));
    let decisions = router.decide(NOW);
    assert!(decisions.rejected.is_empty() && decisions.probes.iter().any(|engine| engine.0 < 2));
}

/// Guards against never probing decode engines when the round of decisions comes a moment after the arrival,
/// as it does with sockets: an idle node of 300 estimated from its own stream that the fleet was full, and
/// held the next requests for seconds.
#[test]
fn an_arrival_probes_decode_engines_however_late_the_decisions() {
    let mut router = new_router(Idempotency::Idempotent);
    router
        .engines
        .iter_mut()
        .for_each(|engine| (engine.reported_at, engine.probed_at) = (NOW - 60.0, NOW - 60.0));
    router.admit_request(NOW, &arrival());
    let decisions = router.decide(NOW + 0.001);
    assert!(decisions.probes.iter().any(|engine| engine.0 >= 2));
}

#[test]
fn a_zone_probe_picks_the_engine_with_the_oldest_report() {
    let mut router = new_router(Idempotency::Idempotent);
    router.engines[2].reported_at = NOW - 5.0;
    router.set_zone_weight(0, 0.0);
    router.probe_zone(NOW, 0);
    assert_eq!(router.decisions.probes, [EngineHandle(2)]);
}
