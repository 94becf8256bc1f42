//! What a node is started with.

use crate::deferred::DeferredQueueConfig;
use crate::discovery::RegistryOptions;
use crate::events::ProcessSignal;
use crate::gossip::GossipOptions;
use crate::latency_metrics::LatencyMetrics;
use crate::limits::Limits;
use async_channel::Receiver;
use nickelgw::interface::Deployment;
use nickelgw_chat::core::idempotency::IdempotencyConfig;
use nickelgw_chat::core::retry_budget;
use nickelgw_node_core::shutdown::ShutdownConfig;
use nickelgw_node_core::{Admission, CoreConfig};
use nickelgw_registry::core::endpoint_view;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// All that a node is started with.
pub struct NodeOptions {
    /// The node's name.
    pub name: String,
    /// The node's zone.
    pub zone: String,
    /// What the decision module is told of the deployment.
    pub deployment: Deployment,
    /// Settings of the core.
    pub core_config: CoreConfig,
    /// Models and tenants.
    pub admission: Admission,
    /// Limits of the sockets.
    pub limits: Limits,
    /// Where the endpoint list comes from.
    pub endpoint_source: EndpointSource,
    /// File that keeps the endpoint list, to serve from until the source responds.
    pub endpoint_cache: Option<PathBuf>,
    /// File that keeps what the next process needs to know.
    pub store: Option<PathBuf>,
    /// The admin port's listener.
    pub admin: Option<TcpListener>,
    /// Or its address, which is bound once the process before has released it.
    pub admin_address: Option<String>,
    /// Where the node records its own latencies.
    pub latency: Option<Arc<Mutex<LatencyMetrics>>>,
    /// TLS on both sides.
    pub tls: TlsOptions,
    /// Limits of the idempotency table.
    pub idempotency: IdempotencyConfig,
    /// Limits of clients' retries.
    pub retry_budget: retry_budget::RetryBudgetConfig,
    /// Timing of the shutdown's stages.
    pub shutdown: ShutdownConfig,
    /// Control signals to the process while it serves.
    pub signals: Receiver<ProcessSignal>,
    /// When reports of the endpoint source are suspect.
    pub view_config: endpoint_view::EndpointViewConfig,
    /// Called once, when the node can serve.
    pub on_serving: Option<Box<dyn FnOnce() + Send>>,
    /// The queue of deferred requests; `None`: they are rejected.
    pub deferred: Option<DeferredQueueConfig>,
    /// Gossip between nodes; `None`: the node acts on its own observations alone.
    pub gossip: Option<GossipOptions>,
    /// Accepts no connection before it can serve: another process listens on the same socket meanwhile.
    pub accept_when_ready: bool,
}

/// Where the endpoint list comes from.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// host:port of the endpoint list service.
    List(String),
    /// A file of the same form, watched.
    File(PathBuf),
    /// An etcd v3 registry.
    Registry(RegistryOptions),
}

/// TLS on both sides. Files were checked by the caller: a node does not start with invalid ones.
#[derive(Default)]
pub struct TlsOptions {
    /// Towards engines; `None`: plain connections.
    pub engines: Option<nickelgw_tls::Client>,
    /// On the chat port; `None`: plain connections.
    pub chat: Option<nickelgw_tls::Server>,
    /// How often the files are read.
    pub reload_s: f64,
    /// Handshakes in progress at once, of the node.
    pub max_handshakes: usize,
    /// Handshakes in progress at once, towards one engine.
    pub max_handshakes_per_engine: usize,
    /// After a rotation, the gap between closing one older connection and the next.
    pub retire_gap_s: f64,
}
