//! Connects the node's core to the platform's sockets. This module holds the node's state and passes events
//! to the core; `commands` runs the commands that the core returns, `attempts` carries out attempts at
//! engines, and `control_calls` probes engines and releases reservations. Everything runs on one thread.

mod attempt_failure;
mod attempts;
mod commands;
mod control_calls;
mod engine_stream;
mod stream_memory;
mod stream_queue;

use crate::clients::socket::ClientSocket;
use crate::core::discovery_calls::{AcceptedUpdate, CallId};
use crate::core::discovery_timing::ANNOUNCED_AFTER_S;
use crate::core::endpoint_list::DiscoveredEndpoints;
use crate::core::engine::ForwardedRequest;
use crate::core::log_limiter::LogRateLimiter;
use crate::core::used_ids::UsedIds;
use crate::core::MalformedMessage;
use crate::pool::ConnectionPool;
use async_channel::{Receiver, Sender};
use attempts::AttemptProgress;
use nickelgw_node::Clock;
use nickelgw_node_core::{AdmittedRequest, AttemptOutcome, NodeCore, RejectReason, RequestId};
use smol::{LocalExecutor, Task};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Instant;
pub use stream_memory::StreamMemory;
pub use stream_queue::PieceReceiver;

/// A request whose response has not begun, with its client's socket and the channel for its reply.
struct PendingRequest {
    forwarded: Rc<ForwardedRequest>,
    reply: Sender<Reply>,
    client: Rc<ClientSocket>,
}

/// Reply to a request.
pub enum Reply {
    /// Pieces of the stream; the stream is complete only if [`StreamPiece::End`] is the last one.
    Stream(PieceReceiver),
    /// The request is rejected and a retry is harmless, after this time in seconds if it is `Some`.
    Rejected(Option<f64>),
    /// No response began in time.
    Failed,
}

/// An attempt that has not ended; dropping its task cancels it.
struct RunningAttempt {
    forwarded: Rc<ForwardedRequest>,
    task: Task<()>,
    progress: Rc<AttemptProgress>,
}

/// Parts of a node besides its core and the endpoint list.
pub struct NodeParts {
    /// Runs the tasks of attempts, probes and releases.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections to engines.
    pub pool: Rc<ConnectionPool>,
    /// Memory of all streams.
    pub stream_memory: Rc<StreamMemory>,
    /// The node's clock.
    pub clock: Clock,
    /// Timeout of a probe or a release call, in seconds.
    pub control_timeout_s: f64,
    /// Path of probe calls.
    pub probe_path: &'static str,
}

/// One node: its core, the open requests, and the attempts that run for them.
pub struct Node {
    /// State machine that makes the decisions.
    pub core: RefCell<NodeCore>,
    endpoints: RefCell<DiscoveredEndpoints>,
    log_limiter: RefCell<LogRateLimiter>,
    parts: NodeParts,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    attempts: RefCell<HashMap<(RequestId, u32), RunningAttempt>>,
    /// Ids of the open requests.
    open_ids: RefCell<HashSet<String>>,
    /// Ids of the latest requests that engines may have run.
    used_ids: RefCell<UsedIds>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// An admitted request. If it is dropped before the request has ended, it reports to the core that the client
/// has disconnected.
pub struct RequestGuard {
    node: Rc<Node>,
    id: String,
    request: RequestId,
    /// Whether the request has been answered.
    pub ended: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.open_ids.borrow_mut().remove(&self.id);
        if !self.ended {
            tracing::debug!(at = self.node.now(), request = %self.id, "client disconnected");
            self.node.pending.borrow_mut().remove(&self.request);
            self.node.core.borrow_mut().client_disconnected(self.node.now(), self.request);
            self.node.wake();
        }
    }
}

impl Node {
    /// Creates a node without open requests.
    pub fn new(core: NodeCore, endpoints: DiscoveredEndpoints, parts: NodeParts) -> Rc<Node> {
        let (wake, woken) = async_channel::bounded(1);
        Rc::new(Node {
            core: RefCell::new(core),
            endpoints: RefCell::new(endpoints),
            log_limiter: RefCell::default(),
            parts,
            pending: RefCell::default(),
            attempts: RefCell::default(),
            open_ids: RefCell::default(),
            used_ids: RefCell::default(),
            wake,
            woken,
        })
    }

    /// Returns the seconds since the process started.
    pub fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// Returns the seconds from the process's start to `moment`; negative if it was before the start.
    pub fn seconds_at(&self, moment: Instant) -> f64 {
        self.parts.clock.seconds_at(moment)
    }

