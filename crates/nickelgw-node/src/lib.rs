//! A node: the shell of sockets, timers and files around the I/O-free core ([`nickelgw_node_core`]).
//! A node runs on a single thread; `docs/design-node.md` explains why.

mod admin;
mod arrival;
mod background;
pub mod client;
mod clock;
mod deferred;
pub mod discovery;
mod engines;
mod event_loop;
mod events;
mod gossip;
mod http_response;
mod idempotency;
mod latency_metrics;
mod limits;
mod lingering_close;
mod listener_close;
mod listener_state;
mod maintenance;
mod metrics_snapshot;
mod node;
mod options;
mod persistence;
mod replies;
mod server;
mod submission;
mod tls_reload;
mod unsent_bytes;

pub use arrival::ArrivalTimes;
pub use clock::{seconds, within, Clock};
pub use deferred::{DeferredQueueConfig, MAX_ATTEMPTS};
pub use events::ProcessSignal;
pub use gossip::{GossipOptions, GossipSocket};
pub use latency_metrics::LatencyMetrics;
pub use limits::Limits;
pub use lingering_close::close_lingering;
pub use listener_close::close_listener;
pub use nickelgw_node_core::shutdown::Exit;
pub use node::run;
pub use options::{EndpointSource, NodeOptions, TlsOptions};
pub use unsent_bytes::discard_unsent_on_close;
