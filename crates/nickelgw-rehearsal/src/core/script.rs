//! Troubles become single faults, each of one engine or node at one time, and what they do to the traffic.

use nanorand::{Rng, WyRand};
use nickelgw_settings::proto::{fault::Kind, Day, EngineRole, Fault};
use nickelgw_settings::{engine_names, node_zone};

/// What a day does: single faults in the order of time, and changes of the traffic.
#[derive(Clone, Debug, Default)]
pub struct Script {
    pub faults: Vec<Fault>,
    swells: Vec<Swell>,
    /// As written, for the charts.
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub name: String,
    pub from_s: f64,
    pub to_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Swell {
    from_s: f64,
    to_s: f64,
    kind: Kind,
    size: f64,
}

/// A cold start of a node, in a roll or after a crash, where the day does not say.
const NODE_DOWN_S: f64 = 1.0;
const AGEING_STEPS: u32 = 5;
/// Waves in which all nodes are restarted.
const WAVES: u32 = 4;

struct Writer<'a> {
    day: &'a Day,
    chance: WyRand,
    script: Script,
}

impl Script {
    pub fn of(day: &Day, seed: u64) -> Script {
        let mut w = Writer { day, chance: WyRand::new_seed(seed ^ 0x5ca1_ab1e), script: Script::default() };
        day.fault.iter().for_each(|f| w.trouble(f));
        let mut s = w.script;
        s.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        s
    }

    fn sizes(&self, kind: Kind, at_s: f64) -> impl Iterator<Item = f64> + '_ {
        let now = move |s: &&Swell| s.kind == kind && at_s >= s.from_s && at_s < s.to_s;
        self.swells.iter().filter(now).map(|s| s.size)
    }

    /// How many times its ordinary rate the traffic has.
    pub fn rate(&self, at_s: f64) -> f64 {
        self.sizes(Kind::Burst, at_s).product()
    }

    /// The highest rate of the day: arrivals are drawn at it and thinned.
    pub fn most_rate(&self) -> f64 {
        let starts = self.swells.iter().map(|s| self.rate(s.from_s));
        starts.fold(1.0, f64::max)
    }

    /// Part of requests that share one beginning.
    pub fn hot(&self, at_s: f64) -> f64 {
        self.sizes(Kind::HotKey, at_s).fold(0.0, f64::max)
    }

    /// Part of clients that ask again at once, five times.
    pub fn abuse(&self, at_s: f64) -> f64 {
        self.sizes(Kind::RetryAbuse, at_s).fold(0.0, f64::max)
    }
}

