//! Results of attempts.

use super::*;
use test_case::test_case;

/// Guards against reservations that stay pinned at a prefill engine because the decode engine that should
/// take them over can't reach it, as happened when a zone was cut off.
#[test]
fn a_missing_reservation_is_released() {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 2, Phase::Decode);
    insert(
        &mut router,
        Request { reservation: Some(0), attempts: vec![attempt], ..request(Stage::Decoding) },
    );
    router.attempt_finished(
        NOW,
        RequestHandle(0),
        0,
        AttemptEnd { reservation_missing: true, ..attempt_end(Outcome::Rejected) },
        None,
    );
    assert_eq!((router.decisions.released.len(), router.requests[0].stage), (1, Stage::Queued));
}

/// Guards against a reservation that stays pinned because its release came while an attempt was in flight.
#[test]
fn the_release_is_repeated_when_the_last_attempt_ends() {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 2, Phase::Decode);
    insert(
        &mut router,
        Request { reservation: Some(0), attempts: vec![attempt], ..request(Stage::Finished) },
    );
    router.attempt_finished(NOW, RequestHandle(0), 0, attempt_end(Outcome::Cancelled), None);
    assert_eq!((router.decisions.released.len(), router.decisions.closed.len()), (1, 1));
}

#[test]
fn a_request_whose_stream_breaks_is_finished() {
    let mut router = new_router(Idempotency::NonIdempotent);
    let attempt = attempt(&mut router, 2, Phase::Decode);
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Streaming) });
    router.attempt_finished(
        NOW,
        RequestHandle(0),
        0,
        AttemptEnd { request_finished: true, ..attempt_end(Outcome::ConnectionLost) },
        None,
    );
    assert_eq!((router.decisions.closed.len(), router.decisions.failed.len()), (1, 0));
}

/// Guards against counting a timeout as a failure of an engine that answered other requests meanwhile.
#[test_case(NOW + 1.0, 0.0; "busy engine")]
#[test_case(NOW - 1.0, 1.0; "silent engine")]
fn a_timeout_is_a_failure_only_without_responses(last_response_at: f64, recent_failures: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 0, Phase::Prefill);
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    router.engines[0].last_response_at = last_response_at;
    router.attempt_finished(NOW + 2.0, RequestHandle(0), 0, attempt_end(Outcome::TimedOut), None);
    assert_eq!(router.engines[0].recent_failures, recent_failures);
}
