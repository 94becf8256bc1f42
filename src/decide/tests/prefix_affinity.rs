//! Which prefill engines have a text cached.

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

/// In zones of two or three prefill engines, two for a prefix scattered it over the zone, and little was kept.
#[test_case(2, 0.9, 1; "a small zone keeps even a popular one at one prefill engine")]
#[test_case(6, 0.9, 3; "a larger one at half its prefill engines")]
#[test_case(6, 0.07, 2; "by its part of the arrivals")]
#[test_case(6, 0.0, 2; "a rare one at two")]
fn a_prefix_gets_engines_by_its_popularity(prefill_engines: usize, share: f64, named: usize) {
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
    assert_eq!(seen.len(), named);
}

/// One prefill engine for each of a few texts left some prefill engines idle and others overrun.
#[test_case(3, 2; "few texts have two")]
#[test_case(60, 2; "as do many")]
fn a_text_has_two_affinity_engines(texts: u64, named: usize) {
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
    assert_eq!(seen.len(), named);
}

/// The churn day on sockets found a prefill engine 15 s old, with five waiting at it, drawing the texts that its hash named.
#[test_case(None, 0.0, 1000.0; "long there: as its hash says")]
#[test_case(Some(NOW - 5.0), 0.0, 2000.0; "fresh: nothing")]
#[test_case(Some(NOW - 5.0), 800.0, 1968.0; "fresh, and found to keep it once")]
fn the_cache_hit_rate_is_learned_from_prefills(started_at: Option<f64>, found: f64, uncached_tokens: f64) {
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
    if found > 0.0 {
        router.attempt_finished(
            NOW,
            RequestHandle(i as u32),
            0,
            AttemptEnd { cached_tokens: found, ..ending(Outcome::Prefilled) },
            None,
        );
    }
    assert!(
        (router.uncached_tokens(engine, i) - uncached_tokens).abs() < 1.0,
        "{}",
        router.uncached_tokens(engine, i)
    );
}
