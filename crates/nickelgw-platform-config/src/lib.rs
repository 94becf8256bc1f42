//! The deployment as the operators' `options` object tells it, read the same for the bench's wire and for the platform.

pub mod fields;

use fields::{flag, integer, list, names, number, number_or, text, ConfigError};
use nickelgw::interface::{Deployment, EngineLoad, EngineRole, Idempotency, IdempotencyScope, ModelRoute};
use serde_json::{json, Value};

/// What the options tell, names beside indices.
pub struct PlatformConfig {
    pub deployment: Deployment,
    pub routes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// Machine kinds, with their role and memory in tokens.
    pub machine_kinds: Vec<(String, EngineRole, f64)>,
}

pub fn position_of(names: &[String], line: &Value, field: &str) -> Result<usize, ConfigError> {
    let name = text(line, field)?;
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| ConfigError::field(line, field, "a name from the settings"))
}

pub fn object<'a>(line: &'a Value, field: &str) -> Result<&'a Value, ConfigError> {
    line.get(field).filter(|v| v.is_object()).ok_or_else(|| ConfigError::field(line, field, "an object"))
}

/// A report's values by the names that the options give them, or by the platform's own.
pub fn load<E>(value: impl Fn(&str) -> Result<Option<f64>, E>) -> Result<EngineLoad, E> {
    Ok(EngineLoad {
        memory_share: value("x0")?,
        slot_share: value("load_share")?.or(value("util")?),
        queue_len: value("depth")?.or(value("queue")?),
        inflight: value("concurrent")?.or(value("inflight")?),
        pending_prompt_tokens: value("x1")?.map(|k| 1000.0 * k),
    })
}

fn route(class: &Value, pace_s: f64, per_1000_us: f64) -> Result<ModelRoute, ConfigError> {
    let group = match class.get("group").and_then(Value::as_str) {
        None | Some("all") => IdempotencyScope::All,
        Some("zone") => IdempotencyScope::Zone,
        Some("cell") => IdempotencyScope::Cell,
        Some(_) => return Err(ConfigError::field(class, "group", "all, zone or cell")),
    };
    let repeat = match text(class, "idempotency")? {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed { scope: group, window_s: number(class, "memory_span_s")? },
        "side_effect" => Idempotency::NonIdempotent,
        _ => return Err(ConfigError::field(class, "idempotency", "pure, token or side_effect")),
    };
    Ok(ModelRoute {
        ttft_objective_s: number(class, "slo_s")?,
        ttft_objective_per_token_s: per_1000_us / 1e9,
        tpot_objective_s: pace_s,
        idempotency: repeat,
    })
}

impl PlatformConfig {
    pub fn parse(o: &Value, seed: u64) -> Result<PlatformConfig, ConfigError> {
        let (info, limits, rules) = (object(o, "family_info")?, object(o, "limits")?, object(o, "rules")?);
        let none = json!({});
        let charges = o.get("charges").unwrap_or(&none);
        let at = |field: &str, k: usize, absent: f64| -> Result<f64, ConfigError> {
            let value = list(info, field)?.get(k).map_or(Some(absent), Value::as_f64);
            value.ok_or_else(|| ConfigError::field(info, field, "a list of numbers"))
        };
        let mut routes = Vec::new();
        let mut route_names = Vec::new();
        for (k, class) in list(o, "classes")?.iter().enumerate() {
            let pace = at("token_aim_s", k, 0.06)?;
            routes.push(route(class, pace, at("aim_us_per_1000_prompt_tokens", k, 0.0)?)?);
            route_names.push(text(class, "name")?.to_string());
        }
        let mut tenants = Vec::new();
        let mut tenant_quotas = Vec::new();
        for account in list(o, "accounts")? {
            tenants.push(text(account, "name")?.to_string());
            tenant_quotas.push(number(account, "quota_per_s")?);
        }
        let mut kinds = Vec::new();
        let roles = names(info, "role_by_kind")?;
        for (k, name) in names(o, "kinds")?.into_iter().enumerate() {
            let role = match roles.get(k).map(String::as_str) {
                Some("read") => EngineRole::Prefill,
                Some("write") => EngineRole::Decode,
                Some("both") => EngineRole::Unified,
                _ => {
                    return Err(ConfigError::field(info, "role_by_kind", "read, write or both for each kind"))
                }
            };
            kinds.push((name, role, at("kind_memory_tokens", k, 1.0)?));
        }
        let zones = names(o, "zones")?;
        let told = flag(limits, "retry_after")?;
        let deployment = Deployment {
            node: integer(o, "my_number")? as u32,
            node_count: integer(o, "balancers")? as u32,
            seed,
            zone: position_of(&zones, o, "az")? as u32,
            tick_s: number(o, "tick_s")?,
            routes,
            tenant_quotas,
            max_attempts: number(limits, "most_tries")? as u32,
            decode_engines_prefill: flag(info, "local_read")?,
            reservation_limit_s: number(info, "release_s")?,
            connect_timeout_s: 0.0,
            cross_cell_price: number_or(info, "transfer_price", 0.0)?,
            cross_zone_price: number_or(charges, "cross_zone", 0.0)?,
            can_cancel: flag(limits, "cancel")?,
            can_probe: flag(limits, "probes")?,
            must_poll_endpoints: o.get("registry_mode").and_then(Value::as_str) == Some("subscribe"),
            max_retry_after_s: if told { Some(number(limits, "max_retry_after_s")?) } else { None },
            slow_start_initial_share: number(rules, "cold_from")?,
            warmup_s: number(rules, "warm_within_s")?,
            overload_multiple: number(rules, "tip_multiple")?,
            overload_window_s: number(rules, "fall_s")?,
        };
        Ok(PlatformConfig { deployment, routes: route_names, tenants, zones, machine_kinds: kinds })
    }
}
