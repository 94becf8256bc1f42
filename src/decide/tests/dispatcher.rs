//! Admission and dispatch to prefill engines.

use super::*;
use test_case::test_case;

#[test]
fn an_arrival_is_dispatched_at_once_to_an_available_prefill_engine() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    assert!(dispatched_engines(&router.decide(NOW)).iter().all(|&engine| engine < 2));
}

#[test]
fn the_queue_is_ordered_by_tpot_objective_then_arrival() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    insert(&mut router, Request { arrived_at: NOW - 0.1, ..request(Stage::Queued) });
    insert(&mut router, Request { route: 1, ..request(Stage::Queued) });
    let order: Vec<u32> = router.decide(NOW).dispatches.iter().map(|dispatch| dispatch.request.0).collect();
    assert_eq!(order, [2, 1, 0]);
}

#[test]
fn nothing_is_dispatched_while_no_prefill_engine_is_available() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    router.engines.iter_mut().for_each(|engine| engine.available_at = NOW + 0.3);
    assert!(router.decide(NOW).dispatches.is_empty());
}

#[test]
fn an_idle_prefill_engine_gets_the_oldest_request_even_below_the_threshold() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { ttft_deadline: NOW - 1.0, ..request(Stage::Queued) });
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

#[test_case(0.0, 1; "enough free tokens")]
#[test_case(0.999, 0; "no free tokens")]
fn the_token_budget_is_capped_by_free_tokens(used_share: f64, attempts: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { over_quota: true, ..request(Stage::Queued) });
    for engine in &mut router.engines[..2] {
        engine.reported_load.memory_share = Some(used_share);
    }
    assert_eq!(router.decide(NOW).dispatches.len(), attempts);
}

#[test]
fn an_oversized_prompt_is_dispatched_alone_to_an_idle_prefill_engine() {
    let mut router = new_router(Idempotency::Idempotent);
    let oversized = Request {
        prompt_tokens: 90_000.0,
        ttft_deadline: NOW + 9.0,
        deadline: NOW + 20.0,
        ..request(Stage::Queued)
    };
    insert(&mut router, oversized);
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

#[test]
fn a_request_that_cannot_start_in_time_is_rejected_before_prefill() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { deadline: NOW + 0.02, ..request(Stage::Queued) });
    let decisions = router.decide(NOW);
    assert_eq!((decisions.rejected.len(), decisions.dispatches.len()), (1, 0));
    assert!(
        matches!(
            decisions.reasons[..],
            [(RequestHandle(0), RejectionReason::TooLate { admitting: 2, prefill_engines: 2, .. })]
        ),
        "{:?}",
        decisions.reasons
    );
}

/// Guards against prefilling late requests for full decode engines under overload, which made new requests
/// late too.
#[test_case(0.5, 0; "decode engines with room")]
#[test_case(1.0, 1; "full decode engines")]
fn with_full_decode_engines_a_request_past_its_objective_is_rejected(load: f64, rejected: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { ttft_deadline: NOW - 0.1, ..request(Stage::Queued) });
    for engine in &mut router.engines[2..] {
        engine.reported_load.memory_share = Some(load);
    }
    assert_eq!(router.decide(NOW).rejected.len(), rejected);
}

/// Guards against letting requests wait under overload: they were admitted later and later, and the time that
/// they had waited was lost for all of them.
#[test]
fn under_overload_a_request_not_admitted_is_rejected_at_once() {
    let mut router = loose_objective_under_overload();
    assert_eq!(router.decide(NOW).rejected.len(), 1);
}

/// Guards against a route with a looser objective filling the decode engines until a tighter one can't be
/// met.
#[test]
fn requests_with_a_loose_objective_do_not_fill_the_decode_engines() {
    let mut router = loose_objective_under_overload();
    assert!(router.decide(NOW).dispatches.is_empty());
}

#[test_case(false, 0; "decode engines that cannot prefill")]
#[test_case(true, 1; "decode engines that can")]
fn without_prefill_engines_a_decode_engine_prefills_if_it_can(decode_engines_prefill: bool, attempts: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    router.limits.decode_engines_prefill = decode_engines_prefill;
    insert(&mut router, request(Stage::Queued));
    router.engines[..2].iter_mut().for_each(|engine| engine.lifecycle = Lifecycle::Removed);
    assert_eq!(router.decide(NOW).dispatches.len(), attempts);
}

#[test]
fn equal_state_gives_equal_decisions() {
    let run = || {
        let mut router = new_router(Idempotency::Idempotent);
        (0..9).for_each(|_| _ = insert(&mut router, request(Stage::Queued)));
        router.decide(NOW)
    };
    assert_eq!(run(), run());
}
