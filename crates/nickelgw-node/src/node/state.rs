//! State that the parts of a node share, and how it is passed on while the node is built.

use crate::clock::Clock;
use crate::deferred::{DeferredQueueConfig, DeferredRequests};
use crate::event_loop::{EventLoop, EventLoopChannels, OnServing};
use crate::events::{Event, ProcessSignal, TimedEvent};
use crate::idempotency::ResponseSharing;
use crate::limits::Limits;
use crate::listener_state::ListenerState;
use crate::persistence::StoreWriter;
use crate::server::ChatServer;
use async_channel::{bounded, unbounded, Receiver, Sender};
use nickelgw_deferred::core::RetryPolicy;
use nickelgw_gossip::core::Gossip;
use nickelgw_node_core::shutdown::{Exit, ProcessLifecycle};
use nickelgw_node_core::{Admission, RequestId};
use smol::{Async, LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Capacity of the event loop's queue.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// State that all parts of a node share, and the tasks started so far.
pub(super) struct Node {
    pub clock: Clock,
    pub executor: Rc<LocalExecutor<'static>>,
    pub events: Sender<TimedEvent>,
    pub disconnects: Sender<RequestId>,
    /// Number of requests that wait in the event loop's queue.
    pub queued: Rc<Cell<usize>>,
    pub limits: Rc<Limits>,
    pub listener: Rc<ListenerState>,
    pub seed: u64,
    pub name: String,
    /// Name of this process, by which engines identify its reservations.
    pub incarnation: String,
    /// Started tasks; dropping them cancels them.
    pub tasks: Vec<Task<()>>,
}

/// The receiving ends of the event loop's queues.
pub(super) struct Queues {
    pub events: Receiver<TimedEvent>,
    pub disconnects: Receiver<RequestId>,
}

/// What connects the node with the other nodes of its fleet.
pub(super) struct FleetState {
    pub gossip: Option<Rc<RefCell<Gossip>>>,
    /// Whether no zone is evacuated or recovering.
    pub all_zones_active: Rc<Cell<bool>>,
    /// Signals that an engine was found unreachable.
    pub engine_unreachable: Sender<()>,
}

impl FleetState {
    pub fn open_deferred(
        &self,
        config: DeferredQueueConfig,
        policies: Vec<RetryPolicy>,
        clock: Clock,
        admission: &Admission,
    ) -> Rc<DeferredRequests> {
        let (gossip, all_zones_active) = (self.gossip.clone(), self.all_zones_active.clone());
        DeferredRequests::open(config, policies, clock, admission, gossip, all_zones_active)
    }
}

/// State of endpoint discovery, to be passed to the event loop.
pub(super) struct DiscoveryState {
    pub lifecycle: ProcessLifecycle,
    pub on_serving: Option<OnServing>,
    pub poll_endpoints: Sender<()>,
    /// Network addresses of the endpoint list's source.
    pub addresses: Vec<String>,
}

impl DiscoveryState {
    pub fn new(
        lifecycle: ProcessLifecycle,
        on_serving: OnServing,
        poll_endpoints: Sender<()>,
    ) -> DiscoveryState {
        DiscoveryState { lifecycle, on_serving: Some(on_serving), poll_endpoints, addresses: Vec::new() }
    }
}

/// The stores, and the requests and responses kept in them.
pub(super) struct Storage {
    pub store_writer: Rc<StoreWriter>,
    pub deferred: Option<Rc<DeferredRequests>>,
    pub responses: Rc<ResponseSharing>,
}

impl Storage {
    pub fn store_writers(&self) -> Vec<Rc<StoreWriter>> {
        let deferred_writer = self.deferred.iter().map(|deferred| &deferred.store_writer);
        std::iter::once(&self.store_writer).chain(deferred_writer).cloned().collect()
    }
}

/// TLS of the chat port, and the interval in seconds at which TLS files are read.
pub(super) struct ChatTls {
    pub server: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    pub reload_s: f64,
}

impl Queues {
    pub fn channels(self, poll_endpoints: Sender<()>, engine_unreachable: Sender<()>) -> EventLoopChannels {
        EventLoopChannels {
            events: self.events,
            disconnects: self.disconnects,
            poll_endpoints,
            engine_unreachable,
        }
    }
}

impl Node {
    pub fn new(clock: Clock, name: String, incarnation: String, limits: Limits, seed: u64) -> (Node, Queues) {
        let (events, incoming_events) = bounded(EVENT_QUEUE_CAPACITY);
        let (disconnects, disconnected) = unbounded();
        let node = Node {
            clock,
            executor: Rc::new(LocalExecutor::new()),
            events,
            disconnects,
            queued: Rc::new(Cell::new(0)),
            limits: Rc::new(limits),
            listener: ListenerState::new(),
            seed,
            name,
            incarnation,
            tasks: Vec::new(),
        };
        (node, Queues { events: incoming_events, disconnects: disconnected })
    }

    pub fn spawn(&mut self, future: impl Future<Output = ()> + 'static) {
        self.tasks.push(self.executor.spawn(future));
    }

    pub fn forward_signals(&mut self, signals: Receiver<ProcessSignal>) {
        let events = self.events.clone();
        self.spawn(async move {
            while let Ok(signal) = signals.recv().await {
                let _ = events.send(TimedEvent::new(Event::Signal(signal))).await;
            }
        });
    }

    /// Accepts client connections. If `serving` is given, the first is accepted once that channel is closed.
    pub fn accept(
        &mut self,
        listener: Async<TcpListener>,
        server: Rc<ChatServer>,
        serving: Option<Receiver<()>>,
    ) {
        let executor = self.executor.clone();
        self.spawn(async move {
            if let Some(serving) = serving {
                let _ = serving.recv().await;
            }
            server.accept(listener, executor).await;
        });
    }

    /// Runs until the process's lifecycle ends, then cancels all tasks and flushes the stores.
    pub async fn run_event_loop(self, event_loop: EventLoop, store_writers: Vec<Rc<StoreWriter>>) -> Exit {
        let exit = self.executor.run(event_loop.run()).await;
        drop(self.tasks);
        for store_writer in store_writers {
            self.executor.run(store_writer.flush()).await;
        }
        exit
    }
}
