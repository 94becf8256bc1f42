//! Rule: each request gets exactly one final answer before its deadline, and no attempt is made after its
//! end.

use super::{AuditInput, RequestHistory};
use crate::{AuditReport, RecordEntry, Rule};

/// A call without an answer is excused if its node died up to this long before the call: the client may have
/// sent it on a connection that the node still held.
const NODE_KILL_LOOKBACK_S: f64 = 5.0;

pub(super) fn check(
    report: &mut AuditReport,
    input: &AuditInput,
    history: &RequestHistory,
    call: &RecordEntry,
) {
    report.count_checked(Rule::DroppedRequest);
    let answers = &history.final_answers;
    if answers.len() > 1 {
        let description =
            format!("request {} got {} final answers instead of one", history.id, answers.len());
        report.add(Rule::DroppedRequest, description, answers);
    }
    match answers.first() {
        Some(answer) => check_answer_time(report, input, history, call, answer),
        None if history.client_disconnect.is_some() => {}
        None => check_node_died(report, input, history, call),
    }
    check_no_attempt_after_end(report, input, history);
}

fn check_answer_time(
    report: &mut AuditReport,
    input: &AuditInput,
    history: &RequestHistory,
    call: &RecordEntry,
    answer: &RecordEntry,
) {
    let slack_s = input.limits.slack_s;
    let deadline = call.time_s + call.number("timeout_s") + slack_s;
    // The deadline applies to the first token only. A stream that has begun may take longer.
    let answered = history.first_token.map_or(answer.time_s, |first| first.time_s);
    if answered > deadline {
        let late_s = answered - deadline + slack_s;
        let description =
            format!("request {} was answered {late_s:.3} s after the client's deadline", history.id);
        report.add(Rule::DroppedRequest, description, &[call, answer]);
    }
}

/// Adds a violation for a request without an answer unless its node died.
fn check_node_died(
    report: &mut AuditReport,
    input: &AuditInput,
    history: &RequestHistory,
    call: &RecordEntry,
) {
    let failure = history.connection_failure;
    let until = failure.map_or(f64::INFINITY, |entry| entry.time_s + input.limits.slack_s);
    let node_died = input.node_kills.iter().any(|kill| {
        kill.text("node") == call.text("node")
            && kill.time_s >= call.time_s - NODE_KILL_LOOKBACK_S
            && kill.time_s <= until
    });
    if !node_died {
        let evidence: Vec<&RecordEntry> = [call].into_iter().chain(failure).collect();
        let description = format!("request {} got no final answer although its node did not die", history.id);
        report.add(Rule::DroppedRequest, description, &evidence);
    }
}

fn check_no_attempt_after_end(report: &mut AuditReport, input: &AuditInput, history: &RequestHistory) {
    let ends = [history.final_answers.first().copied(), history.client_disconnect];
    let first = ends.into_iter().flatten().min_by(|first, second| first.time_s.total_cmp(&second.time_s));
    let Some(end) = first else { return };
    let limit = end.time_s + input.limits.slack_s;
    for late in history.attempts.iter().filter(|attempt| attempt.time_s > limit) {
        let description =
            format!("an attempt of request {} was sent after the request had ended", history.id);
        report.add(Rule::DroppedRequest, description, &[end, late]);
    }
}
