//! The records that the decision module keeps: what they hold, not what is done with it.

use crate::interface::{Load, Role, Standing};
use std::collections::HashMap;

/// All that is known of an engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub id: String,
    pub zone: u32,
    pub cell: u32,
    pub role: Role,
    pub memory: f64,
    pub standing: Standing,
    pub started: f64,
    /// When it can safely take more.
    pub matures: f64,
    /// Seconds of reading given to it in this round of decisions, and their tokens.
    pub batch_s: f64,
    pub batch_tokens: f64,
    /// Failures in a row, weighed, and its timings against the fleet's.
    pub strikes: f64,
    pub slow: f64,
    /// Own sends without an ending, and own prompt tokens there, now and at the last report.
    pub out: u32,
    pub tokens: f64,
    pub tokens_at_report: f64,
    pub load: Load,
    /// When it last reported, or was last asked in vain.
    pub load_at: f64,
    /// When it last answered anything.
    pub heard: f64,
    /// When it last could not be reached, by probe or send.
    pub mute: f64,
    pub probing: bool,
    /// Own sends in the present turn of a fresh engine.
    pub turn: f64,
    pub turn_sends: f64,
    /// Texts it is believed to keep, newer and older, id hash to tokens; tokens of the newer.
    pub kept: [HashMap<u64, f64>; 2],
    pub kept_tokens: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Queued,
    Reading,
    Held,
    Writing,
    Streaming,
    Ended,
    Closed,
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub eng: usize,
    pub at: f64,
    /// Inferences at the engine before it, as far as was known.
    pub there: f64,
    pub expected: f64,
    pub write: bool,
    pub live: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Inference {
    pub route: usize,
    pub stage: Stage,
    pub arrived: f64,
    pub target: f64,
    pub due: f64,
    pub prompt: f64,
    pub prefix_tokens: f64,
    pub session: u64,
    pub prefix: u64,
    pub over_share: bool,
    pub sends: Vec<Sent>,
    /// The reader that holds its state.
    pub state: Option<usize>,
    pub held_since: f64,
    /// The first writer send that may have run, and when it was sent.
    pub ran: Option<(usize, f64)>,
}

/// A tenant's allowance at this node: inferences left of it, when last filled, and its rate.
pub struct Share {
    pub left: f64,
    pub at: f64,
    pub rate: f64,
}

/// FNV-1a: the same at every node, so that all choose the same reader for a text.
pub fn hash(text: &str, salt: u64) -> u64 {
    let mix = |h: u64, b: u8| (h ^ b as u64).wrapping_mul(0x0000_0100_0000_01b3);
    let h = text.bytes().fold(0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15), mix);
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (h >> 32)
}

impl Engine {
    /// An engine of which only the id is known.
    pub fn unknown(id: &str) -> Self {
        Engine {
            id: id.to_string(),
            standing: Standing::Gone,
            started: f64::NEG_INFINITY,
            slow: 1.0,
            ..Engine::default()
        }
    }

    /// Prompts that wait or are read here by the last report, of this mean length.
    pub fn there(&self, prompt: f64) -> f64 {
        let by_tokens = self.load.unread_tokens.map(|t| t / prompt.max(1.0));
        self.load.inflight.or(self.load.queue).or(by_tokens).unwrap_or(0.0)
    }
}
