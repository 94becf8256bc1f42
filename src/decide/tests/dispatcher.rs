//! Admission and dispatch to prefill engines.

use super::*;
use test_case::test_case;

#[test]
fn an_arrival_is_dispatched_at_once_to_an_available_prefill_engine() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    assert!(engines_of(&router.decide(NOW)).iter().all(|&engine| engine < 2));
}

#[test]
fn the_queue_is_ordered_by_tpot_objective_then_arrival() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    insert(&mut router, Request { arrived_at: NOW - 0.1, ..request(Stage::Queued) });
    insert(&mut router, Request { route: 1, ..request(Stage::Queued) });
    let order: Vec<u32> = router.decide(NOW).dispatches.iter().map(|s| s.request.0).collect();
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
fn an_idle_prefill_engine_gets_the_oldest_request_below_the_threshold() {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { ttft_deadline: NOW - 1.0, ..request(Stage::Queued) });
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

#[test_case(0.0, 1; "enough free tokens")]
#[test_case(0.999, 0; "no free tokens")]
fn the_budget_is_capped_by_free_tokens(used_share: f64, attempts: usize) {
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
    let huge = Request {
        prompt_tokens: 90_000.0,
        ttft_deadline: NOW + 9.0,
        deadline: NOW + 20.0,
        ..request(Stage::Queued)
    };
    insert(&mut router, huge);
    assert_eq!(router.decide(NOW).dispatches.len(), 1);
}

#[test]
fn a_request_that_cannot_start_in_time_is_rejected_unread() {
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

/// Overload: late work prefilled for full decode engines made new work late too.
#[test_case(0.5, 0; "room")]
#[test_case(1.0, 1; "full")]
fn with_full_decode_engines_a_missed_objective_is_rejected(load: f64, rejected: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, Request { ttft_deadline: NOW - 0.1, ..request(Stage::Queued) });
    for engine in &mut router.engines[2..] {
        engine.reported_load.memory_share = Some(load);
    }
    assert_eq!(router.decide(NOW).rejected.len(), rejected);
}

/// Under overload, waiting requests were admitted ever later: the time they had waited was lost for them all.
#[test]
fn under_overload_what_is_not_admitted_is_rejected_at_once() {
    let mut router = loose_objective_under_overload();
    assert_eq!(router.decide(NOW).rejected.len(), 1);
}

/// A route with a looser objective filled the decode engines until a tighter one could not be met.
#[test]
fn a_loose_objective_does_not_fill_the_decode_engines() {
    let mut router = loose_objective_under_overload();
    assert!(router.decide(NOW).dispatches.is_empty());
}

#[test_case(false, 0; "decode engines that cannot prefill")]
#[test_case(true, 1; "decode engines that can")]
fn without_prefill_engines_a_decode_engine_prefills_where_it_can(
    decode_engines_prefill: bool,
    attempts: usize,
) {
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
