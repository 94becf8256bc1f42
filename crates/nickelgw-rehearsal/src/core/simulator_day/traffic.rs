//! Conversion of the model routes, tenants and traffic of a simulator's day.

use super::source::{number, required_number, text, Source};
use super::InvalidSimulatorDay;
use nickelgw_settings::proto::{Group, ModelRoute, Repeat, Tenant, Traffic};
use serde_json::Value;

/// Lowest quota of a tenant in requests per second; a quota must be above zero.
const MIN_QUOTA_PER_S: f64 = 0.1;

pub(super) fn model_routes(source: &Source) -> Result<Vec<ModelRoute>, InvalidSimulatorDay> {
    let classes = source.classes.iter().enumerate();
    classes.map(|(n, class)| model_route(class, profile_of(source, n))).collect()
}

/// Returns the conversation profile of a request class, or the last profile if there are fewer profiles than
/// classes.
fn profile_of<'a>(source: &Source<'a>, class: usize) -> &'a Value {
    source.profiles.get(class).or(source.profiles.last()).unwrap_or(&Value::Null)
}

fn model_route(class: &Value, profile: &Value) -> Result<ModelRoute, InvalidSimulatorDay> {
    let repeat = match text(class, "effect") {
        "unsafe" => Repeat::NonRetriable,
        "keyed" => Repeat::Deduped,
        _ => Repeat::Retriable,
    };
    let group = match text(class, "group") {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    let is_deduplicated = repeat == Repeat::Deduped;
    let window_us = number(class, &["window"]).unwrap_or(0.0);
    Ok(ModelRoute {
        model: text(class, "name").into(),
        first_token_target_ms: required_number(class, &["aim"])? / 1e3,
        target_per_1000_tokens_ms: number(profile, &["aim_ms_per_k"]),
        pace_ms: number(profile, &["token_ms"]),
        route_timeout_ms: required_number(class, &["deadline"])? / 1e3,
        repeat: Some(repeat as i32),
        dedupe_group: is_deduplicated.then_some(group as i32),
        dedupe_memory_ms: is_deduplicated.then_some(window_us / 1e3),
        ..ModelRoute::default()
    })
}

/// Returns the traffic of each request class and tenant, without pairs whose share is zero.
pub(super) fn traffic(source: &Source, tenants: &[Value], rate_per_s: f64) -> Vec<Traffic> {
    let total_share = source.total_class_share();
    let mut traffic = Vec::new();
    for (n, class) in source.classes.iter().enumerate() {
        let class_share = source.class_share(n) / total_share.max(1e-9);
        for tenant in tenants {
            let share = class_share * number(tenant, &["traffic"]).unwrap_or(0.0);
            if share > 0.0 {
                traffic.push(tenant_traffic(
                    source,
                    class,
                    profile_of(source, n),
                    tenant,
                    rate_per_s * share,
                ));
            }
        }
    }
    traffic
}

fn tenant_traffic(
    source: &Source,
    class: &Value,
    profile: &Value,
    tenant: &Value,
    rate_per_s: f64,
) -> Traffic {
    Traffic {
        model: text(class, "name").into(),
        tenant: Some(text(tenant, "name").into()),
        rate_per_s,
        prompt_tokens: Some(source.mean_prompt_tokens()),
        beginnings: number(profile, &["prefixes"]).map(|prefixes| prefixes as u32),
        stream_share: Some(1.0),
        retries: number(source.json, &["clients", "retries"]).map(|retries| retries as u32),
        retry_wait_ms: number(source.json, &["clients", "backoff_us"]).map(|backoff_us| backoff_us / 1e3),
        ..Traffic::default()
    }
}

pub(super) fn tenant(tenant: &Value, rate_per_s: f64) -> Tenant {
    let name = text(tenant, "name");
    Tenant {
        name: name.into(),
        key: format!("sk-{name}-example"),
        quota_per_s: (number(tenant, &["quota"]).unwrap_or(1.0) * rate_per_s).max(MIN_QUOTA_PER_S),
        most_open: None,
        weight: None,
    }
}
