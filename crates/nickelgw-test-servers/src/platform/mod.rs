//! Test engines, discovery service and clients that speak the protocol of the operators' platform, and
//! proxies that cause network faults in front of the engines.
//!
//! All of them share one [`RequestTable`], which tracks every reservation, every attempt that has arrived and
//! every client, and collects violations of the platform's rules. Logs of nodes are not read.

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

/// Locks a mutex, even if a thread has panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
