//! State that the event loop and the client connections share.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// A signal without a value: raised by closing the channel.
pub struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl CloseSignal {
    fn new() -> CloseSignal {
        let (sender, receiver) = async_channel::bounded(1);
        CloseSignal { sender, receiver }
    }

    /// Raises the signal for good.
    pub fn raise(&self) {
        self.sender.close();
    }

    /// A handle whose `recv` ends once the signal is raised.
    pub fn subscribe(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}

/// What the listener and its connections need to know of the process's lifecycle.
pub struct ListenerState {
    /// Whether `/healthz` answers 200.
    pub healthy: Cell<bool>,
    /// Each response closes its connection.
    pub closing_connections: Cell<bool>,
    /// Client connections open now.
    pub connections: Cell<usize>,
    /// Connections over the limit that are being answered and closed.
    pub rejecting: Cell<usize>,
    /// Another process listens on the same socket and goes on accepting.
    pub handed_over: Cell<bool>,
    /// Raised when no more connections are accepted.
    pub stop_listening: CloseSignal,
    /// Raised when idle connections are closed.
    pub close_idle: CloseSignal,
}

impl ListenerState {
    /// Not healthy, and accepting.
    pub fn new() -> Rc<ListenerState> {
        Rc::new(ListenerState {
            healthy: Cell::new(false),
            closing_connections: Cell::new(false),
            connections: Cell::new(0),
            rejecting: Cell::new(0),
            handed_over: Cell::new(false),
            stop_listening: CloseSignal::new(),
            close_idle: CloseSignal::new(),
        })
    }

    /// Counts a connection until the guard is dropped.
    pub fn connection_opened(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Counts a connection over the limit until the guard is dropped.
    pub fn rejection_begun(self: &Rc<Self>) -> RejectionGuard {
        self.rejecting.set(self.rejecting.get() + 1);
        RejectionGuard(self.clone())
    }
}

/// Counts a connection over the limit while it is being closed.
pub struct RejectionGuard(Rc<ListenerState>);

impl Drop for RejectionGuard {
    fn drop(&mut self) {
        self.0.rejecting.set(self.0.rejecting.get() - 1);
    }
}

/// Counts a connection while it is open.
pub struct ConnectionGuard(Rc<ListenerState>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
