//! What happened to a request, step by step, with the figures that each choice was made on. Every open one is written
//! down; of those that are over, failures and slow ones are kept, and of the rest a sample. Bounded.

use super::{AttemptOutcome, Endpoint, FinalAnswer};
use nickelgw::interface::{DispatchRationale, RejectionReason};
use std::collections::VecDeque;
use std::fmt::Write;
use std::rc::Rc;

/// Steps written down of one request; past it only its end.
const MOST_STEPS: usize = 48;
/// Stories kept of requests that are over.
const MOST_STORIES: usize = 2048;
/// One in so many that went well is kept.
const SAMPLE: u64 = 64;

#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    AttemptStarted {
        attempt: u32,
        engine: Rc<Endpoint>,
        is_prefill: bool,
        rationale: DispatchRationale,
        /// It fetches a held state.
        from_reservation: bool,
    },
    AttemptEnded {
        send: u32,
        outcome: AttemptOutcome,
    },
    ResponseStarted {
        send: u32,
    },
    Rejected(RejectionReason),
    Answered(FinalAnswer),
    ClientDisconnected,
}

#[derive(Clone, Debug)]
pub struct RequestTrace {
    pub id: Rc<str>,
    pub model: Rc<str>,
    pub accepted_at: f64,
    pub ttft_objective_s: f64,
    pub prompt_tokens: f64,
    pub events: Vec<(f64, TraceEvent)>,
    pub omitted_events: u32,
}

impl RequestTrace {
    pub fn new(id: Rc<str>, model: Rc<str>, at: f64, target_s: f64, prompt_tokens: f64) -> RequestTrace {
        RequestTrace {
            id,
            model,
            accepted_at: at,
            ttft_objective_s: target_s,
            prompt_tokens,
            events: Vec::new(),
            omitted_events: 0,
        }
    }

    pub fn add(&mut self, at: f64, step: TraceEvent) {
        let last = matches!(step, TraceEvent::Answered(_) | TraceEvent::ClientDisconnected);
        if self.events.len() < MOST_STEPS || last {
            self.events.push((at, step));
        } else {
            self.omitted_events += 1;
        }
    }

    fn began_s(&self) -> Option<f64> {
        let began = self.events.iter().find(|s| matches!(s.1, TraceEvent::ResponseStarted { .. }));
        began.map(|s| s.0 - self.accepted_at)
    }

    fn is_good(&self) -> bool {
        let completed = self.events.iter().any(|s| s.1 == TraceEvent::Answered(FinalAnswer::Completed));
        completed && self.began_s().is_some_and(|s| s <= self.ttft_objective_s)
    }

    /// The story in words, a line each.
    pub fn describe(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{}: model {}, about {:.0} prompt tokens, first token wanted within {:.0} ms",
            self.id,
            self.model,
            self.prompt_tokens,
            1e3 * self.ttft_objective_s
        );
        let mut sent_at = Vec::new();
        for (at, step) in &self.events {
            let ms = 1e3 * (at - self.accepted_at);
            let took = |send: u32, sent: &[(u32, f64)]| {
                sent.iter().find(|s| s.0 == send).map_or(0.0, |s| 1e3 * (at - s.1))
            };
            let word = match step {
                TraceEvent::AttemptStarted {
                    attempt: send,
                    engine: eng,
                    is_prefill: read,
                    rationale: grounds,
                    from_reservation: from_state,
                } => {
                    sent_at.push((*send, *at));
                    let what = match (read, from_state) {
                        (true, _) => "its prompt was sent to be read at",
                        (false, true) => "its state was sent on to be written at",
                        (false, false) => "it was sent to be read and written at",
                    };
                    format!(
                        "{what} {} (send {send}; {:.1} there before it, {:.0} ms expected)",
                        eng.id,
                        grounds.requests_ahead,
                        1e3 * grounds.expected_s
                    )
                }
                TraceEvent::AttemptEnded { send, outcome: AttemptOutcome::Prefilled } => {
                    format!("read after {:.0} ms (send {send}); the state waits", took(*send, &sent_at))
                }
                TraceEvent::AttemptEnded { send, outcome: cause } => {
                    format!("send {send} ended after {:.0} ms: {}", took(*send, &sent_at), why(*cause))
                }
                TraceEvent::ResponseStarted { send } => {
                    format!("first token after {:.0} ms of its write (send {send})", took(*send, &sent_at))
                }
                TraceEvent::Rejected(reason) => format!("given up: {}", said(*reason)),
                TraceEvent::Answered(FinalAnswer::Completed) => "completed".into(),
                TraceEvent::Answered(FinalAnswer::Rejected { retry_after_s: come_back_s }) => {
                    match come_back_s {
                        Some(s) => {
                            format!("shed, nothing had an effect; the client may come back after {s:.1} s")
                        }
                        None => "shed, nothing had an effect".into(),
                    }
                }
                TraceEvent::Answered(FinalAnswer::Failed(why)) => format!("errored: {why:?}"),
                TraceEvent::ClientDisconnected => "the client left".into(),
            };
            let _ = writeln!(out, "{ms:>9.1} ms  {word}");
        }
        if self.omitted_events > 0 {
            let _ = writeln!(out, "{} further steps were not written down", self.omitted_events);
        }
        out
    }
}

