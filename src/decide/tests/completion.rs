//! Rejected and failed requests.

use super::*;
use test_case::test_case;

#[test_case(Idempotency::Idempotent, true)]
#[test_case(KEYED_EVERYWHERE, true)]
#[test_case(KEYED_BY_ZONE, false)]
#[test_case(Idempotency::NonIdempotent, false)]
fn a_request_is_rejected_if_a_repeat_is_harmless_and_failed_otherwise(
    idempotency: Idempotency,
    rejected: bool,
) {
    let mut router = new_router(idempotency);
    let attempt = attempt(&mut router, 2, Phase::Decode);
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Decoding) });
    router.reject_or_fail(0, RejectionReason::NoAttemptLeft);
    assert_eq!(
        (router.decisions.rejected.len() == 1, router.decisions.failed.len() == 1),
        (rejected, !rejected)
    );
    assert_eq!(router.decisions.cancelled, [(RequestHandle(0), 0)]);
}
