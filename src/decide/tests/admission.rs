//! Arrivals, quotas and disconnects.

use super::*;
use test_case::test_case;

#[test]
fn a_request_of_a_disconnected_client_is_not_dispatched() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    router.client_disconnected(RequestHandle(0));
    assert!(router.decide(NOW).dispatches.is_empty());
}

/// Guards against holding requests over a quota until their deadline while prefill engines are idle.
#[test]
fn a_request_over_quota_is_dispatched_if_there_is_room() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { over_quota: true, ..request(Stage::Queued) });
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

/// Guards against a bucket too small for a single request: with a quota under half a request per second, all
/// requests of a small tenant were rejected.
#[test_case(1, false; "first request")]
#[test_case(9, true; "ninth simultaneous request")]
fn a_small_quota_admits_a_burst(arrivals: usize, is_over_quota: bool) {
    let mut router = Router::new(Deployment { node_count: 200, ..deployment(Idempotency::Idempotent) });
    let arrival = IncomingRequest { tenant: Some(0), prompt_tokens: 900.0, ..arrival() };
    let last = (0..arrivals).map(|_| router.admit_request(NOW, &arrival)).last().unwrap();
    assert_eq!(router.requests[last.0 as usize].over_quota, is_over_quota);
}

#[test]
fn a_request_over_quota_is_dispatched_last() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { over_quota: true, arrived_at: NOW - 1.0, ..request(Stage::Queued) });
    insert(&mut router, request(Stage::Queued));
    assert_eq!(router.decide(NOW).dispatches[0].request, RequestHandle(1));
}

/// Background requests may use only the capacity that interactive requests leave.
#[test]
fn a_background_request_is_dispatched_last_and_counts_against_no_quota() {
    let mut router = new_router(Idempotency::Idempotent);
    let background =
        router.admit_request(NOW, &IncomingRequest { tenant: Some(0), is_background: true, ..arrival() });
    let tokens = router.tenant_quotas.tenants[0].bucket.tokens;
    assert!(router.requests[background.0 as usize].over_quota && tokens >= 2.0, "{tokens}");
    let interactive = router.admit_request(NOW, &IncomingRequest { tenant: Some(0), ..arrival() });
    let order: Vec<u32> = router.decide(NOW).dispatches.iter().map(|dispatch| dispatch.request.0).collect();
    assert_eq!(order.first(), Some(&interactive.0));
}
