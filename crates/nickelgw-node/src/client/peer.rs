//! The peer that a call goes to.

use std::cell::Cell;

/// Address of a call, and the name by which the peer's certificate is verified.
#[derive(Clone, Copy)]
pub struct Peer<'a> {
    /// Address of the peer as host:port.
    pub address: &'a str,
    /// Name expected in the peer's certificate; `None` for a plain connection.
    pub tls_name: Option<&'a str>,
    /// Set once a byte of the call may have been sent; until then the call is known not to have run.
    pub sent: Option<&'a Cell<bool>>,
}

impl<'a> Peer<'a> {
    /// Creates a peer without TLS.
    pub fn plain(address: &'a str) -> Self {
        Peer { address, tls_name: None, sent: None }
    }

    /// Returns the key of the peer's connections in the pool. Connections verified by different names are not
    /// shared.
    pub(super) fn pool_key(&self) -> String {
        match self.tls_name {
            None => self.address.to_string(),
            Some(name) => format!("{} {name}", self.address),
        }
    }
}

/// Returns the address in a pool key.
pub(super) fn address_of(pool_key: &str) -> &str {
    pool_key.split(' ').next().unwrap_or(pool_key)
}
