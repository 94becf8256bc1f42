//! Retries as allowed by idempotency.

use super::*;
use test_case::test_case;

#[test_case(Idempotency::Idempotent, Outcome::ConnectionLost, true; "idempotent")]
#[test_case(Idempotency::NonIdempotent, Outcome::ConnectionLost, false; "non-idempotent that may have run")]
#[test_case(Idempotency::NonIdempotent, Outcome::ConnectFailed, true; "non-idempotent that never ran")]
#[test_case(Idempotency::NonIdempotent, Outcome::Rejected, true; "non-idempotent rejected")]
#[test_case(KEYED_BY_ZONE, Outcome::EngineError, true; "keyed within its window")]
fn a_retry_respects_the_idempotency(idempotency: Idempotency, outcome: Outcome, may_retry: bool) {
    let mut router = new_router(idempotency);
    let attempt = attempt(&mut router, 2, Phase::Decode);
    insert(
        &mut router,
        Request { reservation: Some(0), attempts: vec![attempt], ..request(Stage::Decoding) },
    );
    router.attempt_finished(NOW, RequestHandle(0), 0, attempt_end(outcome), None);
    assert_eq!(router.requests[0].stage == Stage::Reserved, may_retry);
    assert_eq!(router.decisions.failed.len(), usize::from(!may_retry));
}

#[test_case(NOW, 3, 0.0, true; "inside the scope")]
#[test_case(NOW, 4, 0.0, false; "outside the scope")]
#[test_case(NOW + 4.5, 3, 0.0, false; "after the key is forgotten")]
#[test_case(NOW + 3.9, 3, 0.0, true; "well within the window")]
#[test_case(NOW + 3.9, 3, 0.5, false; "connection may be established too late")]
fn a_keyed_request_is_retried_in_its_scope_and_window(
    now: f64,
    engine: usize,
    connect_timeout_s: f64,
    allowed: bool,
) {
    let mut router = new_router(KEYED_BY_ZONE);
    router.limits.connect_timeout_s = connect_timeout_s;
    insert(
        &mut router,
        Request {
            reservation: Some(0),
            first_decode: Some(DecodeStart { engine: 2, at: NOW }),
            ..request(Stage::Reserved)
        },
    );
    assert_eq!(router.may_retry(now, 0, Some(engine)), allowed);
}

/// Guards against prefilling a keyed request again in another cell after its reservation was lost, found by a
/// search with random faults.
#[test_case(KEYED_BY_ZONE, false; "prefill engines may lie outside the scope")]
#[test_case(KEYED_EVERYWHERE, true; "every engine is in the scope")]
fn a_keyed_prompt_is_prefilled_again_only_in_its_scope(idempotency: Idempotency, allowed: bool) {
    let mut router = new_router(idempotency);
    insert(
        &mut router,
        Request { first_decode: Some(DecodeStart { engine: 2, at: NOW }), ..request(Stage::Queued) },
    );
    assert_eq!(router.decide(NOW).dispatches.len() == 1, allowed);
}
