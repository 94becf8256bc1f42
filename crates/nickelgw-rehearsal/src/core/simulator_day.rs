//! Conversion of a day of the simulator, as `lbsim draw` prints it, to a day that one machine can rehearse.
//! Kinds, times, shares and sizes are taken over and scaled where necessary. Notes say what was scaled and
//! what cannot be converted.

mod fleet;
mod source;
mod traffic;
mod troubles;

use fleet::Fleet;
use nickelgw_settings::proto::{Day, Rules};
use serde_json::Value;
use source::{list, number, required_number, text, Source};

/// Number of microseconds, the simulator's unit of time, in a second.
const US_PER_S: f64 = 1e6;

/// Limits of what one machine can run.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Largest number of engine processes.
    pub engines: usize,
    /// Largest number of node processes.
    pub nodes: u32,
    /// Highest rate of requests per second.
    pub rate_per_s: f64,
    /// Longest duration of a day in seconds.
    pub length_s: f64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits { engines: 24, nodes: 6, rate_per_s: 60.0, length_s: 120.0 }
    }
}

/// Day converted from the simulator.
#[derive(Clone, Debug)]
pub struct ConvertedDay {
    /// Day to rehearse.
    pub day: Day,
    /// Sentences that say what was scaled and what was left out.
    pub notes: Vec<String>,
}

/// Error returned when a JSON value is not a day of the simulator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSimulatorDay {
    /// The number at this path is missing.
    #[error("the simulator's day has no number {0}")]
    MissingNumber(String),
    /// The list with this name is missing.
    #[error("the simulator's day has no list {0}")]
    MissingList(String),
    /// The list of tiers is empty.
    #[error("the simulator's day has an empty list of tiers")]
    NoTier,
    /// The engine kind of this number has neither the prefill nor the decode role.
    #[error("engine kind {0} of the simulator's day has neither the role read nor write")]
    NoRole(usize),
    /// The engine kind of this number has no specification.
    #[error("engine kind {0} of the simulator's day has no entry in the list engines")]
    NoEngineSpec(usize),
}

/// Converts a day of the simulator to one that a machine with these limits can run.
pub fn convert(json: &Value, limits: MachineLimits) -> Result<ConvertedDay, InvalidSimulatorDay> {
    let mut notes = Vec::new();
    let time_scale = time_scale(json, limits, &mut notes)?;
    let source = Source::read(json)?;
    let mut fleet = Fleet::scaled(&source, limits, &mut notes)?;
    let nodes = scaled_nodes(json, limits, &mut notes)?;
    let rate_per_s = fleet.scale_load(json, limits, &mut notes)?;
    let tenants = list(json, "tenants")?;
    let mut day = Day {
        name: format!("{} {}", text(json, "site"), text(json, "kind")),
        nodes: Some(nodes),
        engines: fleet.groups,
        model_route: traffic::model_routes(&source)?,
        traffic: traffic::traffic(&source, tenants, rate_per_s),
        tenant: tenants.iter().map(|tenant| traffic::tenant(tenant, rate_per_s)).collect(),
        rules: Some(rules(json)),
        list_lag_ms: number(json, &["discovery", "notice"]).map(|notice_us| notice_us / 1e3),
        drain_grace_ms: number(json, &["drain_grace"]).map(|grace_us| grace_us / 1e3),
        ..Day::default()
    };
    for trouble in list(json, "troubles")? {
        day.fault.extend(troubles::faults(trouble, &source, time_scale, &mut notes)?);
    }
    day.zones = source.zones;
    day.length_s = required_number(json, &["length"])? / US_PER_S * time_scale;
    notes.push(
        "not converted: variation of sizes and times beyond that of the test engines, prices, network delays"
            .into(),
    );
    Ok(ConvertedDay { day, notes })
}

fn time_scale(
    json: &Value,
    limits: MachineLimits,
    notes: &mut Vec<String>,
) -> Result<f64, InvalidSimulatorDay> {
    let length_s = required_number(json, &["length"])? / US_PER_S;
    let time_scale = (limits.length_s / length_s).min(1.0);
    if time_scale < 1.0 {
        notes.push(format!(
            "the day of {length_s:.0} s is run in {:.0} s, with troubles closer together and shorter",
            limits.length_s
        ));
    }
    Ok(time_scale)
}

fn scaled_nodes(
    json: &Value,
    limits: MachineLimits,
    notes: &mut Vec<String>,
) -> Result<u32, InvalidSimulatorDay> {
    let balancers = list(json, "balancers")?.len() as u32;
    let nodes = balancers.clamp(1, limits.nodes);
    if nodes < balancers {
        notes.push(format!("{balancers} nodes are represented by {nodes}"));
    }
    Ok(nodes)
}

fn rules(json: &Value) -> Rules {
    let first_tier = &json["tiers"][0];
    Rules {
        hold_limit_ms: number(json, &["fam", "release"]).map(|release_us| release_us / 1e3),
        writers_read: json["fam"]["writers_read"].as_bool(),
        tip_multiple: number(json, &["fall_multiple"]),
        tip_window_ms: number(json, &["fall_for"]).map(|window_us| window_us / 1e3),
        cold_share: number(first_tier, &["stated_cold_from"]),
        warm_within_ms: number(first_tier, &["stated_cold"]).map(|warmup_us| warmup_us / 1e3),
        probes: json["allow"]["probes"].as_bool(),
        most_sends: number(json, &["allow", "max_attempts"]).map(|attempts| attempts as u32),
        ..Rules::default()
    }
}

#[cfg(test)]
mod tests;
