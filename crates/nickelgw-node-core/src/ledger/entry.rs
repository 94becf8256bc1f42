//! Ledger entry of a reservation: its stage, its lease and the progress of its release.

use crate::Reservation;

/// Share of the reservation limit after which a lease ends and the reservation is released. The rest is left
/// for release calls, some of which meet connections that no longer respond, and for stalls of this process.
pub(super) const LEASE_SHARE: f64 = 0.5;

/// Stage of a reservation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The prefill is in flight.
    Prefilling,
    /// No attempt claims the reservation, since the prefill or the last claim ended.
    Unclaimed { since: f64 },
    /// A decode attempt in flight claims the reservation.
    Claimed { attempt: u32 },
    /// The reservation is being released.
    Releasing {
        since: f64,
        calls: u32,
        /// When the next release call is made; `None` while a call is in flight.
        next_call_at: Option<f64>,
        /// Attempt in flight that claims the reservation, if the lease ended before an engine answered it.
        claimed_by: Option<u32>,
    },
    /// A release call was confirmed while this attempt is in flight. If the attempt had arrived at its engine
    /// before, its claim is still valid.
    Released { attempt: u32 },
}

impl Stage {
    /// Returns the attempt in flight that claims the reservation; `None` if there is none.
    pub(super) fn claimed_by(self) -> Option<u32> {
        match self {
            Stage::Claimed { attempt } | Stage::Released { attempt } => Some(attempt),
            Stage::Releasing { claimed_by, .. } => claimed_by,
            Stage::Prefilling | Stage::Unclaimed { .. } => None,
        }
    }

    pub(super) fn is_unclaimed(self) -> bool {
        matches!(self, Stage::Unclaimed { .. })
    }

    pub(super) fn is_releasing(self) -> bool {
        matches!(self, Stage::Releasing { .. })
    }
}

/// Whether a confirmed release is repeated. A release does not affect what an attempt claims, and an engine
/// may learn of the end of that attempt only after the release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowUp {
    /// Not repeated: no attempt ended without an answer.
    Unneeded,
    /// Repeated once the request is finished: a prefill ended without an answer. While the request is open,
    /// its next prefill takes over what that prefill left.
    OnceFinished,
    /// Always repeated: a decode attempt that may have claimed the reservation ended without an answer. The
    /// request's next prefill may be lost, and then nothing would release what the first call did not.
    Always,
}

/// Progress of the release of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseState {
    /// No release call has been confirmed.
    Unconfirmed {
        /// Whether the release is repeated once it is confirmed.
        follow_up: FollowUp,
        /// Whether the reservation was reported as overdue.
        reported_overdue: bool,
    },
    /// A release call was confirmed; the repeated call is a precaution.
    Confirmed,
}

impl ReleaseState {
    const INITIAL: ReleaseState =
        ReleaseState::Unconfirmed { follow_up: FollowUp::Unneeded, reported_overdue: false };

    /// Returns whether the reservation has yet to be reported if it becomes overdue.
    fn is_unreported(self) -> bool {
        matches!(self, ReleaseState::Unconfirmed { reported_overdue: false, .. })
    }

    pub(super) fn needs_follow_up(self, request_finished: bool) -> bool {
        match self {
            ReleaseState::Unconfirmed { follow_up, .. } => match follow_up {
                FollowUp::Unneeded => false,
                FollowUp::OnceFinished => request_finished,
                FollowUp::Always => true,
            },
            ReleaseState::Confirmed => false,
        }
    }

    pub(super) fn expect_follow_up(&mut self, expected: FollowUp) {
        if let ReleaseState::Unconfirmed { follow_up, .. } = self {
            *follow_up = expected;
        }
    }

    pub(super) fn mark_reported(&mut self) {
        if let ReleaseState::Unconfirmed { reported_overdue, .. } = self {
            *reported_overdue = true;
        }
    }
}

/// A reservation in the ledger.
pub(super) struct Entry {
    pub(super) reservation: Reservation,
    /// When the reservation entered its stage.
    pub(super) stage_since: f64,
    /// Start of the lease: the last answer of an engine.
    pub(super) lease_from: f64,
    pub(super) stage: Stage,
    /// Whether the process of the prefill engine has ended: there is nothing left to free.
    pub(super) engine_gone: bool,
    pub(super) release: ReleaseState,
}

impl Entry {
    pub(super) fn new(now: f64, reservation: Reservation) -> Entry {
        Entry {
            reservation,
            stage_since: now,
            lease_from: now,
            stage: Stage::Prefilling,
            engine_gone: false,
            release: ReleaseState::INITIAL,
        }
    }

    /// Returns when the ledger has to act on the reservation; `None` if only an event requires it to.
    pub(super) fn wake_at(&self, reservation_limit_s: f64) -> Option<f64> {
        match self.stage {
            Stage::Unclaimed { .. } | Stage::Claimed { .. } if self.reservation.named_after_request => {
                Some(self.lease_from + LEASE_SHARE * reservation_limit_s)
            }
            Stage::Unclaimed { since } => Some(since + reservation_limit_s),
            Stage::Releasing { next_call_at, .. } => next_call_at,
            Stage::Prefilling | Stage::Claimed { .. } | Stage::Released { .. } => None,
        }
    }

    /// Returns when the release began; `None` if the reservation is not being released.
    pub(super) fn releasing_since(&self) -> Option<f64> {
        match self.stage {
            Stage::Releasing { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Returns whether the reservation is being released, not confirmed, and not yet reported as overdue.
    pub(super) fn is_unreported(&self) -> bool {
        self.stage.is_releasing() && self.release.is_unreported()
    }
}
