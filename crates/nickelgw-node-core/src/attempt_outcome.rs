//! How an attempt ends on the wire, and what the decision module is told of it. The causes of each outcome are listed here
//! and in docs/engine-protocol.md, nowhere else.

use nickelgw::interface::Outcome;
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::engine::{ENGINE_DRAINING, ENGINE_FULL, STATE_NOT_FOUND};

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The stream ended with `[DONE]`; for a probe, 200.
    Completed,
    /// 200, and the body names the reservation.
    Prefilled,
    /// Any other error status.
    ErrorStatus(u16),
    /// An answer that the protocol does not allow: no JSON, no event stream, no reservation named.
    Malformed,
    /// 429 or 503 with the engine's own code, which says that it has not begun.
    Rejected,
    /// 409 with the engine's own code, which says that it found no reservation.
    ReservationNotFound,
    /// No answer within the attempt's timeout; a stream silent for too long.
    TimedOut,
    /// No connection, or it was closed before a byte of the request went out.
    ConnectFailed,
    /// The connection broke after that.
    ConnectionLost,
    /// The node cancelled it.
    Cancelled,
    /// It was not sent.
    #[default]
    NotDelivered,
}

impl AttemptOutcome {
    /// Whether it is an engine's answer, which proves that the attempt had arrived there.
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

    /// Whether it is known that nothing ran.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotDelivered
        )
    }

    /// The outcome in the decision module's terms.
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

    /// The outcome by a status other than 200. Only the engine's own codes prove that nothing ran: a bare 503 may come from
    /// a proxy behind which the work goes on.
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
