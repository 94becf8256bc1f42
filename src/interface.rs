//! Plain data types that callers exchange with the decision module.
//!
//! Times are in seconds on the caller's clock unless a field says otherwise.

/// Phases that an engine can run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefills prompts and holds each KV cache until a decode engine has taken it over.
    #[default]
    Prefill,
    /// Decodes requests that a prefill engine has prefilled.
    Decode,
    /// Prefills and decodes.
    Unified,
}

/// Set of engines within which a repeated request is recognized by its idempotency key and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All engines.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// Condition under which a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may always be run again.
    Idempotent,
    /// The request may be run again within the scope and time in which engines remember its idempotency key.
    Keyed {
        /// Engines that drop each other's repeats.
        scope: IdempotencyScope,
        /// Time for which these engines remember a key.
        window_s: f64,
    },
    /// The request may be run again only if it is certain that it has not run.
    NonIdempotent,
}

/// Latency objectives and idempotency of one model route.
#[derive(Clone, Debug)]
pub struct ModelRoute {
    /// Objective for the time to first token (TTFT) of an empty prompt.
    pub ttft_objective_s: f64,
    /// Time that each prompt token adds to that objective.
    pub ttft_objective_per_token_s: f64,
    /// Objective for the time per output token (TPOT).
    pub tpot_objective_s: f64,
    /// Condition under which requests of the route may be run again.
    pub idempotency: Idempotency,
}

/// Settings that a node's decision module is created with.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of this node.
    pub node: u32,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Zone of this node.
    pub zone: u32,
    /// Shortest time between two rounds of decisions.
    pub tick_s: f64,
    /// Model routes; requests refer to them by index.
    pub routes: Vec<ModelRoute>,
    /// Quota of each tenant, in requests per second over all nodes; requests within it are admitted first.
    pub tenant_quotas: Vec<f64>,
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Whether decode engines can prefill a prompt themselves.
    pub decode_engines_prefill: bool,
    /// Time for which an engine holds a reservation.
    pub reservation_limit_s: f64,
    /// Timeout for establishing a connection, if the time of a reservation keeps running meanwhile; 0 if an
    /// attempt counts as delivered once it is dispatched.
    pub connect_timeout_s: f64,
    /// Cost of moving a KV cache to another cell, as a fraction of the tightest TTFT objective.
    pub cross_cell_price: f64,
    /// Cost of dispatching to another zone, as a fraction of the tightest TTFT objective.
    pub cross_zone_price: f64,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether engines can be probed.
    pub can_probe: bool,
    /// Whether the node must poll for the endpoint list.
    pub must_poll_endpoints: bool,
    /// Longest retry-after time that clients honor; `None` if clients are given none.
    pub max_retry_after_s: Option<f64>,
    /// Share of its capacity that an engine has immediately after its start.
    pub slow_start_initial_share: f64,
    /// Time from an engine's start until it has its full capacity.
    pub warmup_s: f64,
    /// Multiple of its current capacity that all nodes together may send to an engine in slow start.
    pub overload_multiple: f64,
    /// Time window over which that load is measured.
    pub overload_window_s: f64,
}

/// State of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The engine accepts requests.
    #[default]
    Active,
    /// The engine finishes its current requests and accepts no new ones.
    Draining,
    /// The engine is no longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Engine id, the same at all nodes.
    pub id: String,
    /// Zone of the engine.
    pub zone: u32,
    /// Group of engines in the zone between which transfers of KV caches are cheap.
    pub cell: u32,
    /// Phases that the engine can run.
    pub role: EngineRole,
    /// Capacity of its KV cache memory in tokens.
    pub memory_tokens: f64,
    /// State of the engine.
    pub lifecycle: Lifecycle,
    /// Start time of the engine's process; `None` if it started long enough ago to be warm.
    pub started_at: Option<f64>,
}

/// Load report of an engine; values that the engine does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Share of its KV cache memory in use.
    pub memory_share: Option<f64>,
    /// Share of its slots in use.
    pub slot_share: Option<f64>,
    /// Number of requests that wait.
    pub queue_len: Option<f64>,
    /// Number of requests that wait or are being served.
    pub inflight: Option<f64>,
    /// Number of prompt tokens that wait to be prefilled.
    pub pending_prompt_tokens: Option<f64>,
}

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response was received.
    Completed,
    /// The prompt was prefilled, and its KV cache is reserved.
    Prefilled,
    /// The engine answered with an error.
    EngineError,
    /// The engine rejected the attempt because it had no room or held no reservation for the request.
    Rejected,
    /// No response was received in time.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
    /// This node cancelled the attempt.
    Cancelled,
    /// The attempt was not sent.
    NotDelivered,
}

/// Report of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from dispatch to end.
    pub elapsed_s: f64,
    /// Whether the request is finished, by this attempt or earlier.
    pub request_finished: bool,
    /// Number of prompt tokens that a prefill found in the engine's cache.
    pub cached_tokens: f64,
    /// Whether the decode engine rejected the attempt because it found no reservation of the request.
    pub reservation_missing: bool,
}

