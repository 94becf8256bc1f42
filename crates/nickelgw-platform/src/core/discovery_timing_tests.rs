use super::*;
use test_case::test_case;

#[test_case(0.25)]
#[test_case(0.5)]
#[test_case(2.0)]
#[test_case(60.0)]
fn longest_sequence_of_calls_ends_before_a_change_counts_as_announced(stop_dispatch_within_s: f64) {
    let timeouts = DiscoveryTimeouts::new(stop_dispatch_within_s);
    let watch = timeouts.response_timeouts(DiscoveryCall::Watch);
    let list = timeouts.response_timeouts(DiscoveryCall::List);
    // Refused calls, however many, add no more than the longest gap.
    let gap_s = (0..100).map(|failures| timeouts.gap_s(failures)).fold(0.0, f64::max);
    assert!(watch.total_s + gap_s + list.total_s + gap_s + list.total_s <= ANNOUNCED_AFTER_S - MARGIN_S);
    // A call that is under way at the recovery, and the gap after it.
    let head_s = watch.head_s;
    assert!(
        head_s + gap_s <= (stop_dispatch_within_s / 2.0).max(0.12) + 1e-9,
        "head timeout {head_s} s, gap {gap_s} s"
    );
    assert!(list.head_s + gap_s <= stop_dispatch_within_s / 2.0 + 1e-9);
}
