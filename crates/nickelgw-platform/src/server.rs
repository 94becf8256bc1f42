//! The node as a whole: its limits, its background tasks, and its run from start to exit.

use crate::clients::{ClientServer, MemoryBudget};
use crate::config::NodeConfig;
use crate::core::client_memory::GUARANTEED_BYTES;
use crate::core::discovery_calls::{AcceptedUpdate, DiscoveryCalls};
use crate::core::discovery_timing::DiscoveryTimeouts;
use crate::core::endpoint_list::DiscoveredEndpoints;
use crate::core::request::KnownNames;
use crate::discovery::DiscoveryClient;
use crate::node::{Node, NodeParts, StreamMemory};
use crate::pool::{ConnectionPool, PoolLimits};
use crate::reload::ConfigReloader;
use crate::shutdown::{Shutdown, ShutdownTimes};
use crate::{counters, discovery, SignalReceiver};
use nickelgw_node::Clock;
use nickelgw_node_core::{CoreConfig, NodeCore};
use smol::{Async, LocalExecutor};
use std::cell::RefCell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time without a byte of an event after which a stream counts as lost. A client may not wait longer than 5 s after an
/// engine's last event, and a stream may not be cut off while events still come; the rest is for delays of the process.
const STREAM_IDLE_TIMEOUT_S: f64 = 4.6;
/// Time after which a request that is refused during a shutdown may be retried, if the settings allow that:
/// another node serves it.
const SHUTDOWN_RETRY_AFTER_S: f64 = 1.0;
/// Time for which a release is repeated: engines may be unreachable for many seconds, and nothing else frees
/// the reservation.
const RELEASE_TIMEOUT_S: f64 = 30.0;
/// Descriptors that the process itself needs: standard streams, the poller and its wakers, signals, the
/// listener, a configuration file that is reloaded, and one more connection that is accepted before it is
/// counted.
const PROCESS_DESCRIPTORS: usize = 14;
/// Share of the other descriptors that is for clients' connections. Clients may leave all of theirs idle, so
/// none of the rest is used for them.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.57;
/// Share of the engines' descriptors that is reserved for releases and probes.
const CONTROL_DESCRIPTOR_SHARE: f64 = 0.1;
/// Share of the process's memory that is for clients' connections and their requests. The rest is for the program
/// itself, the endpoint list, what engines respond, and what the allocator cannot use.
const CLIENT_MEMORY_SHARE: f64 = 0.5;
/// Share of the process's memory that streams may use together beyond what each of them may use in any case.
const STREAM_POOL_SHARE: f64 = 0.1;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Memory that each client's connection uses besides requests: its task, its socket, its place in the table.
const CONNECTION_BYTES: usize = 8 * 1024;
/// Share of the clients' memory that all of their connections may use besides requests.
const MAX_CONNECTIONS_SHARE: f64 = 0.5;
/// Share of the engines' idle timeout for which connections to them are kept idle: a request that is sent on
/// a connection which the engine is about to close would fail.
const IDLE_SHARE: f64 = 0.6;

/// Division of the process's descriptors.
struct DescriptorLimits {
    clients: usize,
    engines: usize,
    reserved_for_control: usize,
}

impl DescriptorLimits {
    fn new(max_descriptors: usize) -> DescriptorLimits {
        let shared = max_descriptors.saturating_sub(PROCESS_DESCRIPTORS + discovery::MAX_CONNECTIONS);
        let clients = (CLIENT_DESCRIPTOR_SHARE * shared as f64) as usize;
        let engines = shared - clients;
        let reserved_for_control = (CONTROL_DESCRIPTOR_SHARE * engines as f64).ceil() as usize;
        DescriptorLimits { clients, engines, reserved_for_control }
    }
}

/// Limits of the clients' connections and of the memory that they use.
struct ClientLimits {
    max_connections: usize,
    /// Memory that requests share, beyond what each connection is guaranteed.
    pool_bytes: usize,
}

impl ClientLimits {
    fn new(max_connections: usize, memory_mb: f64) -> ClientLimits {
        let bytes = (CLIENT_MEMORY_SHARE * memory_mb * BYTES_PER_MB) as usize;
        let connection_bytes = CONNECTION_BYTES + GUARANTEED_BYTES;
        let max_by_memory = (MAX_CONNECTIONS_SHARE * bytes as f64) as usize / connection_bytes;
        let max_connections = max_connections.min(max_by_memory);
        ClientLimits { max_connections, pool_bytes: bytes - max_connections * connection_bytes }
    }
}

