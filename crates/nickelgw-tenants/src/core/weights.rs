//! Division of a fleet-wide quota among the nodes according to where the traffic arrives. Each node publishes
//! its demand and computes its fraction of the quota from the published demands. Nodes read the demands at
//! different times, so a node uses the least of the fractions computed from all demands that it read within
//! the last time span. Whenever some revision is in every node's span, the fractions sum to no more than one.

use std::collections::{BTreeMap, VecDeque};

/// Share of the quota that is distributed evenly, as a node with a fraction of zero could never show any
/// demand.
const EVEN_PART: f64 = 0.1;

/// Limits of a [`NodeQuota`].
#[derive(Clone, Copy, Debug)]
pub struct NodeQuotaConfig {
    /// Time for which demands may still be in use at some node after they were read here.
    pub span_s: f64,
    /// Maximum number of revisions that are remembered. Beyond it the two oldest are merged.
    pub max_revisions: usize,
}

/// Demands of all nodes for one quota, at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Demands {
    /// Number of the revision.
    pub revision: u64,
    /// Demand of each node, by node number.
    pub by_node: BTreeMap<u32, f64>,
}

/// Computes a node's fraction of the quota from one revision of the demands.
pub fn fraction_of_node(demands: &Demands, node: u32) -> f64 {
    let Some(own_demand) = demands.by_node.get(&node) else { return 0.0 };
    let node_count = demands.by_node.len() as f64;
    let sum: f64 = demands.by_node.values().map(|demand| demand.max(0.0)).sum();
    let even_fraction = EVEN_PART / node_count;
    let demand_fraction = if sum > 0.0 { own_demand.max(0.0) / sum } else { 1.0 / node_count };
    even_fraction + (1.0 - EVEN_PART) * demand_fraction
}

#[derive(Clone, Copy, Debug)]
struct FractionAtRevision {
    expires_at: f64,
    revision: u64,
    fraction: f64,
}

/// This node's fraction of one quota, from the demands that it read recently.
pub struct NodeQuota {
    config: NodeQuotaConfig,
    node: u32,
    recent: VecDeque<FractionAtRevision>,
}

impl NodeQuota {
    /// Creates the fraction of a node that has not read any demands.
    pub fn new(config: NodeQuotaConfig, node: u32) -> NodeQuota {
        NodeQuota { config, node, recent: VecDeque::new() }
    }

    /// Records demands that were read. `requested_at` is the time of the read request, from which their age
    /// is counted.
    pub fn update_demands(&mut self, requested_at: f64, demands: &Demands) {
        let expires_at = requested_at + self.config.span_s;
        let revision = demands.revision;
        if let Some(known) = self.recent.iter_mut().find(|known| known.revision == revision) {
            known.expires_at = known.expires_at.max(expires_at);
            return;
        }
        let fraction = fraction_of_node(demands, self.node);
        self.recent.push_back(FractionAtRevision { expires_at, revision, fraction });
        if self.recent.len() > self.config.max_revisions {
            self.merge_oldest();
        }
    }

    /// Merges the two oldest revisions to bound the list. The lesser of their fractions is kept.
    fn merge_oldest(&mut self) {
        let Some(oldest) = self.recent.pop_front() else { return };
        if let Some(next) = self.recent.front_mut() {
            next.fraction = next.fraction.min(oldest.fraction);
            next.expires_at = next.expires_at.max(oldest.expires_at);
        }
    }

    /// Returns the fraction that the node may use now. Zero once all known demands are too old.
    pub fn current(&mut self, now: f64) -> f64 {
        self.recent.retain(|known| now < known.expires_at);
        self.recent.iter().map(|known| known.fraction).reduce(f64::min).unwrap_or(0.0)
    }
}

/// Half-life of the arrivals in a [`DemandRate`].
const HALF_LIFE_S: f64 = 5.0;

/// This node's own demand: the exponentially weighted rate of arrivals, whether admitted or not.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    rate: f64,
    at: f64,
}

impl DemandRate {
    /// Records an arrival of this amount.
    pub fn record(&mut self, now: f64, amount: f64) {
        self.rate = self.per_s(now) + amount * std::f64::consts::LN_2 / HALF_LIFE_S;
        self.at = self.at.max(now);
    }

    /// Returns the rate of arrivals per second.
    pub fn per_s(&self, now: f64) -> f64 {
        self.rate * 0.5f64.powf((now - self.at).max(0.0) / HALF_LIFE_S)
    }
}

#[cfg(test)]
#[path = "weights_tests.rs"]
mod tests;
