//! Stand-ins of the outside world on loopback: readers, writers and the engine list. Small, but honest: work
//! takes time and room, a state is bytes that move between sockets, and a cold engine can be pushed over.

pub mod authority;
pub mod client;
pub mod engine;
pub mod list;
pub mod model;
pub mod platform;
pub mod record;
pub mod registry;
pub mod relay;
mod serve;
mod tls;

pub use record::Record;
