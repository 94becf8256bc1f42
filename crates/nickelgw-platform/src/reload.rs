//! Reloads the configuration while the node is serving: the address of discovery may change.

use crate::config::{self, ConfigFileError};
use crate::node::Node;
use async_channel::{Receiver, Sender};
use nickelgw_node::seconds;
use smol::Timer;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Maximum number of times that a configuration file that cannot be used is read again, since it may be half
/// written. What the new discovery address announces counts from 4 s after SIGHUP.
const MAX_RETRIES: usize = 20;
/// Interval between two reads of a file that cannot be used.
const RETRY_INTERVAL_S: f64 = 0.1;

/// Reloads the configuration whenever a reload is requested.
pub struct ConfigReloader {
    /// Node whose clock is used for log lines.
    pub node: Rc<Node>,
    /// Configuration file; `None` if there is nothing to reload.
    pub config_path: Option<PathBuf>,
    /// Channel of the requests to reload.
    pub requests: Receiver<()>,
    /// Address of discovery, which is updated.
    pub discovery_address: Rc<RefCell<String>>,
    /// Channel that receives a message for each update of the address.
    pub address_changed: Sender<()>,
}

impl ConfigReloader {
    /// Handles requests until their channel is closed or the future is dropped.
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

    /// Reads the address. While the file is invalid it is read again, unless another request comes; until it
    /// is valid, the old address is used.
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
