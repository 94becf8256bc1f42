//! A node as one of a fleet: what its module saw of each zone goes into its record, what others saw turns its ways, and the
//! module hears one thing, the part of the traffic that each zone is to get. No sockets and no clock.

use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::EngineRole;
use nickelgw_gossip::core::record::{self, name_hash, MAX_UNREACHABLE};
use nickelgw_gossip::core::PeerRecord;
use nickelgw_zones::core::{
    ZoneCapacity, ZoneConfig, ZoneObservation, ZoneState, ZoneStates, ZoneTransition,
};

/// Engines of a zone asked by all nodes together in a round, where something there is silent: as many as prove it left.
const KNOCKS_IN_DOUBT: f64 = 8.0;
/// And while it is left, or returned to.
const KNOCKS: f64 = 1.0;

pub struct ZoneFailover {
    zone_weights: ZoneStates,
    figures: ZoneConfig,
    zones: Vec<String>,
    name: u64,
    chance: WyRand,
    knocked_at: f64,
    round_s: f64,
    /// Engines whose silence was told, by zone.
    told: Vec<Vec<u64>>,
    /// When others last met silence there.
    silence: Vec<f64>,
    /// When others last heard anything of it.
    heard: Vec<f64>,
}

/// What a round brought.
#[derive(Clone, Debug, Default)]
pub struct ZoneRound {
    pub transitions: Vec<ZoneTransition>,
    /// What others are to be told, and whether at once.
    pub reports: Vec<record::ZoneReport>,
    pub urgent: bool,
    /// No zone is left or returned to.
    pub all_zones_active: bool,
}

fn engine(id: &str) -> u64 {
    // As it travels: half of the hash.
    name_hash(id) & u64::from(u32::MAX)
}

impl ZoneFailover {
    pub fn new(zones: Vec<String>, name: &str, figures: ZoneConfig, round_s: f64, seed: u64) -> ZoneFailover {
        let n = zones.len();
        ZoneFailover {
            zone_weights: ZoneStates::new(n, figures),
            figures,
            zones,
            name: name_hash(name),
            chance: WyRand::new_seed(seed),
            knocked_at: f64::NEG_INFINITY,
            round_s,
            told: vec![Vec::new(); n],
            silence: vec![f64::NEG_INFINITY; n],
            heard: vec![f64::NEG_INFINITY; n],
        }
    }

    /// Each zone with the part of the traffic that it is given.
    pub fn ways(&self) -> Vec<(String, f64)> {
        self.zones.iter().enumerate().map(|(z, name)| (name.clone(), self.zone_weights.weight(z))).collect()
    }

    /// A line for each turn.
    pub fn log_transitions(&self, turns: &[ZoneTransition]) {
        for t in turns {
            let (zone, part, engines, nodes) = (
                &self.zones[t.zone],
                self.zone_weights.own_weight(t.zone),
                t.unreachable_engines,
                t.reporting_nodes,
            );
            match t.state {
                ZoneState::Evacuated { responding_since: None, .. } => {
                    tracing::warn!(%zone, engines, nodes, "a zone is left")
                }
                ZoneState::Evacuated { .. } => tracing::info!(%zone, "a zone that was left is heard"),
                ZoneState::Recovering { .. } => {
                    tracing::info!(%zone, part, engines, "a zone is returned to in part")
                }
                ZoneState::Active => tracing::info!(%zone, "a zone is in"),
                ZoneState::Suspected { .. } => tracing::info!(%zone, engines, nodes, "a zone is in doubt"),
            }
        }
    }

