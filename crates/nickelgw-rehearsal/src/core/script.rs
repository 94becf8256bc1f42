//! Script of a day. The troubles of a day, such as the loss of a zone, are expanded to single faults, each of
//! which affects one engine, node or zone at one time, and to changes of the traffic.

mod expand;

use nickelgw_settings::engine_names;
use nickelgw_settings::proto::{fault::Kind, Day, Fault};

/// Single faults and changes of the traffic during a day.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Single faults, each of one engine, node or zone, ordered by time.
    pub faults: Vec<Fault>,
    /// Troubles of the day before their expansion, for charts and reports.
    pub troubles: Vec<Trouble>,
    traffic_changes: Vec<TrafficChange>,
}

/// Trouble of a day, as it is shown in charts and reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// Kind and target of the trouble.
    pub name: String,
    /// Time since the start of the day, in seconds, at which the trouble begins.
    pub from_s: f64,
    /// Time since the start of the day, in seconds, at which the trouble ends.
    pub to_s: f64,
}

/// Change of the traffic for a time.
#[derive(Clone, Copy, Debug)]
struct TrafficChange {
    from_s: f64,
    to_s: f64,
    kind: Kind,
    /// Factor of the rate for a burst, or share of the requests or clients for the other kinds.
    magnitude: f64,
}

impl Script {
    /// Expands the troubles of a day. Equal seeds choose equal targets.
    pub fn from_day(day: &Day, seed: u64) -> Script {
        expand::expand(day, seed)
    }

    /// Returns the magnitudes of the traffic changes of a kind that are active at `at_s`.
    fn active_magnitudes(&self, kind: Kind, at_s: f64) -> impl Iterator<Item = f64> + '_ {
        let is_active =
            move |change: &&TrafficChange| change.kind == kind && at_s >= change.from_s && at_s < change.to_s;
        self.traffic_changes.iter().filter(is_active).map(|change| change.magnitude)
    }

    /// Returns the rate of the traffic at `at_s` as a multiple of the configured rate.
    pub fn rate_multiple(&self, at_s: f64) -> f64 {
        self.active_magnitudes(Kind::Burst, at_s).product()
    }

    /// Returns the highest rate multiple of the day. Arrivals are drawn at this rate and then thinned to the
    /// rate of the moment.
    pub fn max_rate_multiple(&self) -> f64 {
        let at_starts = self.traffic_changes.iter().map(|change| self.rate_multiple(change.from_s));
        at_starts.fold(1.0, f64::max)
    }

    /// Returns the share of requests at `at_s` that have the same prompt prefix.
    pub fn hot_key_share(&self, at_s: f64) -> f64 {
        self.active_magnitudes(Kind::HotKey, at_s).fold(0.0, f64::max)
    }

    /// Returns the share of clients at `at_s` that retry immediately, five times.
    pub fn retry_abuse_share(&self, at_s: f64) -> f64 {
        self.active_magnitudes(Kind::RetryAbuse, at_s).fold(0.0, f64::max)
    }
}

/// Returns whether the target of every single fault exists in the day.
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
