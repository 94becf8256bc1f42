//! State machine of the calls to discovery, without I/O: when to fetch the whole list or watch for changes, how
//! long to wait for a response, and which responses to apply.
//!
//! One call is the current one. If it is not answered in time, it stays open among the late calls, and a call
//! for the whole list becomes the current one. The first response that arrives is applied, whichever call it
//! answers. An answered call makes those before it superfluous.

use super::discovery_timing::{DiscoveryTimeouts, ResponseTimeouts, ANNOUNCED_AFTER_S};
use super::endpoint_list::DiscoveryUpdate;
use super::late_calls::{LateCalls, LATE_LIMITS_S};
use super::response_time::ResponseTime;
use std::fmt;

/// Gap after each call, so that watches which are answered at once do not follow each other in a busy loop.
/// The next call continues the watch.
const CALL_INTERVAL_S: f64 = 0.005;
/// Gap after a watch that was answered early and without changes. The next call continues the watch if it
/// comes within 0.2 s (the platform's protocol).
const EMPTY_WATCH_GAP_S: f64 = 0.1;
/// Time for which an agent responds until its list has all that discovery had announced before (the platform's
/// protocol). An agent whose list is older after that counts generations in another way, or is badly behind.
const MAX_BEHIND_S: f64 = ANNOUNCED_AFTER_S;
/// Maximum number of calls that are open at once: the current one and the late ones.
pub const MAX_OPEN_CALLS: usize = 1 + LATE_LIMITS_S.len();

/// Id of a call. A later call has a greater id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What a call asks discovery for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryRequest {
    /// The whole list, which discovery usually returns at once.
    List,
    /// Changes of the list; discovery answers when there are some, or when the watch times out.
    Watch {
        /// Generation after which changes are asked for.
        since: u64,
        /// Time in seconds for which discovery waits for a change.
        wait_s: f64,
    },
}

/// A call without a whole response so far.
#[derive(Clone, Copy, Debug)]
pub struct OpenCall {
    /// Id of the call.
    pub id: CallId,
    /// Time at which discovery is expected to answer at the latest.
    pub expected_at: f64,
    request: DiscoveryRequest,
    started_at: f64,
    /// Timeouts that were valid when the call started. A response time that is observed later does not extend
    /// them: it may be that of a call which discovery answered as it recovered, while this one is lost.
    timeouts: ResponseTimeouts,
    head_received: bool,
}

/// Command to the owner of the sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCommand {
    /// Make this call.
    Start(CallId, DiscoveryRequest),
    /// Close this call, if it is open; its response is of no use any more.
    Cancel(CallId),
    /// Log that discovery has not responded to this call in time.
    LogOverdue {
        /// Id of the call.
        id: CallId,
        /// Time in seconds since the last response, or since the process started.
        silent_s: f64,
    },
}

/// Update that is to be applied.
#[derive(Debug)]
pub enum AcceptedUpdate {
    /// An update to apply as it is.
    Current(DiscoveryUpdate),
    /// An update that may be older than what was announced before: it must not take back drains, removals and
    /// restarts, and adds no engine.
    PossiblyStale(DiscoveryUpdate),
    /// An update of an agent whose generations have been lower than what was announced for so long that it must
    /// not be waited for: as [`AcceptedUpdate::PossiblyStale`], but engines that were never announced are added.
    Behind(DiscoveryUpdate),
}

impl AcceptedUpdate {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        let (AcceptedUpdate::Current(update)
        | AcceptedUpdate::PossiblyStale(update)
        | AcceptedUpdate::Behind(update)) = self;
        update.is_empty()
    }

    /// Returns the response of discovery.
    #[cfg(test)]
    pub fn into_update(self) -> DiscoveryUpdate {
        let (AcceptedUpdate::Current(update)
        | AcceptedUpdate::PossiblyStale(update)
        | AcceptedUpdate::Behind(update)) = self;
        update
    }
}

/// Whether the agent's list is older than what was announced before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentLag {
    /// It is not.
    CaughtUp,
    /// It is, and will soon be up to date.
    Behind,
    /// It has been for `MAX_BEHIND_S` while the agent responded, or the agent counts from the beginning.
    BehindForLong,
}

