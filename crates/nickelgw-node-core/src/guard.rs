//! The guard through which every attempt, retry, release and exit passes, with a count of violations.
//!
//! The decisions are made by the decision module and the ledger. The guard knows the rules alone: it refuses an attempt that
//! would break one, and counts what it refuses or finds broken. A count above zero is a bug of the node.

use nickelgw::interface::Idempotency;
use std::collections::BTreeMap;

/// A rule that was about to be broken, or was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt for a request that has its final answer, has begun to stream, or whose client has disconnected.
    AttemptAfterEnd,
    /// An attempt after the request's deadline.
    AttemptAfterDeadline,
    /// An attempt beside one that is in flight.
    ConcurrentAttempt,
    /// A further decode attempt for a request that may run once, or whose repeats are no longer recognized.
    RepeatedEffect,
    /// An attempt at an engine that drains or is not listed.
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

/// An attempt that is about to be made, and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct ProposedAttempt {
    /// It is a prefill.
    pub is_prefill: bool,
    /// The request waits for its first token.
    pub request_waiting: bool,
    /// Seconds until the request's deadline.
    pub remaining_s: f64,
    /// Another attempt of the request is in flight.
    pub another_in_flight: bool,
    /// How long ago the first decode attempt that may have run was made.
    pub since_possible_run_s: Option<f64>,
    /// Whether the request may be repeated.
    pub idempotency: Idempotency,
    /// The engine is listed and takes new work.
    pub engine_available: bool,
    /// A release of an earlier reservation of the request is not confirmed.
    pub release_pending: bool,
}

impl ProposedAttempt {
    /// The first rule that it would break.
    pub fn check(&self) -> Result<(), Violation> {
        let rules = [
            (!self.request_waiting, Violation::AttemptAfterEnd),
            (self.remaining_s <= 0.0, Violation::AttemptAfterDeadline),
            (self.another_in_flight, Violation::ConcurrentAttempt),
            (!self.is_prefill && self.repeats_effect(), Violation::RepeatedEffect),
            (!self.engine_available, Violation::AttemptAtDraining),
            (self.is_prefill && self.release_pending, Violation::PrefillBeforeRelease),
        ];
        let broken = rules.iter().find(|(is_broken, _)| *is_broken);
        broken.map_or(Ok(()), |(_, violation)| Err(*violation))
    }

    fn repeats_effect(&self) -> bool {
        match (self.since_possible_run_s, self.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => false,
            (_, Idempotency::NonIdempotent) => true,
            (Some(elapsed_s), Idempotency::Keyed { window_s, .. }) => elapsed_s >= window_s,
        }
    }
}

/// Violations kept for the log between two rounds; further ones are only counted.
const MAX_UNLOGGED: usize = 1024;

/// Violations by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    counts: BTreeMap<Violation, u64>,
    /// Not yet collected for the log.
    unlogged: Vec<(Violation, u64)>,
}

impl Guard {
    /// Counts a violation of the request with this serial number.
    pub fn count(&mut self, violation: Violation, serial: u64) {
        *self.counts.entry(violation).or_default() += 1;
        if self.unlogged.len() < MAX_UNLOGGED {
            self.unlogged.push((violation, serial));
        }
    }

    /// Permits an attempt, or counts why not.
    pub fn permits(&mut self, attempt: &ProposedAttempt, serial: u64) -> bool {
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

    /// Violations since the last call, with their requests' serial numbers.
    pub fn take_violations(&mut self) -> Vec<(Violation, u64)> {
        std::mem::take(&mut self.unlogged)
    }
}

#[cfg(test)]
#[path = "guard_tests.rs"]
mod tests;
