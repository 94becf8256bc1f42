//! Expansion of a day's troubles to single faults.

use super::{Script, TrafficChange, Trouble};
use nanorand::{Rng, WyRand};
use nickelgw_settings::node_zone;
use nickelgw_settings::proto::{fault::Kind, Day, EngineRole, Fault};

/// Shortest time for which a node stays down when it crashes, and longest time when nodes are restarted.
const NODE_DOWN_S: f64 = 1.0;
/// Number of steps in which an ageing engine becomes slower.
const AGEING_STEPS: u32 = 5;
/// Number of waves in which all nodes are restarted.
const RESTART_WAVES: u32 = 4;
/// Time within which engines that crash together crash; they do not all crash in the same millisecond.
const CRASH_SPREAD_S: f64 = 0.2;
/// Shortest length with which a trouble is shown in charts; some troubles have no length.
const MIN_SHOWN_S: f64 = 0.2;
/// Value combined with the seed, so that the random numbers of the script are independent of those of the
/// traffic.
const SEED_SALT: u64 = 0x5ca1_ab1e;

/// Expands the troubles of a day to single faults, ordered by time, and to changes of the traffic.
pub(super) fn expand(day: &Day, seed: u64) -> Script {
    let mut expansion =
        Expansion { day, random: WyRand::new_seed(seed ^ SEED_SALT), script: Script::default() };
    for fault in &day.fault {
        expansion.add_trouble(fault);
    }
    let mut script = expansion.script;
    script.faults.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
    script
}

struct Expansion<'a> {
    day: &'a Day,
    random: WyRand,
    script: Script,
}

/// Returns the kind of the single fault that a trouble causes at each of its engines. `None` if the trouble
/// needs another expansion.
fn engine_fault(kind: Kind) -> Option<Kind> {
    match kind {
        Kind::Vanish => Some(Kind::Silence),
        Kind::FastErrors => Some(Kind::Fail),
        Kind::Pauses => Some(Kind::Pause),
        Kind::Flush => Some(Kind::Forget),
        Kind::AnswerLost => Some(Kind::Lose),
        Kind::Slow | Kind::Silence | Kind::Fail | Kind::Lose | Kind::Pause | Kind::Forget => Some(kind),
        _ => None,
    }
}

