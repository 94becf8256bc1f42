//! Parser of the operators' `options` object, from which a node gets its deployment. The simulator's wire
//! protocol and the platform use the same object.

pub mod fields;

use fields::{flag, integer, list, names, number, number_or, text, ConfigError};
use nickelgw::interface::{Deployment, EngineLoad, EngineRole, Idempotency, IdempotencyScope, ModelRoute};
use serde_json::{json, Value};

/// TPOT objective in seconds of a route for which the options state none.
const DEFAULT_TPOT_S: f64 = 0.06;
/// Memory in tokens of a machine kind for which the options state none.
const DEFAULT_MEMORY_TOKENS: f64 = 1.0;
/// Divisor that converts microseconds per 1000 prompt tokens to seconds per token.
const US_PER_1000_TOKENS: f64 = 1e9;
/// Tokens per reported unit of pending prompt tokens, which are reported in thousands.
const TOKENS_PER_REPORTED_UNIT: f64 = 1000.0;

/// The parsed options, with the names for which the decision module uses indices.
pub struct PlatformConfig {
    /// Deployment with which the decision module is started.
    pub deployment: Deployment,
    /// Names of the model routes.
    pub routes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Machine kinds of the engines.
    pub machine_kinds: Vec<MachineKind>,
}

/// A machine kind: engines of one kind have the same role and memory.
pub struct MachineKind {
    /// Name of the kind in the endpoint list.
    pub name: String,
    /// Role of engines of this kind.
    pub role: EngineRole,
    /// Number of tokens that the KV cache memory of one engine holds.
    pub memory_tokens: f64,
}

/// Returns the index in `names` of the name that a field of `object` holds.
pub fn position_of(names: &[String], object: &Value, field: &str) -> Result<usize, ConfigError> {
    let wanted = text(object, field)?;
    let position = names.iter().position(|name| name == wanted);
    position.ok_or_else(|| ConfigError::field(object, field, "a name from the settings"))
}

/// Returns the object in a field of `parent`, which must be present.
pub fn object<'a>(parent: &'a Value, field: &str) -> Result<&'a Value, ConfigError> {
    let value = parent.get(field).filter(|value| value.is_object());
    value.ok_or_else(|| ConfigError::field(parent, field, "an object"))
}

/// Reads an engine's load from the values of its report. `value` looks up a value by name; a value has the
/// name that the options give it, or the platform's own.
pub fn read_engine_load<E>(value: impl Fn(&str) -> Result<Option<f64>, E>) -> Result<EngineLoad, E> {
    Ok(EngineLoad {
        memory_share: value("x0")?,
        slot_share: value("load_share")?.or(value("util")?),
        queue_len: value("depth")?.or(value("queue")?),
        inflight: value("concurrent")?.or(value("inflight")?),
        pending_prompt_tokens: value("x1")?.map(|units| TOKENS_PER_REPORTED_UNIT * units),
    })
}

impl PlatformConfig {
    /// Parses the `options` object. `seed` is the seed of the node's random choices.
    pub fn parse(options: &Value, seed: u64) -> Result<PlatformConfig, ConfigError> {
        let sections = Sections::of(options)?;
        let (routes, route_names) = sections.routes()?;
        let (tenants, tenant_quotas) = sections.tenants()?;
        let machine_kinds = sections.machine_kinds()?;
        let zones = names(options, "zones")?;
        let deployment = sections.deployment(&zones, seed, routes, tenant_quotas)?;
        Ok(PlatformConfig { deployment, routes: route_names, tenants, zones, machine_kinds })
    }
}

/// The options and the objects within them.
struct Sections<'a> {
    options: &'a Value,
    info: &'a Value,
    limits: &'a Value,
    rules: &'a Value,
}

