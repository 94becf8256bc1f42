//! Affinity of texts to prefill engines.

use super::*;
use test_case::test_case;

#[test]
fn all_nodes_agree_on_the_affinity_engines() {
    let (first_router, mut second_router) =
        (new_router(Idempotency::Idempotent), new_router(Idempotency::Idempotent));
    second_router.random = WyRand::new_seed(99);
    let request_state = request(Stage::Queued);
    assert_eq!(first_router.affinity_engines(&request_state), second_router.affinity_engines(&request_state));
}

/// Guards against spreading a prefix over two engines in zones of only two or three prefill engines, where
/// little of it stayed cached.
#[test_case(2, 0.9, 1; "popular prefix in a small zone gets one engine")]
#[test_case(6, 0.9, 3; "popular prefix in a larger zone gets half of the engines")]
#[test_case(6, 0.07, 2; "number follows the share of the arrivals")]
#[test_case(6, 0.0, 2; "rare prefix gets two engines")]
fn a_prefix_gets_engines_by_its_popularity(prefill_engines: usize, share: f64, engine_count: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    for index in 2..prefill_engines {
        router.update_endpoints(NOW, &[entry(&format!("more{index}"), EngineRole::Prefill, 0, 0)], false);
    }
    router.averages.mean_prompt_tokens = 2000.0;
    for index in 0..RECENT_ARRIVALS {
        let is_same = (index as f64) < share * RECENT_ARRIVALS as f64;
        router.affinity.record_arrival(if is_same { 9 } else { 100 + index as u64 });
    }
    let mut seen: Vec<usize> = Vec::new();
    for session in (1..60).map(|index| hash("s", index)) {
        seen.push(
            router.affinity_engines(&Request {
                session_hash: session,
                prefix_hash: 9,
                ..request(Stage::Queued)
            })[0],
        );
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), engine_count);
}

/// Guards against one prefill engine per text: with few texts some prefill engines were idle and others
/// overloaded.
#[test_case(3, 2; "few texts")]
#[test_case(60, 2; "many texts")]
fn a_text_has_two_affinity_engines(texts: u64, engine_count: usize) {
    let mut router = new_router(Idempotency::Idempotent);
    (2..6).for_each(|index| {
        router.update_endpoints(NOW, &[entry(&format!("more{index}"), EngineRole::Prefill, 0, 0)], false)
    });
    router.averages.mean_prompt_tokens = 2000.0;
    (0..RECENT_ARRIVALS as u64).for_each(|index| router.affinity.record_arrival(100 + index % texts));
    let first = |session| {
        router.affinity_engines(&Request { session_hash: session, prefix_hash: 9, ..request(Stage::Queued) })
            [0]
    };
    let mut seen: Vec<usize> = (1..60).map(|index| first(hash("s", index))).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), engine_count);
}

/// Guards against sending a recently started engine all texts that its hash selects: with frequent engine
/// restarts over real sockets, an engine 15 s old attracted them while five requests waited there.
#[test_case(None, 0.0, 1000.0; "long running engine as its hash says")]
#[test_case(Some(NOW - 5.0), 0.0, 2000.0; "recently started engine has nothing cached")]
#[test_case(Some(NOW - 5.0), 800.0, 1968.0; "recently started engine after one cache hit")]
fn the_cache_hit_rate_is_learned_from_prefills(
    started_at: Option<f64>,
    cached_tokens: f64,
    uncached_tokens: f64,
) {
    let mut router = new_router(Idempotency::Idempotent);
    router.update_endpoints(
        NOW,
        &[EngineEntry { started_at, ..entry("fresh", EngineRole::Prefill, 0, 0) }],
        false,
    );
    let engine = router.engines.index_of("fresh").unwrap();
    let attempt = attempt(&mut router, engine, Phase::Prefill);
    let i = insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    router.requests[i].affinity_engines = vec![engine, 0];
    if cached_tokens > 0.0 {
        router.attempt_finished(
            NOW,
            RequestHandle(i as u32),
            0,
            AttemptEnd { cached_tokens, ..attempt_end(Outcome::Prefilled) },
            None,
        );
    }
    assert!(
        (router.uncached_tokens(engine, i) - uncached_tokens).abs() < 1.0,
        "{}",
        router.uncached_tokens(engine, i)
    );
}
