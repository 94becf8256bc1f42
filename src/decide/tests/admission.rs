//! Arrivals and quotas.

use super::*;
use test_case::test_case;

#[test]
fn a_disconnected_client_gets_nothing_dispatched() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    router.client_disconnected(RequestHandle(0));
    assert!(router.decide(NOW).dispatches.is_empty());
}

/// Requests over a quota were held until their time was up while prefill engines stood idle.
#[test]
fn a_request_over_quota_is_admitted_where_there_is_room() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { over_quota: true, ..request(Stage::Queued) });
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

/// With a quota under half a request a second the bucket never held one: all of a small tenant was rejected.
#[test_case(1, false; "the first")]
#[test_case(9, true; "the ninth at once")]
fn a_small_quota_admits_a_burst(arrivals: usize, over: bool) {
    let mut router = Router::new(Deployment { node_count: 200, ..deployment(Idempotency::Idempotent) });
    let arrival = IncomingRequest { tenant: Some(0), prompt_tokens: 900.0, ..arrival() };
    let last = (0..arrivals).map(|_| router.admit_request(NOW, &arrival)).last().unwrap();
    assert_eq!(router.requests[last.0 as usize].over_quota, over);
}

#[test]
fn a_request_over_quota_is_dispatched_last() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { over_quota: true, arrived_at: NOW - 1.0, ..request(Stage::Queued) });
    insert(&mut router, request(Stage::Queued));
    assert_eq!(router.decide(NOW).dispatches[0].request, RequestHandle(1));
}

/// Offline work is run in room that live work leaves.
#[test]
fn a_background_request_is_dispatched_last_and_counts_against_no_quota() {
    let mut router = new_router(Idempotency::Idempotent);
    let background =
        router.admit_request(NOW, &IncomingRequest { tenant: Some(0), is_background: true, ..arrival() });
    let tokens = router.tenant_quotas.tenants[0].bucket.tokens;
    assert!(router.requests[background.0 as usize].over_quota && tokens >= 2.0, "{tokens}");
    let live = router.admit_request(NOW, &IncomingRequest { tenant: Some(0), ..arrival() });
    let order: Vec<u32> = router.decide(NOW).dispatches.iter().map(|s| s.request.0).collect();
    assert_eq!(order.first(), Some(&live.0));
}
