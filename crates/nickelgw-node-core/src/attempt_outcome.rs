//! Outcomes of attempts on the wire, and their mapping to outcomes of the decision module. The causes of each
//! outcome are documented here and in docs/engine-protocol.md, nowhere else.

use nickelgw::interface::Outcome;
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::engine::{ENGINE_DRAINING, ENGINE_FULL, STATE_NOT_FOUND};

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The stream ended with `[DONE]`; a probe was answered with status 200.
    Completed,
    /// The status was 200, and the body names the reservation.
    Prefilled,
    /// The engine answered with an error status that no other variant covers.
    ErrorStatus(u16),
    /// The answer violates the protocol: it is not JSON, not an event stream, or names no reservation.
    Malformed,
    /// The status was 429 or 503 with an error code of the engine, which shows that the attempt has not
    /// started.
    Rejected,
    /// The status was 409 with an error code of the engine, which shows that it found no reservation.
    ReservationNotFound,
    /// No answer came within the attempt's timeout, or a pause in the stream was too long.
    TimedOut,
    /// No connection was established, or it was closed before a byte of the request was sent.
    ConnectFailed,
    /// The connection broke after a byte of the request was sent.
    ConnectionLost,
    /// The node cancelled the attempt.
    Cancelled,
    /// The attempt was not sent.
    #[default]
    NotDelivered,
}

impl AttemptOutcome {
    /// Returns whether the outcome is an answer of the engine, which proves that the attempt had arrived
    /// there.
    pub fn is_answer(self) -> bool {
        match self {
            AttemptOutcome::Completed
            | AttemptOutcome::Prefilled
            | AttemptOutcome::ErrorStatus(_)
            | AttemptOutcome::Malformed => true,
            AttemptOutcome::Rejected | AttemptOutcome::ReservationNotFound => true,
            AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotDelivered => false,
        }
    }

    /// Returns whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotDelivered
        )
    }

    /// Returns the corresponding outcome of the decision module.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptOutcome::Completed => Outcome::Completed,
            AttemptOutcome::Prefilled => Outcome::Prefilled,
            AttemptOutcome::ErrorStatus(_) | AttemptOutcome::Malformed => Outcome::EngineError,
            AttemptOutcome::Rejected | AttemptOutcome::ReservationNotFound => Outcome::Rejected,
            AttemptOutcome::TimedOut => Outcome::TimedOut,
            AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
            AttemptOutcome::ConnectionLost => Outcome::ConnectionLost,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
            AttemptOutcome::NotDelivered => Outcome::NotDelivered,
        }
    }

    /// Returns the outcome of an answer with a status other than 200. Only error codes of the engine itself
    /// prove that the attempt has not run: a 503 without one may come from a proxy while the engine behind it
    /// continues.
    pub fn from_status(status: u16, body: &[u8]) -> AttemptOutcome {
        let code = error_code(body);
        match (status, code.as_deref()) {
            (429 | 503, Some(ENGINE_FULL | ENGINE_DRAINING)) => AttemptOutcome::Rejected,
            (409, Some(STATE_NOT_FOUND)) => AttemptOutcome::ReservationNotFound,
            _ => AttemptOutcome::ErrorStatus(status),
        }
    }
}

#[cfg(test)]
#[path = "attempt_outcome_tests.rs"]
mod tests;