impl Expansion<'_> {
    fn add_trouble(&mut self, fault: &Fault) {
        self.script.troubles.push(displayed_trouble(fault));
        if let Some(kind) = engine_fault(fault.kind()) {
            for engine in self.chosen_engines(fault) {
                self.push(fault, kind, &engine, fault.at_s, fault.for_s());
            }
            return;
        }
        match fault.kind() {
            Kind::Crash => {
                let engines = self.chosen_engines(fault);
                self.add_crashes(fault, engines);
            }
            Kind::Ageing => self.add_ageing(fault),
            Kind::ZoneLoss => self.add_zone_loss(fault),
            Kind::ZoneCut => self.push(fault, Kind::CutZone, fault.target(), fault.at_s, fault.for_s()),
            Kind::DiscoveryStale => self.push(fault, Kind::StallList, "", fault.at_s, fault.for_s()),
            Kind::BalancerCrash => self.add_node_crashes(fault),
            Kind::BalancerRoll => self.add_rolling_restart(fault),
            Kind::MassRestart => self.add_mass_restart(fault),
            Kind::Burst => self.add_traffic_change(fault, fault.factor()),
            Kind::HotKey | Kind::RetryAbuse => self.add_traffic_change(fault, fault.share()),
            _ => self.script.faults.push(fault.clone()),
        }
    }

    fn add_crashes(&mut self, fault: &Fault, engines: Vec<String>) {
        for engine in engines {
            let delay_s = CRASH_SPREAD_S * self.uniform();
            self.push(fault, Kind::Die, &engine, fault.at_s + delay_s, fault.for_s());
        }
    }

    fn add_ageing(&mut self, fault: &Fault) {
        let step_s = fault.for_s() / f64::from(AGEING_STEPS);
        for engine in self.chosen_engines(fault) {
            for step in 0..AGEING_STEPS {
                let mut slower = fault.clone();
                let progress = f64::from(step + 1) / f64::from(AGEING_STEPS);
                slower.factor = Some(1.0 + (fault.factor() - 1.0) * progress);
                self.push(&slower, Kind::Slow, &engine, fault.at_s + step_s * f64::from(step), step_s);
            }
        }
    }

    fn add_zone_loss(&mut self, fault: &Fault) {
        self.add_crashes(fault, self.matching_engines(fault.target()));
        for number in 0..self.day.nodes() {
            if node_zone(self.day, number) == fault.target() {
                self.push(fault, Kind::KillNode, &format!("node{number}"), fault.at_s, fault.for_s());
            }
        }
    }

    fn add_node_crashes(&mut self, fault: &Fault) {
        let down_s = fault.for_s().max(NODE_DOWN_S);
        for node in self.choose(self.nodes(), fault.part()) {
            self.push(fault, Kind::KillNode, &node, fault.at_s, down_s);
        }
    }

    fn add_rolling_restart(&mut self, fault: &Fault) {
        let nodes = self.choose(self.nodes(), fault.part());
        let step_s = fault.for_s() / nodes.len().max(1) as f64;
        for (position, node) in nodes.iter().enumerate() {
            let at_s = fault.at_s + step_s * position as f64;
            self.push(fault, Kind::KillNode, node, at_s, NODE_DOWN_S.min(step_s));
        }
    }

    fn add_mass_restart(&mut self, fault: &Fault) {
        let mut nodes = self.nodes();
        self.random.shuffle(&mut nodes);
        for (position, node) in nodes.iter().enumerate() {
            let wave = (position as u32 * RESTART_WAVES / nodes.len().max(1) as u32).min(RESTART_WAVES - 1);
            let at_s = fault.at_s + fault.for_s() * f64::from(wave) / f64::from(RESTART_WAVES);
            self.push(fault, Kind::KillNode, node, at_s, NODE_DOWN_S);
        }
    }

    fn add_traffic_change(&mut self, fault: &Fault, magnitude: f64) {
        self.script.traffic_changes.push(TrafficChange {
            from_s: fault.at_s,
            to_s: fault.at_s + fault.for_s(),
            kind: fault.kind(),
            magnitude,
        });
    }

    /// Adds a single fault, whose remaining fields are those of the trouble.
    fn push(&mut self, trouble: &Fault, kind: Kind, target: &str, at_s: f64, for_s: f64) {
        let mut fault = trouble.clone();
        fault.kind = kind as i32;
        fault.target = Some(target.into());
        fault.at_s = at_s;
        fault.for_s = Some(for_s);
        self.script.faults.push(fault);
    }

    /// Draws a random number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.random.generate::<u32>() as f64 / u32::MAX as f64
    }

    fn chosen_engines(&mut self, fault: &Fault) -> Vec<String> {
        self.choose(self.matching_engines(fault.target()), fault.part())
    }

    /// Returns a share of the names, at least one of them, chosen at random and in their original order.
    fn choose(&mut self, names: Vec<String>, share: f64) -> Vec<String> {
        let wanted = ((share * names.len() as f64).ceil() as usize).clamp(1.min(names.len()), names.len());
        let mut positions: Vec<usize> = (0..names.len()).collect();
        self.random.shuffle(&mut positions);
        positions.truncate(wanted);
        positions.sort_unstable();
        positions.into_iter().map(|position| names[position].clone()).collect()
    }

    /// Returns the names of the engines that match a target, which names one engine, a group, a zone or a
    /// role, or is empty or `engines` for all.
    fn matching_engines(&self, target: &str) -> Vec<String> {
        let mut matching = Vec::new();
        for group in &self.day.engines {
            let role = match group.role() {
                EngineRole::Reader => "readers",
                EngineRole::Writer => "writers",
            };
            let matches_group = target.is_empty()
                || target == "engines"
                || [group.name.as_str(), group.zone.as_str(), role].contains(&target);
            let names = (0..group.count()).map(|number| format!("{}{number}", group.name));
            matching.extend(names.filter(|name| matches_group || name == target));
        }
        matching
    }

    fn nodes(&self) -> Vec<String> {
        (0..self.day.nodes()).map(|number| format!("node{number}")).collect()
    }
}

fn displayed_trouble(fault: &Fault) -> Trouble {
    let kind = fault.kind().as_str_name().to_lowercase();
    let name = if fault.target().is_empty() { kind } else { format!("{kind} {}", fault.target()) };
    Trouble { name, from_s: fault.at_s, to_s: fault.at_s + fault.for_s().max(MIN_SHOWN_S) }
}
