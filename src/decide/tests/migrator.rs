//! Dispatch of prefilled requests.

use super::*;
use test_case::test_case;

#[test_case(&[], 2; "first in the prefill engine's cell")]
#[test_case(&[2], 3; "then in its zone")]
#[test_case(&[2, 3], 4; "then in another zone")]
fn a_prefilled_request_is_dispatched_at_once_to_the_nearest_free_decode_engine(full: &[usize], engine: u32) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { reservation: Some(0), ..request(Stage::Reserved) });
    full.iter().for_each(|&engine| router.engines[engine].reported_load.memory_share = Some(1.0));
    assert_eq!(dispatched_engines(&router.decide(NOW)), [engine]);
}

#[test]
fn a_stale_reservation_without_a_decode_engine_is_released() {
    let mut router = new_router(Idempotency::Idempotent);
    let prefill = Attempt { state: AttemptState::Finished, ..attempt(&mut router, 0, Phase::Prefill) };
    let reserved = Request {
        reservation: Some(0),
        reserved_since: NOW - 0.3,
        attempts: vec![prefill],
        ..request(Stage::Reserved)
    };
    insert(&mut router, reserved);
    router.engines[2..].iter_mut().for_each(|engine| engine.lifecycle = Lifecycle::Draining);
    let decisions = router.decide(NOW);
    assert_eq!((decisions.rejected.len(), decisions.released.len()), (1, 1));
}

/// Adds a request whose decode attempt was dispatched 0.25 s ago and has just ended with this outcome.
fn end_decode_attempt(router: &mut Router, engine: usize, outcome: Outcome) -> usize {
    let attempt = Attempt { dispatched_at: NOW - 0.25, ..attempt(router, engine, Phase::Decode) };
    let reserved = Request { reservation: Some(0), reserved_since: NOW - 0.25, ..request(Stage::Decoding) };
    let i = insert(router, Request { attempts: vec![attempt], ..reserved });
    router.attempt_finished(NOW, RequestHandle(i as u32), 0, attempt_end(outcome), None);
    i
}

/// Guards against restarting a reservation's time with each connection that fails, as happened when a zone
/// was lost.
#[test_case(Outcome::ConnectFailed, 0.25, 0.25; "never connected and the time keeps running")]
#[test_case(Outcome::ConnectFailed, 0.0, 0.0; "never connected but attempts count from dispatch")]
#[test_case(Outcome::Rejected, 0.25, 0.0; "delivered and rejected")]
fn an_undelivered_attempt_does_not_renew_a_reservation(outcome: Outcome, connect_s: f64, elapsed_s: f64) {
    let mut router =
        Router::new(Deployment { connect_timeout_s: connect_s, ..deployment(Idempotency::Idempotent) });
    router.update_endpoints(
        NOW,
        &[entry("r0", EngineRole::Prefill, 0, 0), entry("w1", EngineRole::Decode, 0, 0)],
        true,
    );
    let i = end_decode_attempt(&mut router, 1, outcome);
    assert_eq!(router.requests[i].reserved_since, NOW - elapsed_s);
}

/// Guards against trying the decode engines of a zone one by one after the first attempt has shown that the
/// zone is unreachable.
#[test_case(0.8, 4; "another zone while there is time for a second failure")]
#[test_case(0.6, 9; "otherwise the reservation is released at once")]
fn after_an_undelivered_attempt_another_zone_is_used(reservation_limit_s: f64, expected_engine: u32) {
    let connecting =
        Deployment { connect_timeout_s: 0.25, reservation_limit_s, ..deployment(Idempotency::Idempotent) };
    let mut router = new_router(Idempotency::Idempotent);
    router.limits = Limits::new(&connecting);
    router.engines[2].zone = 0;
    end_decode_attempt(&mut router, 2, Outcome::ConnectFailed);
    let decisions = router.decide(NOW);
    assert_eq!(
        dispatched_engines(&decisions),
        if expected_engine == 9 { vec![] } else { vec![expected_engine] }
    );
    assert_eq!(decisions.released.len(), (expected_engine == 9) as usize);
}