/// The calls to discovery, and what they returned last.
pub struct DiscoveryCalls {
    timeouts: DiscoveryTimeouts,
    response_time: ResponseTime,
    current: Option<OpenCall>,
    late: LateCalls,
    last_id: u64,
    next_call_at: f64,
    /// Generation of the last update that was accepted, and when it was received.
    received: Option<(u64, f64)>,
    /// Highest generation that any agent has announced, or that was known at the start.
    announced_generation: Option<u64>,
    lag: AgentLag,
    /// Time of the first response since the agent has been responding in time; `None` if it is not.
    responding_since: Option<f64>,
    /// Whether the next call fetches the whole list.
    fetches_list: bool,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Time of the last response, or of the process's start if there was none.
    last_response_at: f64,
    commands: Vec<DiscoveryCommand>,
}

impl DiscoveryCalls {
    /// Creates the state of a client that has made no call yet.
    pub fn new(timeouts: DiscoveryTimeouts) -> DiscoveryCalls {
        DiscoveryCalls {
            timeouts,
            response_time: ResponseTime::default(),
            current: None,
            late: LateCalls::default(),
            last_id: 0,
            next_call_at: 0.0,
            received: None,
            announced_generation: None,
            lag: AgentLag::CaughtUp,
            responding_since: None,
            fetches_list: true,
            failures: 0,
            last_response_at: 0.0,
            commands: Vec::new(),
        }
    }

    /// Sets the generation of the list that the node knew at its start, which counts as announced.
    pub fn with_known_generation(mut self, generation: Option<u64>) -> DiscoveryCalls {
        self.announced_generation = generation;
        self
    }

