//! A request that is not idempotent runs at most once, and one with an idempotency key is retried only where and as
//! long as the key is known.

use super::{is_decode, AuditInput, RequestHistory};
use crate::{AuditReport, RecordEntry, Rule};
use serde_json::Value;

/// How often requests of a route may run.
#[derive(Clone, Copy, PartialEq)]
enum Idempotency {
    Idempotent,
    Keyed,
    NonIdempotent,
}

impl Idempotency {
    fn of_route(route: &Value) -> Idempotency {
        match route["repeat"].as_str() {
            None | Some("retriable") => Idempotency::Idempotent,
            Some("non_retriable") => Idempotency::NonIdempotent,
            Some(_) => Idempotency::Keyed,
        }
    }
}

pub(super) fn check(
    report: &mut AuditReport,
    input: &AuditInput,
    history: &RequestHistory,
    call: &RecordEntry,
) {
    let route = &input.limits.routes[call.text("model")];
    let idempotency = Idempotency::of_route(route);
    if idempotency == Idempotency::Idempotent {
        return;
    }
    report.count_checked(Rule::DuplicateRun);
    let Some(first) = history.first_possible_run() else { return };
    let group = route["group"].as_str().unwrap_or("all");
    let rejection = history.final_answers.iter().find(|answer| answer.text("how") == "shed");
    let may_be_rejected = idempotency == Idempotency::Keyed && group == "all";
    if let Some(rejection) = rejection.filter(|_| !may_be_rejected) {
        let description = format!("{} was shed though it may have run", history.id);
        report.add(Rule::DuplicateRun, description, &[first, rejection]);
    }
    let is_retry = |attempt: &&RecordEntry| is_decode(attempt) && attempt.time_s > first.time_s;
    let retries: Vec<&RecordEntry> = history.attempts.iter().copied().filter(is_retry).collect();
    match idempotency {
        Idempotency::NonIdempotent => check_never_retried(report, history, first, &retries),
        _ => check_retries_find_key(report, input, history, route, first, &retries),
    }
}

fn check_never_retried(
    report: &mut AuditReport,
    history: &RequestHistory,
    first: &RecordEntry,
    retries: &[&RecordEntry],
) {
    for retry in retries {
        let description = format!("non-retriable {} was sent again though it may have run", history.id);
        report.add(Rule::DuplicateRun, description, &[first, retry]);
    }
    if history.runs.len() > 1 {
        let description = format!("non-retriable {} ran {} times", history.id, history.runs.len());
        report.add(Rule::DuplicateRun, description, &history.runs);
    }
}

fn check_retries_find_key(
    report: &mut AuditReport,
    input: &AuditInput,
    history: &RequestHistory,
    route: &Value,
    first: &RecordEntry,
    retries: &[&RecordEntry],
) {
    let group = route["group"].as_str().unwrap_or("all");
    let window_s = route["memory_s"].as_f64().unwrap_or(0.0);
    for retry in retries {
        if retry.time_s > first.time_s + window_s + input.limits.slack_s {
            let description = format!("deduped {} was sent again after the memory span", history.id);
            report.add(Rule::DuplicateRun, description, &[first, retry]);
        }
        let first_group = group_of(input.entries, &first.source, group);
        if first_group != group_of(input.entries, &retry.source, group) {
            let description = format!("deduped {} was sent outside its {group}", history.id);
            report.add(Rule::DuplicateRun, description, &[first, retry]);
        }
    }
}

/// Zone or cell of an engine, whichever the route's group is.
fn group_of(entries: &[RecordEntry], engine: &str, group: &str) -> String {
    let start = entries.iter().find(|entry| entry.event == "start" && entry.source == engine);
    match (start, group) {
        (Some(start), "zone") => start.text("zone").into(),
        (Some(start), "cell") => start.number("cell").to_string(),
        _ => String::new(),
    }
}
