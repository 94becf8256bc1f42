//! Builds a node of its parts and runs it.

use crate::admin::{self, Admin};
use crate::background::Background;
use crate::client::{Pool, Tls};
use crate::clock::Clock;
use crate::deferred::{retry_policy, DeferredRequests, DeferredService};
use crate::discovery::cache;
use crate::discovery::directory::EndpointDirectory;
use crate::discovery::file_watch::follow_file;
use crate::discovery::list_watch::ListWatch;
use crate::discovery::registry_client::RegistryClient;
use crate::engines::EngineClient;
use crate::event_loop::{EventLoop, EventLoopChannels, OnServing};
use crate::events::{Event, ProcessSignal, TimedEvent};
use crate::gossip::{GossipOptions, GossipTask};
use crate::idempotency::ResponseSharing;
use crate::latency_metrics::LatencyMetrics;
use crate::limits::Limits;
use crate::listener_state::ListenerState;
use crate::maintenance::Maintenance;
use crate::options::{EndpointSource, NodeOptions, TlsOptions};
use crate::persistence::StoreWriter;
use crate::server::ChatServer;
use crate::submission::RequestSubmitter;
use async_channel::{bounded, unbounded, Receiver, Sender};
use nickelgw_chat::core::retry_budget::RetryBudget;
use nickelgw_gossip::core::Gossip;
use nickelgw_node_core::shutdown::{Exit, ProcessLifecycle};
use nickelgw_node_core::{Admission, NodeCore, RequestId};
use nickelgw_registry::core::view::EndpointView;
use nickelgw_store::core::write_buffer::RestoredRecord;
use nickelgw_store::core::{retention, RecordKind};
use nickelgw_tls::core::pool;
use smol::{Async, LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Length of the event loop's queue.
const EVENT_QUEUE: usize = 1024;
/// Plain connections opened at once, of the node and towards one engine. Without a handshake they cost little; the
/// engines' own limits bound them.
const MAX_PLAIN_CONNECTS: usize = 1024;
const MAX_PLAIN_CONNECTS_PER_ENGINE: usize = 256;

/// What all parts of a node share, and the tasks started so far.
struct Node {
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<TimedEvent>,
    disconnects: Sender<RequestId>,
    /// Requests that wait in the event loop's queue.
    queued: Rc<Cell<usize>>,
    limits: Rc<Limits>,
    listener: Rc<ListenerState>,
    seed: u64,
    name: String,
    /// Name of this process, by which engines know its reservations.
    incarnation: String,
    /// Dropped, they are cancelled.
    tasks: Vec<Task<()>>,
}

/// The receiving ends of the event loop's queues.
struct Queues {
    events: Receiver<TimedEvent>,
    disconnects: Receiver<RequestId>,
}

/// The node's part in the fleet.
struct FleetState {
    gossip: Option<Rc<RefCell<Gossip>>>,
    /// No zone is evacuated or recovering.
    all_zones_active: Rc<Cell<bool>>,
    /// Raised when an engine was found unreachable.
    engine_unreachable: Sender<()>,
}

/// What endpoint discovery hands to the event loop.
struct DiscoveryState {
    lifecycle: ProcessLifecycle,
    on_serving: Option<OnServing>,
    poll_endpoints: Sender<()>,
    /// Of the endpoint list's sources.
    addresses: Vec<String>,
}

/// The stores, and the requests and responses kept in them.
struct Storage {
    store_writer: Rc<StoreWriter>,
    deferred: Option<Rc<DeferredRequests>>,
    responses: Rc<ResponseSharing>,
}

impl Storage {
    fn store_writers(&self) -> Vec<Rc<StoreWriter>> {
        let of_deferred = self.deferred.iter().map(|deferred| &deferred.store_writer);
        std::iter::once(&self.store_writer).chain(of_deferred).cloned().collect()
    }
}

/// The TLS of the chat port, and how often TLS files are read.
struct ChatTls {
    server: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    reload_s: f64,
}

/// Serves until the process's lifecycle ends or the future is dropped. Everything that it started ends with it.
pub async fn run(listener: TcpListener, options: NodeOptions) -> std::io::Result<Exit> {
    let clock = Clock::start();
    let listener = Async::new(listener)?;
    let (deployment, config) = (options.deployment, options.core_config);
    let seed = deployment.seed ^ u64::from(deployment.node);
    let (mut node, queues) = Node::new(clock, options.name, config.incarnation.clone(), options.limits, seed);
    let pool_config = pool_config(&options.tls, &node.limits);
    let chat_tls = options.tls.chat.map(|server| Arc::new(Mutex::new(server)));
    let chat_tls = ChatTls { server: chat_tls, reload_s: options.tls.reload_s };
    let pool = node.start_pool(options.tls.engines, pool_config);
    let engines = node.engine_client(&pool, &options.zone);
    let (store_writer, records) = StoreWriter::open(options.store, clock);
    let policies = deployment.routes.iter().map(retry_policy).collect();
    let mut core = NodeCore::new(deployment, config);
    let fleet = node.start_gossip(options.gossip, &mut core);
    let deferred = options.deferred.map(|config| {
        let (gossip, all_zones_active) = (fleet.gossip.clone(), fleet.all_zones_active.clone());
        DeferredRequests::open(config, policies, clock, &options.admission, gossip, all_zones_active)
    });
    let retry_budget = RetryBudget::new(options.retry_budget, seed);
    let submitter = node.submitter(Rc::new(options.admission), retry_budget);
    let executor = node.executor.clone();
    let responses = ResponseSharing::new(
        options.idempotency,
        submitter.clone(),
        store_writer.clone(),
        executor.clone(),
        clock,
    );
    restore_records(records, &mut core, &responses, clock);
    let storage = Storage { store_writer, deferred, responses };
    let (on_serving, serving) = serving_gate(options.on_serving);
    let (poll_endpoints, poll_requests) = bounded(1);
    let lifecycle = ProcessLifecycle::new(options.shutdown);
    let mut discovery =
        DiscoveryState { lifecycle, on_serving: Some(on_serving), poll_endpoints, addresses: Vec::new() };
    let view = EndpointView::new(options.view_config);
    let directory = node.directory(view, &engines, options.endpoint_cache);
    node.restore_endpoints(&directory, &mut core, &mut discovery);
    let addresses = node.start_discovery(options.endpoint_source, directory, poll_requests, &mut core);
    discovery.addresses = addresses;
    let channels = queues.channels(discovery.poll_endpoints.clone(), fleet.engine_unreachable);
    let store_writers = storage.store_writers();
    let event_loop =
        node.event_loop(core, discovery, channels, engines, store_writers.clone(), options.latency);
    let server = node.chat_server(submitter, &storage, chat_tls.server.clone());
    node.start_storage(&storage, server.deferred.clone());
    let background = node.background(&storage, pool, chat_tls);
    let admin = node.admin(&background, storage, fleet.gossip);
    node.spawn(admin::run(options.admin, options.admin_address, admin, executor));
    node.spawn(background.run());
    node.forward_signals(options.signals);
    node.accept(listener, server, options.accept_when_ready.then_some(serving));
    Ok(node.run_event_loop(event_loop, store_writers).await)
}

/// Limits of the connection pool.
fn pool_config(tls: &TlsOptions, limits: &Limits) -> pool::Figures {
    let is_plain = tls.engines.is_none();
    pool::Figures {
        at_once: if is_plain { MAX_PLAIN_CONNECTS } else { tls.max_handshakes },
        at_once_engine: if is_plain { MAX_PLAIN_CONNECTS_PER_ENGINE } else { tls.max_handshakes_per_engine },
        most_idle: limits.max_idle_connections,
        idle_s: limits.idle_timeout_s,
        retire_gap_s: tls.retire_gap_s,
        ..pool::Figures::default()
    }
}

/// Restores what an earlier process has kept.
fn restore_records(
    records: Vec<RestoredRecord>,
    core: &mut NodeCore,
    responses: &ResponseSharing,
    clock: Clock,
) {
    for record in records {
        match record.kind {
            RecordKind::IdempotencyKey => {
                let completed_at = clock.now() - record.age_s.unwrap_or(0.0);
                responses.restore(completed_at, &record.key, &record.value)
            }
            RecordKind::LearnedState => {
                let confidence = retention::weight(record.age_s.unwrap_or(f64::INFINITY));
                let valid = core.restore_state(&record.value, confidence);
                tracing::info!(confidence, valid, "learned state restored");
            }
            RecordKind::EndpointList | RecordKind::DeferredRequest => {}
        }
    }
}

/// The callback for when the node can serve, and a receiver that is closed with it.
fn serving_gate(on_serving: Option<OnServing>) -> (OnServing, Receiver<()>) {
    let (gate, serving) = bounded::<()>(1);
    let callback: OnServing = Box::new(move || {
        gate.close();
        if let Some(on_serving) = on_serving {
            on_serving();
        }
    });
    (callback, serving)
}

impl Queues {
    fn channels(self, poll_endpoints: Sender<()>, engine_unreachable: Sender<()>) -> EventLoopChannels {
        EventLoopChannels {
            events: self.events,
            disconnects: self.disconnects,
            poll_endpoints,
            engine_unreachable,
        }
    }
}

impl Node {
    fn new(clock: Clock, name: String, incarnation: String, limits: Limits, seed: u64) -> (Node, Queues) {
        let (events, incoming_events) = bounded(EVENT_QUEUE);
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

    fn spawn(&mut self, future: impl Future<Output = ()> + 'static) {
        self.tasks.push(self.executor.spawn(future));
    }

    fn start_pool(&mut self, tls: Option<nickelgw_tls::Client>, config: pool::Figures) -> Rc<Pool> {
        let tls = tls.map(|client| Tls(Arc::new(Mutex::new(client))));
        let pool = Pool::new(self.executor.clone(), self.limits.connect_timeout_s, config, tls);
        self.spawn(pool.clone().run());
        pool
    }

    fn engine_client(&self, pool: &Rc<Pool>, zone: &str) -> Rc<EngineClient> {
        EngineClient::new(pool.clone(), &self.name, zone, self.limits.clone(), self.events.clone())
    }

    fn start_gossip(&mut self, options: Option<GossipOptions>, core: &mut NodeCore) -> FleetState {
        let all_zones_active = Rc::new(Cell::new(true));
        let (engine_unreachable, urgent) = bounded(1);
        let gossip = options.map(|options| {
            let GossipOptions { gossip, zones, sockets } = options;
            core.join_fleet(&gossip.own().name, zones, gossip.round_s(), self.seed);
            let gossip = Rc::new(RefCell::new(gossip));
            let task = GossipTask {
                gossip: gossip.clone(),
                events: self.events.clone(),
                clock: self.clock,
                stop: self.listener.stop_listening.subscribe(),
                urgent: (engine_unreachable.clone(), urgent),
                all_zones_active: all_zones_active.clone(),
            };
            self.spawn(task.run(sockets));
            gossip
        });
        FleetState { gossip, all_zones_active, engine_unreachable }
    }

    fn submitter(&self, admission: Rc<Admission>, retry_budget: RetryBudget) -> Rc<RequestSubmitter> {
        Rc::new(RequestSubmitter {
            admission,
            limits: self.limits.clone(),
            events: self.events.clone(),
            disconnects: self.disconnects.clone(),
            queued: self.queued.clone(),
            clock: self.clock,
            retry_budget: RefCell::new(retry_budget),
        })
    }

    fn directory(
        &self,
        view: EndpointView,
        engines: &Rc<EngineClient>,
        cache: Option<PathBuf>,
    ) -> Rc<EndpointDirectory> {
        let (events, executor) = (self.events.clone(), self.executor.clone());
        EndpointDirectory::new(view, engines.clone(), events, self.clock, cache, executor)
    }

    /// Serves from the cached endpoint list, if there is one, until the source responds.
    fn restore_endpoints(
        &self,
        directory: &EndpointDirectory,
        core: &mut NodeCore,
        discovery: &mut DiscoveryState,
    ) {
        let Some(list) = cache::load(directory.cache.as_deref()) else { return };
        let (engines, revision) = (list.engines.len(), list.revision);
        tracing::info!(engines, revision, "serving from cached endpoint list");
        core.restore_endpoints(self.clock.now(), &list);
        directory.restore(list.engines);
        discovery.lifecycle.endpoints_known();
        self.listener.healthy.set(true);
        if let Some(on_serving) = discovery.on_serving.take() {
            on_serving();
        }
    }

    /// Starts to follow the source; returns its addresses.
    fn start_discovery(
        &mut self,
        source: EndpointSource,
        directory: Rc<EndpointDirectory>,
        poll_requests: Receiver<()>,
        core: &mut NodeCore,
    ) -> Vec<String> {
        self.spawn(directory.clone().run());
        match source {
            EndpointSource::List(address) => {
                let node = self.name.clone();
                let watch = ListWatch { address: address.clone(), node, directory, wakeup: poll_requests };
                self.spawn(watch.run());
                vec![address]
            }
            EndpointSource::File(path) => {
                self.spawn(follow_file(directory, path));
                Vec::new()
            }
            EndpointSource::Registry(options) => {
                let addresses = options.endpoints.clone();
                if options.nodes.is_some() {
                    // Until it has a number it gets no share of what all nodes share.
                    core.set_fleet_position(self.clock.now(), None);
                }
                let client = RegistryClient::new(options, self.name.clone(), directory);
                self.spawn(client.clone().follow_engines(self.seed));
                self.spawn(client.hold_membership(self.seed));
                addresses
            }
        }
    }

    fn event_loop(
        &self,
        core: NodeCore,
        discovery: DiscoveryState,
        channels: EventLoopChannels,
        engines: Rc<EngineClient>,
        store_writers: Vec<Rc<StoreWriter>>,
        latency: Option<Arc<Mutex<LatencyMetrics>>>,
    ) -> EventLoop {
        EventLoop {
            core,
            lifecycle: discovery.lifecycle,
            channels,
            clock: self.clock,
            executor: self.executor.clone(),
            engines,
            limits: self.limits.clone(),
            listener: self.listener.clone(),
            store_writers,
            queued: self.queued.clone(),
            latency,
            incarnation: self.incarnation.clone(),
            discovery_addresses: discovery.addresses,
            on_serving: discovery.on_serving,
            clients: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    fn chat_server(
        &self,
        submitter: Rc<RequestSubmitter>,
        storage: &Storage,
        tls: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    ) -> Rc<ChatServer> {
        let deferred = storage.deferred.as_ref().map(|requests| {
            Rc::new(DeferredService {
                requests: requests.clone(),
                submitter: submitter.clone(),
                listener: self.listener.clone(),
                executor: self.executor.clone(),
                clock: self.clock,
            })
        });
        Rc::new(ChatServer {
            submitter,
            responses: storage.responses.clone(),
            deferred,
            listener: self.listener.clone(),
            tls,
            node: self.name.clone(),
            ids_made: Cell::new(0),
        })
    }

    fn start_storage(&mut self, storage: &Storage, deferred: Option<Rc<DeferredService>>) {
        for store_writer in storage.store_writers() {
            self.spawn(store_writer.run());
        }
        if let Some(deferred) = deferred {
            self.spawn(deferred.replay());
        }
    }

    fn background(&self, storage: &Storage, pool: Rc<Pool>, chat_tls: ChatTls) -> Rc<Background> {
        let background = Background::new(self.executor.clone(), self.clock, self.seed);
        let maintenance = Maintenance {
            responses: storage.responses.clone(),
            pool,
            chat_tls: chat_tls.server,
            reload_s: chat_tls.reload_s,
            events: self.events.clone(),
            store_writer: storage.store_writer.clone(),
        };
        maintenance.register(&background);
        background
    }

    fn admin(
        &self,
        background: &Rc<Background>,
        storage: Storage,
        gossip: Option<Rc<RefCell<Gossip>>>,
    ) -> Rc<Admin> {
        Rc::new(Admin {
            events: self.events.clone(),
            listener: self.listener.clone(),
            background: background.clone(),
            store_writer: storage.store_writer,
            gossip,
            deferred: storage.deferred,
            clock: self.clock,
        })
    }

    fn forward_signals(&mut self, signals: Receiver<ProcessSignal>) {
        let events = self.events.clone();
        self.spawn(async move {
            while let Ok(signal) = signals.recv().await {
                let _ = events.send(TimedEvent::new(Event::Signal(signal))).await;
            }
        });
    }

    /// Accepts client connections; `serving`: not before it is closed.
    fn accept(
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

    /// Runs until the process's lifecycle ends, then cancels all tasks and writes what is buffered.
    async fn run_event_loop(self, event_loop: EventLoop, store_writers: Vec<Rc<StoreWriter>>) -> Exit {
        let exit = self.executor.run(event_loop.run()).await;
        drop(self.tasks);
        for store_writer in store_writers {
            self.executor.run(store_writer.flush()).await;
        }
        exit
    }
}
