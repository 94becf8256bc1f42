//! What the module has learnt, as it is kept for the node's next process: times as Unix times.

use nickelgw::interface::{LearnedEngine, LearnedState};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Kept {
    figures: Vec<f64>,
    engines: Vec<KeptEngine>,
}

#[derive(Serialize, Deserialize)]
struct KeptEngine {
    id: String,
    started: Option<f64>,
    faults: f64,
    fault_at: f64,
}

/// Engines kept at most; those with faults come first.
const MOST: usize = 1024;

pub fn write(l: &LearnedState, epoch_unix_s: f64) -> Vec<u8> {
    let engine = |e: &LearnedEngine| KeptEngine {
        id: e.id.clone(),
        started: e.started_at.map(|s| s + epoch_unix_s),
        faults: e.recent_failures,
        fault_at: e.last_failure_at + epoch_unix_s,
    };
    let kept =
        Kept { figures: l.averages.clone(), engines: l.engines.iter().take(MOST).map(engine).collect() };
    serde_json::to_vec(&kept).unwrap_or_default()
}

/// None: not what such a record looks like.
pub fn read(bytes: &[u8], epoch_unix_s: f64) -> Option<LearnedState> {
    let k: Kept = serde_json::from_slice(bytes).ok()?;
    let engine = |e: KeptEngine| LearnedEngine {
        id: e.id,
        started_at: e.started.map(|s| s - epoch_unix_s),
        recent_failures: e.faults,
        last_failure_at: e.fault_at - epoch_unix_s,
    };
    Some(LearnedState {
        averages: k.figures,
        engines: k.engines.into_iter().take(MOST).map(engine).collect(),
    })
}
