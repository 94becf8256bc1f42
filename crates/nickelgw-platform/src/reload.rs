//! Reloads the configuration while the node serves: the address of discovery may change.

use crate::config::{self, ConfigFileError};
use crate::node::Node;
use async_channel::{Receiver, Sender};
use nickelgw_node::seconds;
use smol::Timer;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A configuration that cannot be read is read again so often, so long after: it may be half written, and the new
/// discovery counts from 4 s after SIGHUP.
const MAX_RETRIES: usize = 20;
const RETRY_INTERVAL_S: f64 = 0.1;

/// Reloads the configuration whenever that is requested.
pub struct ConfigReloader {
    /// The node, for its clock.
    pub node: Rc<Node>,
    /// The configuration file; none: there is nothing to reload.
    pub config_path: Option<PathBuf>,
    /// Requests to reload.
    pub requests: Receiver<()>,
    /// The address to be updated.
    pub discovery_address: Rc<RefCell<String>>,
    /// Receives a message for each update.
    pub address_changed: Sender<()>,
}

impl ConfigReloader {
    /// Handles requests until nobody can make one, or until dropped.
    pub async fn run(self) {
        while self.requests.recv().await.is_ok() {
            tracing::debug!(at = self.node.now(), "configuration reloaded");
            let Some(path) = self.config_path.as_deref() else { continue };
            match self.read_address(path).await {
                Ok(address) => {
                    *self.discovery_address.borrow_mut() = address;
                    let _ = self.address_changed.try_send(());
                }
                Err(error) => tracing::warn!(error = error.to_string(), "configuration reload failed"),
            }
        }
    }

    /// Reads the file again while it is invalid, unless a further request comes. Until it is valid the old address counts.
    async fn read_address(&self, path: &Path) -> Result<String, ConfigFileError> {
        let mut address = config::read_discovery_address(path);
        for _ in 0..MAX_RETRIES {
            if address.is_ok() || !self.requests.is_empty() {
                break;
            }
            Timer::after(seconds(RETRY_INTERVAL_S)).await;
            address = config::read_discovery_address(path);
        }
        address
    }
}
