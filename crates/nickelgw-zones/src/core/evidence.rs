//! What the nodes observed of a zone, merged into the evidence that it has failed.

use super::{ZoneCapacity, ZoneConfig};
use std::collections::{BTreeMap, BTreeSet};

/// Unreachable engines that are always enough to evacuate a zone: so many failing independently is not plausible, however
/// large the zone is.
const MAX_UNREACHABLE_NEEDED: usize = 8;
/// Unreachable engines needed at least, in a zone that has so many.
const MIN_UNREACHABLE_NEEDED: usize = 2;
/// Nodes that must have reported unreachable engines, where there are so many nodes.
pub(super) const MIN_REPORTING_NODES: usize = 2;
/// Unreachable engines that make a zone count as failing while it recovers: a single dead engine delays nothing.
const MIN_FAILING_ENGINES: usize = 2;

/// What one node observed of one zone, in this node's time.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// Identifies the observing node, this one included.
    pub node: u64,
    /// Index of the observed zone.
    pub zone: usize,
    /// When any engine of the zone last responded.
    pub last_response_at: Option<f64>,
    /// Engines that have been unreachable since their last response, each with the time of the latest failure.
    pub unreachable: Vec<(u64, f64)>,
    /// Share of its usual traffic that the node sends to the zone.
    pub weight: f64,
}

/// What all nodes together observed of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneEvidence {
    /// When any node last had a response from the zone.
    last_response_at: Option<f64>,
    /// Engines unreachable since then, each with the time of the latest failure.
    unreachable: BTreeMap<u64, f64>,
    /// Nodes that reported any of them.
    pub(super) reporting_nodes: usize,
}

impl ZoneEvidence {
    /// Merges the observations of a zone. A failure counts only if no node had a response from the zone after it.
    pub(super) fn collect(
        now: f64,
        zone: usize,
        observations: &[ZoneObservation],
        config: &ZoneConfig,
    ) -> ZoneEvidence {
        let of_zone = || observations.iter().filter(|observation| observation.zone == zone);
        let mut evidence = ZoneEvidence {
            last_response_at: of_zone()
                .filter_map(|observation| observation.last_response_at)
                .reduce(f64::max),
            ..ZoneEvidence::default()
        };
        let last_response_at = evidence.last_response_at.unwrap_or(f64::NEG_INFINITY);
        // The request that failed was sent up to `detection_s` before it was found to have failed: a response in between
        // does not contradict the failure.
        let counts = |failed_at: f64| {
            failed_at - config.detection_s > last_response_at && failed_at > now - config.evidence_window_s
        };
        for observation in of_zone() {
            let mut reported_any = false;
            for &(engine, failed_at) in observation.unreachable.iter().filter(|failure| counts(failure.1)) {
                let latest = evidence.unreachable.entry(engine).or_insert(failed_at);
                *latest = latest.max(failed_at);
                reported_any = true;
            }
            evidence.reporting_nodes += usize::from(reported_any);
        }
        evidence
    }

    /// Distinct engines that are unreachable.
    pub(super) fn unreachable_engines(&self) -> usize {
        self.unreachable.len()
    }

    /// Whether any engine of the zone may have failed.
    pub(super) fn is_suspicious(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Whether more has failed than a single engine.
    pub(super) fn is_failing(&self) -> bool {
        self.unreachable_engines() >= MIN_FAILING_ENGINES
    }

    /// Whether any engine of the zone responded after this time.
    pub(super) fn responded_since(&self, since: f64) -> bool {
        self.last_response_at.is_some_and(|at| at > since)
    }

    /// Whether a request sent after this time failed.
    pub(super) fn failed_since(&self, since: f64, config: &ZoneConfig) -> bool {
        self.unreachable.values().any(|&failed_at| failed_at - config.detection_s > since)
    }

    /// Whether enough engines are unreachable, reported by enough nodes, to take the whole zone for failed.
    pub(super) fn shows_zone_failure(&self, capacity: ZoneCapacity, nodes: usize) -> bool {
        let engines = capacity.total();
        let needed = engines.div_ceil(2).clamp(MIN_UNREACHABLE_NEEDED, MAX_UNREACHABLE_NEEDED);
        let enough_engines = engines > 0 && self.unreachable_engines() >= needed.min(engines.max(1));
        enough_engines && self.reporting_nodes >= MIN_REPORTING_NODES.min(nodes)
    }
}

/// Distinct nodes among the observers.
pub(super) fn count_nodes(observations: &[ZoneObservation]) -> usize {
    let nodes: BTreeSet<u64> = observations.iter().map(|observation| observation.node).collect();
    nodes.len()
}
