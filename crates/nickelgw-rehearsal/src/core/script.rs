//! The script of a day: its troubles expanded to single faults, each of one engine or node at one time, and to changes
//! of the traffic.

mod expand;

use nickelgw_settings::engine_names;
use nickelgw_settings::proto::{fault::Kind, Day, Fault};

/// What happens during a day: single faults in the order of time, and changes of the traffic.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Faults of one engine, node or zone each, by time.
    pub faults: Vec<Fault>,
    /// Troubles as the day has them, for charts and reports.
    pub troubles: Vec<Trouble>,
    traffic_changes: Vec<TrafficChange>,
}

/// A trouble as the day has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// Its kind and target.
    pub name: String,
    /// Second of the day at which it begins.
    pub from_s: f64,
    /// Second of the day at which it ends.
    pub to_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct TrafficChange {
    from_s: f64,
    to_s: f64,
    kind: Kind,
    size: f64,
}

impl Script {
    /// Expands a day's troubles; equal seeds choose equal targets.
    pub fn from_day(day: &Day, seed: u64) -> Script {
        expand::expand(day, seed)
    }

    /// Sizes of the traffic changes of a kind that are in force.
    fn active_sizes(&self, kind: Kind, at_s: f64) -> impl Iterator<Item = f64> + '_ {
        let is_active =
            move |change: &&TrafficChange| change.kind == kind && at_s >= change.from_s && at_s < change.to_s;
        self.traffic_changes.iter().filter(is_active).map(|change| change.size)
    }

    /// The traffic's rate as a multiple of the ordinary one.
    pub fn rate_multiple(&self, at_s: f64) -> f64 {
        self.active_sizes(Kind::Burst, at_s).product()
    }

    /// The highest rate of the day: arrivals are drawn at it and thinned.
    pub fn max_rate_multiple(&self) -> f64 {
        let at_starts = self.traffic_changes.iter().map(|change| self.rate_multiple(change.from_s));
        at_starts.fold(1.0, f64::max)
    }

    /// Share of requests that have one prompt prefix in common.
    pub fn hot_key_share(&self, at_s: f64) -> f64 {
        self.active_sizes(Kind::HotKey, at_s).fold(0.0, f64::max)
    }

    /// Share of clients that retry at once, five times.
    pub fn retry_abuse_share(&self, at_s: f64) -> f64 {
        self.active_sizes(Kind::RetryAbuse, at_s).fold(0.0, f64::max)
    }
}

/// Whether every single fault names something that the day has.
pub fn targets_exist(day: &Day, script: &Script) -> bool {
    let engines = engine_names(day);
    script.faults.iter().all(|fault| match fault.kind() {
        Kind::StallList | Kind::CaRotate => true,
        kind if kind as i32 >= Kind::RegistryRestart as i32 => true,
        Kind::CutZone => day.zones.iter().any(|zone| zone == fault.target()),
        Kind::KillNode => (0..day.nodes()).any(|number| format!("node{number}") == fault.target()),
        _ => engines.iter().any(|name| name == fault.target()),
    })
}

#[cfg(test)]
mod tests;
