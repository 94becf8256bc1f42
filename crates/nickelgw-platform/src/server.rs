//! The node as a whole: its limits, its background tasks, and its run from the start to the exit.

use crate::clients::{ClientServer, MemoryBudget};
use crate::config::NodeConfig;
use crate::core::discovery_timing::DiscoveryTimeouts;
use crate::core::endpoint_list::DiscoveredEndpoints;
use crate::core::request::KnownNames;
use crate::discovery::DiscoveryClient;
use crate::node::{Node, NodeParts};
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

/// A stream silent for so long is lost: a client may not wait longer than 5 s after an engine's last event.
const STREAM_IDLE_TIMEOUT_S: f64 = 4.0;
/// What is refused during a shutdown may be retried after so long, where the settings allow it: another node serves it.
const SHUTDOWN_RETRY_AFTER_S: f64 = 1.0;
/// A release is repeated for so long: engines may be away for many seconds, and nobody else frees what stands there.
const RELEASE_TIMEOUT_S: f64 = 30.0;
/// Descriptors that the process itself needs: standard streams, poller and its wakers, signals, the listener, a
/// configuration that is read anew; and one more that is accepted before it is counted.
const PROCESS_DESCRIPTORS: usize = 14;
/// Part of the other descriptors for clients' connections. Clients may leave all of theirs idle: none of the rest is used
/// for them.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.57;
/// Part of engines' descriptors that is reserved for releases and probes.
const CONTROL_DESCRIPTOR_SHARE: f64 = 0.1;
/// Part of the memory that requests may use.
const REQUEST_MEMORY_SHARE: f64 = 0.25;
/// Connections are kept idle for this part of the engines' timeout: one that is about to be closed at the far side would
/// break what is sent on it.
const IDLE_SHARE: f64 = 0.6;

/// How the process's descriptors are divided.
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

/// Serves until a shutdown is requested and has ended, or the future is dropped.
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
    let memory = MemoryBudget::new((REQUEST_MEMORY_SHARE * config.memory_mb * 1024.0 * 1024.0) as usize);
    let known_names = known_names(&config);
    let pools = Pools::new(&config, &descriptors);
    let timeouts = DiscoveryTimeouts::new(config.stop_dispatch_within_s);
    let discovery_address = Rc::new(RefCell::new(config.discovery.clone()));
    let parts = node_parts(&config, &executor, &pools, clock);
    let node = new_node(config, parts, started_at_unix_s);
    let (address_changed, address_changes) = async_channel::bounded(1);
    let clients = ClientServer::new(node.clone(), known_names, descriptors.clients, memory);
    let discovery_client = DiscoveryClient {
        node: node.clone(),
        pool: pools.discovery,
        timeouts,
        address: discovery_address.clone(),
        address_changes,
    };
    // Until the process exits: what is announced during a shutdown counts for attempts that still go out.
    let reloader = ConfigReloader {
        node: node.clone(),
        config_path,
        requests: signals.reload,
        discovery_address,
        address_changed,
    };
    let background_tasks = [
        executor.spawn(discovery_client.follow()),
        executor.spawn(pools.engines.close_expired()),
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

/// The pools of engines and of discovery.
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
        let discovery =
            PoolLimits { max_connections: discovery::MAX_CONNECTIONS, reserved_for_control: 0, ..engines };
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
        node.apply_update(known_endpoints);
    }
    node
}
