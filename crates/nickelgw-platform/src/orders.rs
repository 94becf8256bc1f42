//! What the process is told while it serves. Each order is a state that stays until it is looked at, however often and in
//! whatever order it was given: as words in one queue a reload after a shutdown was never read, and a queue full of
//! reloads lost the shutdown.

use async_channel::{bounded, Receiver, Sender};

/// Gives orders.
pub struct Orders {
    shutdown: Sender<()>,
    reload: Sender<()>,
}

/// Takes them.
pub struct Ordered {
    pub(crate) shutdown: Receiver<()>,
    pub(crate) reload: Receiver<()>,
}

pub fn orders() -> (Orders, Ordered) {
    let ((shutdown, shut_down), (reload, reloaded)) = (bounded(1), bounded(1));
    (Orders { shutdown, reload }, Ordered { shutdown: shut_down, reload: reloaded })
}

impl Orders {
    /// To go, without losing what is open.
    pub fn shut_down(&self) {
        // Full: it stands already.
        let _ = self.shutdown.try_send(());
    }

    /// The configuration has changed.
    pub fn reload(&self) {
        let _ = self.reload.try_send(());
    }
}
