//! Rules of the platform: their limits and their violations.

use std::time::{Duration, Instant};

/// Limits of the platform's rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Longest time in which a reservation stands with no attempt of its request at an engine.
    pub max_unattended: Duration,
    /// An attempt may arrive so long after its client has disconnected.
    pub disconnect_slack: Duration,
    /// The time budget of an attempt may exceed what its client has left by so much.
    pub deadline_slack: Duration,
    /// An attempt may arrive so long after its engine was announced as draining.
    pub max_dispatch_to_draining: Duration,
    /// A final answer may come so long after the client's deadline.
    pub answer_slack: Duration,
}

impl Default for RuleLimits {
    /// The limits in the platform's documents, with `release_s` 0.5 and `stop_sending_within_s` 1.0.
    fn default() -> RuleLimits {
        RuleLimits {
            max_unattended: Duration::from_millis(800),
            disconnect_slack: Duration::from_millis(100),
            deadline_slack: Duration::from_millis(150),
            max_dispatch_to_draining: Duration::from_millis(1050),
            answer_slack: Duration::from_millis(500),
        }
    }
}

/// A violation of a rule by one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A reservation stood for too long with no attempt at an engine.
    UnattendedReservation {
        /// The request.
        id: String,
        /// For how long.
        duration: Duration,
    },
    /// A request that may run once has run again.
    DuplicateRun {
        /// The request.
        id: String,
    },
    /// An attempt arrived too long after its client had disconnected.
    AttemptAfterDisconnect {
        /// The request.
        id: String,
        /// How long after.
        late: Duration,
    },
    /// An attempt had a larger time budget than its client had time left.
    BudgetPastDeadline {
        /// The request.
        id: String,
        /// By how much.
        excess: Duration,
    },
    /// An attempt arrived at an engine that was announced as draining.
    AttemptAtDraining {
        /// The request.
        id: String,
        /// How long after.
        late: Duration,
    },
    /// A client got a stream that no engine made for its request.
    WrongContent {
        /// The request.
        id: String,
        /// What it got.
        content: String,
    },
    /// A client got no final answer in time.
    NoFinalAnswer {
        /// The request.
        id: String,
        /// What it got.
        outcome: String,
    },
}

impl Violation {
    /// The request that it concerns.
    pub fn request(&self) -> &str {
        match self {
            Violation::UnattendedReservation { id, .. }
            | Violation::DuplicateRun { id }
            | Violation::AttemptAfterDisconnect { id, .. }
            | Violation::BudgetPastDeadline { id, .. }
            | Violation::AttemptAtDraining { id, .. }
            | Violation::WrongContent { id, .. }
            | Violation::NoFinalAnswer { id, .. } => id,
        }
    }

    /// By how much a limit of time was exceeded; none: it is no matter of time.
    pub fn excess(&self, limits: &RuleLimits) -> Option<Duration> {
        match self {
            Violation::UnattendedReservation { duration, .. } => {
                Some(duration.saturating_sub(limits.max_unattended))
            }
            Violation::AttemptAfterDisconnect { late, .. } => {
                Some(late.saturating_sub(limits.disconnect_slack))
            }
            Violation::BudgetPastDeadline { excess, .. } => {
                Some(excess.saturating_sub(limits.deadline_slack))
            }
            Violation::AttemptAtDraining { late, .. } => {
                Some(late.saturating_sub(limits.max_dispatch_to_draining))
            }
            Violation::DuplicateRun { .. }
            | Violation::NoFinalAnswer { .. }
            | Violation::WrongContent { .. } => None,
        }
    }
}

/// A violation, and the time in which it arose.
#[derive(Clone, Debug)]
pub struct ObservedViolation {
    /// What was violated.
    pub violation: Violation,
    /// When the time that was judged began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}
