//! Failing and unreachable engines.

use super::*;
use test_case::test_case;

/// Guards against trying release calls at the first engines listed when all of these are in a zone that is
/// cut off.
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
    assert_eq!(order(&router), [0, 4, 1], "the preferred engine comes first while it responds");
}

#[test]
fn each_unreachable_probe_delays_availability_further() {
    let mut router = new_router(Idempotency::Idempotent);
    router.record_unreachable(NOW, 0);
    let first = router.engines[0].available_at;
    router.record_unreachable(NOW, 0);
    assert!(first > NOW && router.engines[0].available_at > first);
}

/// Guards against excluding engines for failures: when most of a fleet lost responses, all engines were held
/// off and every request was rejected.
#[test_case(&[2], 3; "a failing decode engine is avoided")]
#[test_case(&[2, 3, 4], 2; "if all fail alike the choice is as before")]
fn failures_make_an_engine_less_preferred_but_exclude_none(failing: &[usize], engine: u32) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { reservation: Some(0), ..request(Stage::Reserved) });
    failing.iter().for_each(|&engine| router.record_failure(NOW, engine));
    assert_eq!(dispatched_engines(&router.decide(NOW)), [engine]);
}

/// Guards against engines staying held off for seconds after the partition of their zone has healed.
#[test_case(NOW - 1.0, NOW; "was unreachable")]
#[test_case(NOW - 9.0, NOW + 5.0; "held off for another reason")]
fn a_response_ends_only_the_hold_off_of_an_unreachable_engine(unreachable_at: f64, available_at: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    (router.engines[0].unreachable_at, router.engines[0].last_response_at, router.engines[0].available_at) =
        (unreachable_at, NOW - 2.0, NOW + 5.0);
    router.record_response(NOW, 0);
    assert_eq!(router.engines[0].available_at, available_at);
}
