//! State of the node core, its constructor and its queries.

use crate::commands::{Command, Endpoint, RequestId};
use crate::config::CoreConfig;
use crate::counters::RequestCounters;
use crate::guard::{Guard, Violation};
use crate::ledger::Ledger;
use crate::orphan_cleanup::OrphanCleanup;
use crate::release_scheduler::ReleaseScheduler;
use crate::request_table::RequestTable;
use crate::trace::{RequestTrace, TraceBuffer, TraceEvent};
use crate::unary_deadlines::UnaryDeadlines;
use crate::zone_failover::ZoneFailover;
use nickelgw::decide::Router;
use nickelgw::interface::{Deployment, EngineRole, Idempotency, LearnedState, ModelRoute};
use nickelgw_tenants::core::fair_share::{ConcurrencyLimit, FairShare};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Settings of a model route that the core itself uses.
pub(crate) struct Route {
    pub(crate) idempotency: Idempotency,
    ttft_objective_s: f64,
    ttft_objective_per_token_s: f64,
}

impl From<&ModelRoute> for Route {
    fn from(route: &ModelRoute) -> Route {
        Route {
            idempotency: route.idempotency,
            ttft_objective_s: route.ttft_objective_s,
            ttft_objective_per_token_s: route.ttft_objective_per_token_s,
        }
    }
}

impl Route {
    pub(crate) fn ttft_objective_s(&self, prompt_tokens: f64) -> f64 {
        self.ttft_objective_s + self.ttft_objective_per_token_s * prompt_tokens
    }
}

/// Learned state of an earlier process, kept until an endpoint list with engines arrives to apply it to.
pub(crate) struct RestoredState {
    pub(crate) learned: LearnedState,
    /// Weight given to the learned state, from 0 (ignored) to 1 (taken over in full).
    pub(crate) confidence: f64,
}

/// State machine of a node. Each event is a method call, and [`NodeCore::poll_commands`] returns the commands
/// that the shell carries out.
pub struct NodeCore {
    pub(crate) router: Router,
    pub(crate) config: CoreConfig,
    /// Whether attempts in flight can be cancelled.
    pub(crate) can_cancel: bool,
    /// Longest Retry-After sent to clients, in seconds; `None` if no Retry-After is sent.
    pub(crate) max_retry_after_s: Option<f64>,
    pub(crate) tick_s: f64,
    pub(crate) routes: Vec<Route>,
    pub(crate) endpoints: HashMap<String, (Rc<Endpoint>, EngineRole)>,
    pub(crate) requests: RequestTable,
    /// Number of requests without a final answer.
    pub(crate) open_requests: usize,
    pub(crate) open_by_tenant: Vec<usize>,
    pub(crate) fair_share: FairShare,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    /// KV reservations that prefills have made.
    pub ledger: Ledger,
    /// Schedules the calls that release reservations.
    pub(crate) releases: ReleaseScheduler,
    /// Checks each attempt against the rules, and counts violations.
    pub guard: Guard,
    /// Ids of listed engines that accept no new work.
    pub(crate) draining: BTreeSet<String>,
    pub(crate) orphan_cleanup: OrphanCleanup,
    /// Zone states, derived together with the other nodes of the fleet; `None` if the node is not in a fleet.
    pub zone_failover: Option<ZoneFailover>,
    /// Traces of finished requests.
    pub traces: TraceBuffer,
    pub(crate) restored_state: Option<RestoredState>,
    pub(crate) revision: Option<u64>,
    pub(crate) pending_commands: Vec<Command>,
    /// Whether new requests are rejected because the node shuts down.
    pub(crate) shutting_down: bool,
    pub(crate) unary_deadlines: UnaryDeadlines,
    /// Numbers of requests by how they ended.
    pub counters: RequestCounters,
}

impl NodeCore {
    /// Creates a core without engines.
    pub fn new(deployment: Deployment, config: CoreConfig) -> NodeCore {
        let (cleanup_from, cleanup_until) = config.orphan_cleanup_window_s;
        let limits = config.fair_share.as_ref().map_or_else(Default::default, |share| share.limits);
        NodeCore {
            tick_s: deployment.tick_s,
            max_retry_after_s: deployment.max_retry_after_s,
            can_cancel: deployment.can_cancel,
            routes: deployment.routes.iter().map(Route::from).collect(),
            ledger: Ledger::new(deployment.reservation_limit_s, config.release_timeout_s),
            releases: ReleaseScheduler::new(deployment.seed),
            router: Router::new(deployment),
            endpoints: HashMap::new(),
            requests: RequestTable::default(),
            open_requests: 0,
            open_by_tenant: vec![0; config.tenant_max_open.len()],
            fair_share: FairShare::default(),
            concurrency_limit: ConcurrencyLimit::new(limits, config.max_open_requests as f64),
            guard: Guard::default(),
            draining: BTreeSet::new(),
            orphan_cleanup: OrphanCleanup::new(cleanup_from, cleanup_until),
            zone_failover: None,
            traces: TraceBuffer::default(),
            restored_state: None,
            revision: None,
            pending_commands: Vec::new(),
            shutting_down: false,
            unary_deadlines: UnaryDeadlines::default(),
            counters: RequestCounters::default(),
            config,
        }
    }

    /// Returns the number of requests without a final answer.
    pub fn open(&self) -> usize {
        self.open_requests
    }

    /// Returns the revision of the endpoint list in use; `None` if no source has returned a list yet.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns whether no request is open, no attempt is in flight and no reservation is left to release.
    pub fn is_quiet(&self) -> bool {
        self.requests.is_empty() && self.ledger.is_empty()
    }

    /// Counts open requests and unreleased reservations as violations. Called just before the process exits.
    pub fn process_exiting(&mut self) {
        if self.open_requests > 0 {
            self.guard.count(Violation::ExitWithRequests, 0);
        }
        if !self.ledger.is_empty() {
            self.guard.count(Violation::ExitWithReservations, 0);
        }
    }

    /// Attaches a trace to an open request; later events of the request are added to it.
    pub fn start_trace(&mut self, request: RequestId, trace: RequestTrace) {
        if let Some(open) = self.requests.get_mut(request) {
            open.trace = Some(trace);
        }
    }

    /// Returns the trace of an open or finished request; `None` if none is kept under this id.
    pub fn request_trace(&self, id: &str) -> Option<&RequestTrace> {
        self.requests.trace(id).or_else(|| self.traces.find(id))
    }

    pub(crate) fn trace_event(&mut self, now: f64, request: RequestId, event: TraceEvent) {
        if let Some(trace) = self.requests.get_mut(request).and_then(|open| open.trace.as_mut()) {
            trace.add(now, event);
        }
    }
}
