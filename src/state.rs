//! The records that the decision module keeps: what they hold, not what is done with it.

use crate::interface::{Decisions, EngineLoad, EngineRole, Lifecycle, ModelRoute, RequestHandle};
use nanorand::WyRand;
use std::collections::{HashMap, VecDeque};

/// All that a node knows and holds; what it does with it is in `src/decide.rs`.
#[derive(Default)]
pub struct Router {
    /// It has no place among the nodes now, and may use nothing of what all share.
    pub(crate) unplaced: bool,
    pub(crate) nodes: f64,
    pub(crate) tick: f64,
    pub(crate) routes: Vec<ModelRoute>,
    pub(crate) shares: Vec<Share>,
    pub(crate) most_sends: usize,
    /// How long a state may be held with no send out, and what a connection that does not come up takes of it.
    pub(crate) hold: f64,
    pub(crate) connect: f64,
    pub(crate) writers_read: bool,
    pub(crate) cancel: bool,
    pub(crate) probes: bool,
    pub(crate) come_back: Option<f64>,
    pub(crate) zone: u32,
    /// Seconds that a move out of the cell, and a send out of the zone, must save to be worth their price.
    pub(crate) cell_worth: f64,
    pub(crate) cross: f64,
    /// A fresh engine's least share of its capacity, when it is warm, how many times its capacity all
    /// nodes may send it, and within what time.
    pub(crate) cold_share: f64,
    pub(crate) warm_within: f64,
    pub(crate) cold_multiple: f64,
    pub(crate) tip_window: f64,
    /// Tightest first-token target and pace.
    pub(crate) target: f64,
    pub(crate) pace: f64,
    /// Mean life of a stream at a writer, mean prompt.
    pub(crate) life: f64,
    pub(crate) prompt: f64,
    /// Time that each prompt found at a reader adds to a read, as own reads have shown.
    pub(crate) each: f64,
    /// Mean gap between inferences started, and when the last one was.
    pub(crate) start_gap: f64,
    /// Inferences started.
    pub(crate) starts: f64,
    pub(crate) last_start: f64,
    pub(crate) now: f64,
    /// Readers and writers in service.
    pub(crate) peers: [f64; 2],
    /// The part of the traffic that may go to each zone; none said: all.
    pub(crate) parts: Vec<f64>,
    /// The part of the traffic hashed to a reader of this zone that is an even part of all.
    pub(crate) homely: f64,
    /// Inferences that may still draw their part of fresh engines.
    pub(crate) draws: Bucket,
    /// Texts of the latest arrivals.
    pub(crate) recent: VecDeque<u64>,
    /// Mean wait at a reader and load of a writer, fresh news counting more.
    pub(crate) usual: [f64; 2],
    pub(crate) read_cost: ReadCost,
    pub(crate) must_ask: bool,
    pub(crate) ask_at: f64,
    pub(crate) engines: Vec<Engine>,
    pub(crate) by_id: HashMap<String, usize>,
    pub(crate) infs: Vec<Inference>,
    pub(crate) free: Vec<usize>,
    pub(crate) open: Vec<usize>,
    pub(crate) chance: WyRand,
    pub(crate) todo: Decisions,
}

/// Cost a + b·t + c·t² of reading t unkept tokens (in thousands): least squares, older reads decayed,
/// from the starting values; no coefficient falls below zero.
#[derive(Clone, Debug, Default)]
pub struct ReadCost {
    pub(crate) sums: [[f64; 4]; 3],
    pub(crate) abc: [f64; 3],
}