    /// Looks at what the module and the own zone's other nodes saw, and tells the module what follows. Ways are from a zone:
    /// what nodes of other zones reach is their own.
    pub fn update(&mut self, now: f64, router: &mut Router, others: &[PeerRecord]) -> ZoneRound {
        let n = self.zones.len();
        let mut there = vec![ZoneCapacity::default(); n];
        let own = |zone| ZoneObservation {
            node: self.name,
            zone,
            last_response_at: None,
            unreachable: Vec::new(),
            weight: 1.0,
        };
        let mut seen: Vec<ZoneObservation> = (0..n).map(own).collect();
        for e in router.engine_observations() {
            let Some(zone) = seen.get_mut(e.zone as usize) else { continue };
            let there = &mut there[e.zone as usize];
            there.prefill_engines += usize::from(e.role != EngineRole::Decode);
            there.decode_engines += usize::from(e.role != EngineRole::Prefill);
            if e.last_response_at > zone.last_response_at.unwrap_or(0.0) {
                zone.last_response_at = Some(e.last_response_at);
            }
            if e.unreachable_at > e.last_response_at
                && e.unreachable_at > now - self.figures.evidence_window_s
            {
                zone.unreachable.push((engine(e.id), e.unreachable_at));
            }
        }
        for s in &mut seen {
            s.unreachable.sort_by(|a, b| b.1.total_cmp(&a.1));
            s.unreachable.truncate(MAX_UNREACHABLE);
        }
        seen.extend(others.iter().flat_map(|k| self.of(k)));
        let turns = self.zone_weights.update(now, &seen, &there);
        let nodes = (others.len() + 1) as f64;
        for zone in 0..n {
            router.set_zone_weight(zone as u32, self.zone_weights.weight(zone));
        }
        // News is looked at more often than by the round: what is asked goes by time.
        let rounds = ((now - self.knocked_at) / self.round_s).min(1.0);
        self.knocked_at = now;
        let knocks: Vec<usize> = self.zone_weights.zones_to_probe().collect();
        for zone in knocks {
            let all = match self.zone_weights.state(zone) {
                Some(ZoneState::Suspected { .. }) => KNOCKS_IN_DOUBT,
                _ => KNOCKS,
            };
            // The fleet's sum stays the same however many nodes there are.
            let own = (rounds * all / nodes + self.dice()) as usize;
            (0..own).for_each(|_| router.probe_zone(now, zone as u32));
        }
        for s in seen.iter().filter(|s| s.node != self.name) {
            let last = s.unreachable.iter().map(|x| x.1).fold(f64::NEG_INFINITY, f64::max);
            self.silence[s.zone] = self.silence[s.zone].max(last);
            self.heard[s.zone] = self.heard[s.zone].max(s.last_response_at.unwrap_or(f64::NEG_INFINITY));
        }
        let (tell, news) = self.tell(now, &seen[..n]);
        let whole = (0..n).all(|z| self.zone_weights.weight(z) == 1.0);
        ZoneRound { transitions: turns, reports: tell, urgent: news, all_zones_active: whole }
    }

    fn dice(&mut self) -> f64 {
        f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Another node's record in this node's time.
    fn of<'a>(&'a self, k: &'a PeerRecord) -> impl Iterator<Item = ZoneObservation> + 'a {
        let at = move |age: u32| k.reported_at - f64::from(age) / 1e3;
        k.record.zone_reports.iter().filter_map(move |s| {
            Some(ZoneObservation {
                node: name_hash(&k.record.name),
                zone: self.zones.iter().position(|z| *z == s.zone)?,
                last_response_at: s.last_response_age_ms.map(at),
                unreachable: s.unreachable.iter().map(|x| (u64::from(x.0), at(x.1))).collect(),
                weight: f64::from(s.weight_per_mille) / 1e3,
            })
        })
    }

    /// The own record's lines. Others hear at once of an engine newly silent, as long as that may turn anything, and of one
    /// heard after the silence that they met, if nobody has told it: it ends their doubt. All else comes with the next
    /// refresh, since what all tell at once nobody hears in time.
    fn tell(&mut self, now: f64, own: &[ZoneObservation]) -> (Vec<record::ZoneReport>, bool) {
        let mut news = false;
        let mut all = Vec::new();
        for s in own {
            let z = s.zone;
            let own_part = self.zone_weights.own_weight(z);
            let newly = s.unreachable.iter().any(|x| !self.told[z].contains(&x.0)) && own_part > 0.0;
            let contradicts =
                s.last_response_at.is_some_and(|h| h > self.silence[z]) && self.heard[z] <= self.silence[z];
            if newly || contradicts {
                news = true;
                self.heard[z] = self.heard[z].max(s.last_response_at.unwrap_or(f64::NEG_INFINITY));
            }
            self.told[z].retain(|t| s.unreachable.iter().any(|x| x.0 == *t));
            if newly {
                self.told[z] = s.unreachable.iter().map(|x| x.0).collect();
            }
            let ago = |t: f64| ((now - t).max(0.0) * 1e3) as u32;
            all.push(record::ZoneReport {
                zone: self.zones[z].clone(),
                last_response_age_ms: s.last_response_at.map(ago),
                unreachable: s.unreachable.iter().map(|x| (x.0 as u32, ago(x.1))).collect(),
                weight_per_mille: (own_part * 1e3) as u16,
            });
        }
        // Where all is well comes last: a record has room for so many.
        all.sort_by_key(|s| s.unreachable.is_empty() && s.weight_per_mille == 1000);
        (all, news)
    }
}
