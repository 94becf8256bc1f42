//! The plain types that callers exchange with the decision module.

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefills prompts and holds the KV cache until a decode engine has taken it over.
    #[default]
    Prefill,
    /// Decodes what a prefill engine has prefilled.
    Decode,
    /// Prefills and decodes.
    Unified,
}

/// The engines that drop each other's repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Within the scope and for the time in which engines remember its key.
    Keyed {
        /// The engines that drop each other's repeats.
        scope: IdempotencyScope,
        /// For how long they remember a key.
        window_s: f64,
    },
    /// Only when it is certain that it did not run.
    NonIdempotent,
}

/// The objectives and rules of one model route.
#[derive(Clone, Debug)]
pub struct ModelRoute {
    /// Time to first token of an empty prompt.
    pub ttft_objective_s: f64,
    /// What each prompt token adds to that.
    pub ttft_objective_per_token_s: f64,
    /// Time per output token.
    pub tpot_objective_s: f64,
    /// Whether its requests may run again.
    pub idempotency: Idempotency,
}

/// What a node is given when it starts.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of this node.
    pub node: u32,
    /// How many nodes there are.
    pub node_count: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// The zone of this node.
    pub zone: u32,
    /// The shortest time between two rounds of decisions.
    pub tick_s: f64,
    /// The model routes; requests name them by index.
    pub routes: Vec<ModelRoute>,
    /// Requests a second of each tenant that all nodes together admit first.
    pub tenant_quotas: Vec<f64>,
    /// Attempts that one request may make at most.
    pub max_attempts: u32,
    /// Whether decode engines can prefill a prompt themselves.
    pub decode_engines_prefill: bool,
    /// How long an engine holds a reservation.
    pub reservation_limit_s: f64,
    /// How long a connection may take to be established, where a reservation's time runs on meanwhile; 0: an
    /// attempt counts from its dispatch on.
    pub connect_timeout_s: f64,
    /// Price of moving a KV cache to another cell, in parts of the tightest first-token objective.
    pub cross_cell_price: f64,
    /// Price of dispatching to another zone, in parts of the tightest first-token objective.
    pub cross_zone_price: f64,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether engines can be probed.
    pub can_probe: bool,
    /// Whether the node must poll for the endpoint list.
    pub must_poll_endpoints: bool,
    /// Longest retry-after that clients heed, where they are given one.
    pub max_retry_after_s: Option<f64>,
    /// Share of its capacity that an engine has at once after its start.
    pub slow_start_initial_share: f64,
    /// Time until an engine has all of its capacity.
    pub warmup_s: f64,
    /// How many times its capacity an engine may be sent in slow start.
    pub overload_multiple: f64,
    /// The time over which that is measured.
    pub overload_window_s: f64,
}

/// Whether an engine is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It is sent requests.
    #[default]
    Active,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Its name, the same at all nodes.
    pub id: String,
    /// Where it is.
    pub zone: u32,
    /// The group of engines within its zone among which KV caches move cheaply.
    pub cell: u32,
    /// What it can do.
    pub role: EngineRole,
    /// Tokens that its KV cache memory holds.
    pub memory_tokens: f64,
    /// Whether it is in service.
    pub lifecycle: Lifecycle,
    /// When its process started; `None`: long ago.
    pub started_at: Option<f64>,
}

/// Load as an engine reports it; what it leaves out is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Share of its KV cache memory in use.
    pub memory_share: Option<f64>,
    /// Share of its slots in use.
    pub slot_share: Option<f64>,
    /// Requests that wait.
    pub queue_len: Option<f64>,
    /// Requests that wait or are served.
    pub inflight: Option<f64>,
    /// Prompt tokens that wait to be prefilled.
    pub pending_prompt_tokens: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response came.
    Completed,
    /// The prompt was prefilled, and its KV cache is reserved.
    Prefilled,
    /// The engine answered with an error.
    EngineError,
    /// The engine had no room, or no reservation for it.
    Rejected,
    /// No response came in time.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
    /// It was cancelled by this node.
    Cancelled,
    /// It was not sent.
    NotDelivered,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its dispatch.
    pub elapsed_s: f64,
    /// The request is over, by this attempt or before.
    pub request_finished: bool,
    /// Prompt tokens that a prefill found in the engine's cache.
    pub cached_tokens: f64,
    /// The decode engine found no reservation of the request.
    pub reservation_missing: bool,
}

