use super::*;
use test_case::test_case;

#[test_case(0.25)]
#[test_case(0.5)]
#[test_case(2.0)]
#[test_case(60.0)]
fn longest_sequence_of_calls_ends_before_a_change_counts_as_announced(stop_dispatch_within_s: f64) {
    let timeouts = DiscoveryTimeouts::new(stop_dispatch_within_s);
    let response = timeouts.response_timeouts(0.0);
    let (watch_total_s, list_total_s) = (timeouts.watch_s + response.total_s, response.total_s);
    // Refused calls, however many, add no more than the longest gap.
    let gap_s = (0..100).map(|failures| timeouts.gap_s(failures)).fold(0.0, f64::max);
    assert!(watch_total_s + gap_s + list_total_s + gap_s + list_total_s <= ANNOUNCED_AFTER_S - MARGIN_S);
    // A call that is under way at the recovery, and the gap after it.
    let head_s = timeouts.watch_s + response.head_s;
    assert!(
        head_s + gap_s <= (stop_dispatch_within_s / 2.0).max(0.12) + 1e-9,
        "head timeout {head_s} s, gap {gap_s} s"
    );
    assert!(response.head_s + gap_s <= stop_dispatch_within_s / 2.0 + 1e-9);
}

/// Regression test: responses that are regularly late were never awaited long enough.
#[test]
fn timeouts_follow_the_observed_response_time() {
    let timeouts = DiscoveryTimeouts::new(0.25);
    for observed_s in [0.0, 0.1, 0.3] {
        assert!(timeouts.response_timeouts(observed_s).head_s > observed_s);
    }
    let slow = timeouts.response_timeouts(20.0);
    assert_eq!(slow.head_s, slow.total_s, "no longer than for a whole response");
}
