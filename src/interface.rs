//! The plain types that callers exchange with the decision module.

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineRole {
    #[default]
    Prefill,
    Decode,
    Unified,
}

/// The engines that drop each other's repeats of a deduped inference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    All,
    Zone,
    Cell,
}

/// Whether an inference may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    Keyed { scope: IdempotencyScope, window_s: f64 },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct ModelRoute {
    pub ttft_objective_s: f64,
    /// What each prompt token adds to the first-token target.
    pub ttft_objective_per_token_s: f64,
    /// The wanted gap between tokens.
    pub tpot_objective_s: f64,
    pub idempotency: Idempotency,
}

/// What a node is told of its deployment when it starts.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub node: u32,
    pub node_count: u32,
    pub seed: u64,
    pub zone: u32,
    pub tick_s: f64,
    pub routes: Vec<ModelRoute>,
    /// Inferences a second within its share, for each tenant.
    pub tenant_quotas: Vec<f64>,
    pub max_attempts: u32,
    pub decode_engines_prefill: bool,
    pub reservation_limit_s: f64,
    /// Where a held state's time runs on while connections fail to come up: how long one may take to. 0: a send
    /// counts from its order on.
    pub connect_timeout_s: f64,
    pub cross_cell_price: f64,
    pub cross_zone_price: f64,
    pub can_cancel: bool,
    pub can_probe: bool,
    pub must_poll_endpoints: bool,
    /// Longest come-back time that clients heed, where they are told one.
    pub max_retry_after_s: Option<f64>,
    pub slow_start_initial_share: f64,
    pub warmup_s: f64,
    pub overload_multiple: f64,
    pub overload_window_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Active,
    Draining,
    Removed,
}

/// One line of the list of engines.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    pub id: String,
    pub zone: u32,
    pub cell: u32,
    pub role: EngineRole,
    pub memory_tokens: f64,
    pub lifecycle: Lifecycle,
    /// When it last started; `None`: long ago.
    pub started_at: Option<f64>,
}

/// Load as an engine reports it; what it leaves out is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    pub memory_share: Option<f64>,
    pub slot_share: Option<f64>,
    pub queue_len: Option<f64>,
    pub inflight: Option<f64>,
    pub pending_prompt_tokens: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Prefilled,
    EngineError,
    Rejected,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotDelivered,
}

/// How a send ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub outcome: Outcome,
    pub elapsed_s: f64,
    /// The inference is over, by this or earlier.
    pub request_finished: bool,
    /// Prompt tokens found kept, or 1 where a state was missing.
    pub note: f64,
}

/// An inference as its client hands it over.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub route: usize,
    pub tenant: Option<usize>,
    pub deadline: f64,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub session: String,
    pub prefix: Option<String>,
    /// It takes only room that others leave.
    pub is_background: bool,
}

/// The handle of an inference taken; good until [`Decisions::closed`] names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHandle(pub u32);

/// An engine, as an index good for one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineHandle(pub u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    pub request: RequestHandle,
    pub engine: EngineHandle,
    pub timeout_s: f64,
}

/// Why an inference was given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionReason {
    /// Its client's time is up.
    DeadlineExceeded,
    /// Its kind or the number of its sends allows no further one, or none is left to ask.
    NoAttemptLeft,
    /// Its state found no writer in the time that it may be held.
    ReservationExpired,
    /// Too late to start: the readers that it may go to, of all of them, mature in `reader_s`, a writer in `writer_s`.
    TooLate { admitting: u32, prefill_engines: u32, prefill_wait_s: f64, decode_wait_s: f64 },
    /// A first token in time is unlikely: the best reader matures in `reader_s`, reads for `read_s`.
    ObjectiveUnlikely { open: u32, readers: u32, reader_s: f64, prefill_s: f64, writer_s: f64 },
}

/// What a send was made on, as far as was known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRationale {
    /// Prompts there before it.
    pub requests_ahead: f64,
    /// Until its end, or its first token.
    pub expected_s: f64,
    /// Of the engine's process; infinite: it started long ago.
    pub engine_age_s: f64,
    /// How long after it was last heard it could not be reached; below zero: it was heard since.
    pub unreachable_s: f64,
}

/// What to do, list by list, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Sends to call off, by their number.
    pub cancelled: Vec<(RequestHandle, u32)>,
    pub dispatches: Vec<Dispatch>,
    pub rejected: Vec<(RequestHandle, Option<f64>)>,
    pub failed: Vec<RequestHandle>,
    /// Why each that is shed or errored was given up, in the order in which it was.
    pub reasons: Vec<(RequestHandle, RejectionReason)>,
    /// Inferences whose held state is let go.
    pub released: Vec<RequestHandle>,
    pub probes: Vec<EngineHandle>,
    pub poll_endpoints: bool,
    pub wake_at: Option<f64>,
    /// Handles that are void from now on.
    pub closed: Vec<RequestHandle>,
}

/// What a node has learnt, for its next process. What the figures mean is the module's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    pub averages: Vec<f64>,
    pub engines: Vec<LearnedEngine>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEngine {
    pub id: String,
    /// When its process started; none: long ago.
    pub started_at: Option<f64>,
    /// Failures of late, and when the last was.
    pub recent_failures: f64,
    pub last_failure_at: f64,
}

/// When an engine last answered anything, and when it last could not be reached; 0: never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    pub id: &'a str,
    pub zone: u32,
    pub role: EngineRole,
    pub last_response_at: f64,
    pub unreachable_at: f64,
}
