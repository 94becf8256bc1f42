//! Decides by the age of a record of an earlier process whether it is still used, and with what weight.

use super::RecordKind;

const MINUTE_S: f64 = 60.0;
const DAY_S: f64 = 86_400.0;

/// Maximum age in seconds at which a record of a kind is used.
pub fn max_age_s(kind: RecordKind) -> f64 {
    match kind {
        // Engines and loads change; after ten minutes the learned state no longer describes them.
        RecordKind::LearnedState => 10.0 * MINUTE_S,
        // Clients do not repeat a request for longer. It is also the longest time for which the idempotency
        // table keeps a response.
        RecordKind::IdempotencyKey => 10.0 * MINUTE_S,
        // An old list is better than no list: engines that have left are detected as unreachable at once.
        RecordKind::EndpointList => DAY_S,
        // A deferred request has a deadline of its own, which no clock may cut short. This limit only removes
        // orphaned records.
        RecordKind::DeferredRequest => 30.0 * DAY_S,
    }
}

/// Half-life in seconds of the weight of learned state.
const LEARNED_STATE_HALF_LIFE_S: f64 = 60.0;
/// Tolerated difference in seconds between the clocks of two processes.
const CLOCK_SLACK_S: f64 = 2.0;

/// Age of a record in seconds; `None` if it was written later than now, which means that the clock has been
/// set back.
pub fn age_s(written_ms: u64, now_unix_s: f64) -> Option<f64> {
    let age_s = now_unix_s - written_ms as f64 / 1e3;
    (age_s >= -CLOCK_SLACK_S).then_some(age_s.max(0.0))
}

/// Weight, from 1 down to 0, of learned state of the given age.
pub fn learned_state_weight(age_s: f64) -> f64 {
    if age_s > max_age_s(RecordKind::LearnedState) {
        return 0.0;
    }
    0.5f64.powf(age_s / LEARNED_STATE_HALF_LIFE_S)
}

/// Returns whether a record is used. If its age is unknown, a record that prevents a second run is kept and
/// learned data is dropped: a request that may not run twice has to stay known for its whole window, while a
/// learned average may be outdated.
pub fn is_used(kind: RecordKind, age_s: Option<f64>) -> bool {
    match age_s {
        Some(age_s) => age_s <= max_age_s(kind),
        None => matches!(kind, RecordKind::IdempotencyKey | RecordKind::DeferredRequest),
    }
}

#[cfg(test)]
#[path = "retention_tests.rs"]
mod tests;