fn why(cause: AttemptOutcome) -> String {
    match cause {
        AttemptOutcome::Completed => "whole".into(),
        AttemptOutcome::Prefilled => "read".into(),
        AttemptOutcome::ErrorStatus(status) => format!("the engine failed (status {status})"),
        AttemptOutcome::Malformed => "the engine's answer was none that the protocol allows".into(),
        AttemptOutcome::Rejected => "the engine turned it away, it has not run".into(),
        AttemptOutcome::ReservationNotFound => "the writer found no state".into(),
        AttemptOutcome::TimedOut => "no answer in time".into(),
        AttemptOutcome::ConnectFailed => "the engine could not be reached, it has not run".into(),
        AttemptOutcome::ConnectionLost => "the connection broke, it may have run".into(),
        AttemptOutcome::Cancelled => "called off".into(),
        AttemptOutcome::NotDelivered => "not sent".into(),
    }
}

fn said(reason: RejectionReason) -> String {
    let ms = |s: f64| format!("{:.0} ms", 1e3 * s);
    match reason {
        RejectionReason::DeadlineExceeded => "its time was up".into(),
        RejectionReason::NoAttemptLeft => "no further send is allowed, or could be made".into(),
        RejectionReason::ReservationExpired => "its state found no writer in time".into(),
        RejectionReason::TooLate { admitting: open, prefill_engines: readers, prefill_wait_s: reader_s, decode_wait_s: writer_s } => format!(
            "too late to start ({open} of {readers} readers open to it, ready in {}, a writer in {})",
            ms(reader_s),
            ms(writer_s)
        ),
        RejectionReason::ObjectiveUnlikely { admitting: open, prefill_engines: readers, prefill_wait_s: reader_s, prefill_s: read_s, decode_wait_s: writer_s } => format!(
            "a first token in time was unlikely ({open} of {readers} readers open to it, ready in {}, reading for {}, a writer in {})",
            ms(reader_s),
            ms(read_s),
            ms(writer_s)
        ),
    }
}

/// Stories of requests that are over.
#[derive(Default)]
pub struct TraceBuffer {
    kept: VecDeque<RequestTrace>,
    seen: u64,
}

impl TraceBuffer {
    pub fn push(&mut self, story: RequestTrace) {
        self.seen += 1;
        if story.is_good() && !self.seen.is_multiple_of(SAMPLE) {
            return;
        }
        if self.kept.len() >= MOST_STORIES {
            self.kept.pop_front();
        }
        self.kept.push_back(story);
    }

    pub fn find(&self, id: &str) -> Option<&RequestTrace> {
        self.kept.iter().rev().find(|s| *s.id == *id)
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::FailureReason;

    fn eng(id: &str) -> Rc<Endpoint> {
        Rc::new(Endpoint { id: id.into(), address: "a".into(), tls_name: None })
    }

    fn story(n: usize, last: TraceEvent, first_at: f64) -> RequestTrace {
        let mut s = RequestTrace::new(format!("q{n}").into(), "chat".into(), 10.0, 0.5, 100.0);
        s.add(
            10.0,
            TraceEvent::AttemptStarted {
                attempt: 0,
                engine: eng("r0"),
                is_prefill: true,
                rationale: DispatchRationale {
                    requests_ahead: 2.0,
                    expected_s: 0.1,
                    engine_age_s: f64::INFINITY,
                    unreachable_s: -1.0,
                },
                from_reservation: false,
            },
        );
        s.add(10.1, TraceEvent::AttemptEnded { send: 0, outcome: AttemptOutcome::Prefilled });
        s.add(
            10.1,
            TraceEvent::AttemptStarted {
                attempt: 1,
                engine: eng("w0"),
                is_prefill: false,
                rationale: DispatchRationale {
                    requests_ahead: 0.0,
                    expected_s: 0.05,
                    engine_age_s: f64::INFINITY,
                    unreachable_s: -1.0,
                },
                from_reservation: true,
            },
        );
        s.add(first_at, TraceEvent::ResponseStarted { send: 1 });
        s.add(11.0, last);
        s
    }

    #[test]
    fn failures_and_slow_ones_are_kept_the_rest_in_part_and_all_bounded() {
        let mut r = TraceBuffer::default();
        (0..640).for_each(|n| r.push(story(n, TraceEvent::Answered(FinalAnswer::Completed), 10.2)));
        assert_eq!(r.len(), 10);
        r.push(story(1000, TraceEvent::Answered(FinalAnswer::Failed(FailureReason::StreamBroken)), 10.2));
        r.push(story(1001, TraceEvent::Answered(FinalAnswer::Completed), 10.7));
        assert!(r.find("q1000").is_some() && r.find("q1001").is_some());
        (0..3000).for_each(|n| r.push(story(n, TraceEvent::ClientDisconnected, 10.2)));
        assert_eq!(r.len(), MOST_STORIES);
        let mut long = story(1, TraceEvent::ClientDisconnected, 10.2);
        (0..100).for_each(|n| {
            long.add(11.0, TraceEvent::AttemptEnded { send: n, outcome: AttemptOutcome::ConnectionLost })
        });
        assert_eq!((long.events.len(), long.omitted_events), (MOST_STEPS, 57));
    }

    #[test]
    fn it_is_told_in_words() {
        let told =
            story(7, TraceEvent::Answered(FinalAnswer::Failed(FailureReason::StreamBroken)), 10.2).describe();
        for wanted in [
            "q7: model chat",
            "read at r0 (send 0; 2.0 there",
            "read after 100 ms",
            "sent on to be written at w0",
            "200.0 ms  first token after 100 ms",
            "errored: StreamBroken",
        ] {
            assert!(told.contains(wanted), "{wanted}: {told}");
        }
    }
}
