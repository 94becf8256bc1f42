//! Conversion of the engines of a simulator's day. They become fewer and slower, so that one machine can run
//! them at the same relative load.

use super::source::{number, required_number, Source};
use super::{InvalidSimulatorDay, MachineLimits};
use nickelgw_settings::proto::{EngineGroup, EngineRole};
use serde_json::Value;

/// Engine groups, and the number of requests per second that they can prefill and decode.
pub(super) struct Fleet {
    pub(super) groups: Vec<EngineGroup>,
    prefills_per_s: f64,
    decodes_per_s: f64,
}

/// Mean size of the requests of the day.
struct MeanRequest {
    prompt_tokens: f64,
    output_tokens: f64,
}

/// Servers of one kind in one zone.
struct ServerGroup {
    count: usize,
    mean_speed: f64,
}

impl Fleet {
    /// Creates the engine groups of a day, reduced to the number of engines that the machine can run.
    pub(super) fn scaled(
        source: &Source,
        limits: MachineLimits,
        notes: &mut Vec<String>,
    ) -> Result<Fleet, InvalidSimulatorDay> {
        let scale = (limits.engines as f64 / source.servers.len().max(1) as f64).min(1.0);
        let mean = MeanRequest {
            prompt_tokens: source.mean_prompt_tokens(),
            output_tokens: source.mean_output_tokens(),
        };
        let mut fleet = Fleet { groups: Vec::new(), prefills_per_s: 0.0, decodes_per_s: 0.0 };
        for kind in 0..source.engine_kinds {
            let role = role_of(source, kind)?;
            let spec = source.engine_specs.get(kind).ok_or(InvalidSimulatorDay::NoEngineSpec(kind))?;
            for zone in 0..source.zones.len() {
                if let Some(servers) = server_group(source, kind, zone) {
                    fleet.add_group(engine_group(spec, role, source, zone, &servers, scale)?, &mean);
                }
            }
        }
        if scale < 1.0 {
            let represented_by: u32 = fleet.groups.iter().map(|group| group.count()).sum();
            notes.push(format!("{} engines are represented by {represented_by}", source.servers.len()));
        }
        Ok(fleet)
    }

    fn add_group(&mut self, scaled: ScaledGroup, mean: &MeanRequest) {
        let count = f64::from(scaled.group.count());
        match scaled.group.role() {
            // The slots of a prefill engine share its speed, so their number does not matter.
            EngineRole::Reader => self.prefills_per_s += count * scaled.prefill_per_s / mean.prompt_tokens,
            EngineRole::Writer => {
                self.decodes_per_s += count * scaled.slots / (mean.output_tokens * scaled.step_ms / 1e3);
            }
        }
        self.groups.push(scaled.group);
    }

    /// Slows the engines down until the machine can generate the load of the day relative to their capacity.
    /// Returns the resulting rate of requests per second.
    pub(super) fn scale_load(
        &mut self,
        json: &Value,
        limits: MachineLimits,
        notes: &mut Vec<String>,
    ) -> Result<f64, InvalidSimulatorDay> {
        // The load is given as a share of the rate that the fleet can serve.
        let load = required_number(json, &["traffic", "load"])?;
        let capacity_per_s = self.prefills_per_s.min(self.decodes_per_s);
        let speed = (limits.rate_per_s / (load * capacity_per_s)).min(1.0);
        let rate_per_s = load * capacity_per_s * speed;
        if speed < 1.0 {
            notes.push(format!(
                "a load of {load:.2} of the fleet's capacity is {:.0} requests per second; engines are slowed down by \
                 a factor of {:.1}, so that {rate_per_s:.0} requests per second are the same load",
                load * capacity_per_s,
                1.0 / speed
            ));
            self.groups.iter_mut().for_each(|group| slow_down(group, speed));
        }
        Ok(rate_per_s)
    }
}

/// Reduces the throughput of a group to a share of it: a prefill engine works more slowly, a decode engine
/// gets fewer slots.
fn slow_down(group: &mut EngineGroup, speed: f64) {
    match group.role() {
        EngineRole::Reader => {
            group.read_tokens_per_s = Some(group.read_tokens_per_s() * speed);
            group.read_ms = Some(group.read_ms() / speed);
        }
        EngineRole::Writer => {
            let slots = (f64::from(group.slots()) * speed).max(1.0);
            group.slots = Some(slots.round() as u32);
        }
    }
}

fn role_of(source: &Source, kind: usize) -> Result<EngineRole, InvalidSimulatorDay> {
    match source.roles.get(kind).and_then(Value::as_str) {
        Some("read") => Ok(EngineRole::Reader),
        Some("write") => Ok(EngineRole::Writer),
        _ => Err(InvalidSimulatorDay::NoRole(kind)),
    }
}

fn server_group(source: &Source, kind: usize, zone: usize) -> Option<ServerGroup> {
    let servers = source.servers.iter().filter(|server| server["kind"] == kind && server["zone"] == zone);
    let (mut count, mut total_speed) = (0usize, 0.0);
    for server in servers {
        count += 1;
        total_speed += number(server, &["speed"]).unwrap_or(1.0);
    }
    (count > 0).then(|| ServerGroup { count, mean_speed: total_speed / count as f64 })
}

/// Engine group with its values before rounding.
struct ScaledGroup {
    group: EngineGroup,
    slots: f64,
    step_ms: f64,
    prefill_per_s: f64,
}

fn engine_group(
    spec: &Value,
    role: EngineRole,
    source: &Source,
    zone: usize,
    servers: &ServerGroup,
    scale: f64,
) -> Result<ScaledGroup, InvalidSimulatorDay> {
    let count = ((servers.count as f64 * scale).round() as u32).max(1);
    let slots = required_number(spec, &["slots"])?;
    let step_ms = required_number(spec, &["step_ms"])? / servers.mean_speed;
    let prefill_per_s = required_number(spec, &["read_per_s"])? * servers.mean_speed;
    let role_name = match role {
        EngineRole::Reader => "read",
        EngineRole::Writer => "write",
    };
    let zone_name = &source.zones[zone];
    let group = EngineGroup {
        name: format!("{role_name}-{zone_name}-"),
        role: role as i32,
        zone: zone_name.clone(),
        cell: Some(zone as u32),
        count: Some(count),
        slots: Some(slots as u32),
        queue: Some(required_number(spec, &["queue"])? as u32),
        memory_tokens: Some(required_number(spec, &["memory"])?),
        read_ms: Some(step_ms),
        read_tokens_per_s: Some(prefill_per_s / slots.max(1.0)),
        step_ms: Some(step_ms),
        step_per_stream_ms: Some(number(spec, &["per_seq_ms"]).unwrap_or(0.0)),
        out_tokens: Some(source.mean_output_tokens().round() as u32),
        ..EngineGroup::default()
    };
    Ok(ScaledGroup { group, slots, step_ms, prefill_per_s })
}
