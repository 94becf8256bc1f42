//! Settings of zone failover.

/// Times that govern the transitions between zone states.
#[derive(Clone, Copy, Debug)]
pub struct ZoneConfig {
    /// Longest time in seconds until an engine that has stopped responding is detected as unreachable.
    pub detection_s: f64,
    /// Time in seconds that a zone stays suspected before it may be evacuated, which lets contradicting
    /// observations arrive.
    pub confirm_s: f64,
    /// Maximum age in seconds of the failure of an engine that counts as evidence.
    pub evidence_window_s: f64,
    /// Shortest duration of a recovery step in seconds.
    pub recovery_step_s: f64,
    /// Time in seconds from the first response of an evacuated zone to its recovery; doubles with each
    /// evacuation.
    pub failback_delay_s: f64,
    /// Upper bound in seconds of the doubled failback delay.
    pub max_failback_delay_s: f64,
    /// Time in seconds that a zone must be active for its failback delay to be reset.
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
