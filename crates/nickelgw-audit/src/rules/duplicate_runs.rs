//! Rule: a request that is not idempotent runs at most once, and a request with an idempotency key is retried
//! only within the group of engines that shares the key, and only while these engines remember it.

use super::{is_decode, AuditInput, RequestHistory};
use crate::{AuditReport, RecordEntry, Rule};
use serde_json::Value;

/// Idempotency of the requests of a route, which decides whether they may be retried.
#[derive(Clone, Copy, PartialEq)]
enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Has an idempotency key by which engines detect a repetition.
    Keyed,
    /// May run at most once.
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
        let description = format!("request {} was shed although it may have run", history.id);
        report.add(Rule::DuplicateRun, description, &[first, rejection]);
    }
    let is_retry = |attempt: &&RecordEntry| is_decode(attempt) && attempt.time_s > first.time_s;
    let retries: Vec<&RecordEntry> = history.attempts.iter().copied().filter(is_retry).collect();
    match idempotency {
        Idempotency::NonIdempotent => check_never_retried(report, history, first, &retries),
        _ => check_keyed_retries(report, input, history, route, first, &retries),
    }
}

fn check_never_retried(
    report: &mut AuditReport,
    history: &RequestHistory,
    first: &RecordEntry,
    retries: &[&RecordEntry],
) {
    for retry in retries {
        let description =
            format!("non-retriable request {} was sent again although it may have run", history.id);
        report.add(Rule::DuplicateRun, description, &[first, retry]);
    }
    if history.runs.len() > 1 {
        let description = format!("non-retriable request {} ran {} times", history.id, history.runs.len());
        report.add(Rule::DuplicateRun, description, &history.runs);
    }
}

fn check_keyed_retries(
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
            let description = format!(
                "deduped request {} was sent again after the {window_s} s for which its key is remembered",
                history.id
            );
            report.add(Rule::DuplicateRun, description, &[first, retry]);
        }
        let first_group = group_of(input.entries, &first.source, group);
        if first_group != group_of(input.entries, &retry.source, group) {
            let description = format!("deduped request {} was sent again outside its {group}", history.id);
            report.add(Rule::DuplicateRun, description, &[first, retry]);
        }
    }
}

/// Returns the zone or the cell of an engine, depending on the kind of `group`. Empty if the engine is
/// unknown or all engines form one group.
fn group_of(entries: &[RecordEntry], engine: &str, group: &str) -> String {
    let start = entries.iter().find(|entry| entry.event == "start" && entry.source == engine);
    match (start, group) {
        (Some(start), "zone") => start.text("zone").into(),
        (Some(start), "cell") => start.number("cell").to_string(),
        _ => String::new(),
    }
}
