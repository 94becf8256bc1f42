//! The way from this node's zone to each other: in, doubted, left, or returned to in steps. What it turns by is a function
//! of what the nodes of this zone saw, so that nodes which know the same act the same; nobody votes.
//!
//! Evidence is engines that were silent since any engine of the zone was last heard, counted once each however many sends
//! met them. One dead engine is no zone, since others there are heard; a busy one is none, since an answer of any kind is
//! heard; what discovery says is no evidence at all.

use std::collections::BTreeMap;

/// Times and numbers by which ways turn.
#[derive(Clone, Copy, Debug)]
pub struct ZoneConfig {
    /// Longest that an engine takes to be found silent.
    pub detection_s: f64,
    /// A doubt stands at least so long, for contradiction to arrive.
    pub confirm_s: f64,
    /// Silence older than this says nothing any more.
    pub evidence_window_s: f64,
    /// A step of the return lasts at least so long.
    pub recovery_step_s: f64,
    /// A zone left waits so long once it is heard: doubled with each leaving, up to the longest; forgotten after calm.
    pub failback_delay_s: f64,
    pub max_failback_delay_s: f64,
    pub stable_s: f64,
}

impl Default for ZoneConfig {
    fn default() -> ZoneConfig {
        ZoneConfig {
            detection_s: 0.25,
            confirm_s: 0.3,
            evidence_window_s: 5.0,
            recovery_step_s: 1.0,
            failback_delay_s: 0.5,
            max_failback_delay_s: 30.0,
            stable_s: 60.0,
        }
    }
}

/// Parts of the traffic in the steps of a return: a few inferences first.
pub const RECOVERY_WEIGHTS: [f64; 4] = [0.05, 0.15, 0.4, 1.0];
/// Distinct silent engines that are a zone, at most: with half of it dead so many in a row are chance no more.
const MOST_NEEDED: usize = 8;
/// Distinct nodes that must have met them, where there are so many.
const NODES_NEEDED: usize = 2;

/// What one node saw of one zone, in this node's time.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// Stands for the node; the own one too.
    pub node: u64,
    pub zone: usize,
    /// When any engine of it was last heard.
    pub last_response_at: Option<f64>,
    /// Engines that could not be reached since they were heard, and when they last were not.
    pub unreachable: Vec<(u64, f64)>,
    /// The part that the node gives the zone.
    pub weight: f64,
}

/// Engines of a zone, by what they can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    pub prefill_engines: usize,
    pub decode_engines: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneState {
    Active,
    /// Something there is silent, since then.
    Suspected(f64),
    /// Nothing is sent there; since then, and since when it is heard again.
    Evacuated(f64, Option<f64>),
    /// At this step, since then.
    Recovering(usize, f64),
}

#[derive(Clone, Debug)]
struct Way {
    state: ZoneState,
    leavings: u32,
    /// When it last was left or came in.
    turned_at: f64,
}

/// A way has turned, for those who log and count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTransition {
    pub zone: usize,
    pub state: ZoneState,
    /// Distinct engines silent and distinct nodes that met them.
    pub unreachable_engines: usize,
    pub reporting_nodes: usize,
}

/// What all nodes saw of one zone together.
#[derive(Clone, Debug, Default)]
struct Sum {
    heard: Option<f64>,
    silent: BTreeMap<u64, f64>,
    nodes: usize,
}

pub struct ZoneStates {
    config: ZoneConfig,
    ways: Vec<Way>,
    /// What the traffic goes by: the own part, or what most others give where nothing was met.
    parts: Vec<f64>,
}

impl ZoneStates {
    pub fn new(zones: usize, figures: ZoneConfig) -> ZoneStates {
        let way = Way { state: ZoneState::Active, leavings: 0, turned_at: f64::NEG_INFINITY };
        ZoneStates { config: figures, ways: vec![way; zones], parts: vec![1.0; zones] }
    }

    /// The part of the traffic that the zone is to get.
    pub fn weight(&self, zone: usize) -> f64 {
        self.parts.get(zone).copied().unwrap_or(1.0)
    }

