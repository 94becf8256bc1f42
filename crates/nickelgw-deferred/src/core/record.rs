//! A deferred request as it is stored on disk. The encoding goes by position: fields and variants keep their order.

use nickelgw_protocol::chat::ApiError;
use serde::{Deserialize, Serialize};

/// What the client gets for its request, always the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl DeferredAnswer {
    /// An error in the form that the API gives it.
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

/// How far a deferred request has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeferredState {
    /// It waits to run.
    Queued,
    /// Given out to run: from here on it may have run.
    Running,
    /// It has its answer.
    Finished {
        /// Unix time at which it finished.
        at: f64,
        /// What its client gets.
        answer: DeferredAnswer,
    },
}

/// A deferred request. Times are Unix seconds, since they outlive a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredRecord {
    /// Name of its tenant.
    pub tenant: String,
    /// Name of the model route.
    pub model: String,
    /// Body of the request; empty once it is finished.
    pub body: Vec<u8>,
    /// When it was queued.
    pub queued_at: f64,
    /// Until when its client waits for it to run.
    pub deadline: f64,
    /// When it first may have run: engines drop duplicates for a time from then on.
    pub first_attempt_at: Option<f64>,
    /// Attempts that failed.
    pub failed_attempts: u32,
    /// How far it has come.
    pub state: DeferredState,
}

impl DeferredRecord {
    /// The record as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a stored record. None: it is damaged.
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
