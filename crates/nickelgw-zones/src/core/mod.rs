//! States of all zones as judged by this node. A state is a function of the observations of the nodes in this
//! node's own zone, so that nodes with the same observations decide the same without a vote.
//!
//! The evidence that a zone has failed consists of engines that have been unreachable since any engine of the
//! zone last responded. Each such engine counts once, however many requests to it failed. A single dead
//! engine does not make a zone fail, since the other engines of the zone respond; nor do busy engines, since
//! any answer is a response. The endpoint list of service discovery is not evidence.

mod capacity;
mod config;
mod evidence;
mod failover;

pub use capacity::ZoneCapacity;
pub use config::ZoneConfig;
pub use evidence::ZoneObservation;
pub use failover::{ZoneState, RECOVERY_WEIGHTS};

use evidence::{count_nodes, ZoneEvidence, MIN_REPORTING_NODES};
use failover::ZoneFailover;

/// Change of the state of a zone, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTransition {
    /// Index of the zone.
    pub zone: usize,
    /// State after the change.
    pub state: ZoneState,
    /// Number of distinct engines of the zone that are unreachable.
    pub unreachable_engines: usize,
    /// Number of distinct nodes that reported any of these engines.
    pub reporting_nodes: usize,
}

/// The state and the traffic weight of each zone.
pub struct ZoneStates {
    config: ZoneConfig,
    zones: Vec<ZoneFailover>,
    /// Weights applied to the traffic: the weight by this node's own judgement, or a lower one that its peers
    /// agree on.
    weights: Vec<f64>,
}

impl ZoneStates {
    /// Creates the states of `zones` zones, all active.
    pub fn new(zones: usize, config: ZoneConfig) -> ZoneStates {
        ZoneStates { config, zones: vec![ZoneFailover::new(); zones], weights: vec![1.0; zones] }
    }

    /// Fraction of its usual traffic that the zone is to receive.
    pub fn weight(&self, zone: usize) -> f64 {
        self.weights.get(zone).copied().unwrap_or(1.0)
    }

    /// Weight of a zone by this node's own judgement. This is the weight that is reported to peers; reporting
    /// the applied weight would let a node be held back by an echo of its own report.
    pub fn own_weight(&self, zone: usize) -> f64 {
        self.state(zone).map_or(1.0, ZoneState::weight)
    }

    /// State of a zone; `None` if there is no such zone.
    pub fn state(&self, zone: usize) -> Option<ZoneState> {
        self.zones.get(zone).map(|failover| failover.state)
    }

    /// Indices of the zones whose engines are to be probed.
    pub fn zones_to_probe(&self) -> impl Iterator<Item = usize> + '_ {
        let is_active = |zone: usize| matches!(self.zones[zone].state, ZoneState::Active);
        (0..self.zones.len()).filter(move |&zone| !is_active(zone) || self.weights[zone] < 1.0)
    }

    /// Updates the state of each zone. `observations` are those of all nodes in this node's zone, and begin
    /// with this node's own. `capacities` has the number of listed engines of each zone.
    pub fn update(
        &mut self,
        now: f64,
        observations: &[ZoneObservation],
        capacities: &[ZoneCapacity],
    ) -> Vec<ZoneTransition> {
        let mut transitions = Vec::new();
        let nodes = count_nodes(observations);
        for zone in 0..self.zones.len() {
            let evidence = ZoneEvidence::collect(now, zone, observations, &self.config);
            let evacuate = evidence.shows_zone_failure(capacity_of(zone, capacities), nodes)
                && self.may_evacuate(zone, capacities);
            let failover = &mut self.zones[zone];
            let earlier = failover.state;
            failover.update(now, &evidence, evacuate, &self.config);
            if failover.state.is_transition_from(earlier) {
                transitions.push(ZoneTransition {
                    zone,
                    state: failover.state,
                    unreachable_engines: evidence.unreachable_engines(),
                    reporting_nodes: evidence.reporting_nodes,
                });
            }
        }
        self.apply_peer_weights(observations);
        self.keep_needed_zones(capacities);
        transitions
    }

    /// Returns whether the other zones that are not evacuated can serve every phase without this one. The
    /// last such zone is never evacuated.
    fn may_evacuate(&self, zone: usize, capacities: &[ZoneCapacity]) -> bool {
        let is_open = |other: usize| !matches!(self.zones[other].state, ZoneState::Evacuated { .. });
        let remaining: ZoneCapacity = (0..self.zones.len())
            .filter(|&other| other != zone && is_open(other))
            .map(|other| capacity_of(other, capacities))
            .sum();
        let all = capacities.iter().copied().sum();
        remaining.total() > 0 && remaining.covers(all)
    }

    /// Lowers the weights of zones to those that peers agree on. A node that has just started or was
    /// suspended has no observations of its own, so it follows the median weight of its peers if there are at
    /// least two. A single peer cannot change the weights of another node.
    fn apply_peer_weights(&mut self, observations: &[ZoneObservation]) {
        let own_node = observations.first().map(|observation| observation.node);
        for zone in 0..self.zones.len() {
            let mut peer_weights: Vec<f64> = observations
                .iter()
                .filter(|observation| observation.zone == zone && Some(observation.node) != own_node)
                .map(|observation| observation.weight.clamp(0.0, 1.0))
                .collect();
            peer_weights.sort_by(f64::total_cmp);
            let middle = (peer_weights.len() / 2).max(MIN_REPORTING_NODES - 1);
            let agreed_weight = peer_weights.get(middle).copied().unwrap_or(1.0);
            let own_weight = self.own_weight(zone);
            self.weights[zone] = match self.zones[zone].state {
                ZoneState::Active | ZoneState::Suspected { .. } => own_weight.min(agreed_weight),
                ZoneState::Evacuated { .. } | ZoneState::Recovering { .. } => own_weight,
            };
        }
    }

    /// Restores the full weight of zones that have none, if the zones that still receive traffic could not
    /// serve a phase without them. This happens if the weight was lowered by the reports of peers alone.
    fn keep_needed_zones(&mut self, capacities: &[ZoneCapacity]) {
        for zone in 0..self.weights.len() {
            let others: ZoneCapacity = (0..self.weights.len())
                .filter(|&other| other != zone && self.weights[other] > 0.0)
                .map(|other| capacity_of(other, capacities))
                .sum();
            if self.weights[zone] == 0.0 && !others.covers(capacity_of(zone, capacities)) {
                self.weights[zone] = 1.0;
            }
        }
    }
}

/// Capacity of a zone; zero if the zone is not listed.
fn capacity_of(zone: usize, capacities: &[ZoneCapacity]) -> ZoneCapacity {
    capacities.get(zone).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests;
