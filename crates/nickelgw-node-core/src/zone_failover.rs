//! Zone failover in a fleet of nodes. The node publishes its decision module's observations of each zone in
//! its gossip record. The observations of all nodes of its zone determine the states of zones, and the
//! decision module is given only the resulting traffic weight of each zone. This module has no sockets and no
//! clock.

use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::{EngineObservation, EngineRole};
use nickelgw_gossip::core::record::{name_hash, ZoneReport, MAX_UNREACHABLE};
use nickelgw_gossip::core::PeerRecord;
use nickelgw_zones::core::{
    ZoneCapacity, ZoneConfig, ZoneObservation, ZoneState, ZoneStates, ZoneTransition,
};

/// Number of engines of a suspected zone that all nodes together probe in a round: as many as suffice to
/// prove the zone lost.
const PROBES_WHILE_SUSPECTED: f64 = 8.0;
/// Number of engines of an evacuated or recovering zone that all nodes together probe in a round.
const PROBES_PER_ROUND: f64 = 1.0;
/// Milliseconds per second: ages in gossip records are in milliseconds.
const MS_PER_S: f64 = 1e3;
/// Full weight of a zone in gossip records, which hold weights in thousandths.
const FULL_WEIGHT_PER_MILLE: u16 = 1000;

/// Reports of a zone that this node has made or received.
#[derive(Clone)]
struct ReportedZone {
    /// Hashes of the unreachable engines that this node has already reported.
    unreachable: Vec<u64>,
    /// When other nodes last found an engine of the zone unreachable.
    last_unreachable_at: f64,
    /// When an engine of the zone last responded, as far as other nodes know.
    last_response_at: f64,
}

impl ReportedZone {
    const UNKNOWN: ReportedZone = ReportedZone {
        unreachable: Vec::new(),
        last_unreachable_at: f64::NEG_INFINITY,
        last_response_at: f64::NEG_INFINITY,
    };

    fn record_response(&mut self, at: Option<f64>) {
        self.last_response_at = self.last_response_at.max(at.unwrap_or(f64::NEG_INFINITY));
    }
}

/// States of zones, derived from the observations of this node and its peers.
pub struct ZoneFailover {
    zone_states: ZoneStates,
    config: ZoneConfig,
    zones: Vec<String>,
    /// Hash of the name of this node.
    node: u64,
    random: WyRand,
    probed_at: f64,
    round_s: f64,
    reported: Vec<ReportedZone>,
}

/// Result of a round of zone updates.
#[derive(Clone, Debug, Default)]
pub struct ZoneRound {
    /// State changes of zones.
    pub transitions: Vec<ZoneTransition>,
    /// Zone reports for the node's own gossip record.
    pub reports: Vec<ZoneReport>,
    /// Whether the record is to be sent to peers at once.
    pub urgent: bool,
    /// Whether no zone is evacuated or recovering.
    pub all_zones_active: bool,
}

/// Returns an engine's hash as gossip records hold it: the lower 32 bits of the hash of its id.
fn engine_hash(id: &str) -> u64 {
    name_hash(id) & u64::from(u32::MAX)
}

impl ZoneFailover {
    /// Creates states in which all zones are active. `name`: name of this node. `round_s`: seconds between
    /// two rounds.
    pub fn new(zones: Vec<String>, name: &str, config: ZoneConfig, round_s: f64, seed: u64) -> ZoneFailover {
        ZoneFailover {
            zone_states: ZoneStates::new(zones.len(), config),
            config,
            node: name_hash(name),
            random: WyRand::new_seed(seed),
            probed_at: f64::NEG_INFINITY,
            round_s,
            reported: vec![ReportedZone::UNKNOWN; zones.len()],
            zones,
        }
    }

    /// Returns each zone with its traffic weight.
    pub fn zone_weights(&self) -> Vec<(String, f64)> {
        let zones = self.zones.iter().enumerate();
        zones.map(|(zone, name)| (name.clone(), self.zone_states.weight(zone))).collect()
    }

