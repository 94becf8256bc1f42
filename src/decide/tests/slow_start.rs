//! Slow start across all nodes of a fleet.

use super::*;
use test_case::test_case;

/// Creates the routers of a fleet with 40 prefill engines, of which 24 have just started. All nodes know the
/// engines' current loads.
fn fleet(nodes: u32) -> Vec<Router> {
    let prefill_engines = (0..40).map(|index| EngineEntry {
        started_at: (index >= 16).then_some(NOW - 0.1),
        ..entry(&format!("r{index}"), EngineRole::Prefill, 0, 0)
    });
    let entries: Vec<EngineEntry> = prefill_engines.chain([entry("w", EngineRole::Decode, 0, 0)]).collect();
    let node = |n: u32| {
        let quotas = vec![400.0];
        let deployment_settings = Deployment {
            node: n,
            node_count: nodes,
            seed: n as u64,
            tenant_quotas: quotas,
            ..deployment(Idempotency::Idempotent)
        };
        let mut router = Router::new(deployment_settings);
        router.update_endpoints(NOW, &entries, true);
        router.engines.iter_mut().for_each(|engine| engine.reported_at = NOW);
        router
    };
    (0..nodes).map(node).collect()
}

/// Guards both limits of slow start: each warming prefill engine gets its share, and all nodes together send
/// it no more than is allowed. When nodes took turns (with 350 nodes a turn of 36 ms every 3 s), most had
/// nothing to send in their turn, and warming engines got a tenth of what they may get. With a window of 2 s,
/// an initial share of 0.3 and a multiple of 3, the limit is 18 of the 20 requests of an engine's even share,
/// plus random variation for each single engine.
#[test_case(350, 2, |_| 1, false; "even traffic")]
#[test_case(350, 2, |n| if n % 10 == 0 { 6 } else { 1 }, false; "uneven traffic")]
#[test_case(350, 40, |_| 1, true; "burst of retries while all other engines are full")]
#[test_case(2, 400, |_| 1, false; "two nodes")]
fn all_nodes_together_respect_slow_start(
    nodes: u32,
    requests_per_node: usize,
    weight: fn(u32) -> usize,
    others_are_full: bool,
) {
    let mut attempts = [0; 40];
    for (n, router) in fleet(nodes).iter_mut().enumerate() {
        for index in 0..requests_per_node * weight(n as u32) {
            // Arrivals are spread over the window, and earlier requests have ended.
            let now = NOW + 0.01 + 2.0 * index as f64 / (requests_per_node * weight(n as u32)) as f64;
            let session = format!("{n} {index}");
            let wait_s = if others_are_full { 5.0 } else { 0.0 };
            for (engine_index, engine) in router.engines.iter_mut().enumerate().take(40) {
                (engine.available_at, engine.reported_at) =
                    (if engine_index < 16 { now + wait_s } else { now }, now);
                engine.reported_wait_s = engine.available_at - now;
            }
            router.admit_request(
                now,
                &IncomingRequest { session, arrived_at: now, deadline: now + 5.0, ..arrival() },
            );
            for dispatch in router.decide(now).dispatches {
                attempts[dispatch.engine.0 as usize] += 1;
            }
        }
    }
    let warming = &attempts[16..];
    let mean = warming.iter().sum::<i32>() as f64 / warming.len() as f64;
    assert!(mean <= 18.0 && warming.iter().all(|&n| n <= 18 + 13), "{warming:?}");
    // When nodes took turns, warming engines got only a tenth of their share.
    assert!(mean >= 6.0, "{warming:?}");
}

/// Guards against sending all requests with affinity to its zone to the first prefill engine that restarts
/// there.
#[test]
fn the_only_prefill_engine_of_a_zone_gets_an_even_share() {
    let mut router = new_router(Idempotency::Idempotent);
    router.engines[1].zone = 1;
    let entries: Vec<EngineEntry> =
        (0..30).map(|index| entry(&format!("m{index}"), EngineRole::Prefill, 1, 0)).collect();
    router.update_endpoints(NOW, &entries, false);
    router.engines[0].started_at = NOW - 0.1;
    router.update_averages(NOW);
    let with_draw = |draw| Request { slow_start_draw: Some(draw), ..request(Stage::Queued) };
    let requests: Vec<usize> = (0..1000).map(|draw| insert(&mut router, with_draw(draw))).collect();
    let admitted = requests.iter().filter(|&&i| router.slow_start_admits(NOW, i, 0)).count();
    assert!(
        router.requests[requests[0]].affinity_engines.first() == Some(&0)
            && admitted > 0
            && admitted < 1000 / 10
    );
}
