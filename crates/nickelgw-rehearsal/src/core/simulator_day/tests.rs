use super::*;
use crate::core::script::{targets_exist, Script};
use nickelgw_settings::proto::{fault::Kind, EngineRole};
use serde_json::json;

/// Returns a small day in the format that the simulator prints.
fn simulator_day(load: f64) -> Value {
    let server = |kind: u32, zone: u32| json!({"kind": kind, "zone": zone, "speed": 1.0, "cell": zone});
    let servers: Vec<Value> = (0..40).map(|n| server(n % 2, (n / 2) % 2)).collect();
    let figures = |read: f64, slots: u32| {
        json!({"memory": 200000, "queue": 20, "read_per_s": read,
        "slots": slots, "step_ms": 10.0, "per_seq_ms": 0.1})
    };
    json!({"site": "s", "kind": "trouble", "length": 40e6, "zones": ["x", "y"],
        "tiers": [{"kinds": [{"name": "a"}, {"name": "b"}], "stated_cold_from": 0.4, "stated_cold": 12e6}],
        "fam": {"roles": ["read", "write"], "engines": [figures(20000.0, 8), figures(6000.0, 60)], "release": 500000,
            "writers_read": false, "talks": [{"new_tokens": 500.0, "prefix_tokens": 1000.0, "prefix_share": 0.5,
            "out_tokens": 100.0, "aim_ms_per_k": 40.0, "token_ms": 60.0, "prefixes": 4}]},
        "servers": servers, "balancers": [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], "traffic": {"load": load},
        "clients": {"retries": 2, "backoff_us": 2e5}, "discovery": {"notice": 1e6}, "drain_grace": 2e6,
        "allow": {"probes": true, "max_attempts": 6}, "fall_multiple": 3.0, "fall_for": 3e6,
        "classes": [{"name": "chat", "share": 1.0, "aim": 1.2e6, "deadline": 6e6, "effect": "keyed", "group": "zone",
            "window": 5e6}],
        "tenants": [{"name": "t", "traffic": 1.0, "quota": 0.5}],
        "troubles": [{"kind": "ageing", "at": 5e6, "len": 10e6, "size": 13.0, "on": [0, 2]},
            {"kind": "zone_loss", "at": 20e6, "len": 5e6, "size": 0.4, "on": [2, 3]},
            {"kind": "balancer_roll", "at": 1e6, "len": 5e6, "size": 0.9, "on": [0, 1, 2, 3, 4]},
            {"kind": "moon_dust", "at": 1e6, "len": 5e6, "on": []}]})
}

#[test]
fn kinds_times_shares_and_load_are_converted() {
    let ConvertedDay { day, notes } = convert(&simulator_day(0.6), MachineLimits::default()).unwrap();
    assert!(
        notes.iter().any(|note| note.contains("moon_dust"))
            && notes.iter().any(|note| note.contains("10 nodes"))
    );
    let count = |role: EngineRole| {
        day.engines.iter().filter(|group| group.role() == role).map(|group| group.count()).sum::<u32>()
    };
    assert_eq!((count(EngineRole::Reader), count(EngineRole::Writer), day.nodes()), (12, 12, 6));
    let rate: f64 = day.traffic.iter().map(|traffic| traffic.rate_per_s).sum();
    assert!(rate <= 60.0 + 1e-9 && rate > 20.0, "total rate {rate} requests per second");
    let ageing = day.fault.iter().find(|fault| fault.kind() == Kind::Ageing).unwrap();
    assert_eq!((ageing.target(), ageing.part(), ageing.at_s, ageing.factor()), ("readers", 0.1, 5.0, 13.0));
    assert_eq!(day.fault.iter().find(|fault| fault.kind() == Kind::ZoneLoss).unwrap().target(), "y");
    assert!(targets_exist(&day, &Script::from_day(&day, 1)));
    assert_eq!(day.model_route[0].dedupe_memory_ms, Some(5000.0));
    // The converted day is a valid configuration.
    assert_eq!(nickelgw_settings::validate_day("made", "", &day), Ok(()));
}

#[test]
fn error_names_the_missing_list() {
    let mut source = simulator_day(0.6);
    source["servers"] = json!(null);
    let error = convert(&source, MachineLimits::default()).unwrap_err();
    assert_eq!(error, InvalidSimulatorDay::MissingList("servers".into()));
    assert_eq!(error.to_string(), "the simulator's day has no list servers");
    assert!(convert(&json!({}), MachineLimits::default()).is_err());
    assert!(convert(&json!([1]), MachineLimits::default()).is_err());
}
