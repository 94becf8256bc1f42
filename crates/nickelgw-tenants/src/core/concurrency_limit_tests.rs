use super::*;

#[test]
fn limit_grows_only_while_used_and_decreases_once_per_overload() {
    let mut limit = ConcurrencyLimit::new(FairShareLimits::default(), 100.0);
    (0..1000).for_each(|n| limit.record_answer(f64::from(n), 10, false));
    assert_eq!(limit.get(), 100.0);
    (0..1000).for_each(|n| limit.record_answer(f64::from(n), 100, false));
    assert!(limit.get() > 105.0);
    let before = limit.get();
    // Late answers within the minimum interval between decreases count as one overload.
    (0..200).for_each(|_| limit.record_answer(2000.0, 110, true));
    assert!(limit.get() < 0.9 * before && limit.get() > 0.7 * before, "{}", limit.get());
    (0..20_000).for_each(|n| limit.record_answer(3000.0 + f64::from(n), 20, true));
    assert_eq!(limit.get(), 16.0);
}
