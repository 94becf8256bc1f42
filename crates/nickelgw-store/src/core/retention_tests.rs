use super::*;

#[test]
fn learned_state_decays_with_age_and_age_is_unknown_after_clock_was_set_back() {
    assert_eq!(age_s(10_000, 70.0), Some(60.0));
    assert_eq!(age_s(71_000, 70.0), Some(0.0));
    assert_eq!(age_s(100_000, 70.0), None);
    assert!(
        (learned_state_weight(60.0) - 0.5).abs() < 1e-9
            && learned_state_weight(0.0) == 1.0
            && learned_state_weight(601.0) == 0.0
    );
    assert!(
        is_used(RecordKind::IdempotencyKey, None)
            && !is_used(RecordKind::LearnedState, None)
            && !is_used(RecordKind::EndpointList, None)
    );
    assert!(
        is_used(RecordKind::EndpointList, Some(7200.0)) && !is_used(RecordKind::LearnedState, Some(7200.0))
    );
}
