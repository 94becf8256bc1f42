//! Expansion of a day's troubles to single faults.

use super::{Script, TrafficChange, Trouble};
use nanorand::{Rng, WyRand};
use nickelgw_settings::node_zone;
use nickelgw_settings::proto::{fault::Kind, Day, EngineRole, Fault};

/// Time that a node's restart takes, in a roll or after a crash, where the day does not say.
const NODE_DOWN_S: f64 = 1.0;
/// Steps in which an ageing engine becomes slower.
const AGEING_STEPS: u32 = 5;
/// Waves in which all nodes are restarted.
const RESTART_WAVES: u32 = 4;
/// Machines that fail together do so within this time, not in the same millisecond.
const CRASH_SPREAD_S: f64 = 0.2;
/// A trouble without a length is shown with this one.
const MIN_SHOWN_S: f64 = 0.2;
/// Keeps the script's random draws apart from those of the traffic of the same seed.
const SEED_SALT: u64 = 0x5ca1_ab1e;

pub(super) fn expand(day: &Day, seed: u64) -> Script {
    let mut expansion =
        Expansion { day, random: WyRand::new_seed(seed ^ SEED_SALT), script: Script::default() };
    for fault in &day.fault {
        expansion.trouble(fault);
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

/// The fault of one engine that a trouble of many engines consists of.
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
    fn trouble(&mut self, fault: &Fault) {
        self.script.troubles.push(shown(fault));
        if let Some(kind) = engine_fault(fault.kind()) {
            for engine in self.chosen_engines(fault) {
                self.push(fault, kind, &engine, fault.at_s, fault.for_s());
            }
            return;
        }
        match fault.kind() {
            Kind::Crash => {
                let engines = self.chosen_engines(fault);
                self.crash(fault, engines);
            }
            Kind::Ageing => self.ageing(fault),
            Kind::ZoneLoss => self.zone_loss(fault),
            Kind::ZoneCut => self.push(fault, Kind::CutZone, fault.target(), fault.at_s, fault.for_s()),
            Kind::DiscoveryStale => self.push(fault, Kind::StallList, "", fault.at_s, fault.for_s()),
            Kind::BalancerCrash => self.balancer_crash(fault),
            Kind::BalancerRoll => self.balancer_roll(fault),
            Kind::MassRestart => self.mass_restart(fault),
            Kind::Burst => self.change_traffic(fault, fault.factor()),
            Kind::HotKey | Kind::RetryAbuse => self.change_traffic(fault, fault.share()),
            _ => self.script.faults.push(fault.clone()),
        }
    }

    fn crash(&mut self, fault: &Fault, engines: Vec<String>) {
        for engine in engines {
            let delay_s = CRASH_SPREAD_S * self.uniform();
            self.push(fault, Kind::Die, &engine, fault.at_s + delay_s, fault.for_s());
        }
    }

    fn ageing(&mut self, fault: &Fault) {
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

    fn zone_loss(&mut self, fault: &Fault) {
        self.crash(fault, self.engines(fault.target()));
        for number in 0..self.day.nodes() {
            if node_zone(self.day, number) == fault.target() {
                self.push(fault, Kind::KillNode, &format!("node{number}"), fault.at_s, fault.for_s());
            }
        }
    }

    fn balancer_crash(&mut self, fault: &Fault) {
        let down_s = fault.for_s().max(NODE_DOWN_S);
        for node in self.choose(self.nodes(), fault.part()) {
            self.push(fault, Kind::KillNode, &node, fault.at_s, down_s);
        }
    }

    fn balancer_roll(&mut self, fault: &Fault) {
        let nodes = self.choose(self.nodes(), fault.part());
        let step_s = fault.for_s() / nodes.len().max(1) as f64;
        for (position, node) in nodes.iter().enumerate() {
            let at_s = fault.at_s + step_s * position as f64;
            self.push(fault, Kind::KillNode, node, at_s, NODE_DOWN_S.min(step_s));
        }
    }

    fn mass_restart(&mut self, fault: &Fault) {
        let mut nodes = self.nodes();
        self.random.shuffle(&mut nodes);
        for (position, node) in nodes.iter().enumerate() {
            let wave = (position as u32 * RESTART_WAVES / nodes.len().max(1) as u32).min(RESTART_WAVES - 1);
            let at_s = fault.at_s + fault.for_s() * f64::from(wave) / f64::from(RESTART_WAVES);
            self.push(fault, Kind::KillNode, node, at_s, NODE_DOWN_S);
        }
    }

    fn change_traffic(&mut self, fault: &Fault, size: f64) {
        self.script.traffic_changes.push(TrafficChange {
            from_s: fault.at_s,
            to_s: fault.at_s + fault.for_s(),
            kind: fault.kind(),
            size,
        });
    }

    /// Adds a single fault with the trouble's other fields.
    fn push(&mut self, trouble: &Fault, kind: Kind, target: &str, at_s: f64, for_s: f64) {
        let mut fault = trouble.clone();
        fault.kind = kind as i32;
        fault.target = Some(target.into());
        fault.at_s = at_s;
        fault.for_s = Some(for_s);
        self.script.faults.push(fault);
    }

    /// From 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.random.generate::<u32>() as f64 / u32::MAX as f64
    }

    fn chosen_engines(&mut self, fault: &Fault) -> Vec<String> {
        self.choose(self.engines(fault.target()), fault.part())
    }

    /// A share of the names, at least one, chosen at random, in their own order.
    fn choose(&mut self, names: Vec<String>, share: f64) -> Vec<String> {
        let wanted = ((share * names.len() as f64).ceil() as usize).clamp(1.min(names.len()), names.len());
        let mut positions: Vec<usize> = (0..names.len()).collect();
        self.random.shuffle(&mut positions);
        positions.truncate(wanted);
        positions.sort_unstable();
        positions.into_iter().map(|position| names[position].clone()).collect()
    }

    /// Engines that a target names: one, a group, a zone, a role, or all.
    fn engines(&self, target: &str) -> Vec<String> {
        let mut matching = Vec::new();
        for group in &self.day.engines {
            let role = match group.role() {
                EngineRole::Reader => "readers",
                EngineRole::Writer => "writers",
            };
            let is_whole_group = target.is_empty()
                || target == "engines"
                || [group.name.as_str(), group.zone.as_str(), role].contains(&target);
            let names = (0..group.count()).map(|number| format!("{}{number}", group.name));
            matching.extend(names.filter(|name| is_whole_group || name == target));
        }
        matching
    }

    fn nodes(&self) -> Vec<String> {
        (0..self.day.nodes()).map(|number| format!("node{number}")).collect()
    }
}

fn shown(fault: &Fault) -> Trouble {
    let kind = fault.kind().as_str_name().to_lowercase();
    let name = if fault.target().is_empty() { kind } else { format!("{kind} {}", fault.target()) };
    Trouble { name, from_s: fault.at_s, to_s: fault.at_s + fault.for_s().max(MIN_SHOWN_S) }
}
