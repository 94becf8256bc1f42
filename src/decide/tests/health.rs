//! Failing and unreachable engines.

use super::*;
use test_case::test_case;

/// Releases were tried at the first engines listed, all in the zone that was cut off.
#[test]
fn engines_are_ordered_by_their_last_response() {
    let mut router = new_router(Idempotency::Idempotent);
    (router.engines[0].unreachable_at, router.engines[3].unreachable_at) = (NOW, NOW);
    (router.engines[1].last_response_at, router.engines[4].last_response_at) = (NOW - 2.0, NOW - 1.0);
    let order = |router: &Router| {
        router.engines_by_last_response("r0", 3).iter().map(|engine| engine.0).collect::<Vec<_>>()
    };
    assert_eq!(order(&router), [4, 1, 2]);
    router.engines[0].last_response_at = NOW + 1.0;
    assert_eq!(order(&router), [0, 4, 1], "the preferred engine, while it responds");
}

#[test]
fn each_unreachable_probe_delays_availability_further() {
    let mut router = new_router(Idempotency::Idempotent);
    router.record_unreachable(NOW, 0);
    let first = router.engines[0].available_at;
    router.record_unreachable(NOW, 0);
    assert!(first > NOW && router.engines[0].available_at > first);
}

/// Lost answers at most of a fleet held it all off, and everything was rejected.
#[test_case(&[2], 3; "a failing decode engine is passed over")]
#[test_case(&[2, 3, 4], 2; "all failing alike are used as before")]
fn failures_make_a_worse_choice_but_exclude_no_engine(failing: &[usize], engine: u32) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { reservation: Some(0), ..request(Stage::Reserved) });
    failing.iter().for_each(|&engine| router.record_failure(NOW, engine));
    assert_eq!(engines_of(&router.decide(NOW)), [engine]);
}

/// After a cut zone healed, its engines stayed held off for seconds.
#[test_case(NOW - 1.0, NOW; "silence has ended")]
#[test_case(NOW - 9.0, NOW + 5.0; "errors go on")]
fn a_response_ends_only_the_hold_off_of_an_unreachable_engine(unreachable_at: f64, available_at: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    (router.engines[0].unreachable_at, router.engines[0].last_response_at, router.engines[0].available_at) =
        (unreachable_at, NOW - 2.0, NOW + 5.0);
    router.record_response(NOW, 0);
    assert_eq!(router.engines[0].available_at, available_at);
}
