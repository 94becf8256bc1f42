//! The latency model of a prefill.

use super::*;
use test_case::test_case;

/// Other nodes' queues were fitted as the cost of a prefill, and idle prefill engines held back for them.
#[test]
fn slow_prefills_move_the_fit_little() {
    let (mut slow, mut fast) = (PrefillCost::new(0.02, 0.04), PrefillCost::new(0.02, 0.04));
    let before = slow.of(2000.0);
    slow.add(2000.0, before + 0.05);
    fast.add(2000.0, before - 0.05);
    assert!(slow.of(2000.0) - before < 0.3 * (before - fast.of(2000.0)));
}

/// After a burst, queues had been fitted as the cost of a prefill: prefill engines were held back while idle, and it lasted.
#[test_case(0.0; "idle prefill engine")]
#[test_case(5.0; "prefill engine with a queue")]
fn only_prefills_at_an_idle_engine_are_fitted(requests_ahead: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    let before = router.prefill_cost.of(2000.0);
    let attempt = Attempt { requests_ahead, ..attempt(&mut router, 0, Phase::Prefill) };
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    router.attempt_finished(
        NOW + 3.0,
        RequestHandle(0),
        0,
        AttemptEnd { elapsed_s: 3.0, ..ending(Outcome::Prefilled) },
        None,
    );
    assert_eq!(router.prefill_cost.of(2000.0) > before, requests_ahead == 0.0);
}

#[test]
fn the_fit_learns_a_cost() {
    let mut fit = PrefillCost::new(0.02, 0.04);
    for index in 0..900 {
        let thousands = (index % 9) as f64;
        fit.add(1000.0 * thousands, 0.01 + 0.1 * thousands);
    }
    assert!((fit.of(5000.0) - 0.51).abs() < 0.02);
}
