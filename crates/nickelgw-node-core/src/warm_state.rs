//! Record of what the decision module has learned, for the node's next process. Times in the record are Unix
//! times.

use nickelgw::interface::{LearnedEngine, LearnedState};
use serde::{Deserialize, Serialize};

/// Maximum number of engines in a record; those with failures come first.
const MAX_ENGINES: usize = 1024;

/// The stored record. Its JSON names are part of the storage format.
#[derive(Serialize, Deserialize)]
struct StateRecord {
    #[serde(rename = "figures")]
    averages: Vec<f64>,
    engines: Vec<EngineRecord>,
}

#[derive(Serialize, Deserialize)]
struct EngineRecord {
    id: String,
    #[serde(rename = "started")]
    started_at_unix_s: Option<f64>,
    #[serde(rename = "faults")]
    recent_failures: f64,
    #[serde(rename = "fault_at")]
    last_failure_at_unix_s: f64,
}

/// Encodes a learned state as a record. `epoch_unix_s`: Unix time at the process's time zero.
pub fn encode(state: &LearnedState, epoch_unix_s: f64) -> Vec<u8> {
    let engine_record = |engine: &LearnedEngine| EngineRecord {
        id: engine.id.clone(),
        started_at_unix_s: engine.started_at.map(|at| at + epoch_unix_s),
        recent_failures: engine.recent_failures,
        last_failure_at_unix_s: engine.last_failure_at + epoch_unix_s,
    };
    let record = StateRecord {
        averages: state.averages.clone(),
        engines: state.engines.iter().take(MAX_ENGINES).map(engine_record).collect(),
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

/// Decodes the learned state of a record; returns `None` if the bytes are not a valid record. `epoch_unix_s`:
/// Unix time at the process's time zero.
pub fn decode(bytes: &[u8], epoch_unix_s: f64) -> Option<LearnedState> {
    let record: StateRecord = serde_json::from_slice(bytes).ok()?;
    let learned_engine = |engine: EngineRecord| LearnedEngine {
        id: engine.id,
        started_at: engine.started_at_unix_s.map(|at| at - epoch_unix_s),
        recent_failures: engine.recent_failures,
        last_failure_at: engine.last_failure_at_unix_s - epoch_unix_s,
    };
    Some(LearnedState {
        averages: record.averages,
        engines: record.engines.into_iter().take(MAX_ENGINES).map(learned_engine).collect(),
    })
}

#[cfg(test)]
#[path = "warm_state_tests.rs"]
mod tests;
