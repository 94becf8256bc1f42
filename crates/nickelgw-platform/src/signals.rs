//! Requests to the running node, as a process receives them by signals. Each is a state that remains until it is handled,
//! however often and in whatever order they came: as messages in one queue a reload behind a shutdown was never read, and
//! a queue full of reloads lost the shutdown.

use async_channel::{bounded, Receiver, Sender};

/// Sends requests to a node.
pub struct SignalSender {
    shutdown: Sender<()>,
    reload: Sender<()>,
}

/// The node's end.
pub struct SignalReceiver {
    pub(crate) shutdown: Receiver<()>,
    pub(crate) reload: Receiver<()>,
}

/// Both ends.
pub fn signal_channel() -> (SignalSender, SignalReceiver) {
    let (shutdown, shutdown_requested) = bounded(1);
    let (reload, reload_requested) = bounded(1);
    let receiver = SignalReceiver { shutdown: shutdown_requested, reload: reload_requested };
    (SignalSender { shutdown, reload }, receiver)
}

impl SignalSender {
    /// The node is to shut down, without losing open requests.
    pub fn request_shutdown(&self) {
        // A full channel: it is requested already.
        let _ = self.shutdown.try_send(());
    }

    /// The configuration has changed.
    pub fn request_reload(&self) {
        let _ = self.reload.try_send(());
    }
}
