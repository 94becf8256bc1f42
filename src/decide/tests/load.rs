//! Load estimates.

use super::*;
use test_case::test_case;

/// Guards against treating a prefill engine as available while prefills of other nodes queue there.
#[test]
fn a_reported_backlog_delays_a_prefill_engine() {
    let mut router = new_router(Idempotency::Idempotent);
    router.record_load(NOW, 0, EngineLoad { pending_prompt_tokens: Some(50_000.0), ..EngineLoad::default() });
    assert!(router.engines[0].available_at > NOW + 0.1);
}

/// Guards against ignoring the queue of a decode engine, which made it look free.
#[test_case(EngineLoad { memory_share: Some(0.5), ..EngineLoad::default() }, 0.5)]
#[test_case(EngineLoad { memory_share: Some(0.5), queue_len: Some(25.0), ..EngineLoad::default() }, 1.0)]
#[test_case(EngineLoad { memory_share: Some(0.5), pending_prompt_tokens: Some(20_000.0), ..EngineLoad::default() }, 0.7)]
#[test_case(EngineLoad { memory_share: Some(0.5), inflight: Some(40.0), ..EngineLoad::default() }, 0.8)]
#[test_case(EngineLoad { slot_share: Some(0.6), ..EngineLoad::default() }, 0.6)]
fn the_load_of_a_decode_engine_includes_waiting_requests(load: EngineLoad, share: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    router.averages.mean_prompt_tokens = 2000.0;
    (router.engines[2].reported_load, router.engines[2].reported_at) = (load, router.averages.as_of);
    assert!((router.estimated_load(2) - share).abs() < 1e-9);
}

/// Guards against trusting an old report: a decode engine that was overfull at its last report was avoided
/// for seconds, and requests were rejected meanwhile.
#[test_case(0.0, 1.3; "recent report")]
#[test_case(60.0, 0.5; "old report")]
fn the_estimate_from_an_old_report_approaches_the_average(age_s: f64, share: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    (router.averages.as_of, router.averages.mean_stream_s, router.averages.decode.congestion) =
        (NOW + age_s, 5.0, 0.5);
    (router.engines[2].reported_load.memory_share, router.engines[2].reported_at) = (Some(1.3), NOW);
    assert!((router.estimated_load(2) - share).abs() < 1e-4);
}

/// Guards against multiplying a node's own load by the number of nodes where there are neither reports nor
/// probes: with 300 nodes and low load, one stream at a node made every decode engine look full, and the node
/// held its requests for a quarter of a second or more.
#[test]
fn without_reports_one_stream_fills_no_decode_engine() {
    let mut router =
        Router::new(Deployment { node_count: 300, can_probe: false, ..deployment(Idempotency::Idempotent) });
    router.update_endpoints(
        NOW,
        &[entry("r0", EngineRole::Prefill, 0, 0), entry("w1", EngineRole::Decode, 0, 0)],
        true,
    );
    router.engines[1].tokens_in_flight = 2000.0;
    router.engines[1].attempts_in_flight = 1;
    insert(&mut router, request(Stage::Queued));
    assert_eq!(dispatched_engines(&router.decide(NOW)), [0]);
}
