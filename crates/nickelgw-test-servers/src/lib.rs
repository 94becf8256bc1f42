//! Test servers and clients on loopback for everything that a node talks to: engines, the endpoint list, an
//! etcd registry, clients, a relay with network faults, and a certificate authority. They model what matters
//! to a node: work takes time and memory, KV states are bytes that move between sockets, and an engine in
//! slow start can be overloaded.

pub mod authority;
pub mod client;
pub mod engine;
pub mod engine_config;
mod http;
pub mod list;
pub mod platform;
pub mod recorder;
pub mod registry;
pub mod relay;
mod timing;
mod tls;

pub use recorder::Recorder;
