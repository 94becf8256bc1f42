//! Entry point of the audit, with one submodule for each rule.

mod dropped_requests;
mod duplicate_runs;
mod sends_to_draining;
mod slow_start_overload;
mod unattended_reservations;

use crate::{AuditReport, RecordEntry, Rule};
use serde_json::Value;
use std::collections::BTreeMap;

/// Limits of the rules, as stated in the `rules` entry of the records.
struct Limits<'a> {
    /// Time after a removal from the list during which attempts may still arrive at the engine.
    drain_grace_s: f64,
    /// Time for which a KV state may be held without an attempt that fetches it.
    reservation_limit_s: f64,
    /// Tolerance for the scheduling delay between an action and its record. It is not part of the limits
    /// themselves.
    slack_s: f64,
    /// Condition under which a node may wait for confirmation of a removal. `None` if it may never wait.
    removal_confirmation: Option<RemovalConfirmation>,
    /// JSON object with the settings of each model route, by model.
    routes: &'a Value,
}

/// Condition under which a node may wait for confirmation of a removal: a list that removes more than this
/// share and more than this number of the engines at once may be ignored for `wait_s`.
struct RemovalConfirmation {
    share: f64,
    engines: f64,
    wait_s: f64,
}

impl<'a> Limits<'a> {
    fn new(entry: &'a RecordEntry) -> Limits<'a> {
        let removal_confirmation = entry.fields["doubt_share"].as_f64().map(|share| RemovalConfirmation {
            share,
            engines: entry.number("doubt_least"),
            wait_s: entry.number("doubt_s"),
        });
        Limits {
            drain_grace_s: entry.number("drain_grace_s"),
            reservation_limit_s: entry.number("hold_limit_s"),
            slack_s: entry.number("slack_s"),
            removal_confirmation,
            routes: &entry.fields["routes"],
        }
    }
}

/// Entries under audit, with values derived from them that several rules use.
struct AuditInput<'a> {
    entries: &'a [RecordEntry],
    limits: Limits<'a>,
    node_kills: Vec<&'a RecordEntry>,
}

/// All entries that concern one request.
#[derive(Default)]
struct RequestHistory<'a> {
    id: &'a str,
    call: Option<&'a RecordEntry>,
    first_token: Option<&'a RecordEntry>,
    final_answers: Vec<&'a RecordEntry>,
    client_disconnect: Option<&'a RecordEntry>,
    connection_failure: Option<&'a RecordEntry>,
    attempts: Vec<&'a RecordEntry>,
    runs: Vec<&'a RecordEntry>,
    rejected_attempts: Vec<&'a str>,
}

impl<'a> RequestHistory<'a> {
    fn add(&mut self, entry: &'a RecordEntry) {
        match entry.event.as_str() {
            "ask" => self.call = Some(entry),
            "first" => self.first_token = Some(entry),
            "final" => self.final_answers.push(entry),
            "left" => self.client_disconnect = Some(entry),
            "cut" => self.connection_failure = Some(entry),
            "send" => self.attempts.push(entry),
            "ran" => self.runs.push(entry),
            "turned" => self.rejected_attempts.push(entry.text("send")),
            _ => {}
        }
    }

    /// Returns the first decode attempt that its engine has not rejected, and that may therefore have run.
    fn first_possible_run(&self) -> Option<&'a RecordEntry> {
        let not_rejected = |attempt: &&&RecordEntry| !self.rejected_attempts.contains(&attempt.text("send"));
        self.attempts.iter().filter(|attempt| is_decode(attempt)).find(not_rejected).copied()
    }
}

fn is_decode(attempt: &RecordEntry) -> bool {
    attempt.text("role") == "write"
}

/// Checks all rules. `entries` have to be sorted by time.
pub fn audit(entries: &[RecordEntry]) -> AuditReport {
    let mut report = AuditReport::default();
    let Some(rules) = entries.iter().find(|entry| entry.event == "rules") else {
        let description = "the records have no `rules` entry, so no rule can be checked".into();
        report.add(Rule::DroppedRequest, description, &[]);
        return report;
    };
    let node_kills = entries.iter().filter(|entry| entry.event == "killed").collect();
    let input = AuditInput { entries, limits: Limits::new(rules), node_kills };
    for history in request_histories(entries).values() {
        if let Some(call) = history.call {
            dropped_requests::check(&mut report, &input, history, call);
            duplicate_runs::check(&mut report, &input, history, call);
        }
    }
    sends_to_draining::check(&mut report, &input);
    slow_start_overload::check(&mut report, &input);
    unattended_reservations::check(&mut report, &input);
    report
}

fn request_histories(entries: &[RecordEntry]) -> BTreeMap<&str, RequestHistory<'_>> {
    let mut histories: BTreeMap<&str, RequestHistory> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.text("req").is_empty()) {
        let id = entry.text("req");
        let history = histories.entry(id).or_insert_with(|| RequestHistory { id, ..Default::default() });
        history.add(entry);
    }
    histories
}
