//! Bounds of the view: when a removal is suspected, and when a flapping endpoint is held out.

use super::flap_damping::DampingThresholds;

/// Bounds of an [`super::endpoint_view::EndpointView`].
#[derive(Clone, Copy, Debug)]
pub struct EndpointViewConfig {
    /// Share of the active endpoints that may be removed at once without suspicion.
    pub max_removal_share: f64,
    /// Number of endpoints that may always be removed at once.
    pub max_unsuspected_removals: usize,
    /// How long a suspected removal must stand to count without probes.
    pub suspicion_timeout_s: f64,
    /// Half-life of the flap penalty, which grows by one with each leaving and returning.
    pub flap_half_life_s: f64,
    /// An endpoint is held out above this penalty.
    pub flap_suppress_threshold: f64,
    /// An endpoint held out is used again at or below this penalty.
    pub flap_reuse_threshold: f64,
    /// Endpoints in the view; further ones are refused.
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
