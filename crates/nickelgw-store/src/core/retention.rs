//! How far what an earlier process wrote is believed, by its age.

use super::RecordKind;

/// Oldest that a record of a kind is used at, in seconds.
pub fn limit_s(kind: RecordKind) -> f64 {
    match kind {
        // Engines and loads change; after ten minutes nothing of it holds.
        RecordKind::LearnedState => 600.0,
        // Clients do not repeat a request for longer; also the longest that the table keeps an answer.
        RecordKind::IdempotencyKey => 600.0,
        // An old list is better than none: engines that are gone are found out at once.
        RecordKind::EndpointList => 86_400.0,
        // It has a time of its own, which no clock may cut short; this only frees what was forgotten.
        RecordKind::DeferredRequest => 30.0 * 86_400.0,
    }
}

/// In this time what was learnt loses half of its weight.
const HALF_S: f64 = 60.0;
/// A clock may be this far off between two processes without meaning anything.
const CLOCK_SLACK_S: f64 = 2.0;

/// Age in seconds; none where it cannot be: written later than now, by a clock that has been set back since.
pub fn age_s(written_ms: u64, now_unix_s: f64) -> Option<f64> {
    let age = now_unix_s - written_ms as f64 / 1e3;
    (age >= -CLOCK_SLACK_S).then_some(age.max(0.0))
}

/// Weight of what was learnt, from 1 to 0.
pub fn weight(age_s: f64) -> f64 {
    match age_s > limit_s(RecordKind::LearnedState) {
        true => 0.0,
        false => 0.5f64.powf(age_s / HALF_S),
    }
}

/// Whether a record is used. One of no known age may bind but never inform: a repeat that may not run stays known for
/// its whole time, a learnt figure is dropped.
pub fn used(kind: RecordKind, age: Option<f64>) -> bool {
    match age {
        Some(age) => age <= limit_s(kind),
        None => matches!(kind, RecordKind::IdempotencyKey | RecordKind::DeferredRequest),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_old_fades_and_a_clock_set_back_is_noticed() {
        assert_eq!(age_s(10_000, 70.0), Some(60.0));
        assert_eq!(age_s(71_000, 70.0), Some(0.0));
        assert_eq!(age_s(100_000, 70.0), None);
        assert!((weight(60.0) - 0.5).abs() < 1e-9 && weight(0.0) == 1.0 && weight(601.0) == 0.0);
        assert!(
            used(RecordKind::IdempotencyKey, None)
                && !used(RecordKind::LearnedState, None)
                && !used(RecordKind::EndpointList, None)
        );
        assert!(
            used(RecordKind::EndpointList, Some(7200.0)) && !used(RecordKind::LearnedState, Some(7200.0))
        );
    }
}
