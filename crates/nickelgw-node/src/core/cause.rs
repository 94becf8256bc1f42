//! How a send ends on the wire, and what the module is told of it. Each outcome has its causes here and in
//! docs/engine-protocol.md, nowhere else.

use nickelgw::interface::Outcome;
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::engine::{DRAINING, FULL, NO_STATE};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// The stream ended with `[DONE]`; for a probe, 200.
    Completed,
    /// 200, and the body names the state that waits.
    Read,
    /// Any other error status.
    Failed(u16),
    /// An answer that the protocol does not allow: no JSON, no event stream, no state named.
    Garbled,
    /// 429 or 503 with the engine's own word that it has not begun.
    TurnedAway,
    /// 409 with the word that no state was found.
    NoState,
    /// No answer within the patience; a stream silent for too long.
    NoAnswer,
    /// No connection, or it was closed before a byte of the request went out.
    NoConnection,
    /// The connection broke after that.
    Lost,
    CalledOff,
    #[default]
    NotSent,
}

impl Cause {
    /// Whether an engine's answer has told it, which proves that the attempt had arrived there.
    pub fn is_answer(self) -> bool {
        match self {
            Cause::Completed | Cause::Read | Cause::Failed(_) | Cause::Garbled => true,
            Cause::TurnedAway | Cause::NoState => true,
            Cause::NoAnswer | Cause::NoConnection | Cause::Lost | Cause::CalledOff | Cause::NotSent => false,
        }
    }

    pub fn outcome(self) -> Outcome {
        match self {
            Cause::Completed => Outcome::Completed,
            Cause::Read => Outcome::Prefilled,
            Cause::Failed(_) | Cause::Garbled => Outcome::EngineError,
            Cause::TurnedAway | Cause::NoState => Outcome::Rejected,
            Cause::NoAnswer => Outcome::TimedOut,
            Cause::NoConnection => Outcome::ConnectFailed,
            Cause::Lost => Outcome::ConnectionLost,
            Cause::CalledOff => Outcome::Cancelled,
            Cause::NotSent => Outcome::NotDelivered,
        }
    }

    /// What a status other than 200 says. Only the engine's own words prove that nothing ran: a bare 503 may
    /// come from a proxy behind which the work goes on.
    pub fn of_status(status: u16, body: &[u8]) -> Cause {
        let code = error_code(body);
        match (status, code.as_deref()) {
            (429 | 503, Some(FULL | DRAINING)) => Cause::TurnedAway,
            (409, Some(NO_STATE)) => Cause::NoState,
            _ => Cause::Failed(status),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(429, "engine_full", Cause::TurnedAway; "full")]
    #[test_case(503, "engine_draining", Cause::TurnedAway; "draining")]
    #[test_case(409, "state_not_found", Cause::NoState; "no state")]
    #[test_case(500, "engine_full", Cause::Failed(500); "the status counts")]
    #[test_case(503, "rate_limit", Cause::Failed(503); "a proxy's 503 proves nothing")]
    fn statuses(status: u16, code: &str, cause: Cause) {
        let body = format!("{{\"error\":{{\"code\":\"{code}\"}}}}");
        assert_eq!(Cause::of_status(status, body.as_bytes()), cause);
        assert_eq!(Cause::of_status(status, b"<html>"), Cause::Failed(status));
    }
}
