use super::*;

#[test]
fn a_kind_is_logged_once_a_minute_with_its_count() {
    let mut limiter = LogRateLimiter::default();
    let logged: Vec<_> =
        (0..130).filter_map(|second| Some((second, limiter.record(f64::from(second), "client")?))).collect();
    assert_eq!(logged, [(0, 1), (60, 60), (120, 60)]);
    assert_eq!(limiter.record(1.0, "engine"), Some(1));
}
