use super::*;

#[test]
fn reports_round_trip_and_malformed_ones_are_rejected() {
    let mut report = LoadReport { mem_utilization: Some(0.5), ..LoadReport::default() };
    report.named_metrics.insert(QUEUED_REQUESTS_METRIC.into(), 3.0);
    assert_eq!(LoadReport::parse(&report.to_header()).unwrap(), report);
    for malformed in ["BIN x", "JSON {", "JSON {\"mem_utilization\":-1}", "TEXT mem_utilization=0.3"] {
        assert!(LoadReport::parse(malformed).is_err(), "{malformed}");
    }
}