/// All that is known of an engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub id: String,
    pub zone: u32,
    pub cell: u32,
    pub role: EngineRole,
    pub memory: f64,
    pub standing: Lifecycle,
    pub started: f64,
    /// When it can safely take more.
    pub matures: f64,
    /// Seconds of reading given to it in this round of decisions, and their tokens.
    pub batch_s: f64,
    pub batch_tokens: f64,
    /// Times in a row that it could not be reached; failures of late and when the last was.
    pub strikes: f64,
    pub faults: f64,
    pub fault_at: f64,
    /// How much of what a hashed reader is taken to keep was found here of late: 0 nothing, 1 as taken.
    pub keeps: f64,
    /// Own sends without an ending, and own prompt tokens there, now and at the last report.
    pub out: u32,
    pub tokens: f64,
    pub tokens_at_report: f64,
    pub load: EngineLoad,
    /// When it last reported, and the wait there by that.
    pub load_at: f64,
    pub told_wait: f64,
    /// When it was last probed.
    pub asked: f64,
    /// When it last answered anything.
    pub heard: f64,
    /// When it last could not be reached, by probe or send.
    pub mute: f64,
    pub probing: bool,
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
    pub late: bool,
    /// It never came up, or what it was sent on was silent.
    pub missed: bool,
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
    /// By which it draws its part of fresh engines.
    pub draw: Option<u64>,
    /// Readers named by the hash of its text, best first.
    pub homes: Vec<usize>,
    pub sends: Vec<Sent>,
    /// The reader that holds its state.
    pub state: Option<usize>,
    pub held_since: f64,
    /// A release of what an earlier read left is not confirmed: read again now, the new state would go with it.
    pub release_pending: bool,
    /// The first writer send that may have run, and when it was sent.
    pub ran: Option<(usize, f64)>,
}

/// An allowance that fills with time.
#[derive(Default)]
pub struct Bucket {
    pub left: f64,
    /// When it was last filled.
    pub at: f64,
    pub rate: f64,
}

impl Bucket {
    pub(crate) fn fill(&mut self, now: f64, most: f64) {
        self.left = (self.left + self.rate * (now - self.at)).min(most);
        self.at = now;
    }
}

/// A tenant's allowance at this node: inferences, two seconds' worth and two that chance may bring together
/// at most.
pub struct Share {
    pub bucket: Bucket,
    /// Of all nodes together.
    pub quota: f64,
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
            standing: Lifecycle::Removed,
            started: f64::NEG_INFINITY,
            load_at: f64::NEG_INFINITY,
            asked: f64::NEG_INFINITY,
            ..Engine::default()
        }
    }

    /// When news of it came, or was asked for.
    pub fn news_at(&self) -> f64 {
        self.load_at.max(self.asked)
    }

    /// Prompts that wait or are read here by the last report, of this mean length.
    pub fn there(&self, prompt: f64) -> f64 {
        let by_tokens = self.load.pending_prompt_tokens.map(|t| t / prompt.max(1.0));
        self.load.inflight.or(self.load.queue_len).or(by_tokens).unwrap_or(0.0)
    }
}

impl Router {
    /// Puts an inference into the tables.
    pub(crate) fn keep(&mut self, inf: Inference) -> RequestHandle {
        let i = self.free.pop().unwrap_or(self.infs.len());
        if i == self.infs.len() {
            self.infs.push(inf);
        } else {
            self.infs[i] = inf;
        }
        self.open.push(i);
        RequestHandle(i as u32)
    }

    /// The record of an engine, by its id; a gone engine's record with nothing out is used anew when full.
    pub(crate) fn record(&mut self, id: &str, most: usize) -> usize {
        if let Some(&i) = self.by_id.get(id) {
            return i;
        }
        let e = Engine::unknown(id);
        let gone = |e: &Engine| e.standing == Lifecycle::Removed && e.out == 0 && !e.probing;
        let full = self.engines.len() >= most;
        let reused = if full { self.engines.iter().position(gone) } else { None };
        let i = reused.unwrap_or(self.engines.len());
        if reused.is_some() {
            self.by_id.remove(&self.engines[i].id);
            self.engines[i] = e;
        } else {
            self.engines.push(e);
        }
        self.by_id.insert(id.to_string(), i);
        i
    }
}