impl Writer<'_> {
    fn dice(&mut self) -> f64 {
        self.chance.generate::<u32>() as f64 / u32::MAX as f64
    }

    /// A part of some, at least one, chosen by chance, in their own order.
    fn part(&mut self, all: Vec<String>, part: f64) -> Vec<String> {
        let wanted = ((part * all.len() as f64).ceil() as usize).clamp(1.min(all.len()), all.len());
        let mut by_chance: Vec<usize> = (0..all.len()).collect();
        self.chance.shuffle(&mut by_chance);
        let mut chosen: Vec<usize> = by_chance.into_iter().take(wanted).collect();
        chosen.sort_unstable();
        chosen.into_iter().map(|n| all[n].clone()).collect()
    }

    /// Engines that a target names: one, a group, a zone, a role, or all.
    fn engines(&self, target: &str) -> Vec<String> {
        let mut out = Vec::new();
        for e in &self.day.engines {
            let role = match e.role() {
                EngineRole::Reader => "readers",
                EngineRole::Writer => "writers",
            };
            let whole = target == e.name || target == e.zone || target == role || target.is_empty();
            let all = (0..e.count()).map(|n| format!("{}{n}", e.name));
            out.extend(all.filter(|name| whole || target == "engines" || *name == target));
        }
        out
    }

    fn nodes(&self) -> Vec<String> {
        (0..self.day.nodes()).map(|n| format!("node{n}")).collect()
    }

    fn put(&mut self, f: &Fault, kind: Kind, target: &str, at_s: f64, for_s: f64) {
        let mut one = f.clone();
        one.kind = kind as i32;
        (one.target, one.at_s, one.for_s) = (Some(target.into()), at_s, Some(for_s));
        self.script.faults.push(one);
    }

    fn trouble(&mut self, f: &Fault) {
        let (at, long) = (f.at_s, f.for_s());
        let name = f.kind().as_str_name().to_lowercase();
        let shown = if f.target().is_empty() { name } else { format!("{name} {}", f.target()) };
        self.script.troubles.push(Trouble { name: shown, from_s: at, to_s: at + long.max(0.2) });
        let chosen = |w: &mut Self| {
            let all = w.engines(f.target());
            w.part(all, f.part())
        };
        match f.kind() {
            Kind::Crash => {
                for e in chosen(self) {
                    // Machines fail together, not in the same millisecond.
                    let late = 0.2 * self.dice();
                    self.put(f, Kind::Die, &e, at + late, long);
                }
            }
            kind @ (Kind::Vanish | Kind::FastErrors | Kind::Pauses | Kind::Flush | Kind::AnswerLost) => {
                let single = match kind {
                    Kind::Vanish => Kind::Silence,
                    Kind::FastErrors => Kind::Fail,
                    Kind::Pauses => Kind::Pause,
                    Kind::Flush => Kind::Forget,
                    _ => Kind::Lose,
                };
                for e in chosen(self) {
                    self.put(f, single, &e, at, long);
                }
            }
            Kind::Slow | Kind::Silence | Kind::Fail | Kind::Lose | Kind::Pause | Kind::Forget => {
                for e in chosen(self) {
                    self.put(f, f.kind(), &e, at, long);
                }
            }
            Kind::Ageing => {
                for e in chosen(self) {
                    for k in 0..AGEING_STEPS {
                        let step = long / f64::from(AGEING_STEPS);
                        let mut one = f.clone();
                        let grown = f64::from(k + 1) / f64::from(AGEING_STEPS);
                        one.factor = Some(1.0 + (f.factor() - 1.0) * grown);
                        self.put(&one, Kind::Slow, &e, at + step * f64::from(k), step);
                    }
                }
            }
            Kind::ZoneLoss => {
                for e in self.engines(f.target()) {
                    let late = 0.2 * self.dice();
                    self.put(f, Kind::Die, &e, at + late, long);
                }
                for n in 0..self.day.nodes() {
                    if node_zone(self.day, n) == f.target() {
                        self.put(f, Kind::KillNode, &format!("node{n}"), at, long);
                    }
                }
            }
            Kind::ZoneCut => self.put(f, Kind::CutZone, f.target(), at, long),
            Kind::DiscoveryStale => self.put(f, Kind::StallList, "", at, long),
            Kind::BalancerCrash => {
                let all = self.nodes();
                for n in self.part(all, f.part()) {
                    self.put(f, Kind::KillNode, &n, at, long.max(NODE_DOWN_S));
                }
            }
            Kind::BalancerRoll => {
                let all = self.nodes();
                let chosen = self.part(all, f.part());
                let step = long / chosen.len().max(1) as f64;
                for (k, n) in chosen.iter().enumerate() {
                    self.put(f, Kind::KillNode, n, at + step * k as f64, NODE_DOWN_S.min(step));
                }
            }
            Kind::MassRestart => {
                let mut all = self.nodes();
                self.chance.shuffle(&mut all);
                for (k, n) in all.iter().enumerate() {
                    let wave = (k as u32 * WAVES / all.len().max(1) as u32).min(WAVES - 1);
                    let when = at + long * f64::from(wave) / f64::from(WAVES);
                    self.put(f, Kind::KillNode, n, when, NODE_DOWN_S);
                }
            }
            kind @ (Kind::Burst | Kind::HotKey | Kind::RetryAbuse) => {
                let size = if kind == Kind::Burst { f.factor() } else { f.share() };
                self.script.swells.push(Swell { from_s: at, to_s: at + long, kind, size });
            }
            _ => self.script.faults.push(f.clone()),
        }
    }
}

