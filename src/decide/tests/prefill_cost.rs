//! Latency model of a prefill.

use super::*;
use test_case::test_case;

/// Guards against fitting waits behind other nodes' prefills as the cost of a prefill, which held back idle
/// prefill engines.
#[test]
fn slow_prefills_change_the_fit_less_than_fast_ones() {
    let (mut slow, mut fast) = (PrefillCost::new(0.02, 0.04), PrefillCost::new(0.02, 0.04));
    let before = slow.predict_s(2000.0);
    slow.observe(2000.0, before + 0.05);
    fast.observe(2000.0, before - 0.05);
    assert!(slow.predict_s(2000.0) - before < 0.3 * (before - fast.predict_s(2000.0)));
}

/// Guards against fitting waits in queues as the cost of a prefill: after a burst, idle prefill engines were
/// held back for a long time.
#[test_case(0.0; "idle prefill engine")]
#[test_case(5.0; "queue at the prefill engine")]
fn only_prefills_at_an_idle_engine_are_fitted(requests_ahead: f64) {
    let mut router = new_router(Idempotency::Idempotent);
    let before = router.prefill_cost.predict_s(2000.0);
    let attempt = Attempt { requests_ahead, ..attempt(&mut router, 0, Phase::Prefill) };
    insert(&mut router, Request { attempts: vec![attempt], ..request(Stage::Prefilling) });
    router.attempt_finished(
        NOW + 3.0,
        RequestHandle(0),
        0,
        AttemptEnd { elapsed_s: 3.0, ..attempt_end(Outcome::Prefilled) },
        None,
    );
    assert_eq!(router.prefill_cost.predict_s(2000.0) > before, requests_ahead == 0.0);
}

#[test]
fn the_fit_converges_to_the_observed_cost() {
    let mut fit = PrefillCost::new(0.02, 0.04);
    for index in 0..900 {
        let thousands = (index % 9) as f64;
        fit.observe(1000.0 * thousands, 0.01 + 0.1 * thousands);
    }
    assert!((fit.predict_s(5000.0) - 0.51).abs() < 0.02);
}