/// Runs a node until a requested shutdown has ended, or until the future is dropped.
pub async fn run(
    listener: TcpListener,
    config: NodeConfig,
    config_path: Option<PathBuf>,
    signals: SignalReceiver,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let started_at_unix_s =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
    let listener = Async::new(listener)?;
    let executor = Rc::new(LocalExecutor::new());
    let descriptors = DescriptorLimits::new(config.max_descriptors);
    let shutdown_times = ShutdownTimes { kill_after_s: config.kill_after_s };
    let client_limits = ClientLimits::new(descriptors.clients, config.memory_mb);
    let memory = MemoryBudget::new(client_limits.pool_bytes, clock);
    let known_names = known_names(&config);
    let pools = Pools::new(&config, &descriptors);
    let known_generation = config.known_endpoints.as_ref().map(|known| known.generation);
    let discovery_calls = DiscoveryCalls::new(DiscoveryTimeouts::new(config.stop_dispatch_within_s))
        .with_known_generation(known_generation);
    let discovery_address = Rc::new(RefCell::new(config.discovery.clone()));
    let parts = node_parts(&config, &executor, &pools, clock);
    let node = new_node(config, parts, started_at_unix_s);
    let (address_changed, address_changes) = async_channel::bounded(1);
    let clients = ClientServer::new(node.clone(), known_names, client_limits.max_connections, memory);
    let discovery_client = DiscoveryClient {
        node: node.clone(),
        pool: pools.discovery.clone(),
        address: discovery_address.clone(),
        address_changes,
    };
    // Reloads until the process exits: what discovery announces during a shutdown applies to attempts that
    // still start.
    let reloader = ConfigReloader {
        node: node.clone(),
        config_path,
        requests: signals.reload,
        discovery_address,
        address_changed,
    };
    let background_tasks = [
        executor.spawn(discovery_client.follow(discovery_calls)),
        executor.spawn(pools.engines.close_expired()),
        executor.spawn(pools.discovery.close_expired()),
        executor.spawn(node.clone().run_event_loop()),
        executor.spawn(counters::log_regularly(node.clone())),
        executor.spawn(reloader.run()),
    ];
    let (stop_accepting, stop) = async_channel::bounded(1);
    let accepting = executor.spawn(clients.clone().accept(listener, stop));
    let shutdown = Shutdown { node: node.clone(), clients, accepting, stop_accepting, times: shutdown_times };
    executor.run(shutdown.serve_until_ended(signals.shutdown)).await;
    node.process_exiting();
    counters::log(&node);
    drop(background_tasks);
    Ok(())
}

/// Connection pools for engines and for discovery.
struct Pools {
    engines: Rc<ConnectionPool>,
    discovery: Rc<ConnectionPool>,
}

impl Pools {
    fn new(config: &NodeConfig, descriptors: &DescriptorLimits) -> Pools {
        let engines = PoolLimits {
            connect_timeout_s: config.connect_timeout_s,
            max_idle_s: IDLE_SHARE * config.engine_idle_timeout_s,
            max_connections: descriptors.engines,
            reserved_for_control: descriptors.reserved_for_control,
        };
        let discovery = PoolLimits {
            connect_timeout_s: discovery::CONNECT_TIMEOUT_S,
            max_connections: discovery::MAX_CONNECTIONS,
            reserved_for_control: 0,
            ..engines
        };
        Pools { engines: ConnectionPool::new(engines), discovery: ConnectionPool::new(discovery) }
    }
}

fn known_names(config: &NodeConfig) -> KnownNames {
    KnownNames { routes: config.platform.routes.clone(), tenants: config.platform.tenants.clone() }
}

fn node_parts(
    config: &NodeConfig,
    executor: &Rc<LocalExecutor<'static>>,
    pools: &Pools,
    clock: Clock,
) -> NodeParts {
    NodeParts {
        executor: executor.clone(),
        pool: pools.engines.clone(),
        stream_memory: StreamMemory::new((STREAM_POOL_SHARE * config.memory_mb * BYTES_PER_MB) as usize),
        clock,
        control_timeout_s: config.connect_timeout_s,
        probe_path: if config.reports_load { "/load" } else { "/healthz" },
    }
}

fn new_node(config: NodeConfig, parts: NodeParts, started_at_unix_s: f64) -> Rc<Node> {
    let core_config = CoreConfig {
        incarnation: String::new(),
        started_at_unix_s,
        zones: config.platform.zones,
        max_open_requests: config.max_open_requests,
        stream_idle_timeout_s: STREAM_IDLE_TIMEOUT_S,
        release_timeout_s: RELEASE_TIMEOUT_S,
        // Reservations of an earlier process are released by the platform.
        orphan_cleanup_window_s: (-1.0, -1.0),
        retry_after_s: SHUTDOWN_RETRY_AFTER_S,
        grants: None,
        fair_share: None,
        tenant_max_open: Vec::new(),
    };
    tracing::debug!(deployment = ?config.platform.deployment, "node started");
    let core = NodeCore::new(config.platform.deployment, core_config);
    let endpoints = DiscoveredEndpoints::new(config.platform.machine_kinds);
    let node = Node::new(core, endpoints, parts);
    if let Some(known_endpoints) = config.known_endpoints {
        node.apply_update(AcceptedUpdate::Current(known_endpoints));
    }
    node
}
