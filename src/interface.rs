//! The plain types that callers exchange with the decision module.

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    #[default]
    Read,
    Write,
    Both,
}

/// The engines that drop each other's repeats of a deduped inference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// Whether an inference may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Retriable,
    Deduped { group: Group, memory_s: f64 },
    NonRetriable,
}

#[derive(Clone, Debug)]
pub struct ModelRoute {
    pub first_token_target_s: f64,
    /// What each prompt token adds to the first-token target.
    pub target_per_token_s: f64,
    /// The wanted gap between tokens.
    pub pace_s: f64,
    pub repeat: Repeat,
}

/// What a node is told of its deployment when it starts.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub node: u32,
    pub nodes: u32,
    pub seed: u64,
    pub zone: u32,
    pub tick_s: f64,
    pub routes: Vec<ModelRoute>,
    /// Inferences a second within its share, for each tenant.
    pub tenant_quotas: Vec<f64>,
    pub most_sends: u32,
    pub writers_read: bool,
    pub hold_limit_s: f64,
    /// Where a held state's time runs on while connections fail to come up: how long one may take to. 0: a send
    /// counts from its order on.
    pub connect_s: f64,
    pub move_price: f64,
    pub zone_price: f64,
    pub cancel: bool,
    pub probes: bool,
    pub must_ask: bool,
    /// Longest come-back time that clients heed, where they are told one.
    pub longest_come_back_s: Option<f64>,
    pub cold_share: f64,
    pub warm_within_s: f64,
    pub tip_multiple: f64,
    pub tip_window_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    In,
    Draining,
    Gone,
}

/// One line of the list of engines.
#[derive(Clone, Debug)]
pub struct EngineLine {
    pub id: String,
    pub zone: u32,
    pub cell: u32,
    pub role: Role,
    pub memory_tokens: f64,
    pub standing: Standing,
    /// When it last started; `None`: long ago.
    pub started_at: Option<f64>,
}

/// Load as an engine reports it; what it leaves out is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub memory_share: Option<f64>,
    pub slot_share: Option<f64>,
    pub queue: Option<f64>,
    pub inflight: Option<f64>,
    pub unread_tokens: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Read,
    EngineError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    Cancelled,
    NotSent,
}

/// How a send ended.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub outcome: Outcome,
    pub after_s: f64,
    /// The inference is over, by this or earlier.
    pub over: bool,
    /// Prompt tokens found kept, or 1 where a state was missing.
    pub note: f64,
}

/// An inference as its client hands it over.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub route: usize,
    pub tenant: Option<usize>,
    pub due_at: f64,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub session: String,
    pub prefix: Option<String>,
    /// It takes only room that others leave.
    pub spare: bool,
}

/// The handle of an inference taken; good until [`Decisions::closed`] names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Inf(pub u32);

/// An engine, as an index good for one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Eng(pub u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendOrder {
    pub inf: Inf,
    pub eng: Eng,
    pub patience_s: f64,
}

/// Why an inference was given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// Its client's time is up.
    TimeUp,
    /// Its kind or the number of its sends allows no further one, or none is left to ask.
    NoSend,
    /// Its state found no writer in the time that it may be held.
    Held,
    /// Too late to start: the readers that it may go to, of all of them, mature in `reader_s`, a writer in `writer_s`.
    Late { open: u32, readers: u32, reader_s: f64, writer_s: f64 },
    /// A first token in time is unlikely: the best reader matures in `reader_s`, reads for `read_s`.
    Unlikely { open: u32, readers: u32, reader_s: f64, read_s: f64, writer_s: f64 },
}

/// What a send was made on, as far as was known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// Prompts there before it.
    pub there: f64,
    /// Until its end, or its first token.
    pub expected_s: f64,
    /// Of the engine's process; infinite: it started long ago.
    pub age_s: f64,
    /// How long after it was last heard it could not be reached; below zero: it was heard since.
    pub silent_s: f64,
}

/// What to do, list by list, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Sends to call off, by their number.
    pub cancelled: Vec<(Inf, u32)>,
    pub sends: Vec<SendOrder>,
    pub shed: Vec<(Inf, Option<f64>)>,
    pub errored: Vec<Inf>,
    /// Why each that is shed or errored was given up, in the order in which it was.
    pub reasons: Vec<(Inf, Reason)>,
    /// Inferences whose held state is let go.
    pub released: Vec<Inf>,
    pub probes: Vec<Eng>,
    pub subscribe: bool,
    pub wake_at: Option<f64>,
    /// Handles that are void from now on.
    pub closed: Vec<Inf>,
}

/// What a node has learnt, for its next process. What the figures mean is the module's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    pub figures: Vec<f64>,
    pub engines: Vec<LearntEngine>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearntEngine {
    pub id: String,
    /// When its process started; none: long ago.
    pub started: Option<f64>,
    /// Failures of late, and when the last was.
    pub faults: f64,
    pub fault_at: f64,
}

/// When an engine last answered anything, and when it last could not be reached; 0: never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSeen<'a> {
    pub id: &'a str,
    pub zone: u32,
    pub role: Role,
    pub heard: f64,
    pub mute: f64,
}
