//! Whom a call goes to.

use std::cell::Cell;

/// Whom to call, and by which name its certificate is verified.
#[derive(Clone, Copy)]
pub struct Peer<'a> {
    /// host:port.
    pub address: &'a str,
    /// The name in its certificate; `None`: a plain connection.
    pub tls_name: Option<&'a str>,
    /// Set once a byte of the call may have been sent: until then it is known not to have run.
    pub sent: Option<&'a Cell<bool>>,
}

impl<'a> Peer<'a> {
    /// A peer without TLS.
    pub fn plain(address: &'a str) -> Self {
        Peer { address, tls_name: None, sent: None }
    }

    /// The pool's key: connections verified by another name are not shared.
    pub(super) fn pool_key(&self) -> String {
        match self.tls_name {
            None => self.address.to_string(),
            Some(name) => format!("{} {name}", self.address),
        }
    }
}

/// The address in a pool key.
pub(super) fn address_of(pool_key: &str) -> &str {
    pool_key.split(' ').next().unwrap_or(pool_key)
}
