//! Whether a record of an earlier process is still used, and with what weight, by its age.

use super::RecordKind;

const MINUTE_S: f64 = 60.0;
const DAY_S: f64 = 86_400.0;

/// Oldest age at which a record of a kind is used, in seconds.
pub fn max_age_s(kind: RecordKind) -> f64 {
    match kind {
        // Engines and loads change; after ten minutes nothing of it holds.
        RecordKind::LearnedState => 10.0 * MINUTE_S,
        // Clients do not repeat a request for longer; also the longest that the table keeps a response.
        RecordKind::IdempotencyKey => 10.0 * MINUTE_S,
        // An old list is better than none: engines that are gone are found unreachable at once.
        RecordKind::EndpointList => DAY_S,
        // It carries a deadline of its own, which no clock may cut short; this only frees records without an owner.
        RecordKind::DeferredRequest => 30.0 * DAY_S,
    }
}

/// Half-life of the weight of learned state.
const LEARNED_STATE_HALF_LIFE_S: f64 = 60.0;
/// Clocks of two processes may differ by this much.
const CLOCK_SLACK_S: f64 = 2.0;

/// Age in seconds; none if the record was written later than now, by a clock that has been set back since.
pub fn age_s(written_ms: u64, now_unix_s: f64) -> Option<f64> {
    let age_s = now_unix_s - written_ms as f64 / 1e3;
    (age_s >= -CLOCK_SLACK_S).then_some(age_s.max(0.0))
}

/// Weight of learned state of an age, from 1 to 0.
pub fn learned_state_weight(age_s: f64) -> f64 {
    if age_s > max_age_s(RecordKind::LearnedState) {
        return 0.0;
    }
    0.5f64.powf(age_s / LEARNED_STATE_HALF_LIFE_S)
}

/// Whether a record is used. One of unknown age still binds but does not inform: a request that may not run twice stays
/// known for its whole window, a learned average is dropped.
pub fn is_used(kind: RecordKind, age_s: Option<f64>) -> bool {
    match age_s {
        Some(age_s) => age_s <= max_age_s(kind),
        None => matches!(kind, RecordKind::IdempotencyKey | RecordKind::DeferredRequest),
    }
}

#[cfg(test)]
#[path = "retention_tests.rs"]
mod tests;
