//! What the module has learnt, as it is kept for the node's next process: times as Unix times.

use nickelgw::interface::{Learnt, LearntEngine};
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

pub fn write(l: &Learnt, epoch_unix_s: f64) -> Vec<u8> {
    let engine = |e: &LearntEngine| KeptEngine {
        id: e.id.clone(),
        started: e.started.map(|s| s + epoch_unix_s),
        faults: e.faults,
        fault_at: e.fault_at + epoch_unix_s,
    };
    let kept =
        Kept { figures: l.figures.clone(), engines: l.engines.iter().take(MOST).map(engine).collect() };
    serde_json::to_vec(&kept).unwrap_or_default()
}

/// None: not what such a record looks like.
pub fn read(bytes: &[u8], epoch_unix_s: f64) -> Option<Learnt> {
    let k: Kept = serde_json::from_slice(bytes).ok()?;
    let engine = |e: KeptEngine| LearntEngine {
        id: e.id,
        started: e.started.map(|s| s - epoch_unix_s),
        faults: e.faults,
        fault_at: e.fault_at - epoch_unix_s,
    };
    Some(Learnt { figures: k.figures, engines: k.engines.into_iter().take(MOST).map(engine).collect() })
}