    /// Handles timeouts, starts the next call if it is due, and returns what is to be done.
    pub fn poll(&mut self, now: f64) -> Vec<DiscoveryCommand> {
        let given_up = self.late.move_up(now);
        self.cancel(given_up);
        if self.behind_until() <= now {
            // The engines that were held back from a list that was possibly stale are added from now on.
            (self.lag, self.fetches_list) = (AgentLag::BehindForLong, true);
        }
        if self.current_deadline() <= now {
            self.current_overdue(now);
        }
        if self.current.is_none() && self.next_call_at <= now {
            self.start_call(now);
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns the time at which [`DiscoveryCalls::poll`] has to be called next if there is no other event.
    pub fn next_wake(&self) -> f64 {
        let next = if self.current.is_some() { self.current_deadline() } else { self.next_call_at };
        next.min(self.late.next_limit_at()).min(self.behind_until())
    }

    /// Handles the head of a response.
    pub fn head_received(&mut self, now: f64, id: CallId) {
        let Some(call) = self.open_call(id).copied() else { return };
        let response_time_s = now - call.expected_at;
        // A watch that is answered early, with changes, says nothing about the time of a response.
        if response_time_s >= 0.0 {
            self.response_time.observe(now, response_time_s);
        }
        if let Some(current) = self.current.as_mut().filter(|current| current.id == id) {
            current.head_received = true;
        }
    }

    /// Handles a whole response. Returns the update if it is to be applied.
    pub fn responded(&mut self, now: f64, id: CallId, update: DiscoveryUpdate) -> Option<AcceptedUpdate> {
        let call = *self.open_call(id)?;
        self.close_up_to(id);
        (self.failures, self.last_response_at) = (0, now);
        self.responding_since.get_or_insert(now);
        let gap_s = if returned_early(&call, &update, now) { EMPTY_WATCH_GAP_S } else { CALL_INTERVAL_S };
        if self.current.is_none() {
            self.next_call_at = now + gap_s;
        }
        self.accept(now, &call, update)
    }

    /// Handles a call that failed.
    pub fn failed(&mut self, now: f64, id: CallId) {
        if self.current.take_if(|current| current.id == id).is_some() {
            self.retry_after_gap(now);
        } else if !self.late.remove(id) {
            return;
        }
        self.commands.push(DiscoveryCommand::Cancel(id));
    }

    /// Handles a change of discovery's address: the whole list of the new agent is fetched at once. It may be
    /// older than what was announced before, which holds all the same.
    pub fn address_changed(&mut self, now: f64) {
        self.close_up_to(CallId(self.last_id));
        self.lag = AgentLag::CaughtUp;
        self.responding_since = None;
        self.response_time = ResponseTime::default();
        self.received = None;
        self.fetches_list = true;
        self.failures = 0;
        self.next_call_at = now;
    }

    fn open_call(&self, id: CallId) -> Option<&OpenCall> {
        let current = self.current.as_ref().filter(|current| current.id == id);
        current.or_else(|| self.late.get(id))
    }

    fn current_deadline(&self) -> f64 {
        let Some(call) = &self.current else { return f64::INFINITY };
        let timeout_s = if call.head_received { call.timeouts.total_s } else { call.timeouts.head_s };
        call.expected_at + timeout_s
    }

    /// Keeps the current call among the late ones, so that another call can start.
    fn current_overdue(&mut self, now: f64) {
        let Some(call) = self.current.take() else { return };
        let silent_s = now - self.last_response_at;
        self.commands.push(DiscoveryCommand::LogOverdue { id: call.id, silent_s });
        if !self.late.keep(now, call) {
            self.commands.push(DiscoveryCommand::Cancel(call.id));
        }
        self.retry_after_gap(now);
    }

    fn retry_after_gap(&mut self, now: f64) {
        self.responding_since = None;
        self.fetches_list = true;
        self.next_call_at = now + self.timeouts.gap_s(self.failures);
        self.failures = self.failures.saturating_add(1);
    }

    fn start_call(&mut self, now: f64) {
        let request = match self.received {
            Some((since, _)) if !self.fetches_list => {
                DiscoveryRequest::Watch { since, wait_s: self.timeouts.watch_s }
            }
            _ => DiscoveryRequest::List,
        };
        let wait_s = match request {
            DiscoveryRequest::Watch { wait_s, .. } => wait_s,
            DiscoveryRequest::List => 0.0,
        };
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.current = Some(OpenCall {
            id,
            expected_at: now + wait_s,
            request,
            started_at: now,
            timeouts: self.timeouts.response_timeouts(self.response_time.estimate_s(now)),
            head_received: false,
        });
        self.commands.push(DiscoveryCommand::Start(id, request));
    }

    fn cancel(&mut self, ids: Vec<CallId>) {
        self.commands.extend(ids.into_iter().map(DiscoveryCommand::Cancel));
    }

    /// Closes the answered call and all that were started before it.
    fn close_up_to(&mut self, id: CallId) {
        let mut closed = self.late.take_up_to(id);
        closed.extend(self.current.take_if(|current| current.id <= id).map(|current| current.id));
        self.cancel(closed);
    }

    /// Returns the time at which an agent that is behind, and goes on responding, has been so for long.
    fn behind_until(&self) -> f64 {
        match (self.lag, self.responding_since) {
            (AgentLag::Behind, Some(since)) => since + MAX_BEHIND_S,
            _ => f64::INFINITY,
        }
    }

    /// Returns the update if it is not older than what was received before from this agent.
    fn accept(&mut self, now: f64, call: &OpenCall, update: DiscoveryUpdate) -> Option<AcceptedUpdate> {
        if let Some((generation, received_at)) = self.received {
            if update.generation < generation && call.started_at <= received_at {
                // The call overlapped with the one that returned the newer list.
                return None;
            }
            if update.is_older_than(generation) {
                // These changes belong to an older list than the node has: they come from an agent that has
                // restarted. Fetching the whole list resolves this.
                self.fetches_list = true;
                return None;
            }
        }
        if self.received.is_some_and(|(generation, _)| update.generation < generation) {
            // The agent has restarted, and may count from the beginning: its list is not waited for.
            self.lag = AgentLag::BehindForLong;
        }
        self.received = Some((update.generation, now));
        self.fetches_list &= !update.is_whole_list();
        Some(self.compare_with_announced(update))
    }

    fn compare_with_announced(&mut self, update: DiscoveryUpdate) -> AcceptedUpdate {
        let is_older = self.announced_generation.is_some_and(|announced| update.generation < announced);
        match (is_older, self.lag) {
            (true, AgentLag::BehindForLong) => AcceptedUpdate::Behind(update),
            (true, AgentLag::CaughtUp | AgentLag::Behind) => {
                self.lag = AgentLag::Behind;
                AcceptedUpdate::PossiblyStale(update)
            }
            (false, lag) => {
                // Changes do not tell what was held back from the list of an agent that has now caught up.
                self.fetches_list |= lag != AgentLag::CaughtUp && !update.is_whole_list();
                self.lag = AgentLag::CaughtUp;
                self.announced_generation = Some(update.generation);
                AcceptedUpdate::Current(update)
            }
        }
    }
}

/// Returns whether a watch returned no changes and did not wait: repeating it at once would spin.
fn returned_early(call: &OpenCall, update: &DiscoveryUpdate, now: f64) -> bool {
    match call.request {
        DiscoveryRequest::List => false,
        DiscoveryRequest::Watch { wait_s, .. } => update.is_empty() && now - call.started_at < wait_s / 2.0,
    }
}

#[cfg(test)]
#[path = "discovery_calls_tests.rs"]
mod tests;
