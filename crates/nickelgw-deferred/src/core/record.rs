//! A parked inference as it stands on disk.

use nickelgw_protocol::chat::ApiError;
use serde::{Deserialize, Serialize};

/// What the client is told, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl DeferredAnswer {
    pub fn error(status: u16, code: &'static str, word: &str) -> DeferredAnswer {
        DeferredAnswer { status, body: ApiError::new(status, "server_error", code, word).body().to_vec() }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DeferredState {
    Parked,
    /// Given out to be run: from here on it may have run.
    Running,
    Ended {
        at: f64,
        answer: DeferredAnswer,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeferredRecord {
    pub tenant: String,
    pub model: String,
    pub body: Vec<u8>,
    /// Unix times: when it was parked, and until when its client waits.
    pub parked_at: f64,
    pub until: f64,
    /// When it first may have run, where repeats are dropped for a time from then on.
    pub first_run: Option<f64>,
    pub tries: u32,
    pub state: DeferredState,
}

impl DeferredRecord {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<DeferredRecord> {
        let r: DeferredRecord = postcard::from_bytes(bytes).ok()?;
        let sound = r.parked_at.is_finite() && r.until.is_finite() && r.first_run.is_none_or(f64::is_finite);
        sound.then_some(r)
    }
}