    /// Logs one line for each state change.
    pub fn log_transitions(&self, transitions: &[ZoneTransition]) {
        for transition in transitions {
            let zone = &self.zones[transition.zone];
            let part = self.zone_states.own_weight(transition.zone);
            let (engines, nodes) = (transition.unreachable_engines, transition.reporting_nodes);
            match transition.state {
                ZoneState::Evacuated { responding_since: None, .. } => {
                    tracing::warn!(%zone, engines, nodes, "zone evacuated")
                }
                ZoneState::Evacuated { .. } => tracing::info!(%zone, "evacuated zone responds"),
                ZoneState::Recovering { .. } => tracing::info!(%zone, part, engines, "zone recovering"),
                ZoneState::Active => tracing::info!(%zone, "zone active"),
                ZoneState::Suspected { .. } => tracing::info!(%zone, engines, nodes, "zone suspected"),
            }
        }
    }

    /// Applies the observations of the decision module and of the other nodes of this zone, and sets the
    /// weights of zones in the decision module. States are as seen from this zone: nodes of other zones may
    /// reach other engines.
    pub fn update(&mut self, now: f64, router: &mut Router, peers: &[PeerRecord]) -> ZoneRound {
        let zone_count = self.zones.len();
        let (mut observations, capacities) = self.observe_own(now, router);
        observations.extend(peers.iter().flat_map(|peer| self.observations_of(peer)));
        let transitions = self.zone_states.update(now, &observations, &capacities);
        for zone in 0..zone_count {
            router.set_zone_weight(zone as u32, self.zone_states.weight(zone));
        }
        self.probe_zones(now, router, peers.len() + 1);
        self.record_peer_reports(&observations);
        let (reports, urgent) = self.report(now, &observations[..zone_count]);
        let all_zones_active = (0..zone_count).all(|zone| self.zone_states.weight(zone) == 1.0);
        ZoneRound { transitions, reports, urgent, all_zones_active }
    }

    /// Returns this node's own observation of each zone, and the number of engines in it.
    fn observe_own(&self, now: f64, router: &Router) -> (Vec<ZoneObservation>, Vec<ZoneCapacity>) {
        let mut capacities = vec![ZoneCapacity::default(); self.zones.len()];
        let unobserved = |zone| ZoneObservation {
            node: self.node,
            zone,
            last_response_at: None,
            unreachable: Vec::new(),
            weight: 1.0,
        };
        let mut observations: Vec<ZoneObservation> = (0..self.zones.len()).map(unobserved).collect();
        for engine in router.engine_observations() {
            let Some(observation) = observations.get_mut(engine.zone as usize) else { continue };
            let capacity = &mut capacities[engine.zone as usize];
            capacity.prefill_engines += usize::from(engine.role != EngineRole::Decode);
            capacity.decode_engines += usize::from(engine.role != EngineRole::Prefill);
            if engine.last_response_at > observation.last_response_at.unwrap_or(0.0) {
                observation.last_response_at = Some(engine.last_response_at);
            }
            if self.is_unreachable(now, &engine) {
                observation.unreachable.push((engine_hash(engine.id), engine.unreachable_at));
            }
        }
        for observation in &mut observations {
            observation.unreachable.sort_by(|left, right| right.1.total_cmp(&left.1));
            observation.unreachable.truncate(MAX_UNREACHABLE);
        }
        (observations, capacities)
    }

    fn is_unreachable(&self, now: f64, engine: &EngineObservation) -> bool {
        engine.unreachable_at > engine.last_response_at
            && engine.unreachable_at > now - self.config.evidence_window_s
    }

