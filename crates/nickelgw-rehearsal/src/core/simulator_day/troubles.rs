//! Conversion of the troubles of a simulator's day. The list of engines that a trouble affects becomes a
//! share of the prefill engines and a share of the decode engines.

use super::source::{number, required_number, text, Source};
use super::{InvalidSimulatorDay, US_PER_S};
use nickelgw_settings::proto::{fault::Kind, Fault};
use serde_json::Value;

/// Lowest share of the nodes that a trouble of nodes affects.
const MIN_NODE_SHARE: f64 = 0.05;

/// Converts a trouble to faults. If its kind is unknown, returns no faults and adds a note.
pub(super) fn faults(
    trouble: &Value,
    source: &Source,
    time_scale: f64,
    notes: &mut Vec<String>,
) -> Result<Vec<Fault>, InvalidSimulatorDay> {
    let kind_name = text(trouble, "kind");
    let Some(kind) = Kind::from_str_name(&kind_name.to_uppercase()) else {
        notes.push(format!("trouble {kind_name} is of an unknown kind and is left out"));
        return Ok(Vec::new());
    };
    let (factor, share) = factor_or_share(trouble);
    let template = Fault {
        at_s: required_number(trouble, &["at"])? / US_PER_S * time_scale,
        kind: kind as i32,
        target: None,
        for_s: Some(required_number(trouble, &["len"])? / US_PER_S * time_scale),
        share,
        factor,
        part: None,
    };
    let faults = targets(trouble, source, kind).into_iter().map(|target| Fault {
        target: Some(target.name),
        part: Some(target.share),
        ..template.clone()
    });
    Ok(faults.collect())
}

/// Target of a fault, and the share of it that the fault affects.
struct Target {
    name: String,
    share: f64,
}

/// Returns the size of a trouble as a factor if it is above 1, otherwise as a share.
fn factor_or_share(trouble: &Value) -> (Option<f64>, Option<f64>) {
    let size = number(trouble, &["size"]).unwrap_or(1.0);
    if size > 1.0 {
        (Some(size), None)
    } else {
        (None, Some(size.max(0.0)))
    }
}

fn targets(trouble: &Value, source: &Source, kind: Kind) -> Vec<Target> {
    let numbers = trouble["on"].as_array().into_iter().flatten();
    let affected: Vec<usize> = numbers.filter_map(|n| Some(n.as_u64()? as usize)).collect();
    match kind {
        Kind::ZoneLoss | Kind::ZoneCut => {
            vec![Target { name: most_frequent_zone(source, &affected), share: 1.0 }]
        }
        Kind::DiscoveryStale | Kind::Burst | Kind::HotKey | Kind::RetryAbuse => {
            vec![Target { name: String::new(), share: 1.0 }]
        }
        Kind::BalancerCrash | Kind::BalancerRoll | Kind::MassRestart => {
            let nodes = source.json["balancers"].as_array().map_or(1, Vec::len).max(1);
            let share = (affected.len() as f64 / nodes as f64).clamp(MIN_NODE_SHARE, 1.0);
            vec![Target { name: String::new(), share }]
        }
        _ => {
            let roles = [("readers", "read"), ("writers", "write")];
            let targets = roles.map(|(name, role)| Target {
                name: name.into(),
                share: share_of_role(source, &affected, role),
            });
            targets.into_iter().filter(|target| target.share > 0.0).collect()
        }
    }
}

/// Returns the zone with most of the affected servers, the first of equals.
fn most_frequent_zone(source: &Source, affected: &[usize]) -> String {
    let in_zone = |zone: usize| {
        let is_there = |n: &&usize| source.servers.get(**n).is_some_and(|server| server["zone"] == zone);
        affected.iter().filter(is_there).count()
    };
    let zones = 0..source.zones.len();
    let most_frequent = zones.max_by_key(|zone| (in_zone(*zone), usize::MAX - zone)).unwrap_or(0);
    source.zones.get(most_frequent).cloned().unwrap_or_default()
}

/// Returns the share of the servers of a role that are affected.
fn share_of_role(source: &Source, affected: &[usize], role: &str) -> f64 {
    let has_role = |n: &usize| {
        let kind = source.servers.get(*n).and_then(|server| server["kind"].as_u64());
        kind.and_then(|kind| source.roles.get(kind as usize)).is_some_and(|name| name == role)
    };
    let all = (0..source.servers.len()).filter(|n| has_role(n)).count();
    affected.iter().filter(|n| has_role(n)).count() as f64 / all.max(1) as f64
}
