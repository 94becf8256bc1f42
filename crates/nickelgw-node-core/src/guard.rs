//! The guard through which every attempt, retry, release and exit passes, with a count of violations.
//!
//! The decisions are the Router's and the ledger's. The guard knows the rules alone: it refuses an attempt that would break one, and counts
//! what it refuses or finds broken. A count above zero is a bug of the node.

use nickelgw::interface::Idempotency;
use std::collections::BTreeMap;

/// A rule that was about to be broken, or was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt for a request that has its final answer, has begun to stream, or whose client has left.
    AttemptAfterEnd,
    /// An attempt once the client's time is up.
    AttemptAfterDeadline,
    /// An attempt beside one that is still out.
    ConcurrentAttempt,
    /// A further attempt for what may run once, or whose repeats are no longer recognized.
    RepeatedEffect,
    /// An attempt at an engine that drains or has left the list.
    AttemptAtDraining,
    /// A prefill while a release of the request's earlier reservation is not confirmed.
    PrefillBeforeRelease,
    /// A request that ended without a final answer.
    Unanswered,
    /// A reservation that was neither claimed nor released in its time.
    ReservationOverdue,
    /// The process ends with requests open.
    ExitWithRequests,
    /// The process ends with reservations that are not released.
    ExitWithReservations,
}

impl Violation {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Violation::AttemptAfterEnd => "attempt_after_end",
            Violation::AttemptAfterDeadline => "attempt_after_deadline",
            Violation::ConcurrentAttempt => "concurrent_attempt",
            Violation::RepeatedEffect => "repeated_effect",
            Violation::AttemptAtDraining => "attempt_at_draining",
            Violation::PrefillBeforeRelease => "prefill_before_release",
            Violation::Unanswered => "unanswered",
            Violation::ReservationOverdue => "reservation_overdue",
            Violation::ExitWithRequests => "exit_with_requests",
            Violation::ExitWithReservations => "exit_with_reservations",
        }
    }
}

/// An attempt that is about to be made, and how its request stands.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub prefill: bool,
    /// The request still waits for a first event.
    pub waiting: bool,
    /// Seconds until the client's time is up.
    pub left_s: f64,
    /// Another attempt of the request is out.
    pub another_out: bool,
    /// How long ago the first decode attempt that may have run was made.
    pub may_have_run_s: Option<f64>,
    pub repeat: Idempotency,
    /// The list has the engine, and it takes new work.
    pub listed: bool,
    /// A release of an earlier reservation of the request is not confirmed.
    pub releasing: bool,
}

impl Attempt {
    /// The first rule that it would break.
    pub fn check(&self) -> Result<(), Violation> {
        let rules = [
            (!self.waiting, Violation::AttemptAfterEnd),
            (self.left_s <= 0.0, Violation::AttemptAfterDeadline),
            (self.another_out, Violation::ConcurrentAttempt),
            (!self.prefill && self.repeats_effect(), Violation::RepeatedEffect),
            (!self.listed, Violation::AttemptAtDraining),
            (self.prefill && self.releasing, Violation::PrefillBeforeRelease),
        ];
        let broken = rules.iter().find(|(broken, _)| *broken);
        broken.map_or(Ok(()), |(_, violation)| Err(*violation))
    }

    fn repeats_effect(&self) -> bool {
        match (self.may_have_run_s, self.repeat) {
            (None, _) | (_, Idempotency::Idempotent) => false,
            (_, Idempotency::NonIdempotent) => true,
            (Some(ago_s), Idempotency::Keyed { window_s: memory_s, .. }) => ago_s >= memory_s,
        }
    }
}

/// Violations by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    counts: BTreeMap<Violation, u64>,
    /// Not yet told to the log.
    news: Vec<(Violation, u64)>,
}

/// Violations kept for the log between two rounds; further ones are counted alone.
const MOST_NEWS: usize = 1024;

impl Guard {
    /// Counts a violation of the request with this serial number.
    pub fn count(&mut self, violation: Violation, serial: u64) {
        *self.counts.entry(violation).or_default() += 1;
        if self.news.len() < MOST_NEWS {
            self.news.push((violation, serial));
        }
    }

    /// Lets an attempt pass, or counts why not.
    pub fn permits(&mut self, attempt: &Attempt, serial: u64) -> bool {
        match attempt.check() {
            Ok(()) => true,
            Err(violation) => {
                self.count(violation, serial);
                false
            }
        }
    }

    /// All violations so far.
    pub fn counts(&self) -> &BTreeMap<Violation, u64> {
        &self.counts
    }

    /// Violations since this was last asked, with their requests' serial numbers.
    pub fn take_news(&mut self) -> Vec<(Violation, u64)> {
        std::mem::take(&mut self.news)
    }
}

#[cfg(test)]
#[path = "guard_tests.rs"]
mod tests;