    /// Returns the executor of all of the node's tasks.
    pub fn executor(&self) -> &LocalExecutor<'static> {
        &self.parts.executor
    }

    /// Logs that malformed bytes were received, at most one line per minute and source. Such bytes affect
    /// only the connection on which they arrived.
    pub fn log_malformed(&self, source: &'static str, reason: &str) {
        if let Some(occurrences) = self.log_limiter.borrow_mut().record(self.now(), source) {
            tracing::warn!(source, reason, occurrences, "malformed message rejected");
        }
    }

    /// Logs that an engine's response is malformed, at most one line per minute.
    fn log_malformed_response(&self, engine: &str, request: &str, reason: MalformedMessage) {
        if let Some(occurrences) = self.log_limiter.borrow_mut().record(self.now(), "engine") {
            tracing::warn!(source = "engine", engine, request, %reason, occurrences, "malformed message rejected");
        }
    }

    /// Logs that discovery has not responded to a call in time. Warns at most once a minute, once changes may be
    /// missing that count as announced.
    pub fn log_overdue_discovery_call(&self, id: CallId, silent_s: f64) {
        let at = self.now();
        tracing::debug!(at, call = %id, silent_s, "discovery call overdue");
        if silent_s < ANNOUNCED_AFTER_S {
            return;
        }
        if let Some(occurrences) = self.log_limiter.borrow_mut().record(at, "overdue discovery calls") {
            tracing::warn!(at, occurrences, silent_s, "discovery does not respond");
        }
    }

    /// Logs that the list of the discovery agent is older than what was announced before. Warns at most once a
    /// minute, once that has been so for long.
    fn log_agent_behind(&self, generation: u64, for_long: bool) {
        let at = self.now();
        tracing::debug!(at, generation, for_long, "discovery agent behind");
        if !for_long {
            return;
        }
        if let Some(occurrences) = self.log_limiter.borrow_mut().record(at, "discovery agent behind") {
            tracing::warn!(at, occurrences, generation, "discovery agent is behind what was announced");
        }
    }

    /// Wakes the event loop, so that the core decides again once all tasks that are ready have passed their
    /// events to it.
    pub fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    /// Applies an update of discovery to the endpoint list, and passes the list to the core.
    pub fn apply_update(&self, update: AcceptedUpdate) {
        if update.is_empty() {
            return;
        }
        match update {
            AcceptedUpdate::Current(update) => self.endpoints.borrow_mut().apply(update),
            AcceptedUpdate::PossiblyStale(update) => {
                self.log_agent_behind(update.generation, false);
                self.endpoints.borrow_mut().apply_possibly_stale(update);
            }
            AcceptedUpdate::Behind(update) => {
                self.log_agent_behind(update.generation, true);
                self.endpoints.borrow_mut().apply_behind(update);
            }
        }
        let list = self.endpoints.borrow().snapshot();
        self.core.borrow_mut().update_endpoints(self.now(), &list);
        self.wake();
    }

    /// Returns whether a request with this id is open: engines could not distinguish two open requests with
    /// one id.
    pub fn is_open(&self, id: &str) -> bool {
        self.open_ids.borrow().contains(id)
    }

    /// Returns whether a request with this id may have run: it must not run again, whether its client has left or was
    /// answered.
    pub fn may_have_run(&self, id: &str) -> bool {
        self.used_ids.borrow().contains(id)
    }

    fn attempt_sent(&self, forwarded: &ForwardedRequest) {
        forwarded.attempt_sent();
        self.used_ids.borrow_mut().insert(&forwarded.id);
    }

    /// Notes the end of an attempt: if none of the request's attempts has run, its id may come again.
    fn attempt_ended(
        &self,
        forwarded: &ForwardedRequest,
        progress: &AttemptProgress,
        outcome: AttemptOutcome,
    ) {
        if progress.sent.get() && outcome.never_ran() && forwarded.attempt_never_ran() {
            self.used_ids.borrow_mut().remove(&forwarded.id);
        }
    }

    /// Admits a request, or returns the reason why it is not admitted.
    pub fn accept(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        forwarded: ForwardedRequest,
        client: &Rc<ClientSocket>,
    ) -> Result<(RequestGuard, Receiver<Reply>), RejectReason> {
        let request_id = self.core.borrow_mut().accept_request(self.now(), request)?;
        let (reply, replied) = async_channel::bounded(1);
        let id = forwarded.id.clone();
        tracing::debug!(
            at = self.now(),
            request = %id,
            waited_s = request.arrived_at.map(|arrived_at| self.now() - arrived_at),
            route = request.route,
            timeout_s = request.timeout_s,
            ttft_objective_s = self.core.borrow().ttft_objective_s(request),
            prompt_tokens = request.prompt_tokens,
            body_bytes = forwarded.body.len(),
            "request accepted"
        );
        self.open_ids.borrow_mut().insert(id.clone());
        let pending = PendingRequest { forwarded: Rc::new(forwarded), reply, client: client.clone() };
        self.pending.borrow_mut().insert(request_id, pending);
        self.wake();
        Ok((RequestGuard { node: self.clone(), id, request: request_id, ended: false }, replied))
    }

    /// Fails all requests whose response has not begun; streams continue.
    pub fn fail_unstarted(&self) {
        self.core.borrow_mut().fail_unstarted(self.now());
        self.wake();
    }

    /// Informs the core that the process is about to exit.
    pub fn process_exiting(&self) {
        self.core.borrow_mut().process_exiting();
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.core.borrow().open()
    }

    /// Returns whether no attempt is under way and no reservation remains to be released.
    pub fn is_quiet(&self) -> bool {
        self.core.borrow().is_quiet()
    }
}
