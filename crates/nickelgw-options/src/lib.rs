//! The deployment as the operators' `options` object tells it, read the same for the bench's wire and for the platform.

pub mod fields;

use fields::{flag, index, list, names, num, num_or, text, Bad};
use nickelgw::interface::{Deployment, Group, Load, ModelRoute, Repeat, Role};
use serde_json::{json, Value};

/// What the options tell, names beside indices.
pub struct Told {
    pub deployment: Deployment,
    pub routes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// Machine kinds, with their role and memory in tokens.
    pub kinds: Vec<(String, Role, f64)>,
}

pub fn position(names: &[String], line: &Value, field: &str) -> Result<usize, Bad> {
    let name = text(line, field)?;
    names.iter().position(|n| n == name).ok_or_else(|| Bad::field(line, field, "a name from the settings"))
}

pub fn inner<'a>(line: &'a Value, field: &str) -> Result<&'a Value, Bad> {
    line.get(field).filter(|v| v.is_object()).ok_or_else(|| Bad::field(line, field, "an object"))
}

/// A report's values by the names that the options give them, or by the platform's own.
pub fn load<E>(value: impl Fn(&str) -> Result<Option<f64>, E>) -> Result<Load, E> {
    Ok(Load {
        memory_share: value("x0")?,
        slot_share: value("load_share")?.or(value("util")?),
        queue: value("depth")?.or(value("queue")?),
        inflight: value("concurrent")?.or(value("inflight")?),
        unread_tokens: value("x1")?.map(|k| 1000.0 * k),
    })
}

fn route(class: &Value, pace_s: f64, per_1000_us: f64) -> Result<ModelRoute, Bad> {
    let group = match class.get("group").and_then(Value::as_str) {
        None | Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some(_) => return Err(Bad::field(class, "group", "all, zone or cell")),
    };
    let repeat = match text(class, "idempotency")? {
        "pure" => Repeat::Retriable,
        "token" => Repeat::Deduped { group, memory_s: num(class, "memory_span_s")? },
        "side_effect" => Repeat::NonRetriable,
        _ => return Err(Bad::field(class, "idempotency", "pure, token or side_effect")),
    };
    Ok(ModelRoute {
        first_token_target_s: num(class, "slo_s")?,
        target_per_token_s: per_1000_us / 1e9,
        pace_s,
        repeat,
    })
}

impl Told {
    pub fn read(o: &Value, seed: u64) -> Result<Told, Bad> {
        let (info, limits, rules) = (inner(o, "family_info")?, inner(o, "limits")?, inner(o, "rules")?);
        let none = json!({});
        let charges = o.get("charges").unwrap_or(&none);
        let at = |field: &str, k: usize, absent: f64| -> Result<f64, Bad> {
            let value = list(info, field)?.get(k).map_or(Some(absent), Value::as_f64);
            value.ok_or_else(|| Bad::field(info, field, "a list of numbers"))
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
            tenant_quotas.push(num(account, "quota_per_s")?);
        }
        let mut kinds = Vec::new();
        let roles = names(info, "role_by_kind")?;
        for (k, name) in names(o, "kinds")?.into_iter().enumerate() {
            let role = match roles.get(k).map(String::as_str) {
                Some("read") => Role::Read,
                Some("write") => Role::Write,
                Some("both") => Role::Both,
                _ => return Err(Bad::field(info, "role_by_kind", "read, write or both for each kind")),
            };
            kinds.push((name, role, at("kind_memory_tokens", k, 1.0)?));
        }
        let zones = names(o, "zones")?;
        let told = flag(limits, "retry_after")?;
        let deployment = Deployment {
            node: index(o, "my_number")? as u32,
            nodes: index(o, "balancers")? as u32,
            seed,
            zone: position(&zones, o, "az")? as u32,
            tick_s: num(o, "tick_s")?,
            routes,
            tenant_quotas,
            most_sends: num(limits, "most_tries")? as u32,
            writers_read: flag(info, "local_read")?,
            hold_limit_s: num(info, "release_s")?,
            connect_s: 0.0,
            move_price: num_or(info, "transfer_price", 0.0)?,
            zone_price: num_or(charges, "cross_zone", 0.0)?,
            cancel: flag(limits, "cancel")?,
            probes: flag(limits, "probes")?,
            must_ask: o.get("registry_mode").and_then(Value::as_str) == Some("subscribe"),
            longest_come_back_s: if told { Some(num(limits, "max_retry_after_s")?) } else { None },
            cold_share: num(rules, "cold_from")?,
            warm_within_s: num(rules, "warm_within_s")?,
            tip_multiple: num(rules, "tip_multiple")?,
            tip_window_s: num(rules, "fall_s")?,
        };
        Ok(Told { deployment, routes: route_names, tenants, zones, kinds })
    }
}
