//! Validation of a rehearsal day: its length, engines and traffic.

use super::{Section, Validator};
use crate::proto::{Day, EngineGroup, Traffic};

/// Maximum length of a day, as a rehearsal has to end by itself within ten minutes.
const MAX_LENGTH_S: f64 = 600.0;
const MAX_NODES: u32 = 64;
const MAX_ENGINES: u32 = 256;

impl Validator<'_> {
    pub(super) fn day(&mut self, day: &Day) {
        self.day_size(day);
        self.zones(&day.zones);
        self.model_routes(&day.model_route);
        self.tenants(&day.tenant);
        self.rules(&day.rules.unwrap_or_default(), &day.model_route);
        self.limits(&day.limits.unwrap_or_default());
        let mut root = self.root();
        root.not_negative("list_lag_ms", day.list_lag_ms());
        root.above_zero("drain_grace_ms", day.drain_grace_ms());
        self.state_grants(day.state_grants.as_ref());
        self.engine_groups(day);
        for (index, traffic) in day.traffic.iter().enumerate() {
            let mut section = self.section(("traffic", index));
            traffic_names(&mut section, day, traffic);
            traffic_shares(&mut section, traffic);
        }
        for (index, fault) in day.fault.iter().enumerate() {
            self.fault(day, index, fault);
        }
    }

    fn day_size(&mut self, day: &Day) {
        let mut root = self.root();
        root.not_empty("name", &day.name);
        root.above_zero("length_s", day.length_s);
        if day.length_s > MAX_LENGTH_S {
            let expected = "600 or less, as a rehearsal has to end by itself";
            root.report("length_s", format!("is {}", day.length_s), expected);
        }
        if !(1..=MAX_NODES).contains(&day.nodes()) {
            root.report("nodes", format!("is {}", day.nodes()), "a number from 1 to 64");
        }
    }

    fn engine_groups(&mut self, day: &Day) {
        let total: u32 = day.engines.iter().map(|group| group.count()).sum();
        if !(1..=MAX_ENGINES).contains(&total) {
            self.root().report("engines", format!("{total} engines in total"), "1 to 256 engines");
        }
        for (index, group) in day.engines.iter().enumerate() {
            engine_group(&mut self.section(("engines", index)), day, group);
        }
        self.unique("engines", "name", day.engines.iter().map(|group| group.name.clone()));
    }
}

fn engine_group(section: &mut Section, day: &Day, group: &EngineGroup) {
    section.not_empty("name", &group.name);
    if !day.zones.contains(&group.zone) {
        section.report("zone", format!("is '{}'", group.zone), "one of zones");
    }
    section.all_above_zero(&[
        ("count", f64::from(group.count())),
        ("slots", f64::from(group.slots())),
        ("memory_tokens", group.memory_tokens()),
        ("read_ms", group.read_ms()),
        ("read_tokens_per_s", group.read_tokens_per_s()),
        ("step_ms", group.step_ms()),
        ("out_tokens", f64::from(group.out_tokens())),
        ("state_ttl_ms", group.state_ttl_ms()),
    ]);
}

fn traffic_names(section: &mut Section, day: &Day, traffic: &Traffic) {
    if !day.model_route.iter().any(|route| route.model == traffic.model) {
        section.report("model", format!("is '{}'", traffic.model), "the model of a model_route");
    }
    let is_known = day.tenant.iter().any(|tenant| tenant.name == traffic.tenant());
    if (traffic.tenant.is_some() || !day.tenant.is_empty()) && !is_known {
        section.report("tenant", format!("is '{}'", traffic.tenant()), "the name of a tenant");
    }
}

fn traffic_shares(section: &mut Section, traffic: &Traffic) {
    section.above_zero("rate_per_s", traffic.rate_per_s);
    section.above_zero("prompt_tokens", traffic.prompt_tokens());
    for (field, value) in [
        ("stream_share", traffic.stream_share()),
        ("leave_waiting_share", traffic.leave_waiting_share()),
        ("leave_streaming_share", traffic.leave_streaming_share()),
        ("malformed_share", traffic.malformed_share()),
        ("slow_share", traffic.slow_share()),
    ] {
        section.fraction(field, value);
    }
    // The order of the additions matters: shares that sum to 1 exactly may sum to more in floating point.
    if traffic.leave_waiting_share() + traffic.leave_streaming_share() + traffic.malformed_share() > 1.0 {
        let found = "leave_waiting_share, leave_streaming_share and malformed_share sum to more than 1";
        section.report("malformed_share", found, "a sum of 1 or less");
    }
}