impl<'a> Sections<'a> {
    fn of(options: &'a Value) -> Result<Sections<'a>, ConfigError> {
        Ok(Sections {
            options,
            info: object(options, "family_info")?,
            limits: object(options, "limits")?,
            rules: object(options, "rules")?,
        })
    }

    /// Returns the number at `index` of a list in `family_info`, or the default if the list has no such item.
    fn info_number(&self, field: &str, index: usize, default: f64) -> Result<f64, ConfigError> {
        let value = list(self.info, field)?.get(index).map_or(Some(default), Value::as_f64);
        value.ok_or_else(|| ConfigError::field(self.info, field, "a list of numbers"))
    }

    fn routes(&self) -> Result<(Vec<ModelRoute>, Vec<String>), ConfigError> {
        let mut routes = Vec::new();
        let mut route_names = Vec::new();
        for (index, class) in list(self.options, "classes")?.iter().enumerate() {
            let tpot_s = self.info_number("token_aim_s", index, DEFAULT_TPOT_S)?;
            let us_per_1000_tokens = self.info_number("aim_us_per_1000_prompt_tokens", index, 0.0)?;
            routes.push(model_route(class, tpot_s, us_per_1000_tokens)?);
            route_names.push(text(class, "name")?.to_string());
        }
        Ok((routes, route_names))
    }

    fn tenants(&self) -> Result<(Vec<String>, Vec<f64>), ConfigError> {
        let mut tenants = Vec::new();
        let mut tenant_quotas = Vec::new();
        for account in list(self.options, "accounts")? {
            tenants.push(text(account, "name")?.to_string());
            tenant_quotas.push(number(account, "quota_per_s")?);
        }
        Ok((tenants, tenant_quotas))
    }

    fn machine_kinds(&self) -> Result<Vec<MachineKind>, ConfigError> {
        let roles = names(self.info, "role_by_kind")?;
        let mut machine_kinds = Vec::new();
        for (index, name) in names(self.options, "kinds")?.into_iter().enumerate() {
            let role = self.role(roles.get(index).map(String::as_str))?;
            let memory_tokens = self.info_number("kind_memory_tokens", index, DEFAULT_MEMORY_TOKENS)?;
            machine_kinds.push(MachineKind { name, role, memory_tokens });
        }
        Ok(machine_kinds)
    }

    fn role(&self, name: Option<&str>) -> Result<EngineRole, ConfigError> {
        match name {
            Some("read") => Ok(EngineRole::Prefill),
            Some("write") => Ok(EngineRole::Decode),
            Some("both") => Ok(EngineRole::Unified),
            _ => Err(ConfigError::field(self.info, "role_by_kind", "read, write or both for each kind")),
        }
    }

    fn deployment(
        &self,
        zones: &[String],
        seed: u64,
        routes: Vec<ModelRoute>,
        tenant_quotas: Vec<f64>,
    ) -> Result<Deployment, ConfigError> {
        let no_charges = json!({});
        let charges = self.options.get("charges").unwrap_or(&no_charges);
        let allows_retry_after = flag(self.limits, "retry_after")?;
        let registry_mode = self.options.get("registry_mode").and_then(Value::as_str);
        Ok(Deployment {
            node: integer(self.options, "my_number")? as u32,
            node_count: integer(self.options, "balancers")? as u32,
            seed,
            zone: position_of(zones, self.options, "az")? as u32,
            tick_s: number(self.options, "tick_s")?,
            routes,
            tenant_quotas,
            max_attempts: number(self.limits, "most_tries")? as u32,
            decode_engines_prefill: flag(self.info, "local_read")?,
            reservation_limit_s: number(self.info, "release_s")?,
            connect_timeout_s: 0.0,
            cross_cell_price: number_or(self.info, "transfer_price", 0.0)?,
            cross_zone_price: number_or(charges, "cross_zone", 0.0)?,
            can_cancel: flag(self.limits, "cancel")?,
            can_probe: flag(self.limits, "probes")?,
            must_poll_endpoints: registry_mode == Some("subscribe"),
            max_retry_after_s: if allows_retry_after {
                Some(number(self.limits, "max_retry_after_s")?)
            } else {
                None
            },
            slow_start_initial_share: number(self.rules, "cold_from")?,
            warmup_s: number(self.rules, "warm_within_s")?,
            overload_multiple: number(self.rules, "tip_multiple")?,
            overload_window_s: number(self.rules, "fall_s")?,
        })
    }
}

fn model_route(class: &Value, tpot_s: f64, us_per_1000_tokens: f64) -> Result<ModelRoute, ConfigError> {
    let scope = idempotency_scope(class)?;
    Ok(ModelRoute {
        idempotency: idempotency(class, scope)?,
        ttft_objective_s: number(class, "slo_s")?,
        ttft_objective_per_token_s: us_per_1000_tokens / US_PER_1000_TOKENS,
        tpot_objective_s: tpot_s,
    })
}

fn idempotency_scope(class: &Value) -> Result<IdempotencyScope, ConfigError> {
    match class.get("group").and_then(Value::as_str) {
        None | Some("all") => Ok(IdempotencyScope::All),
        Some("zone") => Ok(IdempotencyScope::Zone),
        Some("cell") => Ok(IdempotencyScope::Cell),
        Some(_) => Err(ConfigError::field(class, "group", "all, zone or cell")),
    }
}

fn idempotency(class: &Value, scope: IdempotencyScope) -> Result<Idempotency, ConfigError> {
    match text(class, "idempotency")? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::Keyed { scope, window_s: number(class, "memory_span_s")? }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        _ => Err(ConfigError::field(class, "idempotency", "pure, token or side_effect")),
    }
}
