//! The one task that owns the core. It handles events, runs the core's commands, and never waits for a peer.

mod handle_event;
mod responses;
mod run_commands;

use crate::clock::{seconds, Clock};
use crate::engines::EngineClient;
use crate::events::TimedEvent;
use crate::latency_metrics::LatencyMetrics;
use crate::limits::Limits;
use crate::listener_state::ListenerState;
use crate::metrics_snapshot::MetricsSnapshot;
use crate::persistence::StoreWriter;
use crate::replies::ClientRequest;
use async_channel::{Receiver, Sender};
use nickelgw_node_core::shutdown::{Exit, ProcessLifecycle, Remaining, ShutdownCommand, Stage};
use nickelgw_node_core::{NodeCore, RequestId};
use smol::{LocalExecutor, Task, Timer};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Largest number of queued events handled in one iteration. Handling all that wait makes a burst cost fewer
/// iterations instead of longer queues.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// Called once the node can serve.
pub type OnServing = Box<dyn FnOnce() + Send>;

/// A running attempt. Dropping it cancels the attempt.
pub struct RunningAttempt {
    _task: Task<()>,
    /// Whether a byte of the attempt may have been sent.
    sent: Rc<Cell<bool>>,
}

/// Channels that the event loop reads or signals.
pub struct EventLoopChannels {
    /// Events from all other tasks.
    pub events: Receiver<TimedEvent>,
    /// Ids of requests whose client has disconnected. The channel is unbounded, but each open request is sent
    /// at most once.
    pub disconnects: Receiver<RequestId>,
    /// Wakes the task that watches the endpoint list.
    pub poll_endpoints: Sender<()>,
    /// Signals that an engine was found unreachable, so that gossip informs other nodes early.
    pub engine_unreachable: Sender<()>,
}

/// Owns the core and all open requests.
pub struct EventLoop {
    /// The state machine that decides for the node.
    pub core: NodeCore,
    /// Stages of the process's lifecycle.
    pub lifecycle: ProcessLifecycle,
    /// Channels to and from other tasks.
    pub channels: EventLoopChannels,
    /// The node's clock.
    pub clock: Clock,
    /// Runs attempts and other calls.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Calls engines.
    pub engines: Rc<EngineClient>,
    /// Limits of the node's sockets.
    pub limits: Rc<Limits>,
    /// State shared with the client connections.
    pub listener: Rc<ListenerState>,
    /// Store writers, released and resumed by process signals.
    pub store_writers: Vec<Rc<StoreWriter>>,
    /// Number of requests that wait in the event loop's queue.
    pub queued: Rc<Cell<usize>>,
    /// Where latencies are recorded; `None` if they are not recorded.
    pub latency: Option<Arc<Mutex<LatencyMetrics>>>,
    /// Name of this process, by which engines identify its reservations.
    pub incarnation: String,
    /// Network addresses of the endpoint list's source.
    pub discovery_addresses: Vec<String>,
    /// Called once the node can serve; `None` if it was called already.
    pub on_serving: Option<OnServing>,
    /// Open requests whose response has not ended.
    pub clients: HashMap<RequestId, ClientRequest>,
    /// Running attempts by request and number of the attempt.
    pub attempts: HashMap<(RequestId, u32), RunningAttempt>,
}

/// What ended the loop's wait.
// Only one exists at a time, briefly and on the stack; boxing each event would cost an allocation.
#[allow(clippy::large_enum_variant)]
enum Wakeup {
    Event(TimedEvent),
    ClientDisconnected(RequestId),
    Timer,
}

impl EventLoop {
    /// Runs until the process's lifecycle ends.
    pub async fn run(mut self) -> Exit {
        let mut timer = Timer::never();
        let mut receive_times = Vec::new();
        loop {
            let wakeup = self.wait(&mut timer).await;
            let now = self.clock.now();
            let started_at = Instant::now();
            self.handle_pending(now, wakeup, &mut receive_times);
            let core_wake_at = self.run_commands(now);
            let (exit, lifecycle_wake_at) = self.advance_lifecycle(now);
            if let Some(exit) = exit {
                return exit;
            }
            match [core_wake_at, lifecycle_wake_at].into_iter().flatten().min_by(f64::total_cmp) {
                Some(wake_at) => timer.set_after(seconds((wake_at - self.clock.now()).max(0.0))),
                None => timer = Timer::never(),
            }
            self.record_iteration(started_at, &receive_times);
            receive_times.clear();
        }
    }

