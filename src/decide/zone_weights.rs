//! Share of the traffic that may go to each zone.

use super::slow_start::is_drawn;
use super::Router;

/// Weight of each zone, from 0 to 1; a zone without a set weight has weight 1.
#[derive(Default)]
pub(super) struct ZoneWeights {
    weights: Vec<f64>,
}

impl ZoneWeights {
    pub(super) fn weight(&self, zone: u32) -> f64 {
        self.weights.get(zone as usize).copied().unwrap_or(1.0)
    }

    /// Returns whether a request with this draw may go to the zone. A recovering zone gets a share of the
    /// requests equal to its weight, and the shares of different zones are drawn independently.
    pub(super) fn admits(&self, zone: u32, draw: Option<u64>) -> bool {
        let weight = self.weight(zone);
        weight >= 1.0 || is_drawn(draw, "", u64::from(zone + 1), weight)
    }
}

impl Router {
    /// Sets the share of the traffic that may go to a zone from now on: 0 for an evacuated zone, 1 for a
    /// healthy one. The caller ensures that at least one zone keeps a weight above 0.
    pub fn set_zone_weight(&mut self, zone: u32, weight: f64) {
        let weights = &mut self.zone_weights.weights;
        weights.resize(weights.len().max(zone as usize + 1), 1.0);
        weights[zone as usize] = weight;
    }
}
