//! Rule: no prefill engine holds a KV state longer than the limit while no decode attempt is under way that
//! would fetch it. Such a state is called unattended.

use super::AuditInput;
use crate::{AuditReport, RecordEntry, Rule};
use std::collections::BTreeMap;

/// KV state held by a prefill engine.
struct Reservation<'a> {
    /// Entry of the finished prefill.
    prefill: &'a RecordEntry,
    /// Node that sent the prefill.
    node: &'a str,
    /// Time since which no attempt is under way that would fetch the state. `None` if there is such an
    /// attempt.
    unattended_since: Option<f64>,
}

/// Time span in which no attempt was under way that would fetch a KV state.
struct UnattendedSpan<'a> {
    prefill: &'a RecordEntry,
    node: &'a str,
    since: f64,
    until: f64,
}

/// Tracks reservations from entry to entry.
#[derive(Default)]
struct ReservationTracker<'a> {
    nodes_by_attempt: BTreeMap<&'a str, &'a str>,
    reservations: BTreeMap<&'a str, Reservation<'a>>,
    reservations_by_attempt: BTreeMap<&'a str, &'a str>,
    spans: Vec<UnattendedSpan<'a>>,
}

impl<'a> Reservation<'a> {
    /// Ends the current unattended span and returns it. `None` if the reservation was attended.
    fn end_unattended(&mut self, until: f64) -> Option<UnattendedSpan<'a>> {
        let since = self.unattended_since.take()?;
        Some(UnattendedSpan { prefill: self.prefill, node: self.node, since, until })
    }
}

impl<'a> ReservationTracker<'a> {
    fn attempt_sent(&mut self, attempt: &'a RecordEntry) {
        let id = attempt.text("send");
        self.nodes_by_attempt.insert(id, attempt.text("node"));
        let state = attempt.text("state");
        if let Some(reservation) = self.reservations.get_mut(state) {
            self.spans.extend(reservation.end_unattended(attempt.time_s));
            self.reservations_by_attempt.insert(id, state);
        }
    }

    fn prefill_done(&mut self, prefill: &'a RecordEntry) {
        let id = prefill.text("send");
        let node = self.nodes_by_attempt.get(id).copied().unwrap_or("");
        let unattended_since = Some(prefill.time_s);
        self.reservations.insert(id, Reservation { prefill, node, unattended_since });
    }

    fn attempt_failed(&mut self, entry: &RecordEntry) {
        let state = self.reservations_by_attempt.remove(entry.text("send"));
        if let Some(reservation) = state.and_then(|state| self.reservations.get_mut(state)) {
            reservation.unattended_since = Some(entry.time_s);
        }
    }

    fn released(&mut self, state: &str, time_s: f64) {
        if let Some(mut reservation) = self.reservations.remove(state) {
            self.spans.extend(reservation.end_unattended(time_s));
        }
    }

    /// Releases all reservations of an engine whose process has ended.
    fn engine_ended(&mut self, engine: &str, time_s: f64) {
        let is_lost = |reservation: &Reservation| reservation.prefill.source == engine;
        let reservations = self.reservations.iter();
        let lost: Vec<&str> = reservations.filter(|entry| is_lost(entry.1)).map(|entry| *entry.0).collect();
        for state in lost {
            self.released(state, time_s);
        }
    }

    fn into_spans(mut self, end: f64) -> Vec<UnattendedSpan<'a>> {
        for mut reservation in self.reservations.into_values() {
            self.spans.extend(reservation.end_unattended(end));
        }
        self.spans
    }
}

pub(super) fn check(report: &mut AuditReport, input: &AuditInput) {
    let mut tracker = ReservationTracker::default();
    for entry in input.entries {
        match entry.event.as_str() {
            "send" => tracker.attempt_sent(entry),
            "read" => {
                report.count_checked(Rule::UnattendedReservation);
                tracker.prefill_done(entry);
            }
            "turned" | "failed" => tracker.attempt_failed(entry),
            "fetched" | "let_go" | "expired" => tracker.released(entry.text("state"), entry.time_s),
            "start" | "died" => tracker.engine_ended(&entry.source, entry.time_s),
            _ => {}
        }
    }
    let end = input.entries.last().map_or(0.0, |entry| entry.time_s);
    for span in tracker.into_spans(end) {
        check_span(report, input, &span);
    }
    report.unattended_s.sort_by(f64::total_cmp);
}

fn check_span(report: &mut AuditReport, input: &AuditInput, span: &UnattendedSpan) {
    let held_s = span.until - span.since;
    let limit = span.since + input.limits.reservation_limit_s + input.limits.slack_s;
    if span.until <= limit {
        report.unattended_s.push(held_s);
        return;
    }
    if node_died(input, span, limit) || engine_was_unreachable(input, span, limit) {
        report.excused_reservations += 1;
        return;
    }
    report.unattended_s.push(held_s);
    let (state, engine) = (span.prefill.text("send"), &span.prefill.source);
    let description = format!(
        "KV state {state} was held at engine {engine} for {held_s:.3} s without an attempt that would fetch it"
    );
    report.add(Rule::UnattendedReservation, description, &[span.prefill]);
}

fn node_died(input: &AuditInput, span: &UnattendedSpan, limit: f64) -> bool {
    let earliest = span.since - input.limits.slack_s;
    input
        .node_kills
        .iter()
        .any(|kill| kill.text("node") == span.node && kill.time_s >= earliest && kill.time_s <= limit)
}

/// Returns whether a fault kept the node's release call from the engine until shortly before the state was
/// released.
fn engine_was_unreachable(input: &AuditInput, span: &UnattendedSpan, limit: f64) -> bool {
    let engine = &span.prefill.source;
    let faults = input.entries.iter().filter(|entry| entry.event == "fault" && entry.source == *engine);
    faults.filter(|fault| makes_unreachable(fault)).any(|fault| {
        let end = fault.time_s + fault.number("for_s");
        let released_in_time = span.until <= end + input.limits.reservation_limit_s + input.limits.slack_s;
        fault.time_s <= limit && end >= span.since && released_in_time
    })
}

/// Returns whether the fault makes its engine unreachable.
fn makes_unreachable(fault: &RecordEntry) -> bool {
    matches!(fault.text("fault"), "cut" | "silence" | "handshake_cut" | "handshake_slow")
}
