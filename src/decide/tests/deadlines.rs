//! Deadlines and overdue attempts.

use super::*;
use test_case::test_case;

#[test]
fn a_request_is_rejected_before_its_deadline() {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 0, Phase::Prefill);
    insert(
        &mut router,
        Request { attempts: vec![attempt], deadline: NOW + 0.003, ..request(Stage::Prefilling) },
    );
    assert_eq!(router.decide(NOW).rejected.len(), 1);
}

/// Guards against cancelling attempts at an engine that is only busy, which lost them their place in its
/// queue.
#[test_case(NOW + 0.5, 0; "engine responded since")]
#[test_case(0.0, 1; "engine unreachable and silent")]
fn only_an_unreachable_engine_has_its_attempt_cancelled(last_response_at: f64, cancelled: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 0, Phase::Prefill);
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    (router.engines[0].last_response_at, router.engines[0].unreachable_at) = (last_response_at, NOW + 0.4);
    router.enforce_deadlines(NOW + 0.6);
    assert_eq!(router.decisions.cancelled.len(), cancelled);
}

/// Guards against an engine that becomes slower until it crashes but counts as healthy, since its attempts
/// end late and do not fail.
#[test]
fn an_overdue_attempt_counts_as_one_failure() {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt = attempt(&mut router, 0, Phase::Prefill);
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    router.enforce_deadlines(NOW + 0.5);
    router.enforce_deadlines(NOW + 0.5);
    assert_eq!(router.engines[0].recent_failures, 1.0);
}