    /// Requests probes of engines in zones whose state depends on them. Updates come more often than rounds,
    /// so the number of probes is proportional to the time since the last update. The total of the fleet does
    /// not depend on the number of nodes.
    fn probe_zones(&mut self, now: f64, router: &mut Router, node_count: usize) {
        let rounds = ((now - self.probed_at) / self.round_s).min(1.0);
        self.probed_at = now;
        let zones: Vec<usize> = self.zone_states.zones_to_probe().collect();
        for zone in zones {
            let fleet_probes = match self.zone_states.state(zone) {
                Some(ZoneState::Suspected { .. }) => PROBES_WHILE_SUSPECTED,
                _ => PROBES_PER_ROUND,
            };
            let own_probes = (rounds * fleet_probes / node_count as f64 + self.random_fraction()) as usize;
            (0..own_probes).for_each(|_| router.probe_zone(now, zone as u32));
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Converts another node's record to observations in this node's time.
    fn observations_of<'a>(&'a self, peer: &'a PeerRecord) -> impl Iterator<Item = ZoneObservation> + 'a {
        let time_of = move |age_ms: u32| peer.reported_at - f64::from(age_ms) / MS_PER_S;
        peer.record.zone_reports.iter().filter_map(move |report| {
            let unreachable = report.unreachable.iter();
            Some(ZoneObservation {
                node: name_hash(&peer.record.name),
                zone: self.zones.iter().position(|zone| *zone == report.zone)?,
                last_response_at: report.last_response_age_ms.map(time_of),
                unreachable: unreachable.map(|&(hash, age)| (u64::from(hash), time_of(age))).collect(),
                weight: f64::from(report.weight_per_mille) / f64::from(FULL_WEIGHT_PER_MILLE),
            })
        })
    }

    fn record_peer_reports(&mut self, observations: &[ZoneObservation]) {
        for observation in observations.iter().filter(|observation| observation.node != self.node) {
            let times = observation.unreachable.iter().map(|engine| engine.1);
            let last_unreachable_at = times.fold(f64::NEG_INFINITY, f64::max);
            let reported = &mut self.reported[observation.zone];
            reported.last_unreachable_at = reported.last_unreachable_at.max(last_unreachable_at);
            reported.record_response(observation.last_response_at);
        }
    }

    /// Returns the zone reports for the node's own record, and whether they are urgent. Two things are sent
    /// to peers at once: a newly unreachable engine, if it can still change the zone's state, and a response
    /// that came after peers found engines unreachable and that no node has reported, because it ends their
    /// suspicion. Everything else waits for the next refresh: if all nodes sent everything at once, nothing
    /// would arrive in time.
    fn report(&mut self, now: f64, own: &[ZoneObservation]) -> (Vec<ZoneReport>, bool) {
        let mut urgent = false;
        let mut reports = Vec::with_capacity(own.len());
        for observation in own {
            let weight = self.zone_states.own_weight(observation.zone);
            urgent |= self.record_own_report(observation, weight);
            reports.push(self.zone_report(now, observation, weight));
        }
        // Active zones without unreachable engines come last, because a record holds a limited number of
        // zones.
        reports.sort_by_key(|report| {
            report.unreachable.is_empty() && report.weight_per_mille == FULL_WEIGHT_PER_MILLE
        });
        (reports, urgent)
    }

    /// Records what this node reports of a zone; returns whether the report is urgent.
    fn record_own_report(&mut self, observation: &ZoneObservation, weight: f64) -> bool {
        let reported = &mut self.reported[observation.zone];
        let mut unreachable = observation.unreachable.iter();
        let newly_unreachable =
            unreachable.any(|engine| !reported.unreachable.contains(&engine.0)) && weight > 0.0;
        let contradicts_peers =
            observation.last_response_at.is_some_and(|at| at > reported.last_unreachable_at)
                && reported.last_response_at <= reported.last_unreachable_at;
        let urgent = newly_unreachable || contradicts_peers;
        if urgent {
            reported.record_response(observation.last_response_at);
        }
        let is_unreachable = |hash: &u64| observation.unreachable.iter().any(|engine| engine.0 == *hash);
        reported.unreachable.retain(is_unreachable);
        if newly_unreachable {
            reported.unreachable = observation.unreachable.iter().map(|engine| engine.0).collect();
        }
        urgent
    }

    fn zone_report(&self, now: f64, observation: &ZoneObservation, weight: f64) -> ZoneReport {
        let age_ms = |at: f64| ((now - at).max(0.0) * MS_PER_S) as u32;
        let unreachable = observation.unreachable.iter();
        ZoneReport {
            zone: self.zones[observation.zone].clone(),
            last_response_age_ms: observation.last_response_at.map(age_ms),
            unreachable: unreachable.map(|&(hash, at)| (hash as u32, age_ms(at))).collect(),
            weight_per_mille: (weight * f64::from(FULL_WEIGHT_PER_MILLE)) as u16,
        }
    }
}
