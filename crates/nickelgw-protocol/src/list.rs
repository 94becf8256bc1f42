//! The endpoint list: `GET /v1/engines?after=REVISION&node=N` is a long poll that answers when the list has changed,
//! or after a while.

use crate::Malformed;
use serde::{Deserialize, Serialize};

/// Largest list accepted, because the tables built from it are bounded.
pub const MAX_ENTRIES: usize = 16_384;

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill only.
    #[serde(rename = "read")]
    Prefill,
    /// Decode only.
    #[serde(rename = "write")]
    Decode,
    /// Both phases.
    #[serde(rename = "both")]
    Unified,
}

/// Lifecycle of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Accepts requests.
    #[serde(rename = "in")]
    Active,
    /// Finishes what it has and accepts nothing new.
    Draining,
    /// Has left the fleet.
    #[serde(rename = "gone")]
    Removed,
}

/// One engine of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Id, unique within the list.
    pub id: String,
    /// host:port.
    pub address: String,
    /// Name to verify its certificate against; by default the host in the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls_name: Option<String>,
    /// Availability zone.
    pub zone: String,
    /// Cell within the zone.
    #[serde(default)]
    pub cell: u32,
    /// Phases that it runs.
    pub role: EngineRole,
    /// Memory for KV states, in tokens.
    pub memory_tokens: f64,
    /// Lifecycle state.
    pub state: EngineState,
    /// Start time in seconds since 1970; without it, the engine counts as warmed up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<f64>,
}

impl EndpointEntry {
    fn is_valid(&self) -> bool {
        let numbers_are_finite = self.memory_tokens.is_finite() && self.started_at.is_none_or(f64::is_finite);
        numbers_are_finite && self.memory_tokens > 0.0 && !self.id.is_empty()
    }
}

/// The whole list at one revision; an engine that is missing from it has been removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Increases with every change.
    pub revision: u64,
    /// All engines.
    pub engines: Vec<EndpointEntry>,
}

impl EndpointList {
    /// Decodes and validates a list.
    pub fn parse(bytes: &[u8]) -> Result<EndpointList, Malformed> {
        let list: EndpointList = serde_json::from_slice(bytes)?;
        if list.engines.len() > MAX_ENTRIES {
            return Err(Malformed::field("engines", format!("over {MAX_ENTRIES} lines")));
        }
        let mut ids: Vec<&str> = list.engines.iter().map(|entry| entry.id.as_str()).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Malformed::field("engines", "an id stands twice"));
        }
        if !list.engines.iter().all(EndpointEntry::is_valid) {
            return Err(Malformed::field("engines", "an id is empty or a number is not usable"));
        }
        Ok(list)
    }
}
