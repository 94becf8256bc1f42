//! Store of this node's session tickets for engines, as an implementation of the rustls trait.

use crate::core::tickets::Tickets;
use rustls::client::{ClientSessionStore, Tls12ClientSessionValue, Tls13ClientSessionValue};
use rustls::pki_types::ServerName;
use rustls::NamedGroup;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Tickets shared by the configurations of all generations.
pub(crate) type SharedTickets = Arc<Mutex<Tickets<Tls13ClientSessionValue>>>;

pub(crate) fn lock(tickets: &SharedTickets) -> MutexGuard<'_, Tickets<Tls13ClientSessionValue>> {
    tickets.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Session store of one generation, on the shared tickets.
pub(crate) struct SessionStore {
    pub(crate) generation: u64,
    pub(crate) started_at: Instant,
    pub(crate) tickets: SharedTickets,
}

impl SessionStore {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

impl fmt::Debug for SessionStore {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("SessionStore")
    }
}

fn name(server: &ServerName) -> String {
    server.to_str().into_owned()
}

impl ClientSessionStore for SessionStore {
    fn set_kx_hint(&self, _: ServerName<'static>, _: NamedGroup) {}
    fn kx_hint(&self, _: &ServerName<'_>) -> Option<NamedGroup> {
        None
    }
    // TLS 1.2 sessions are not resumed, as their tickets may be used twice.
    fn set_tls12_session(&self, _: ServerName<'static>, _: Tls12ClientSessionValue) {}
    fn tls12_session(&self, _: &ServerName<'_>) -> Option<Tls12ClientSessionValue> {
        None
    }
    fn remove_tls12_session(&self, _: &ServerName<'static>) {}

    fn insert_tls13_ticket(&self, server: ServerName<'static>, value: Tls13ClientSessionValue) {
        lock(&self.tickets).insert(self.now(), self.generation, &name(&server), value);
    }

    fn take_tls13_ticket(&self, server: &ServerName<'static>) -> Option<Tls13ClientSessionValue> {
        lock(&self.tickets).take(self.now(), self.generation, &name(server))
    }
}
