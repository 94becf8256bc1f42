//! Tests of the storage format.

use super::*;

/// A record as written by versions before the fields were renamed.
const STORED: &str = r#"{"figures":[0.5,2.0],"engines":[{"id":"r0","started":900.0,"faults":0.75,"fault_at":1002.5},{"id":"r1","started":null,"faults":0.0,"fault_at":1000.0}]}"#;

#[test]
fn stored_records_keep_their_json() {
    let state = LearnedState {
        averages: vec![0.5, 2.0],
        engines: vec![
            LearnedEngine {
                id: "r0".into(),
                started_at: Some(-100.0),
                recent_failures: 0.75,
                last_failure_at: 2.5,
            },
            LearnedEngine { id: "r1".into(), started_at: None, recent_failures: 0.0, last_failure_at: 0.0 },
        ],
    };
    assert_eq!(String::from_utf8(encode(&state, 1000.0)).unwrap(), STORED);
    assert_eq!(decode(STORED.as_bytes(), 1000.0), Some(state));
    assert_eq!(decode(b"junk", 1000.0), None);
}
