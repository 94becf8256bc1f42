//! Traces as text for operators.

use super::{RequestTrace, TraceEvent};
use crate::{AttemptOutcome, FinalAnswer};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use std::fmt::Write;

impl RequestTrace {
    /// Returns the trace as text: a line for the request and one for each event.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{}: model {}, about {:.0} prompt tokens, TTFT objective {:.0} ms",
            self.id,
            self.model,
            self.prompt_tokens,
            1e3 * self.ttft_objective_s
        );
        for (at, event) in &self.events {
            let since_accepted_ms = 1e3 * (at - self.accepted_at);
            let _ = writeln!(text, "{since_accepted_ms:>9.1} ms  {}", self.describe_event(*at, event));
        }
        if self.omitted_events > 0 {
            let _ = writeln!(text, "{} further events omitted", self.omitted_events);
        }
        text
    }

    fn describe_event(&self, at: f64, event: &TraceEvent) -> String {
        match event {
            TraceEvent::AttemptStarted { attempt, engine, is_prefill, rationale, from_reservation } => {
                let action = describe_dispatch(*is_prefill, *from_reservation);
                format!("{action} {} ({})", engine.id, describe_rationale(*attempt, rationale))
            }
            TraceEvent::AttemptEnded { attempt, outcome: AttemptOutcome::Prefilled } => {
                let elapsed_ms = self.attempt_elapsed_ms(*attempt, at);
                format!("prefill completed after {elapsed_ms:.0} ms (attempt {attempt}); KV cache reserved")
            }
            TraceEvent::AttemptEnded { attempt, outcome } => {
                let elapsed_ms = self.attempt_elapsed_ms(*attempt, at);
                format!("attempt {attempt} ended after {elapsed_ms:.0} ms: {}", describe_outcome(*outcome))
            }
            TraceEvent::ResponseStarted { attempt } => {
                let elapsed_ms = self.attempt_elapsed_ms(*attempt, at);
                format!("first token after {elapsed_ms:.0} ms of its decode attempt (attempt {attempt})")
            }
            TraceEvent::Rejected(reason) => format!("no further attempt: {}", describe_rejection(*reason)),
            TraceEvent::Answered(answer) => describe_answer(*answer),
            TraceEvent::ClientDisconnected => "client disconnected".into(),
        }
    }

    /// Returns the milliseconds since the attempt was dispatched; 0 if its start is not in the trace.
    fn attempt_elapsed_ms(&self, number: u32, now: f64) -> f64 {
        let dispatched_at = self.events.iter().find_map(|(at, event)| match event {
            TraceEvent::AttemptStarted { attempt, .. } if *attempt == number => Some(*at),
            _ => None,
        });
        dispatched_at.map_or(0.0, |at| 1e3 * (now - at))
    }
}

fn describe_dispatch(is_prefill: bool, from_reservation: bool) -> &'static str {
    match (is_prefill, from_reservation) {
        (true, _) => "prefill dispatched to",
        (false, true) => "reservation handed over, decode dispatched to",
        (false, false) => "prefill and decode dispatched to",
    }
}

fn describe_rationale(attempt: u32, rationale: &DispatchRationale) -> String {
    format!(
        "attempt {attempt}; {:.1} requests ahead, {:.0} ms expected",
        rationale.requests_ahead,
        1e3 * rationale.expected_s
    )
}

fn describe_answer(answer: FinalAnswer) -> String {
    match answer {
        FinalAnswer::Completed => "completed".into(),
        FinalAnswer::Rejected { retry_after_s: Some(delay_s) } => {
            format!("rejected, nothing had an effect; retry after {delay_s:.1} s")
        }
        FinalAnswer::Rejected { retry_after_s: None } => "rejected, nothing had an effect".into(),
        FinalAnswer::Failed(reason) => format!("failed: {reason:?}"),
    }
}

fn describe_outcome(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Completed => "completed".into(),
        AttemptOutcome::Prefilled => "prefilled".into(),
        AttemptOutcome::ErrorStatus(status) => format!("the engine failed (status {status})"),
        AttemptOutcome::Malformed => "malformed response from the engine".into(),
        AttemptOutcome::Rejected => "rejected by the engine, it has not run".into(),
        AttemptOutcome::ReservationNotFound => "the decode engine found no reservation".into(),
        AttemptOutcome::TimedOut => "timed out".into(),
        AttemptOutcome::ConnectFailed => "the engine could not be reached, it has not run".into(),
        AttemptOutcome::ConnectionLost => "connection lost, it may have run".into(),
        AttemptOutcome::Cancelled => "cancelled".into(),
        AttemptOutcome::NotDelivered => "not sent".into(),
    }
}

fn milliseconds(seconds: f64) -> String {
    format!("{:.0} ms", 1e3 * seconds)
}

fn describe_rejection(reason: RejectionReason) -> String {
    match reason {
        RejectionReason::DeadlineExceeded => "its deadline had passed".into(),
        RejectionReason::NoAttemptLeft => "none is allowed, or none could be made".into(),
        RejectionReason::ReservationExpired => "no decode engine was available before its reservation expired".into(),
        RejectionReason::TooLate { admitting, prefill_engines, prefill_wait_s, decode_wait_s } => format!(
            "too late to start ({admitting} of {prefill_engines} prefill engines admit it, available in {}, a decode engine in {})",
            milliseconds(prefill_wait_s),
            milliseconds(decode_wait_s)
        ),
        RejectionReason::ObjectiveUnlikely {
            admitting,
            prefill_engines,
            prefill_wait_s,
            prefill_s,
            decode_wait_s,
        } => format!(
            "its TTFT objective was unlikely to be met ({admitting} of {prefill_engines} prefill engines admit it, available in {}, prefill {}, a decode engine in {})",
            milliseconds(prefill_wait_s),
            milliseconds(prefill_s),
            milliseconds(decode_wait_s)
        ),
    }
}
