//! Transitions of reservations from phase to phase, kept for the log.

use super::entry::Stage;
use super::ReservationId;
use std::rc::Rc;

/// Transitions kept for a log that does not collect them; further ones are only counted.
const MAX_TRANSITIONS: usize = 1024;

/// A stage as the log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The prefill is in flight.
    Prefilling,
    /// No attempt claims it.
    Unclaimed,
    /// A decode attempt claims it.
    Claimed,
    /// Release calls are made until one is confirmed.
    Releasing,
    /// Released, with an attempt in flight that may have claimed it before.
    Released,
    /// Nothing is known to be reserved any more.
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

/// A reservation has passed from one phase to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The reservation.
    pub id: ReservationId,
    /// The name under which its engine knows it.
    pub name: Rc<str>,
    /// The phase that it left.
    pub from: Phase,
    /// The phase that it entered.
    pub to: Phase,
    /// How long it was in the former phase, in seconds.
    pub after_s: f64,
}

/// Transitions that no log has collected yet, bounded.
#[derive(Default)]
pub(super) struct TransitionLog {
    pending: Vec<Transition>,
    dropped: u64,
}

impl TransitionLog {
    /// Keeps a transition if there is room; it is built only then.
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

    /// Transitions that found no room.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}
