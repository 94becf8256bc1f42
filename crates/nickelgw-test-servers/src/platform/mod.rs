//! Engines on the operators' platform protocol, behind fault proxies, with a table that judges from what arrived.
//!
//! The engines share one [`Table`]: it knows every reservation, every attempt that has arrived and every client, and
//! keeps the violations of the platform's rules. Nothing here reads the node's log.

mod client;
mod engine;
mod http;
mod proxy;
mod table;

pub use client::{request, Asked, Outcome};
pub use engine::{Behaviour, Engine, Role};
pub use proxy::Proxy;
pub use table::{Rules, Table, Violation};
