use super::*;
use nickelgw_audit::RecordEntry;
use serde_json::json;

fn record(at: f64, mut event: serde_json::Value) -> RecordEntry {
    (event["t"], event["who"]) = (json!(at), json!("client"));
    RecordEntry::from_json(&event).unwrap()
}

#[test]
fn retried_request_counts_once_in_the_second_of_its_first_attempt() {
    let request_record = |at: f64, req: &str, of: Option<&str>| {
        record(
            at,
            json!({"ev": "ask", "req": req, "of": of, "model": "chat", "intended": at, "target_s": 0.5}),
        )
    };
    let mut lines = Vec::new();
    for n in 0..30 {
        let (at, req) = (100.0 + f64::from(n), format!("q{n}"));
        lines.push(request_record(at, &req, None));
        if !(10..15).contains(&n) {
            lines.push(record(at + 0.1, json!({"ev": "first", "req": req})));
            lines.push(record(at + 0.2, json!({"ev": "final", "how": "completed", "req": req})));
        } else {
            lines.push(record(at + 0.1, json!({"ev": "final", "how": "shed", "req": req})));
            // The retry of request 10 is answered in target, those of the other requests late.
            let retry = format!("{req}-1");
            lines.push(request_record(at + 3.0, &retry, Some(&req)));
            let delay = if n == 10 { 0.1 } else { 2.0 };
            lines.push(record(at + 3.0 + delay, json!({"ev": "first", "req": retry})));
            lines.push(record(at + 6.0, json!({"ev": "final", "how": "completed", "req": retry})));
        }
    }
    lines.sort_by(|left, right| left.time_s.total_cmp(&right.time_s));
    let series = Series::from_records(&lines, 100.0, 30.0);
    let seconds = &series.routes["chat"];
    assert_eq!((seconds[9].served, seconds[10].served, seconds[12].served), (1, 1, 0));
    assert_eq!((seconds[12].rejected, series.total(0..30).wanted, series.total(0..30).served), (1, 30, 26));
    assert_eq!(series.worst_window(), Some(WorstWindow { start_s: 5, served_fraction: 0.6 }));
    assert_eq!((series.recovery_s(11, 0.95), series.recovery_s(20, 0.95)), (Some(4), Some(0)));
}
