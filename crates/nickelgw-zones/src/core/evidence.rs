//! Evidence that a zone has failed, merged from the observations of the nodes.

use super::{ZoneCapacity, ZoneConfig};
use std::collections::{BTreeMap, BTreeSet};

/// Number of unreachable engines that always suffices to evacuate a zone. It is not plausible that this many
/// fail independently, however large the zone is.
const MAX_UNREACHABLE_NEEDED: usize = 8;
/// Minimum number of unreachable engines needed to evacuate a zone; fewer suffice only if the zone has fewer
/// engines.
const MIN_UNREACHABLE_NEEDED: usize = 2;
/// Minimum number of nodes that must have reported unreachable engines; fewer suffice only if there are fewer
/// nodes.
pub(super) const MIN_REPORTING_NODES: usize = 2;
/// Number of unreachable engines from which an evacuated or recovering zone counts as failing. A single dead
/// engine does not delay the recovery.
const MIN_FAILING_ENGINES: usize = 2;

/// Observations of one zone by one node. Times are in seconds of this node's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// Identifier of the observing node, which may be this node.
    pub node: u64,
    /// Index of the observed zone.
    pub zone: usize,
    /// Time at which any engine of the zone last responded; `None` if no engine has responded.
    pub last_response_at: Option<f64>,
    /// Engines that have been unreachable since their last response, each with the time of its latest
    /// failure.
    pub unreachable: Vec<(u64, f64)>,
    /// Fraction of its usual traffic that the node sends to the zone.
    pub weight: f64,
}

/// Merged observations of one zone by all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneEvidence {
    /// Time at which any node last received a response from the zone; `None` if none has.
    last_response_at: Option<f64>,
    /// Engines unreachable since that response, each with the time of its latest failure.
    unreachable: BTreeMap<u64, f64>,
    /// Number of nodes that reported any of these engines.
    pub(super) reporting_nodes: usize,
}

impl ZoneEvidence {
    /// Merges the observations of a zone. A failure counts only if no node received a response from the zone
    /// after it.
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
        // A failed request was sent up to `detection_s` before its failure was detected. The failure only
        // counts if even the earliest time at which the request may have been sent is later than the last
        // response.
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

    /// Number of distinct engines that are unreachable.
    pub(super) fn unreachable_engines(&self) -> usize {
        self.unreachable.len()
    }

    /// Returns whether any engine of the zone is unreachable.
    pub(super) fn is_suspicious(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns whether more than a single engine is unreachable.
    pub(super) fn is_failing(&self) -> bool {
        self.unreachable_engines() >= MIN_FAILING_ENGINES
    }

    /// Returns whether any engine of the zone responded after a time.
    pub(super) fn responded_since(&self, since: f64) -> bool {
        self.last_response_at.is_some_and(|at| at > since)
    }

    /// Returns whether a request that was sent after a time has failed.
    pub(super) fn failed_since(&self, since: f64, config: &ZoneConfig) -> bool {
        self.unreachable.values().any(|&failed_at| failed_at - config.detection_s > since)
    }

    /// Returns whether enough engines are unreachable, as reported by enough nodes, to consider the whole
    /// zone as failed.
    pub(super) fn shows_zone_failure(&self, capacity: ZoneCapacity, nodes: usize) -> bool {
        let engines = capacity.total();
        let needed = engines.div_ceil(2).clamp(MIN_UNREACHABLE_NEEDED, MAX_UNREACHABLE_NEEDED);
        let enough_engines = engines > 0 && self.unreachable_engines() >= needed.min(engines.max(1));
        enough_engines && self.reporting_nodes >= MIN_REPORTING_NODES.min(nodes)
    }
}

/// Number of distinct nodes that made the observations.
pub(super) fn count_nodes(observations: &[ZoneObservation]) -> usize {
    let nodes: BTreeSet<u64> = observations.iter().map(|observation| observation.node).collect();
    nodes.len()
}
