//! Transitions of reservations between phases, kept for the log.

use super::entry::Stage;
use super::ReservationId;
use std::rc::Rc;

/// Maximum number of transitions kept until the log collects them; further ones are only counted.
const MAX_TRANSITIONS: usize = 1024;

/// Phase of a reservation, as written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The prefill is in flight.
    Prefilling,
    /// No attempt claims the reservation.
    Unclaimed,
    /// A decode attempt claims the reservation.
    Claimed,
    /// Release calls are made until one is confirmed.
    Releasing,
    /// Released while an attempt is in flight that may have claimed the reservation before.
    Released,
    /// The reservation has ended, as far as the node knows.
    Ended,
}

impl From<Stage> for Phase {
    fn from(stage: Stage) -> Phase {
        match stage {
            Stage::Prefilling => Phase::Prefilling,
            Stage::Unclaimed { .. } => Phase::Unclaimed,
            Stage::Claimed { .. } => Phase::Claimed,
            Stage::Releasing { .. } => Phase::Releasing,
            Stage::Released { .. } => Phase::Released,
        }
    }
}

/// Change of a reservation from one phase to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Reservation that changed.
    pub id: ReservationId,
    /// Name of the reservation at its engine.
    pub name: Rc<str>,
    /// Phase that the reservation left.
    pub from: Phase,
    /// Phase that the reservation entered.
    pub to: Phase,
    /// Time that the reservation spent in the former phase, in seconds.
    pub after_s: f64,
}

/// Bounded buffer of transitions that the log has not collected yet.
#[derive(Default)]
pub(super) struct TransitionLog {
    pending: Vec<Transition>,
    dropped: u64,
}

impl TransitionLog {
    /// Keeps a transition if there is room; the closure runs only in that case.
    pub(super) fn push(&mut self, transition: impl FnOnce() -> Transition) {
        if self.pending.len() >= MAX_TRANSITIONS {
            self.dropped += 1;
            return;
        }
        self.pending.push(transition());
    }

    pub(super) fn drain(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the number of transitions dropped for lack of room.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}
