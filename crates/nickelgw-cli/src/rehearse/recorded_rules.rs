//! Rules of a day, in the form in which the auditor reads them from its records.

use super::SLACK_S;
use nickelgw_settings::proto::{Doubt, Group, ModelRoute, Repeat};
use nickelgw_settings::Day;
use serde_json::{json, Map, Value};

pub(super) fn recorded_rules(day: &Day) -> Value {
    let routes: Map<String, Value> =
        day.model_route.iter().map(|route| (route.model.clone(), route_rules(route))).collect();
    let doubt = Doubt::default();
    json!({"doubt_share": doubt.share(), "doubt_least": doubt.least(), "doubt_s": doubt.doubt_ms() / 1e3,
        "drain_grace_s": day.drain_grace_ms() / 1e3, "slack_s": SLACK_S, "routes": routes,
        "hold_limit_s": day.rules.unwrap_or_default().hold_limit_ms() / 1e3})
}

fn route_rules(route: &ModelRoute) -> Value {
    let repeat = match route.repeat() {
        Repeat::Retriable => "retriable",
        Repeat::Deduped => "deduped",
        Repeat::NonRetriable => "non_retriable",
    };
    let group = match route.dedupe_group() {
        Group::All => "all",
        Group::Zone => "zone",
        Group::Cell => "cell",
    };
    json!({"repeat": repeat, "group": group, "memory_s": route.dedupe_memory_ms() / 1e3})
}
