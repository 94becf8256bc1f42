//! Updates from the endpoint list.

use super::*;
use test_case::test_case;

#[test_case(Lifecycle::Draining)]
#[test_case(Lifecycle::Removed)]
fn a_draining_or_removed_engine_gets_no_request(lifecycle: Lifecycle) {
    let mut router = new_router(Idempotency::Idempotent);
    insert(&mut router, request(Stage::Queued));
    router.engines[..2].iter_mut().for_each(|engine| engine.lifecycle = lifecycle);
    assert!(router.decide(NOW).dispatches.is_empty());
}

#[test]
fn a_full_list_removes_the_engines_that_it_omits() {
    let mut router = new_router(Idempotency::Idempotent);
    router.update_endpoints(NOW, &[entry("r1", EngineRole::Prefill, 0, 1)], true);
    assert_eq!(router.engines.iter().filter(|engine| engine.lifecycle == Lifecycle::Active).count(), 1);
}

#[test]
fn an_engine_restart_resets_its_reported_load() {
    let mut router = new_router(Idempotency::Idempotent);
    router.record_load(NOW - 2.0, 0, EngineLoad { queue_len: Some(9.0), ..EngineLoad::default() });
    router.update_endpoints(
        NOW,
        &[EngineEntry { started_at: Some(NOW - 1.0), ..entry("r0", EngineRole::Prefill, 0, 0) }],
        false,
    );
    assert_eq!(
        (router.engines[0].reported_load, router.engines[0].reported_at),
        (EngineLoad::default(), f64::NEG_INFINITY)
    );
}

/// Guards against quadratic time in the size of the list: each entry was compared with every known engine.
#[test]
fn a_large_fleet_loses_no_engine_while_engines_are_replaced() {
    let mut router = new_router(Idempotency::Idempotent);
    for generation in 0..4 {
        let id = |index: usize| format!("{}-{}", index + 500 * generation, "long".repeat(50));
        let entries: Vec<_> = (0..2000).map(|index| entry(&id(index), EngineRole::Prefill, 0, 0)).collect();
        router.update_endpoints(NOW, &entries, true);
        assert_eq!(router.available_engines(Phase::Prefill).len(), 2000);
    }
    // The records of removed engines are reused for new ones.
    assert!(router.engines.len() <= 2000 + 500 + 5, "{}", router.engines.len());
}
