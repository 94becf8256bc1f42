//! Engines on the operators' platform protocol behind proxies that cause network faults, and clients.
//!
//! They share one [`RequestTable`]: it follows every reservation, every attempt that has arrived and every client, and
//! collects violations of the platform's rules. No node's log is read.

mod client;
mod discovery;
mod engine;
mod http;
mod proxy;
mod request_table;
mod violation;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use crate::engine_config::Role;
pub use client::{send_on, send_request, ClientRequest, Exchange, Outcome};
pub use discovery::Discovery;
pub use engine::{Behaviour, Engine};
pub use proxy::Proxy;
pub use request_table::RequestTable;
pub use violation::{ObservedViolation, RuleLimits, Violation};

/// Locks a mutex, also one whose holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
