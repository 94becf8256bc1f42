//! Limits and violations of the rules of the platform.

use std::time::{Duration, Instant};

/// Limits of the platform's rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Longest time for which a reservation may exist while no attempt of its request is at an engine.
    pub max_unattended: Duration,
    /// Longest time after the disconnect of the client at which an attempt may still arrive.
    pub disconnect_slack: Duration,
    /// Largest amount by which the time budget of an attempt may exceed the time that its client has left.
    pub deadline_slack: Duration,
    /// Longest time after the announcement that an engine is draining at which an attempt may still arrive.
    pub max_dispatch_to_draining: Duration,
    /// Longest time after the deadline of the client at which a final answer may still arrive.
    pub answer_slack: Duration,
}

impl Default for RuleLimits {
    /// Returns the limits from the platform's documentation, for `release_s` 0.5 and `stop_sending_within_s`
    /// 1.0.
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

/// Violation of a rule by one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A reservation existed for too long while no attempt of its request was at an engine.
    UnattendedReservation {
        /// Id of the request.
        id: String,
        /// Time for which there was no attempt.
        duration: Duration,
    },
    /// A request that must run at most once has run again.
    DuplicateRun {
        /// Id of the request.
        id: String,
    },
    /// An attempt arrived too long after its client had disconnected.
    AttemptAfterDisconnect {
        /// Id of the request.
        id: String,
        /// Time from the disconnect to the attempt.
        late: Duration,
    },
    /// An attempt had a larger time budget than its client had time left.
    BudgetPastDeadline {
        /// Id of the request.
        id: String,
        /// Amount by which the budget exceeded the time left.
        excess: Duration,
    },
    /// An attempt arrived too long after its engine had been announced as draining.
    AttemptAtDraining {
        /// Id of the request.
        id: String,
        /// Time from the announcement to the attempt.
        late: Duration,
    },
    /// A client got a stream that differs from the one that an engine generates for its request.
    WrongContent {
        /// Id of the request.
        id: String,
        /// Content that the client got.
        content: String,
    },
    /// A client got no final answer in time.
    NoFinalAnswer {
        /// Id of the request.
        id: String,
        /// Outcome that the client saw.
        outcome: String,
    },
}

impl Violation {
    /// Returns the id of the request.
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

    /// Returns the amount by which a time limit was exceeded. `None` if the violated rule has no time limit.
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

/// Violation, and the time span in which it arose.
#[derive(Clone, Debug)]
pub struct ObservedViolation {
    /// Violated rule and request.
    pub violation: Violation,
    /// Beginning of the span to which the rule was applied.
    pub from: Instant,
    /// End of the span.
    pub until: Instant,
}
