//! The list of engines: `GET /v1/engines?after=REVISION&node=N` answers when there is news, or after a while.

use crate::Malformed;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    #[serde(rename = "read")]
    Prefill,
    #[serde(rename = "write")]
    Decode,
    #[serde(rename = "both")]
    Unified,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    #[serde(rename = "in")]
    Active,
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    pub id: String,
    /// host:port.
    pub address: String,
    /// The name that its certificate must stand for; left out: the host in the address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls_name: Option<String>,
    pub zone: String,
    #[serde(default)]
    pub cell: u32,
    pub role: EngineRole,
    pub memory_tokens: f64,
    pub state: EngineState,
    /// Seconds since 1970; left out: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<f64>,
}

/// Always the whole list; one that leaves an engine out says that it is gone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    pub revision: u64,
    pub engines: Vec<EndpointEntry>,
}

/// Lists longer than this are refused: the tables behind them are bounded.
pub const MAX_ENTRIES: usize = 16_384;

impl EndpointList {
    pub fn parse(bytes: &[u8]) -> Result<EndpointList, Malformed> {
        let list: EndpointList = serde_json::from_slice(bytes).map_err(|e| Malformed::Json(e.to_string()))?;
        if list.engines.len() > MAX_ENTRIES {
            return Err(Malformed::field("engines", format!("over {MAX_ENTRIES} lines")));
        }
        let mut ids: Vec<&str> = list.engines.iter().map(|l| l.id.as_str()).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|w| w[0] == w[1]) {
            return Err(Malformed::field("engines", "an id stands twice"));
        }
        let sound =
            |l: &EndpointEntry| l.memory_tokens.is_finite() && l.started_at.is_none_or(f64::is_finite);
        if !list.engines.iter().all(|l| sound(l) && l.memory_tokens > 0.0 && !l.id.is_empty()) {
            return Err(Malformed::field("engines", "an id is empty or a number is not usable"));
        }
        Ok(list)
    }
}
