//! Endpoint list. `GET /v1/engines?after=REVISION&node=N` is a long poll that is answered when the list has
//! changed or the waiting time has passed.

use crate::Malformed;
use serde::{Deserialize, Serialize};

/// Maximum number of entries of an accepted list, as the tables built from it are bounded.
pub const MAX_ENTRIES: usize = 16_384;

/// Phases of a request that an engine runs.
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

/// Lifecycle state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The engine accepts requests.
    #[serde(rename = "in")]
    Active,
    /// The engine finishes its running requests and accepts no new ones.
    Draining,
    /// The engine has left the fleet.
    #[serde(rename = "gone")]
    Removed,
}

/// Entry of an engine in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Id of the engine, unique within the list.
    pub id: String,
    /// Address of the engine as host:port.
    pub address: String,
    /// Name to verify the engine's certificate against. `None` for the host in the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls_name: Option<String>,
    /// Availability zone.
    pub zone: String,
    /// Cell within the zone.
    #[serde(default)]
    pub cell: u32,
    /// Phases that the engine runs.
    pub role: EngineRole,
    /// Capacity of the memory for KV states, in tokens.
    pub memory_tokens: f64,
    /// Lifecycle state.
    pub state: EngineState,
    /// Start time in seconds since 1970. `None` if the engine counts as warmed up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<f64>,
}

impl EndpointEntry {
    fn is_valid(&self) -> bool {
        let numbers_are_finite = self.memory_tokens.is_finite() && self.started_at.is_none_or(f64::is_finite);
        numbers_are_finite && self.memory_tokens > 0.0 && !self.id.is_empty()
    }
}

/// Whole list at one revision. An engine that is missing from it has been removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Revision, which increases with every change.
    pub revision: u64,
    /// Entries of all engines.
    pub engines: Vec<EndpointEntry>,
}

impl EndpointList {
    /// Decodes and validates a list.
    pub fn parse(bytes: &[u8]) -> Result<EndpointList, Malformed> {
        let list: EndpointList = serde_json::from_slice(bytes)?;
        if list.engines.len() > MAX_ENTRIES {
            let count = list.engines.len();
            return Err(Malformed::field(
                "engines",
                format!("list has {count} entries, limit {MAX_ENTRIES}"),
            ));
        }
        let mut ids: Vec<&str> = list.engines.iter().map(|entry| entry.id.as_str()).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Malformed::field("engines", "two entries have the same id"));
        }
        if !list.engines.iter().all(EndpointEntry::is_valid) {
            return Err(Malformed::field("engines", "an entry has an empty id or an invalid number"));
        }
        Ok(list)
    }
}