    /// The part by this node's own judgement: what others are told, so that nobody holds another back by an echo.
    pub fn own_weight(&self, zone: usize) -> f64 {
        match self.ways.get(zone).map(|w| w.state) {
            Some(ZoneState::Evacuated(..)) => 0.0,
            Some(ZoneState::Recovering(step, _)) => RECOVERY_WEIGHTS[step.min(RECOVERY_WEIGHTS.len() - 1)],
            _ => 1.0,
        }
    }

    pub fn state(&self, zone: usize) -> Option<ZoneState> {
        self.ways.get(zone).map(|w| w.state)
    }

    /// Zones whose engines are to be asked whether they answer.
    pub fn zones_to_probe(&self) -> impl Iterator<Item = usize> + '_ {
        let asked = |s: ZoneState| !matches!(s, ZoneState::Active);
        (0..self.ways.len()).filter(move |&z| asked(self.ways[z].state) || self.parts[z] < 1.0)
    }

    /// Turns each way by what the nodes of this zone saw, the own ones first; `there`: engines listed, by zone.
    pub fn update(
        &mut self,
        now: f64,
        seen: &[ZoneObservation],
        there: &[ZoneCapacity],
    ) -> Vec<ZoneTransition> {
        let mut turns = Vec::new();
        let nodes: std::collections::BTreeSet<u64> = seen.iter().map(|s| s.node).collect();
        for zone in 0..self.ways.len() {
            let sum = self.sum(now, zone, seen);
            let engines = there.get(zone).copied().unwrap_or_default();
            let all = engines.prefill_engines + engines.decode_engines;
            let needed = all.div_ceil(2).clamp(2, MOST_NEEDED);
            let enough = sum.silent.len() >= needed.min(all.max(1)) && all > 0;
            let enough = enough && sum.nodes >= NODES_NEEDED.min(nodes.len());
            let may = self.may_leave(zone, there);
            let before = self.ways[zone].state;
            self.turn(now, zone, &sum, enough && may);
            let state = self.ways[zone].state;
            if std::mem::discriminant(&state) != std::mem::discriminant(&before)
                || matches!((state, before), (ZoneState::Recovering(a, _), ZoneState::Recovering(b, _)) if a != b)
            {
                turns.push(ZoneTransition {
                    zone,
                    state,
                    unreachable_engines: sum.silent.len(),
                    reporting_nodes: sum.nodes,
                });
            }
        }
        self.agree(seen, there);
        turns
    }

    /// Silence counts while nothing of the zone was heard after it, by anybody.
    fn sum(&self, now: f64, zone: usize, seen: &[ZoneObservation]) -> Sum {
        let of_zone = || seen.iter().filter(|s| s.zone == zone);
        let mut sum =
            Sum { heard: of_zone().filter_map(|s| s.last_response_at).reduce(f64::max), ..Sum::default() };
        let heard = sum.heard.unwrap_or(f64::NEG_INFINITY);
        // What was found silent had been asked earlier: a hearing in between is older than the silence.
        let counts =
            |at: f64| at - self.config.detection_s > heard && at > now - self.config.evidence_window_s;
        for s in of_zone() {
            let mut any = false;
            for &(engine, at) in s.unreachable.iter().filter(|x| counts(x.1)) {
                let last = sum.silent.entry(engine).or_insert(at);
                *last = last.max(at);
                any = true;
            }
            sum.nodes += usize::from(any);
        }
        sum
    }

    /// The last zone is never left, nor one without which there is no reader or no writer.
    fn may_leave(&self, zone: usize, there: &[ZoneCapacity]) -> bool {
        let open = |z: &usize| *z != zone && !matches!(self.ways[*z].state, ZoneState::Evacuated(..));
        let rest: Vec<ZoneCapacity> =
            (0..self.ways.len()).filter(open).filter_map(|z| there.get(z).copied()).collect();
        let whole = there.iter().fold((0, 0), |s, t| (s.0 + t.prefill_engines, s.1 + t.decode_engines));
        let left = rest.iter().fold((0, 0), |s, t| (s.0 + t.prefill_engines, s.1 + t.decode_engines));
        left.0 + left.1 > 0 && (left.0 > 0 || whole.0 == 0) && (left.1 > 0 || whole.1 == 0)
    }

    fn turn(&mut self, now: f64, zone: usize, sum: &Sum, enough: bool) {
        let f = self.config;
        let doubt = !sum.silent.is_empty();
        // On the way back one engine that stays dead holds up nothing.
        let failing = sum.silent.len() >= 2;
        let w = &mut self.ways[zone];
        if matches!(w.state, ZoneState::Active) && now > w.turned_at + f.stable_s {
            w.leavings = 0;
        }
        let heard_since = |t: f64| sum.heard.is_some_and(|h| h > t);
        w.state = match w.state {
            ZoneState::Active if doubt => ZoneState::Suspected(now),
            ZoneState::Suspected(_) if !doubt => ZoneState::Active,
            ZoneState::Suspected(since) if enough && now >= since + f.confirm_s => {
                w.leavings += 1;
                w.turned_at = now;
                ZoneState::Evacuated(now, None)
            }
            ZoneState::Evacuated(since, None) if heard_since(since) && !failing => {
                ZoneState::Evacuated(since, Some(now))
            }
            ZoneState::Evacuated(since, Some(_)) if failing => ZoneState::Evacuated(since, None),
            ZoneState::Evacuated(_, Some(back)) => {
                let wait = (f.failback_delay_s * 2f64.powi(w.leavings.saturating_sub(1).min(16) as i32))
                    .min(f.max_failback_delay_s);
                if now >= back + wait {
                    ZoneState::Recovering(0, now)
                } else {
                    w.state
                }
            }
            ZoneState::Recovering(..) if enough => {
                w.leavings += 1;
                w.turned_at = now;
                ZoneState::Evacuated(now, None)
            }
            // What was met in this step was silent: a step back at once, and no step on while it stands.
            ZoneState::Recovering(step, since) if failing => {
                let met = sum.silent.values().any(|&at| at - f.detection_s > since);
                if met {
                    ZoneState::Recovering(step.saturating_sub(1), now)
                } else {
                    w.state
                }
            }
            ZoneState::Recovering(step, since) if now >= since + f.recovery_step_s && heard_since(since) => {
                if step + 2 >= RECOVERY_WEIGHTS.len() {
                    w.turned_at = now;
                    ZoneState::Active
                } else {
                    ZoneState::Recovering(step + 1, now)
                }
            }
            state => state,
        };
    }

    /// A node that joins late, or was asleep, has met nothing itself: it follows what most others of the zone give, two at
    /// least. One alone moves nobody.
    fn agree(&mut self, seen: &[ZoneObservation], there: &[ZoneCapacity]) {
        let own = seen.first().map(|s| s.node);
        for zone in 0..self.ways.len() {
            let others = seen.iter().filter(|s| s.zone == zone && Some(s.node) != own);
            let mut parts: Vec<f64> = others.map(|s| s.weight.clamp(0.0, 1.0)).collect();
            parts.sort_by(f64::total_cmp);
            let most = parts.get((parts.len() / 2).max(NODES_NEEDED - 1)).copied().unwrap_or(1.0);
            let met_nothing = matches!(self.ways[zone].state, ZoneState::Active | ZoneState::Suspected(_));
            let own = self.own_weight(zone);
            self.parts[zone] = if met_nothing { own.min(most) } else { own };
        }
        // Of those left by others' word alone, too, what is needed stays.
        for zone in 0..self.parts.len() {
            let rest: ZoneCapacity = (0..self.parts.len())
                .filter(|&z| z != zone && self.parts[z] > 0.0)
                .fold(ZoneCapacity::default(), |s, z| {
                    let t = there.get(z).copied().unwrap_or_default();
                    ZoneCapacity {
                        prefill_engines: s.prefill_engines + t.prefill_engines,
                        decode_engines: s.decode_engines + t.decode_engines,
                    }
                });
            let has = there.get(zone).copied().unwrap_or_default();
            let needed = (rest.prefill_engines == 0 && has.prefill_engines > 0)
                || (rest.decode_engines == 0 && has.decode_engines > 0);
            if self.parts[zone] == 0.0 && needed {
                self.parts[zone] = 1.0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
