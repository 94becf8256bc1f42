//! Why an attempt has no whole response.

use super::stream_memory::OutOfMemory;
use crate::core::MalformedMessage;
use crate::stream_io::ReceiveError;
use nickelgw_node_core::{AttemptOutcome, AttemptResult};

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptFailure {
    /// Outcome that is passed to the core.
    pub(super) outcome: AttemptOutcome,
    /// What is wrong with the response; `None` if the outcome tells all that is known.
    pub(super) malformed: Option<MalformedMessage>,
}

impl AttemptFailure {
    /// Returns the attempt's result.
    pub(super) fn result(self) -> AttemptResult {
        AttemptResult { outcome: self.outcome, ..AttemptResult::default() }
    }
}

impl From<AttemptOutcome> for AttemptFailure {
    fn from(outcome: AttemptOutcome) -> AttemptFailure {
        AttemptFailure { outcome, malformed: None }
    }
}

impl From<MalformedMessage> for AttemptFailure {
    fn from(error: MalformedMessage) -> AttemptFailure {
        AttemptFailure { outcome: AttemptOutcome::Malformed, malformed: Some(error) }
    }
}

impl From<OutOfMemory> for AttemptFailure {
    fn from(_: OutOfMemory) -> AttemptFailure {
        AttemptOutcome::Cancelled.into()
    }
}

impl From<ReceiveError> for AttemptFailure {
    fn from(error: ReceiveError) -> AttemptFailure {
        match error {
            ReceiveError::Malformed(error) => error.into(),
            ReceiveError::ConnectionEnded => AttemptOutcome::ConnectionLost.into(),
        }
    }
}
