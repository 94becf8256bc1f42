//! Calls that wait for a connection to be returned to the pool while a new one is being opened for them.

use crate::connection::Connection;
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Waiting calls by address, the one that has waited for longest first.
#[derive(Default)]
pub(crate) struct ReturnWaiters {
    by_address: RefCell<BTreeMap<String, VecDeque<Sender<Connection>>>>,
}

/// A waiting call. Dropping it ends the wait.
pub(crate) struct ReturnWaiter<'a> {
    waiters: &'a ReturnWaiters,
    address: &'a str,
    returned: Receiver<Connection>,
}

impl ReturnWaiters {
    /// Returns whether no call waits.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.by_address.borrow().is_empty()
    }

    /// Adds a call that waits for a connection to this address.
    pub(crate) fn wait<'a>(&'a self, address: &'a str) -> ReturnWaiter<'a> {
        let (sender, returned) = async_channel::bounded(1);
        self.by_address.borrow_mut().entry(address.to_string()).or_default().push_back(sender);
        ReturnWaiter { waiters: self, address, returned }
    }

    /// Gives the connection to the call that has waited for longest; returns it if no call waits, or if it
    /// has ended.
    pub(crate) fn offer(&self, mut connection: Connection) -> Option<Connection> {
        if !self.by_address.borrow().contains_key(&connection.address) || !connection.is_reusable() {
            return Some(connection);
        }
        loop {
            let waiter =
                self.by_address.borrow_mut().get_mut(&connection.address).and_then(VecDeque::pop_front);
            let Some(waiter) = waiter else { return Some(connection) };
            match waiter.try_send(connection) {
                Ok(()) => return None,
                Err(refused) => connection = refused.into_inner(),
            }
        }
    }
}

impl ReturnWaiter<'_> {
    /// Waits for a connection.
    pub(crate) async fn connection(&self) -> Connection {
        match self.returned.recv().await {
            Ok(connection) => connection,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for ReturnWaiter<'_> {
    fn drop(&mut self) {
        self.returned.close();
        let mut by_address = self.waiters.by_address.borrow_mut();
        let Some(waiting) = by_address.get_mut(self.address) else { return };
        waiting.retain(|sender| !sender.is_closed());
        if waiting.is_empty() {
            by_address.remove(self.address);
        }
    }
}