/// Every single fault names something that the day has.
pub fn is_sound(day: &Day, s: &Script) -> bool {
    let (engines, nodes) = (engine_names(day), day.nodes());
    s.faults.iter().all(|f| match f.kind() {
        Kind::StallList | Kind::CaRotate => true,
        kind if kind as i32 >= Kind::RegistryRestart as i32 => true,
        Kind::CutZone => day.zones.iter().any(|z| z == f.target()),
        Kind::KillNode => (0..nodes).any(|n| format!("node{n}") == f.target()),
        _ => engines.iter().any(|e| e == f.target()),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const DAY: &str = "name: 'd' length_s: 60 nodes: 6 zones: 'a' zones: 'b'
        engines { name: 'ra' role: READER zone: 'a' count: 4 } engines { name: 'wb' role: WRITER zone: 'b' count: 3 }
        model_route { model: 'chat' first_token_target_ms: 500 route_timeout_ms: 3000 }
        traffic { model: 'chat' rate_per_s: 10 } ";

    fn day(faults: &str) -> Day {
        nickelgw_settings::parse_day("test", &format!("{DAY}{faults}")).unwrap()
    }

    #[test]
    fn troubles_strike_the_part_that_they_name() {
        let d = day("fault { at_s: 5 kind: CRASH target: 'readers' part: 0.5 for_s: 9 }
            fault { at_s: 20 kind: ZONE_LOSS target: 'b' for_s: 5 }
            fault { at_s: 30 kind: AGEING target: 'wb1' for_s: 10 factor: 6 }
            fault { at_s: 40 kind: BALANCER_ROLL for_s: 12 } fault { at_s: 50 kind: MASS_RESTART for_s: 8 }");
        let s = Script::of(&d, 1);
        assert!(is_sound(&d, &s));
        let of = |k: Kind, from: f64, to: f64| {
            s.faults
                .iter()
                .filter(move |f| f.kind() == k && f.at_s >= from && f.at_s < to)
                .collect::<Vec<_>>()
        };
        assert_eq!(of(Kind::Die, 5.0, 6.0).len(), 2);
        assert_eq!((of(Kind::Die, 20.0, 21.0).len(), of(Kind::KillNode, 20.0, 21.0).len()), (3, 3));
        let ages: Vec<f64> = of(Kind::Slow, 30.0, 40.0).iter().map(|f| f.factor()).collect();
        assert_eq!(ages, [2.0, 3.0, 4.0, 5.0, 6.0]);
        // One after the other, each up again before the next goes; then all in waves of a quarter.
        let roll = of(Kind::KillNode, 40.0, 50.0);
        assert!(roll.windows(2).all(|w| w[1].at_s >= w[0].at_s + w[0].for_s()));
        assert_eq!((roll.len(), of(Kind::KillNode, 50.0, 60.0).len()), (5, 6 + 1));
        assert_eq!(s.troubles.len(), 5);
    }

    #[test]
    fn swells_change_the_traffic_while_they_last() {
        let d = day("fault { at_s: 5 kind: BURST factor: 3 for_s: 5 } fault { at_s: 8 kind: BURST factor: 2 for_s: 5 }
            fault { at_s: 1 kind: HOT_KEY share: 0.4 for_s: 3 } fault { at_s: 2 kind: RETRY_ABUSE share: 0.2 for_s: 2 }");
        let s = Script::of(&d, 1);
        assert_eq!([1.0, 6.0, 9.0, 12.0, 14.0].map(|t| s.rate(t)), [1.0, 3.0, 6.0, 2.0, 1.0]);
        assert_eq!((s.most_rate(), s.hot(2.0), s.hot(5.0), s.abuse(3.0)), (6.0, 0.4, 0.0, 0.2));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn a_script_is_sound_and_repeats_itself(
            kinds in prop::collection::vec((20i32..37, 0.0..50.0f64, 0.0..20.0f64, 0.0..1.0f64), 1..8), seed in any::<u64>(),
        ) {
            let mut d = day("");
            for (k, at, long, part) in kinds {
                let Ok(kind) = Kind::try_from(k) else { continue };
                let zone = matches!(kind, Kind::ZoneLoss | Kind::ZoneCut);
                let target = zone.then(|| "b".to_string());
                d.fault.push(Fault { at_s: at, kind: k, target, for_s: Some(long), part: Some(part), ..Fault::default() });
            }
            let (a, b) = (Script::of(&d, seed), Script::of(&d, seed));
            prop_assert_eq!(&a.faults, &b.faults);
            prop_assert!(is_sound(&d, &a));
            prop_assert!(a.faults.windows(2).all(|w| w[0].at_s <= w[1].at_s));
            prop_assert!(a.faults.iter().all(|f| (f.kind() as i32) < 20), "only single faults are left");
        }
    }
}
