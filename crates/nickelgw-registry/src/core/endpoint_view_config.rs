//! Settings of the endpoint view: thresholds for suspected removals and for flap damping.

use super::flap_damping::DampingThresholds;

/// Thresholds and limits of an [`super::endpoint_view::EndpointView`].
#[derive(Clone, Copy, Debug)]
pub struct EndpointViewConfig {
    /// Fraction of the active endpoints that may be removed at once without suspicion.
    pub max_removal_share: f64,
    /// Number of endpoints that may always be removed at once without suspicion.
    pub max_unsuspected_removals: usize,
    /// Time in seconds after which a suspected removal counts as confirmed without a failed probe.
    pub suspicion_timeout_s: f64,
    /// Half-life in seconds of the flap penalty, which grows by one each time that an endpoint leaves and
    /// returns.
    pub flap_half_life_s: f64,
    /// Flap penalty above which an endpoint is suppressed.
    pub flap_suppress_threshold: f64,
    /// Flap penalty at or below which a suppressed endpoint is used again.
    pub flap_reuse_threshold: f64,
    /// Maximum number of endpoints in the view; further ones are refused.
    pub max_endpoints: usize,
}

impl Default for EndpointViewConfig {
    fn default() -> Self {
        EndpointViewConfig {
            max_removal_share: 0.34,
            max_unsuspected_removals: 2,
            suspicion_timeout_s: 60.0,
            flap_half_life_s: 15.0,
            flap_suppress_threshold: 3.5,
            flap_reuse_threshold: 1.5,
            max_endpoints: 10_000,
        }
    }
}

impl EndpointViewConfig {
    pub(super) fn damping(&self) -> DampingThresholds {
        DampingThresholds {
            half_life_s: self.flap_half_life_s,
            suppress: self.flap_suppress_threshold,
            reuse: self.flap_reuse_threshold,
        }
    }
}