/// A request as its client sends it.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Its model route.
    pub route: usize,
    /// Its tenant, where tenants have quotas.
    pub tenant: Option<usize>,
    /// When its last byte arrived at the node's machine. It may have waited before it was read.
    pub arrived_at: f64,
    /// When the client gives up.
    pub deadline: f64,
    /// Length of the prompt.
    pub prompt_tokens: f64,
    /// Length of the part of it that is shared with other sessions.
    pub prefix_tokens: f64,
    /// The session that it continues.
    pub session: String,
    /// The name of the shared part.
    pub prefix: Option<String>,
    /// It is served only where others leave room.
    pub is_background: bool,
}

/// The handle of an admitted request; good until [`Decisions::closed`] names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHandle(pub u32);

/// An engine, as an index good for one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineHandle(pub u32);

/// An attempt to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestHandle,
    /// Where it is sent.
    pub engine: EngineHandle,
    /// After what time without a response it has timed out.
    pub timeout_s: f64,
}

/// Why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionReason {
    /// Its client's time is up.
    DeadlineExceeded,
    /// Its idempotency or the number of its attempts allows no further one.
    NoAttemptLeft,
    /// Its reservation found no decode engine in time.
    ReservationExpired,
    /// It is too late to start.
    TooLate {
        /// Prefill engines that slow start leaves to it.
        admitting: u32,
        /// Prefill engines available.
        prefill_engines: u32,
        /// Wait for the first of those that it may go to.
        prefill_wait_s: f64,
        /// Expected wait for a decode engine.
        decode_wait_s: f64,
    },
    /// A first token in time is unlikely.
    ObjectiveUnlikely {
        /// Prefill engines that slow start leaves to it.
        admitting: u32,
        /// Prefill engines available.
        prefill_engines: u32,
        /// Wait for the best of those that it may go to.
        prefill_wait_s: f64,
        /// Expected time of its prefill there.
        prefill_s: f64,
        /// Expected wait for a decode engine.
        decode_wait_s: f64,
    },
}

/// Why an attempt was dispatched to its engine, as far as was known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRationale {
    /// Requests there before it.
    pub requests_ahead: f64,
    /// Expected time until its end, or its first token.
    pub expected_s: f64,
    /// Age of the engine's process; infinite: it started long ago.
    pub engine_age_s: f64,
    /// How long after its last response the engine could not be reached; below zero: it has responded since.
    pub unreachable_s: f64,
}

/// What to do, list by list, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel, by their number.
    pub cancelled: Vec<(RequestHandle, u32)>,
    /// Attempts to make.
    pub dispatches: Vec<Dispatch>,
    /// Requests to reject, with the time after which the client may try again.
    pub rejected: Vec<(RequestHandle, Option<f64>)>,
    /// Requests to answer with an error: they may have run.
    pub failed: Vec<RequestHandle>,
    /// Why each rejected or failed request was, in order.
    pub reasons: Vec<(RequestHandle, RejectionReason)>,
    /// Requests whose reservations are to be released.
    pub released: Vec<RequestHandle>,
    /// Engines to probe.
    pub probes: Vec<EngineHandle>,
    /// Whether to fetch the endpoint list.
    pub poll_endpoints: bool,
    /// When to call [`Router::decide`](crate::decide::Router::decide) again without an event.
    pub wake_at: Option<f64>,
    /// Handles that are void from now on.
    pub closed: Vec<RequestHandle>,
}

/// What a node has learned, for its next process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Averages and the latency model of a prefill, in an order of the module's own.
    pub averages: Vec<f64>,
    /// Engines that failed of late.
    pub engines: Vec<LearnedEngine>,
}

/// What a node has learned of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEngine {
    /// The engine's id.
    pub id: String,
    /// When its process started; `None`: long ago.
    pub started_at: Option<f64>,
    /// Failures, decayed until `last_failure_at`.
    pub recent_failures: f64,
    /// When the last one was.
    pub last_failure_at: f64,
}

/// When an engine last responded, and when it last could not be reached; 0: never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    /// The engine's id.
    pub id: &'a str,
    /// Its zone.
    pub zone: u32,
    /// What it can do.
    pub role: EngineRole,
    /// When it last responded to anything.
    pub last_response_at: f64,
    /// When a probe or an attempt last could not reach it.
    pub unreachable_at: f64,
}
