//! Stored form of a deferred request. The postcard encoding is positional: the order of fields and variants
//! must not change.

use nickelgw_protocol::chat::ApiError;
use serde::{Deserialize, Serialize};

/// Final response to a deferred request. The client receives the same one each time that it asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body of the HTTP response.
    pub body: Vec<u8>,
}

impl DeferredAnswer {
    /// Creates an answer with an error body in the format of the API.
    pub fn error(status: u16, code: &'static str, message: &str) -> DeferredAnswer {
        DeferredAnswer { status, body: ApiError::new(status, "server_error", code, message).body().to_vec() }
    }

    pub(super) fn no_longer_served() -> DeferredAnswer {
        DeferredAnswer::error(410, "gone", "its tenant or model is no more")
    }

    pub(super) fn may_have_run() -> DeferredAnswer {
        DeferredAnswer::error(502, "may_have_run", "it may have run, and does not run again")
    }

    pub(super) fn timed_out() -> DeferredAnswer {
        DeferredAnswer::error(504, "timeout", "its time passed before there was room")
    }

    pub(super) fn too_long() -> DeferredAnswer {
        DeferredAnswer::error(507, "answer_too_long", "the answer is longer than is kept")
    }
}

/// State of a deferred request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeferredState {
    /// The request waits to run.
    Queued,
    /// The request was returned as the next one to run; from then on it may have run.
    Running,
    /// The request has its final answer.
    Finished {
        /// Unix time in seconds at which the request finished.
        at: f64,
        /// Response that the client receives.
        answer: DeferredAnswer,
    },
}

/// A deferred request. Times are Unix seconds, since they are read by later processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredRecord {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the model route.
    pub model: String,
    /// Body of the request; empty once the request is finished.
    pub body: Vec<u8>,
    /// Time at which the request was queued.
    pub queued_at: f64,
    /// Time until which the request may wait to run.
    pub deadline: f64,
    /// Start of the first attempt that may have run; engines drop duplicates for a limited time from then on.
    /// `None` if no attempt may have run.
    pub first_attempt_at: Option<f64>,
    /// Number of attempts that failed after they may have run.
    pub failed_attempts: u32,
    /// State of the request.
    pub state: DeferredState,
}

impl DeferredRecord {
    /// Encodes the record for storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a stored record; `None` if it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<DeferredRecord> {
        let record: DeferredRecord = postcard::from_bytes(bytes).ok()?;
        record.has_finite_times().then_some(record)
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.state, DeferredState::Finished { .. })
    }

    fn has_finite_times(&self) -> bool {
        self.queued_at.is_finite()
            && self.deadline.is_finite()
            && self.first_attempt_at.is_none_or(f64::is_finite)
    }
}
