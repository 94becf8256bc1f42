//! What came of one day, and its report as JSON.

use nickelgw_audit::{Break, Line, Rule, Service, Verdict};
use nickelgw_rehearsal::core::script::{Script, Trouble};
use nickelgw_rehearsal::core::series::Series;
use nickelgw_rehearsal::report::DayReport;
use nickelgw_settings::Day;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// Service has recovered from a trouble once it is back at this share of what it was before.
const RECOVERED_SHARE: f64 = 0.95;
/// Span before and after a trouble that the report has, in seconds.
const TROUBLE_SPAN_S: usize = 10;

/// What came of one day.
pub(super) struct Outcome {
    pub(super) day: Day,
    seed: u64,
    script: Script,
    pub(super) series: Series,
    pub(super) routes: BTreeMap<String, Service>,
    pub(super) verdict: Verdict,
    notes: Vec<String>,
    pub(super) longest_stall_s: f64,
}

impl Outcome {
    pub(super) fn from_records(
        records: &[Line],
        day: Day,
        seed: u64,
        notes: Vec<String>,
        longest_stall_s: f64,
    ) -> Outcome {
        let began = records.iter().find(|record| record.ev == "begin").map_or(0.0, |record| record.t);
        Outcome {
            script: Script::from_day(&day, seed),
            series: Series::from_records(records, began, day.length_s),
            routes: nickelgw_audit::service(records),
            verdict: nickelgw_audit::judge(records),
            day,
            seed,
            notes,
            longest_stall_s,
        }
    }

    /// For the page.
    pub(super) fn report(&self) -> DayReport<'_> {
        DayReport {
            name: &self.day.name,
            seed: self.seed,
            series: &self.series,
            troubles: &self.script.troubles,
            routes: &self.routes,
            verdict: &self.verdict,
            notes: &self.notes,
        }
    }

    /// For `report.json`.
    pub(super) fn json(&self) -> Value {
        let verdict = &self.verdict;
        let rules: Map<String, Value> =
            Rule::ALL.iter().map(|rule| (rule.name().to_string(), json!(verdict.count(*rule)))).collect();
        let routes: Map<String, Value> =
            self.routes.iter().map(|(name, service)| (name.clone(), service_json(service))).collect();
        let troubles: Vec<Value> =
            self.script.troubles.iter().map(|trouble| self.trouble_json(trouble)).collect();
        let worst = self.series.worst_window();
        json!({"day": self.day.name, "seed": self.seed, "served": self.series.whole_day().served_fraction(),
            "rules": rules, "routes": routes,
            "worst_10_s": worst.map(|worst| json!({"at_s": worst.start_s, "served": worst.served_fraction})),
            "troubles": troubles, "judged": verdict.judged, "excused_states": verdict.excused,
            "doubted_sends": verdict.doubted, "nearest_cold": verdict.nearest_cold,
            "breaks": verdict.breaks.iter().map(break_json).collect::<Vec<_>>(),
            "driver_stall_s": self.longest_stall_s, "held": verdict.held.len(),
            "held_p50_s": verdict.held(0.5), "held_p99_s": verdict.held(0.99),
            "held_longest_s": verdict.held(1.0), "notes": self.notes})
    }

    /// Service in the first ten seconds of a trouble, and the time until it is back.
    fn trouble_json(&self, trouble: &Trouble) -> Value {
        let at = trouble.from_s as usize;
        let after = self.series.total(at..at + TROUBLE_SPAN_S);
        let before = self.series.total(at.saturating_sub(TROUBLE_SPAN_S)..at);
        json!({"trouble": trouble.name, "at_s": trouble.from_s, "served_10_s": after.served_fraction(),
            "served_before": before.served_fraction(),
            "back_after_s": self.series.recovery_s(at, RECOVERED_SHARE)})
    }
}

fn service_json(service: &Service) -> Value {
    json!({"taken": service.taken, "completed": service.completed, "shed": service.shed,
        "errored": service.errored, "in_target": service.in_target, "wanted": service.wanted,
        "served": service.served, "left": service.left, "cut": service.cut,
        "first_token_p50_s": service.quantile(0.5), "first_token_p99_s": service.quantile(0.99)})
}

fn break_json(broken: &Break) -> Value {
    json!({"rule": broken.rule.name(), "what": broken.what, "evidence": broken.evidence})
}
