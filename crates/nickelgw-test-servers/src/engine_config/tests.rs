use super::*;
use serde_json::json;

/// Guards against a renamed JSON field: configurations are passed between processes and stored in files.
#[test]
fn json_field_names_are_stable() {
    let expected = json!({
        "id": "engine", "zone": "a", "cell": 0, "role": "read", "slots": 8, "queue": 32, "memory_tokens": 200_000.0,
        "read_s": 0.01, "read_tokens_per_s": 20_000.0, "step_s": 0.01, "step_per_stream_s": 0.0002,
        "out_tokens": 40, "state_bytes_per_token": 256.0, "state_ttl_s": 10.0, "cold": false, "cold_from": 0.3,
        "warm_s": 10.0, "tip_multiple": 3.0, "tip_window_s": 2.0, "tls": null, "grant_keys": [],
    });
    assert_eq!(serde_json::to_value(EngineConfig::default()).unwrap(), expected);
    assert_eq!(serde_json::to_value(Role::Decode).unwrap(), json!("write"));
}
