//! What happened to a request, step by step, with the figures that each choice was made on. Every open one is written
//! down; of those that are over, failures and slow ones are kept, and of the rest a sample. Bounded.

use super::{Answer, Cause, Place};
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
pub enum Step {
    Sent {
        send: u32,
        eng: Rc<Place>,
        read: bool,
        grounds: DispatchRationale,
        /// It fetches a held state.
        from_state: bool,
    },
    Ended {
        send: u32,
        cause: Cause,
    },
    Began {
        send: u32,
    },
    GivenUp(RejectionReason),
    Answered(Answer),
    Left,
}

#[derive(Clone, Debug)]
pub struct Story {
    pub id: Rc<str>,
    pub model: Rc<str>,
    pub at: f64,
    pub target_s: f64,
    pub prompt_tokens: f64,
    pub steps: Vec<(f64, Step)>,
    pub unwritten: u32,
}

impl Story {
    pub fn new(id: Rc<str>, model: Rc<str>, at: f64, target_s: f64, prompt_tokens: f64) -> Story {
        Story { id, model, at, target_s, prompt_tokens, steps: Vec::new(), unwritten: 0 }
    }

    pub fn add(&mut self, at: f64, step: Step) {
        let last = matches!(step, Step::Answered(_) | Step::Left);
        if self.steps.len() < MOST_STEPS || last {
            self.steps.push((at, step));
        } else {
            self.unwritten += 1;
        }
    }

    fn began_s(&self) -> Option<f64> {
        let began = self.steps.iter().find(|s| matches!(s.1, Step::Began { .. }));
        began.map(|s| s.0 - self.at)
    }

    fn is_good(&self) -> bool {
        let completed = self.steps.iter().any(|s| s.1 == Step::Answered(Answer::Completed));
        completed && self.began_s().is_some_and(|s| s <= self.target_s)
    }

    /// The story in words, a line each.
    pub fn tell(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{}: model {}, about {:.0} prompt tokens, first token wanted within {:.0} ms",
            self.id,
            self.model,
            self.prompt_tokens,
            1e3 * self.target_s
        );
        let mut sent_at = Vec::new();
        for (at, step) in &self.steps {
            let ms = 1e3 * (at - self.at);
            let took = |send: u32, sent: &[(u32, f64)]| {
                sent.iter().find(|s| s.0 == send).map_or(0.0, |s| 1e3 * (at - s.1))
            };
            let word = match step {
                Step::Sent { send, eng, read, grounds, from_state } => {
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
                Step::Ended { send, cause: Cause::Read } => {
                    format!("read after {:.0} ms (send {send}); the state waits", took(*send, &sent_at))
                }
                Step::Ended { send, cause } => {
                    format!("send {send} ended after {:.0} ms: {}", took(*send, &sent_at), why(*cause))
                }
                Step::Began { send } => {
                    format!("first token after {:.0} ms of its write (send {send})", took(*send, &sent_at))
                }
                Step::GivenUp(reason) => format!("given up: {}", said(*reason)),
                Step::Answered(Answer::Completed) => "completed".into(),
                Step::Answered(Answer::Shed { come_back_s }) => match come_back_s {
                    Some(s) => {
                        format!("shed, nothing had an effect; the client may come back after {s:.1} s")
                    }
                    None => "shed, nothing had an effect".into(),
                },
                Step::Answered(Answer::Errored(why)) => format!("errored: {why:?}"),
                Step::Left => "the client left".into(),
            };
            let _ = writeln!(out, "{ms:>9.1} ms  {word}");
        }
        if self.unwritten > 0 {
            let _ = writeln!(out, "{} further steps were not written down", self.unwritten);
        }
        out
    }
}

fn why(cause: Cause) -> String {
    match cause {
        Cause::Completed => "whole".into(),
        Cause::Read => "read".into(),
        Cause::Failed(status) => format!("the engine failed (status {status})"),
        Cause::Garbled => "the engine's answer was none that the protocol allows".into(),
        Cause::TurnedAway => "the engine turned it away, it has not run".into(),
        Cause::NoState => "the writer found no state".into(),
        Cause::NoAnswer => "no answer in time".into(),
        Cause::NoConnection => "the engine could not be reached, it has not run".into(),
        Cause::Lost => "the connection broke, it may have run".into(),
        Cause::CalledOff => "called off".into(),
        Cause::NotSent => "not sent".into(),
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
        RejectionReason::ObjectiveUnlikely { open, readers, reader_s, prefill_s: read_s, writer_s } => format!(
            "a first token in time was unlikely ({open} of {readers} readers open to it, ready in {}, reading for {}, a writer in {})",
            ms(reader_s),
            ms(read_s),
            ms(writer_s)
        ),
    }
}

/// Stories of requests that are over.
#[derive(Default)]
pub struct Ring {
    kept: VecDeque<Story>,
    seen: u64,
}

impl Ring {
    pub fn over(&mut self, story: Story) {
        self.seen += 1;
        if story.is_good() && !self.seen.is_multiple_of(SAMPLE) {
            return;
        }
        if self.kept.len() >= MOST_STORIES {
            self.kept.pop_front();
        }
        self.kept.push_back(story);
    }

    pub fn find(&self, id: &str) -> Option<&Story> {
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
    use crate::core::Why;

    fn eng(id: &str) -> Rc<Place> {
        Rc::new(Place { id: id.into(), address: "a".into(), tls_name: None })
    }

    fn story(n: usize, last: Step, first_at: f64) -> Story {
        let mut s = Story::new(format!("q{n}").into(), "chat".into(), 10.0, 0.5, 100.0);
        s.add(
            10.0,
            Step::Sent {
                send: 0,
                eng: eng("r0"),
                read: true,
                grounds: DispatchRationale {
                    requests_ahead: 2.0,
                    expected_s: 0.1,
                    engine_age_s: f64::INFINITY,
                    unreachable_s: -1.0,
                },
                from_state: false,
            },
        );
        s.add(10.1, Step::Ended { send: 0, cause: Cause::Read });
        s.add(
            10.1,
            Step::Sent {
                send: 1,
                eng: eng("w0"),
                read: false,
                grounds: DispatchRationale {
                    requests_ahead: 0.0,
                    expected_s: 0.05,
                    engine_age_s: f64::INFINITY,
                    unreachable_s: -1.0,
                },
                from_state: true,
            },
        );
        s.add(first_at, Step::Began { send: 1 });
        s.add(11.0, last);
        s
    }

    #[test]
    fn failures_and_slow_ones_are_kept_the_rest_in_part_and_all_bounded() {
        let mut r = Ring::default();
        (0..640).for_each(|n| r.over(story(n, Step::Answered(Answer::Completed), 10.2)));
        assert_eq!(r.len(), 10);
        r.over(story(1000, Step::Answered(Answer::Errored(Why::StreamBroken)), 10.2));
        r.over(story(1001, Step::Answered(Answer::Completed), 10.7));
        assert!(r.find("q1000").is_some() && r.find("q1001").is_some());
        (0..3000).for_each(|n| r.over(story(n, Step::Left, 10.2)));
        assert_eq!(r.len(), MOST_STORIES);
        let mut long = story(1, Step::Left, 10.2);
        (0..100).for_each(|n| long.add(11.0, Step::Ended { send: n, cause: Cause::Lost }));
        assert_eq!((long.steps.len(), long.unwritten), (MOST_STEPS, 57));
    }

    #[test]
    fn it_is_told_in_words() {
        let told = story(7, Step::Answered(Answer::Errored(Why::StreamBroken)), 10.2).tell();
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
