use super::*;

#[test]
fn an_overloaded_engine_in_slow_start_stays_overloaded() {
    let config = EngineConfig { slow_start: true, slots: 2, ..EngineConfig::default() };
    let mut model = EngineModel::new(config.clone(), 10.0);
    // The limit is 3 times a speed of 0.3 times 2 slots times 2 s, which is 3.6 s of work.
    assert!(!(0..35).any(|n| model.record_arrival(10.0 + n as f64 * 0.001, 0.1)));
    assert!((0..3).any(|n| model.record_arrival(10.1 + n as f64 * 0.001, 0.1)));
    assert_eq!(model.admit(1.0), Err(Rejection::Overloaded));
    let mut warm = EngineModel::new(EngineConfig { slow_start: false, ..config }, 10.0);
    assert!(!(0..500).any(|_| warm.record_arrival(10.0, 0.1)));
}

#[test]
fn cached_prompts_are_found_until_the_cache_is_cleared() {
    let mut model = EngineModel::new(EngineConfig::default(), 0.0);
    assert_eq!(model.cache_prompt("s", Some(("p", 50.0)), 100.0), 0.0);
    assert_eq!(model.cache_prompt("t", Some(("p", 50.0)), 100.0), 50.0);
    assert_eq!(model.cache_prompt("s", Some(("p", 50.0)), 150.0), 100.0);
    model.clear_prefix_cache();
    assert_eq!(model.cache_prompt("s", None, 150.0), 0.0);
}

#[test]
fn a_reservation_uses_memory_until_released_or_expired() {
    let config = EngineConfig { memory_tokens: 100.0, ..EngineConfig::default() };
    let mut model = EngineModel::new(config, 0.0);
    model.reserve(0.0, "x", "n0", 80.0);
    assert_eq!(model.admit(30.0), Err(Rejection::Full));
    assert_eq!(model.expired(11.0), vec!["x".to_string()]);
    assert!(model.release("x") && !model.release("x"));
    assert_eq!((model.admit(30.0), model.memory_used), (Ok(()), 0.0));
}
