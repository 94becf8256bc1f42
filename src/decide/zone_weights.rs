//! The part of the traffic that may go to each zone.

use super::slow_start::is_drawn;
use super::Router;

/// A weight for each zone; a zone of which none was set has all of its traffic.
#[derive(Default)]
pub(super) struct ZoneWeights {
    weights: Vec<f64>,
}

impl ZoneWeights {
    pub(super) fn weight(&self, zone: u32) -> f64 {
        self.weights.get(zone as usize).copied().unwrap_or(1.0)
    }

    /// Whether a request with this draw may go to the zone: one that recovers in steps gets a part of all, and
    /// each zone's is drawn on its own.
    pub(super) fn admits(&self, zone: u32, draw: Option<u64>) -> bool {
        let weight = self.weight(zone);
        weight >= 1.0 || is_drawn(draw, "", u64::from(zone + 1), weight)
    }
}

impl Router {
    /// The part of the traffic that may go to a zone from now on: 0, it is evacuated; 1, it is as any other. The
    /// caller keeps one zone at least.
    pub fn set_zone_weight(&mut self, zone: u32, weight: f64) {
        let weights = &mut self.zone_weights.weights;
        weights.resize(weights.len().max(zone as usize + 1), 1.0);
        weights[zone as usize] = weight;
    }
}