/// A request as received from its client.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Index of its model route.
    pub route: usize,
    /// Index of its tenant; `None` if no quota applies to it.
    pub tenant: Option<usize>,
    /// When its last byte arrived at the node's machine; it may have waited there before it was read.
    pub arrived_at: f64,
    /// When the client stops waiting for the response.
    pub deadline: f64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// Length in tokens of the prompt's prefix that is shared with other sessions.
    pub prefix_tokens: f64,
    /// Name of its session; the prompt extends the session's earlier ones.
    pub session: String,
    /// Name of the shared prefix; `None` if there is none.
    pub prefix: Option<String>,
    /// Whether it is served only with capacity that other requests leave unused.
    pub is_background: bool,
}

/// Handle of an admitted request, valid until it is listed in [`Decisions::closed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHandle(pub u32);

/// Handle of an engine, valid only at the node that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineHandle(pub u32);

/// Command to start an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// Request to send.
    pub request: RequestHandle,
    /// Engine that it is sent to.
    pub engine: EngineHandle,
    /// Time without a response after which the attempt times out.
    pub timeout_s: f64,
}

/// Reason why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionReason {
    /// The client's deadline was reached.
    DeadlineExceeded,
    /// The route's idempotency or the limit on attempts allows no further attempt.
    NoAttemptLeft,
    /// No decode engine was found for its reservation in time.
    ReservationExpired,
    /// The request can no longer be started before its deadline.
    TooLate {
        /// Prefill engines that slow start leaves to it.
        admitting: u32,
        /// Prefill engines available.
        prefill_engines: u32,
        /// Wait until the first of the admitting engines is available.
        prefill_wait_s: f64,
        /// Expected wait for a decode engine.
        decode_wait_s: f64,
    },
    /// A first token within the TTFT objective is unlikely.
    ObjectiveUnlikely {
        /// Prefill engines that slow start leaves to it.
        admitting: u32,
        /// Prefill engines available.
        prefill_engines: u32,
        /// Expected wait at the engine chosen among the admitting ones.
        prefill_wait_s: f64,
        /// Expected duration of the prefill there.
        prefill_s: f64,
        /// Expected wait for a decode engine.
        decode_wait_s: f64,
    },
}

/// State of the chosen engine, as far as it was known when an attempt was dispatched to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchRationale {
    /// Number of requests at the engine ahead of the attempt.
    pub requests_ahead: f64,
    /// Expected time from dispatch to the end of a prefill or to the first token of a decode.
    pub expected_s: f64,
    /// Age of the engine's process; infinite if it started long ago.
    pub engine_age_s: f64,
    /// Time from the engine's last response to the last failure to reach it; negative if it has responded
    /// since.
    pub unreachable_s: f64,
}

/// Commands that the caller carries out, list by list in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel, each by its request and its number within the request.
    pub cancelled: Vec<(RequestHandle, u32)>,
    /// Attempts to start.
    pub dispatches: Vec<Dispatch>,
    /// Requests to reject, each with its retry-after time in seconds, if one is to be given.
    pub rejected: Vec<(RequestHandle, Option<f64>)>,
    /// Requests to answer with an error instead of a rejection, since they may have run.
    pub failed: Vec<RequestHandle>,
    /// Reason for each rejected or failed request, in the order of the decisions.
    pub reasons: Vec<(RequestHandle, RejectionReason)>,
    /// Requests whose reservations are to be released.
    pub released: Vec<RequestHandle>,
    /// Engines to probe.
    pub probes: Vec<EngineHandle>,
    /// Whether to fetch the endpoint list now.
    pub poll_endpoints: bool,
    /// When to call [`Router::decide`](crate::decide::Router::decide) again if no event occurs before; `None`
    /// if no such call is needed.
    pub wake_at: Option<f64>,
    /// Handles that are invalid from now on.
    pub closed: Vec<RequestHandle>,
}

/// Learned state that a node's process hands to the next one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Averages and the latency model of a prefill, in an order defined by the decision module.
    pub averages: Vec<f64>,
    /// Engines that failed recently.
    pub engines: Vec<LearnedEngine>,
}

/// Learned state of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEngine {
    /// Engine id.
    pub id: String,
    /// Start time of the engine's process; `None` if it started long ago.
    pub started_at: Option<f64>,
    /// Number of recent failures, decayed up to `last_failure_at`.
    pub recent_failures: f64,
    /// When the last failure occurred.
    pub last_failure_at: f64,
}

/// Times of an engine's last response and of the last failure to reach it; 0 for never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineObservation<'a> {
    /// Engine id.
    pub id: &'a str,
    /// Zone of the engine.
    pub zone: u32,
    /// Phases that the engine can run.
    pub role: EngineRole,
    /// When it last responded to any probe or attempt.
    pub last_response_at: f64,
    /// When a probe or an attempt last could not reach it.
    pub unreachable_at: f64,
}
