//! How a send ends on the wire, and what the module is told of it. Each outcome has its causes here and in
//! docs/engine-protocol.md, nowhere else.

use nickelgw::interface::Outcome;
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::engine::{ENGINE_DRAINING, ENGINE_FULL, STATE_NOT_FOUND};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The stream ended with `[DONE]`; for a probe, 200.
    Completed,
    /// 200, and the body names the state that waits.
    Prefilled,
    /// Any other error status.
    ErrorStatus(u16),
    /// An answer that the protocol does not allow: no JSON, no event stream, no state named.
    Malformed,
    /// 429 or 503 with the engine's own word that it has not begun.
    Rejected,
    /// 409 with the word that no state was found.
    ReservationNotFound,
    /// No answer within the patience; a stream silent for too long.
    TimedOut,
    /// No connection, or it was closed before a byte of the request went out.
    ConnectFailed,
    /// The connection broke after that.
    ConnectionLost,
    Cancelled,
    #[default]
    NotDelivered,
}

impl AttemptOutcome {
    /// Whether an engine's answer has told it, which proves that the attempt had arrived there.
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

    /// What a status other than 200 says. Only the engine's own words prove that nothing ran: a bare 503 may
    /// come from a proxy behind which the work goes on.
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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(429, "engine_full", AttemptOutcome::Rejected; "full")]
    #[test_case(503, "engine_draining", AttemptOutcome::Rejected; "draining")]
    #[test_case(409, "state_not_found", AttemptOutcome::ReservationNotFound; "no state")]
    #[test_case(500, "engine_full", AttemptOutcome::ErrorStatus(500); "the status counts")]
    #[test_case(503, "rate_limit", AttemptOutcome::ErrorStatus(503); "a proxy's 503 proves nothing")]
    fn statuses(status: u16, code: &str, cause: AttemptOutcome) {
        let body = format!("{{\"error\":{{\"code\":\"{code}\"}}}}");
        assert_eq!(AttemptOutcome::from_status(status, body.as_bytes()), cause);
        assert_eq!(AttemptOutcome::from_status(status, b"<html>"), AttemptOutcome::ErrorStatus(status));
    }
}
