//! Settings of zone failover.

/// Times that govern the transitions between zone states.
#[derive(Clone, Copy, Debug)]
pub struct ZoneConfig {
    /// Longest time until an engine that stopped answering is found unreachable.
    pub detection_s: f64,
    /// How long a zone stays suspected before it may be evacuated, so that contradicting observations can arrive.
    pub confirm_s: f64,
    /// Unreachable engines reported longer ago than this are no evidence any more.
    pub evidence_window_s: f64,
    /// Shortest time between two steps of a recovery.
    pub recovery_step_s: f64,
    /// Wait between the first response of an evacuated zone and its recovery; it doubles with each evacuation.
    pub failback_delay_s: f64,
    /// Upper bound of the doubled wait.
    pub max_failback_delay_s: f64,
    /// A zone that was active for so long starts again with the shortest wait.
    pub stable_s: f64,
}

impl Default for ZoneConfig {
    fn default() -> ZoneConfig {
        ZoneConfig {
            detection_s: 0.25,
            confirm_s: 0.3,
            evidence_window_s: 5.0,
            recovery_step_s: 1.0,
            failback_delay_s: 0.5,
            max_failback_delay_s: 30.0,
            stable_s: 60.0,
        }
    }
}
