//! Builds the parts of a node and starts their tasks.

use super::state::{ChatTls, DiscoveryState, FleetState, Node, Storage};
use crate::admin::Admin;
use crate::background::Background;
use crate::client::{Pool, Tls};
use crate::deferred::DeferredService;
use crate::discovery::directory::EndpointDirectory;
use crate::discovery::file_watch::follow_file;
use crate::discovery::list_watch::ListWatch;
use crate::discovery::registry_client::RegistryClient;
use crate::engines::EngineClient;
use crate::event_loop::{EventLoop, EventLoopChannels};
use crate::gossip::{GossipOptions, GossipTask};
use crate::idempotency::ResponseSharing;
use crate::latency_metrics::LatencyMetrics;
use crate::limits::Limits;
use crate::maintenance::Maintenance;
use crate::options::{EndpointSource, TlsOptions};
use crate::persistence::StoreWriter;
use crate::server::ChatServer;
use crate::submission::RequestSubmitter;
use async_channel::{bounded, Receiver};
use nickelgw_chat::core::idempotency::IdempotencyConfig;
use nickelgw_chat::core::retry_budget::RetryBudget;
use nickelgw_gossip::core::Gossip;
use nickelgw_node_core::{Admission, NodeCore};
use nickelgw_registry::core::endpoint_view::EndpointView;
use nickelgw_tls::core::pool;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// Largest number of plain connections that are being opened at the same time, by the node and to one engine.
/// Without a TLS handshake they cost little; the engines' own limits bound them.
const MAX_PLAIN_CONNECTS: usize = 1024;
const MAX_PLAIN_CONNECTS_PER_ENGINE: usize = 256;

/// Returns the limits of the connection pool.
pub(super) fn pool_config(tls: &TlsOptions, limits: &Limits) -> pool::PoolConfig {
    let is_plain = tls.engines.is_none();
    pool::PoolConfig {
        max_handshakes: if is_plain { MAX_PLAIN_CONNECTS } else { tls.max_handshakes },
        max_handshakes_per_engine: if is_plain {
            MAX_PLAIN_CONNECTS_PER_ENGINE
        } else {
            tls.max_handshakes_per_engine
        },
        max_idle: limits.max_idle_connections,
        idle_timeout_s: limits.idle_timeout_s,
        retire_interval_s: tls.retire_gap_s,
        ..pool::PoolConfig::default()
    }
}

impl Node {
    pub fn start_pool(&mut self, tls: Option<nickelgw_tls::Client>, config: pool::PoolConfig) -> Rc<Pool> {
        let tls = tls.map(|client| Tls(Arc::new(Mutex::new(client))));
        let pool = Pool::new(self.executor.clone(), self.limits.connect_timeout_s, config, tls);
        self.spawn(pool.clone().run());
        pool
    }

    pub fn engine_client(&self, pool: &Rc<Pool>, zone: &str) -> Rc<EngineClient> {
        EngineClient::new(pool.clone(), &self.name, zone, self.limits.clone(), self.events.clone())
    }

    pub fn start_gossip(&mut self, options: Option<GossipOptions>, core: &mut NodeCore) -> FleetState {
        let all_zones_active = Rc::new(Cell::new(true));
        let (engine_unreachable, urgent) = bounded(1);
        let gossip = options.map(|options| {
            let GossipOptions { gossip, zones, socket } = options;
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
            self.spawn(task.run(socket));
            gossip
        });
        FleetState { gossip, all_zones_active, engine_unreachable }
    }

    pub fn submitter(&self, admission: Rc<Admission>, retry_budget: RetryBudget) -> Rc<RequestSubmitter> {
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

    pub fn responses(
        &self,
        config: IdempotencyConfig,
        submitter: &Rc<RequestSubmitter>,
        store_writer: &Rc<StoreWriter>,
    ) -> Rc<ResponseSharing> {
        let executor = self.executor.clone();
        ResponseSharing::new(config, submitter.clone(), store_writer.clone(), executor, self.clock)
    }

    pub fn directory(
        &self,
        view: EndpointView,
        engines: &Rc<EngineClient>,
        cache: Option<PathBuf>,
    ) -> Rc<EndpointDirectory> {
        let (events, executor) = (self.events.clone(), self.executor.clone());
        EndpointDirectory::new(view, engines.clone(), events, self.clock, cache, executor)
    }

    /// Starts to follow the source of the endpoint list. Returns the source's network addresses.
    pub fn start_discovery(
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
                    // Until the node has a number in the fleet, it gets no share of what all nodes share.
                    core.set_fleet_position(self.clock.now(), None);
                }
                let client = RegistryClient::new(options, self.name.clone(), directory);
                self.spawn(client.clone().follow_engines(self.seed));
                self.spawn(client.hold_membership(self.seed));
                addresses
            }
        }
    }

    pub fn event_loop(
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

    pub fn chat_server(
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
            generated_ids: Cell::new(0),
        })
    }

    pub fn start_storage(&mut self, storage: &Storage, deferred: Option<Rc<DeferredService>>) {
        for store_writer in storage.store_writers() {
            self.spawn(store_writer.run());
        }
        if let Some(deferred) = deferred {
            self.spawn(deferred.replay());
        }
    }

    pub fn background(&self, storage: &Storage, pool: Rc<Pool>, chat_tls: ChatTls) -> Rc<Background> {
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

    pub fn admin(
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
}
