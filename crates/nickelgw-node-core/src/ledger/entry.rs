//! One reservation as the ledger keeps it: its stage, its lease, and how far its release has come.

use crate::Reservation;

/// Share of the reservation limit after which an unattended reservation is released. The rest is for the release calls,
/// some of which meet silent connections, and for a process that is held up.
pub(super) const LEASE_SHARE: f64 = 0.5;

/// Where a reservation stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The prefill is in flight.
    Prefilling,
    /// The prefill is done, and no attempt claims the reservation since then.
    Unclaimed { since: f64 },
    /// This decode attempt claims it.
    Claimed { attempt: u32 },
    /// It is being released.
    Releasing {
        since: f64,
        calls: u32,
        /// When the next release call is made; none while the answer to one is awaited.
        next_call_at: Option<f64>,
        /// The attempt in flight that claims it: its lease has ended with no sign that it arrived.
        claimed_by: Option<u32>,
    },
    /// A release call was confirmed while this attempt is in flight. If the attempt had arrived it has kept its claim.
    Released { attempt: u32 },
}

impl Stage {
    /// The attempt in flight that claims the reservation.
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

/// Whether a confirmed release is repeated. An engine may learn of the end of an attempt after the release, which spares what an
/// attempt claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowUp {
    /// No attempt ended without an answer.
    Unneeded,
    /// A prefill did: a further one of the request takes over what it has left.
    OnceFinished,
    /// A decode attempt that may have claimed the reservation did. The request's next prefill may be lost, and then nothing
    /// would release what was spared.
    Always,
}

/// How far the release of a reservation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseState {
    /// No release call has settled it.
    Unconfirmed {
        /// Whether the release is repeated once it is confirmed.
        follow_up: FollowUp,
        /// It was reported as overdue.
        reported_overdue: bool,
    },
    /// A release was confirmed; the follow-up call is a precaution.
    Confirmed,
}

impl ReleaseState {
    const INITIAL: ReleaseState =
        ReleaseState::Unconfirmed { follow_up: FollowUp::Unneeded, reported_overdue: false };

    /// Whether the reservation is reported once its limit has passed.
    fn is_watched(self) -> bool {
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
    /// When it entered its stage.
    pub(super) stage_since: f64,
    /// When an engine last showed that it attends to the reservation: the lease runs from here.
    pub(super) lease_from: f64,
    pub(super) stage: Stage,
    /// The process of its prefill engine has ended: there is nothing to free.
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

    /// When the ledger has to act on it.
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

    /// When its release began, while it is being released.
    pub(super) fn releasing_since(&self) -> Option<f64> {
        match self.stage {
            Stage::Releasing { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether it is to be reported if no release is confirmed in time.
    pub(super) fn is_watched(&self) -> bool {
        self.stage.is_releasing() && self.release.is_watched()
    }
}
