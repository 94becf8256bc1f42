//! State shared by the event loop and the client connections.

use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Signal without a value, raised by closing a channel.
pub struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl CloseSignal {
    fn new() -> CloseSignal {
        let (sender, receiver) = async_channel::bounded(1);
        CloseSignal { sender, receiver }
    }

    /// Raises the signal; it cannot be reset.
    pub fn raise(&self) {
        self.sender.close();
    }

    /// Returns a receiver whose `recv` returns once the signal is raised.
    pub fn subscribe(&self) -> Receiver<()> {
        self.receiver.clone()
    }
}

/// State of the process's lifecycle that the listener and its connections depend on.
pub struct ListenerState {
    /// Whether `/healthz` responds with status 200.
    pub healthy: Cell<bool>,
    /// Whether each response closes its connection.
    pub closing_connections: Cell<bool>,
    /// Number of open client connections.
    pub connections: Cell<usize>,
    /// Number of connections over the limit that are being answered and closed.
    pub rejecting: Cell<usize>,
    /// Whether another process listens on the same socket and continues to accept connections.
    pub handed_over: Cell<bool>,
    /// Raised when the node is to stop accepting connections.
    pub stop_listening: CloseSignal,
    /// Raised when idle connections are to be closed.
    pub close_idle: CloseSignal,
}

impl ListenerState {
    /// Creates the state of a node that is not healthy yet and accepts connections.
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

    /// Counts an open connection until the returned guard is dropped.
    pub fn connection_opened(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Counts a connection over the limit until the returned guard is dropped.
    pub fn rejection_started(self: &Rc<Self>) -> RejectionGuard {
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
