//! Evacuated and recovering zones.

use super::*;

#[test]
fn an_evacuated_zone_gets_no_request_and_a_recovering_one_its_weight() {
    let mut router = new_router(Idempotency::Idempotent);
    router.engines[1].zone = 1;
    router.set_zone_weight(1, 0.0);
    assert_eq!(
        (router.available_engines(Phase::Prefill), router.available_engines(Phase::Decode)),
        (vec![0], vec![2, 3])
    );
    router.set_zone_weight(1, 0.25);
    let with_draw = |draw: u64| Request { slow_start_draw: Some(hash("", draw)), ..request(Stage::Queued) };
    let requests: Vec<usize> = (0..4000).map(|draw| insert(&mut router, with_draw(draw))).collect();
    let share = |engine: usize| {
        requests.iter().filter(|&&i| router.slow_start_admits(NOW, i, engine)).count() as f64 / 4000.0
    };
    assert!((share(1) - 0.25).abs() < 0.03, "{}", share(1));
    assert_eq!((share(1), share(0)), (share(4), 1.0), "all engines of a zone admit the same requests");
    let without_draw = insert(&mut router, request(Stage::Queued));
    assert!(!router.slow_start_admits(NOW, without_draw, 1), "a request without a draw is not admitted");
}

#[test]
fn attempts_in_an_evacuated_zone_are_cancelled() {
    let mut router = new_router(Idempotency::Idempotent);
    let attempt =
        Attempt { dispatched_at: NOW - 0.3, expected_s: 1.0, ..attempt(&mut router, 4, Phase::Decode) };
    insert(
        &mut router,
        Request { reservation: Some(0), attempts: vec![attempt], ..request(Stage::Decoding) },
    );
    assert!(router.decide(NOW).cancelled.is_empty());
    router.set_zone_weight(1, 0.0);
    assert_eq!(router.decide(NOW).cancelled, [(RequestHandle(0), 0)]);
}
