//! Validation of the settings for routing: model routes and dispatch rules.

use super::{Section, Validator};
use crate::proto::{ModelRoute, Repeat, Rules};

/// Minimum number of attempts of a request: one each for prefill and decode.
const MIN_ATTEMPTS: u32 = 2;

impl Validator<'_> {
    pub(super) fn model_routes(&mut self, routes: &[ModelRoute]) {
        if routes.is_empty() {
            self.root().report("model_route", "is missing", "at least one model route");
        }
        for (index, route) in routes.iter().enumerate() {
            model_route(&mut self.section(("model_route", index)), route);
        }
        self.unique("model_route", "model", routes.iter().map(|route| route.model.clone()));
    }

    pub(super) fn rules(&mut self, rules: &Rules, routes: &[ModelRoute]) {
        let mut section = self.section("rules");
        if rules.most_sends() < MIN_ATTEMPTS {
            let found = format!("is {}", rules.most_sends());
            section.report("most_sends", found, "2 or more: one attempt each for prefill and decode");
        }
        section.above_zero("hold_limit_ms", rules.hold_limit_ms());
        section.fraction("cold_share", rules.cold_share());
        section.above_zero("cold_share", rules.cold_share());
        section.above_zero("warm_within_ms", rules.warm_within_ms());
        section.at_least("tip_multiple", rules.tip_multiple(), 1.0, "1 or more");
        section.above_zero("tip_window_ms", rules.tip_window_ms());
        section.not_negative("cell_price", rules.cell_price());
        section.not_negative("zone_price", rules.zone_price());
        section.not_negative("longest_come_back_ms", rules.longest_come_back_ms());
        let shortest_timeout_ms =
            routes.iter().map(|route| route.route_timeout_ms).fold(f64::INFINITY, f64::min);
        if rules.hold_limit_ms() >= shortest_timeout_ms {
            let expected = "less than the shortest route timeout, as a state held for longer is of no use";
            section.report("hold_limit_ms", format!("is {}", rules.hold_limit_ms()), expected);
        }
    }
}

fn model_route(section: &mut Section, route: &ModelRoute) {
    section.not_empty("model", &route.model);
    section.above_zero("first_token_target_ms", route.first_token_target_ms);
    section.not_negative("target_per_1000_tokens_ms", route.target_per_1000_tokens_ms());
    section.above_zero("pace_ms", route.pace_ms());
    section.above_zero("route_timeout_ms", route.route_timeout_ms);
    if route.route_timeout_ms < route.first_token_target_ms {
        let found = format!(
            "is {}, below first_token_target_ms ({})",
            route.route_timeout_ms, route.first_token_target_ms
        );
        section.report("route_timeout_ms", found, "first_token_target_ms or more");
    }
    let whole_timeout_ms = route.whole_timeout_ms();
    section.at_least(
        "whole_timeout_ms",
        whole_timeout_ms,
        route.route_timeout_ms,
        "route_timeout_ms or more",
    );
    match (route.repeat(), route.dedupe_memory_ms) {
        (Repeat::Deduped, None) => {
            section.report(
                "dedupe_memory_ms",
                "is missing",
                "the time for which engines remember a repeated request",
            );
        }
        (Repeat::Deduped, Some(memory_ms)) => section.above_zero("dedupe_memory_ms", memory_ms),
        (_, Some(_)) => {
            section.report(
                "dedupe_memory_ms",
                "is only used with repeat: DEDUPED",
                "repeat: DEDUPED, or no such field",
            );
        }
        (_, None) => {}
    }
}
