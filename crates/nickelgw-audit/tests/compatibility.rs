//! Guards against a change that misreads records of an earlier release, or judges them differently.
//! `fixtures/e7de451/README.md` says how they were made.

use nickelgw_audit::{audit, read_records, route_stats};
use std::path::Path;

#[test]
fn records_of_an_earlier_release_get_the_same_verdict() {
    let records = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/e7de451/records");
    let entries = read_records(&records).unwrap();

    // Expected values come from the report that the earlier release wrote.
    let report = audit(&entries);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let checked: Vec<(&str, usize)> = report.checked.iter().map(|(rule, cases)| (*rule, *cases)).collect();
    assert_eq!(checked, [("cold", 1), ("drain", 2), ("lost", 30), ("pinned", 30), ("twice", 9)]);
    assert_eq!((report.excused_reservations, report.unconfirmed_removal_attempts), (0, 0));
    assert_eq!(report.max_slow_start_load, 0.0048839740342020085);
    assert_eq!(report.unattended_quantile(0.5), Some(0.0008215904235839844));
    assert_eq!(report.unattended_quantile(1.0), Some(0.0035314559936523438));

    let routes = route_stats(&entries);
    let counts: Vec<(&str, u64, u64, u64, u64)> = routes
        .iter()
        .map(|(model, stats)| {
            (model.as_str(), stats.requests, stats.completed, stats.failed, stats.client_disconnects)
        })
        .collect();
    assert_eq!(counts, [("booking", 9, 8, 1, 0), ("chat", 21, 18, 0, 3)]);
    assert_eq!(routes["chat"].ttft_quantile(0.5), Some(0.08002972602844238));
}
