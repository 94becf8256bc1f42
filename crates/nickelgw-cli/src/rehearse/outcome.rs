//! Outcome of one day, and its report as JSON.

use nickelgw_audit::{AuditReport, RecordEntry, RouteStats, Rule, Violation};
use nickelgw_rehearsal::core::script::{Script, Trouble};
use nickelgw_rehearsal::core::series::Series;
use nickelgw_rehearsal::report::DayReport;
use nickelgw_settings::Day;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// Share of the service level before a trouble at which the service counts as recovered from it.
const RECOVERED_SHARE: f64 = 0.95;
/// Length of the spans before and after the start of a trouble that the report compares, in seconds.
const TROUBLE_SPAN_S: usize = 10;

/// Outcome of one day.
pub(super) struct Outcome {
    pub(super) day: Day,
    seed: u64,
    script: Script,
    pub(super) series: Series,
    pub(super) routes: BTreeMap<String, RouteStats>,
    pub(super) verdict: AuditReport,
    notes: Vec<String>,
    pub(super) longest_stall_s: f64,
}

impl Outcome {
    pub(super) fn from_records(
        records: &[RecordEntry],
        day: Day,
        seed: u64,
        notes: Vec<String>,
        longest_stall_s: f64,
    ) -> Outcome {
        let began = records.iter().find(|record| record.event == "begin").map_or(0.0, |record| record.time_s);
        Outcome {
            script: Script::from_day(&day, seed),
            series: Series::from_records(records, began, day.length_s),
            routes: nickelgw_audit::route_stats(records),
            verdict: nickelgw_audit::audit(records),
            day,
            seed,
            notes,
            longest_stall_s,
        }
    }

    /// Returns the outcome for the report page.
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

    /// Returns the contents of `report.json`.
    pub(super) fn json(&self) -> Value {
        let verdict = &self.verdict;
        let rules: Map<String, Value> =
            Rule::ALL.iter().map(|rule| (rule.name().to_string(), json!(verdict.count(*rule)))).collect();
        let routes: Map<String, Value> =
            self.routes.iter().map(|(name, stats)| (name.clone(), route_json(stats))).collect();
        let troubles: Vec<Value> =
            self.script.troubles.iter().map(|trouble| self.trouble_json(trouble)).collect();
        let worst = self.series.worst_window();
        json!({"day": self.day.name, "seed": self.seed, "served": self.series.whole_day().served_fraction(),
            "rules": rules, "routes": routes,
            "worst_10_s": worst.map(|worst| json!({"at_s": worst.start_s, "served": worst.served_fraction})),
            "troubles": troubles, "judged": verdict.checked, "excused_states": verdict.excused_reservations,
            "doubted_sends": verdict.unconfirmed_removal_attempts, "nearest_cold": verdict.max_slow_start_load,
            "breaks": verdict.violations.iter().map(violation_json).collect::<Vec<_>>(),
            "driver_stall_s": self.longest_stall_s, "held": verdict.unattended_s.len(),
            "held_p50_s": verdict.unattended_quantile(0.5), "held_p99_s": verdict.unattended_quantile(0.99),
            "held_longest_s": verdict.unattended_quantile(1.0), "notes": self.notes})
    }

    /// Returns the service in the first ten seconds of a trouble and in those before it, and the time until
    /// it recovered.
    fn trouble_json(&self, trouble: &Trouble) -> Value {
        let at = trouble.from_s as usize;
        let after = self.series.total(at..at + TROUBLE_SPAN_S);
        let before = self.series.total(at.saturating_sub(TROUBLE_SPAN_S)..at);
        json!({"trouble": trouble.name, "at_s": trouble.from_s, "served_10_s": after.served_fraction(),
            "served_before": before.served_fraction(),
            "back_after_s": self.series.recovery_s(at, RECOVERED_SHARE)})
    }
}

fn route_json(stats: &RouteStats) -> Value {
    json!({"taken": stats.requests, "completed": stats.completed, "shed": stats.rejected,
        "errored": stats.failed, "in_target": stats.completed_in_target, "wanted": stats.distinct_requests,
        "served": stats.distinct_in_target, "left": stats.client_disconnects, "cut": stats.connection_failures,
        "first_token_p50_s": stats.ttft_quantile(0.5), "first_token_p99_s": stats.ttft_quantile(0.99)})
}

fn violation_json(violation: &Violation) -> Value {
    json!({"rule": violation.rule.name(), "what": violation.description, "evidence": violation.evidence})
}
