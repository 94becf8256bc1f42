//! Requests to the running node that a process receives as signals. Each kind of request stays pending until
//! it is handled, however often and in whatever order the signals arrive. When they were messages in one
//! queue, a reload behind a shutdown was never read, and a queue full of reloads lost the shutdown.

use async_channel::{bounded, Receiver, Sender};

/// Sending side of the requests to a node.
pub struct SignalSender {
    shutdown: Sender<()>,
    reload: Sender<()>,
}

/// Receiving side of the requests to a node.
pub struct SignalReceiver {
    pub(crate) shutdown: Receiver<()>,
    pub(crate) reload: Receiver<()>,
}

/// Creates both sides of the requests to a node.
pub fn signal_channel() -> (SignalSender, SignalReceiver) {
    let (shutdown, shutdown_requested) = bounded(1);
    let (reload, reload_requested) = bounded(1);
    let receiver = SignalReceiver { shutdown: shutdown_requested, reload: reload_requested };
    (SignalSender { shutdown, reload }, receiver)
}

impl SignalSender {
    /// Requests that the node shut down without losing open requests.
    pub fn request_shutdown(&self) {
        // If the channel is full, a shutdown is already requested.
        let _ = self.shutdown.try_send(());
    }

    /// Requests that the node reload its configuration, which has changed.
    pub fn request_reload(&self) {
        let _ = self.reload.try_send(());
    }
}
