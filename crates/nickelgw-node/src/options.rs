//! Options that a node is started with.

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

/// Options that a node is started with.
pub struct NodeOptions {
    /// The node's name.
    pub name: String,
    /// The node's zone.
    pub zone: String,
    /// Description of the deployment for the decision module.
    pub deployment: Deployment,
    /// Configuration of the core.
    pub core_config: CoreConfig,
    /// Admission of requests: known models and tenants.
    pub admission: Admission,
    /// Limits of the node's sockets.
    pub limits: Limits,
    /// Source of the endpoint list.
    pub endpoint_source: EndpointSource,
    /// File that caches the endpoint list, from which the node serves until the source responds; `None` if
    /// the list is not cached.
    pub endpoint_cache: Option<PathBuf>,
    /// Store file that keeps what the next process needs to know; `None` if nothing is persisted.
    pub store: Option<PathBuf>,
    /// Listener of the admin port; `None` if it is not bound yet or there is no admin port.
    pub admin: Option<TcpListener>,
    /// Address of the admin port, bound once the previous process has released it; `None` if there is none to
    /// bind.
    pub admin_address: Option<String>,
    /// Where the node records its own latencies; `None` if they are not recorded.
    pub latency: Option<Arc<Mutex<LatencyMetrics>>>,
    /// TLS of the chat port and of the connections to engines.
    pub tls: TlsOptions,
    /// Limits of the idempotency table.
    pub idempotency: IdempotencyConfig,
    /// Budget of clients' retries.
    pub retry_budget: retry_budget::RetryBudgetConfig,
    /// Timing of the shutdown's stages.
    pub shutdown: ShutdownConfig,
    /// Receives control signals to the process.
    pub signals: Receiver<ProcessSignal>,
    /// Decides when a report of the endpoint source is suspect.
    pub view_config: endpoint_view::EndpointViewConfig,
    /// Called once when the node can serve.
    pub on_serving: Option<Box<dyn FnOnce() + Send>>,
    /// Configuration of the queue of deferred requests; `None` if they are rejected.
    pub deferred: Option<DeferredQueueConfig>,
    /// Gossip between nodes; `None` if the node acts on its own observations alone.
    pub gossip: Option<GossipOptions>,
    /// Whether the node accepts no connection before it can serve, because another process listens on the
    /// same socket until then.
    pub accept_when_ready: bool,
}

/// Source of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// Address (host:port) of the endpoint list service.
    List(String),
    /// File in the format of the endpoint list service, polled for changes.
    File(PathBuf),
    /// An etcd v3 registry.
    Registry(RegistryOptions),
}

/// TLS of the chat port and of the connections to engines. The caller has checked the files: a node does not
/// start with invalid ones.
#[derive(Default)]
pub struct TlsOptions {
    /// TLS of the connections to engines; `None` if they are plain.
    pub engines: Option<nickelgw_tls::Client>,
    /// TLS of the chat port; `None` if its connections are plain.
    pub chat: Option<nickelgw_tls::Server>,
    /// Interval in seconds at which the files are read.
    pub reload_s: f64,
    /// Largest number of handshakes of the node in progress at the same time.
    pub max_handshakes: usize,
    /// Largest number of handshakes with one engine in progress at the same time.
    pub max_handshakes_per_engine: usize,
    /// Time in seconds between closing one older connection and the next after a certificate rotation.
    pub retire_gap_s: f64,
}
