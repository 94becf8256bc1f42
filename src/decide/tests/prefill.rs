//! Choice of a prefill engine.

use super::*;

#[test]
fn cached_text_outweighs_a_short_wait() {
    let mut router = new_router(Idempotency::Idempotent);
    let i = insert(&mut router, request(Stage::Queued));
    router.prefill_cost = PrefillCost::new(0.001, 0.1);
    let preferred = router.requests[i].affinity_engines[0];
    router.engines[preferred].available_at = NOW + 0.01;
    assert_eq!(router.choose_prefill_engine(NOW, i, &[0, 1]), Some(preferred));
}

/// Guards against retrying at an engine that fails at once because it is expected to have the text cached: in
/// a rolling restart over real sockets one prefill engine was tried five times within 2 ms, until no attempt
/// was left.
#[test]
fn a_retry_prefers_an_engine_that_has_not_failed_the_request() {
    let mut router = new_router(Idempotency::Idempotent);
    let mut request_state =
        Request { prompt_tokens: 9000.0, prefix_tokens: 6000.0, prefix_hash: 3, ..request(Stage::Queued) };
    request_state.affinity_engines = vec![0, 1];
    let i = insert(&mut router, request_state);
    router.requests[i].affinity_engines = vec![0, 1];
    assert_eq!(
        router.choose_prefill_engine(NOW, i, &[0, 1]),
        Some(0),
        "the engine expected to have the text cached is chosen first"
    );
    let attempt = attempt(&mut router, 0, Phase::Prefill);
    router.requests[i].attempts.push(attempt);
    router.attempt_finished(NOW, RequestHandle(0), 0, attempt_end(Outcome::EngineError), None);
    assert_eq!(router.choose_prefill_engine(NOW, i, &[0, 1]), Some(1));
}
