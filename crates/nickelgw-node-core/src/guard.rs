//! Guard that checks attempts, retries, releases and the exit of the process against the node's rules, and
//! counts violations.
//!
//! The decision module and the ledger make the decisions. The guard only knows the rules: it refuses an
//! attempt that would break one, and counts each refusal and each rule that it finds broken. A count above
//! zero is a bug in the node.

use nickelgw::interface::Idempotency;
use std::collections::BTreeMap;

/// Violation of a rule, either prevented or found afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt for a request that has its final answer or its first token, or whose client has
    /// disconnected.
    AttemptAfterEnd,
    /// An attempt after the request's deadline.
    AttemptAfterDeadline,
    /// An attempt while another attempt of the request is in flight.
    ConcurrentAttempt,
    /// A further decode attempt for a non-idempotent request, or for a keyed request whose idempotency window
    /// is over.
    RepeatedEffect,
    /// An attempt at an engine that is draining or not listed.
    AttemptAtDraining,
    /// A prefill while the release of an earlier reservation of the request is unconfirmed.
    PrefillBeforeRelease,
    /// A request that ended without a final answer.
    Unanswered,
    /// A reservation that was neither claimed nor released within its time limit.
    ReservationOverdue,
    /// The process exits with open requests.
    ExitWithRequests,
    /// The process exits with unreleased reservations.
    ExitWithReservations,
}

impl Violation {
    /// Returns the violation's name in logs and metrics.
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

/// An attempt that is about to be made, with the state of its request and engine.
#[derive(Clone, Copy, Debug)]
pub struct ProposedAttempt {
    /// Whether the attempt is a prefill.
    pub is_prefill: bool,
    /// Whether the request has neither its first token nor a final answer, and its client is connected.
    pub request_waiting: bool,
    /// Seconds until the request's deadline.
    pub remaining_s: f64,
    /// Whether another attempt of the request is in flight.
    pub another_in_flight: bool,
    /// Seconds since the first decode attempt that may have run; `None` if no decode attempt may have run.
    pub since_possible_run_s: Option<f64>,
    /// Whether and for how long the request may be repeated.
    pub idempotency: Idempotency,
    /// Whether the engine is listed and accepts new work.
    pub engine_available: bool,
    /// Whether the release of an earlier reservation of the request is unconfirmed.
    pub release_pending: bool,
}

impl ProposedAttempt {
    /// Checks the attempt; the error is the first rule that it would break.
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

/// Maximum number of violations kept until the log collects them; further ones are only counted.
const MAX_UNLOGGED: usize = 1024;

/// Checks attempts and counts violations by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    counts: BTreeMap<Violation, u64>,
    /// Violations that the log has not collected yet, with their requests' serial numbers.
    unlogged: Vec<(Violation, u64)>,
}

impl Guard {
    /// Counts a violation. `serial`: serial number of the request, or 0 if the violation concerns the
    /// process.
    pub fn count(&mut self, violation: Violation, serial: u64) {
        *self.counts.entry(violation).or_default() += 1;
        if self.unlogged.len() < MAX_UNLOGGED {
            self.unlogged.push((violation, serial));
        }
    }

    /// Returns whether the attempt is permitted; if it is not, counts the violation.
    pub fn permits(&mut self, attempt: &ProposedAttempt, serial: u64) -> bool {
        match attempt.check() {
            Ok(()) => true,
            Err(violation) => {
                self.count(violation, serial);
                false
            }
        }
    }

    /// Returns the numbers of violations since the process started.
    pub fn counts(&self) -> &BTreeMap<Violation, u64> {
        &self.counts
    }

    /// Returns the violations since the last call, with their requests' serial numbers.
    pub fn take_violations(&mut self) -> Vec<(Violation, u64)> {
        std::mem::take(&mut self.unlogged)
    }
}

#[cfg(test)]
#[path = "guard_tests.rs"]
mod tests;