    async fn wait(&self, timer: &mut Timer) -> Wakeup {
        let event = async { self.channels.events.recv().await.ok().map(Wakeup::Event) };
        let disconnect =
            async { self.channels.disconnects.recv().await.ok().map(Wakeup::ClientDisconnected) };
        let timeout = async {
            timer.await;
            None
        };
        let first = futures_lite::future::or(futures_lite::future::or(event, disconnect), timeout).await;
        first.unwrap_or(Wakeup::Timer)
    }

    /// Handles the event that ended the wait and those that were queued since.
    fn handle_pending(&mut self, now: f64, wakeup: Wakeup, receive_times: &mut Vec<Instant>) {
        match wakeup {
            Wakeup::Event(event) => self.handle_timed_event(now, event, receive_times),
            Wakeup::ClientDisconnected(request_id) => self.client_disconnected(now, request_id),
            Wakeup::Timer => {}
        }
        for _ in 0..MAX_EVENTS_PER_ITERATION {
            let Ok(event) = self.channels.events.try_recv() else { break };
            self.handle_timed_event(now, event, receive_times);
        }
        while let Ok(request_id) = self.channels.disconnects.try_recv() {
            self.client_disconnected(now, request_id);
        }
    }

    fn handle_timed_event(&mut self, now: f64, event: TimedEvent, receive_times: &mut Vec<Instant>) {
        if self.latency.is_some() {
            receive_times.push(event.received_at);
        }
        self.handle_event(now, event.event);
    }

    fn record_latency(&self, record: impl FnOnce(&mut LatencyMetrics)) {
        if let Some(latency) = &self.latency {
            record(&mut latency.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
        }
    }

    fn record_iteration(&self, started_at: Instant, receive_times: &[Instant]) {
        self.record_latency(|latency| {
            latency.events += receive_times.len() as u64;
            for received_at in receive_times {
                LatencyMetrics::record(&mut latency.to_decision, received_at.elapsed());
            }
            LatencyMetrics::record(&mut latency.iteration, started_at.elapsed());
        });
    }

    /// Runs the lifecycle's commands. Returns how the process exits, if it does, and when the lifecycle has
    /// to be polled next.
    fn advance_lifecycle(&mut self, now: f64) -> (Option<Exit>, Option<f64>) {
        let remaining = Remaining {
            open_requests: self.core.open(),
            reservations: self.core.ledger.len(),
            connections: self.listener.connections.get(),
        };
        let (commands, mut wake_at) = self.lifecycle.poll_commands(now, remaining);
        for command in commands {
            tracing::info!(
                stage = ?self.lifecycle.stage(),
                open = remaining.open_requests,
                reservations = remaining.reservations,
                "{command:?}"
            );
            match command {
                ShutdownCommand::AnnounceShutdown => {
                    self.listener.healthy.set(false);
                    self.listener.closing_connections.set(true);
                }
                ShutdownCommand::StopListening => self.listener.stop_listening.raise(),
                ShutdownCommand::StopAccepting => {
                    self.core.stop_accepting();
                    self.listener.close_idle.raise();
                }
                ShutdownCommand::FailAllOpen => {
                    self.core.fail_all_open(now);
                    wake_at = Some(now);
                }
                ShutdownCommand::Exit(exit) => return (Some(exit), None),
            }
        }
        (None, wake_at)
    }

    fn endpoints_known(&mut self) {
        self.lifecycle.endpoints_known();
        if self.lifecycle.stage() == Stage::Serving {
            self.listener.healthy.set(true);
            if let Some(on_serving) = self.on_serving.take() {
                on_serving();
            }
        }
    }

    fn snapshot(&self) -> MetricsSnapshot {
        let (core, ledger) = (&self.core, &self.core.ledger);
        MetricsSnapshot {
            requests: core.counters,
            reservations: ledger.counters,
            violations: core.guard.counts().iter().map(|(rule, count)| (rule.name(), *count)).collect(),
            open_requests: core.open(),
            open_reservations: ledger.len(),
            unclaimed_p99_s: ledger.unclaimed_quantile_s(0.99),
            unclaimed_max_s: ledger.unclaimed_quantile_s(1.0),
            traces: core.traces.len(),
            zone_weights: core.zone_failover.as_ref().map(|zones| zones.zone_weights()).unwrap_or_default(),
        }
    }
}
