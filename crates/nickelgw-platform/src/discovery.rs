//! Client of discovery: fetches the whole list first, and then watches for changes.

use crate::core::discovery_timing::{DiscoveryCall, DiscoveryTimeouts};
use crate::core::endpoint_list::DiscoveryUpdate;
use crate::core::engine::ResponseHead;
use crate::core::MAX_LIST_BYTES;
use crate::node::Node;
use crate::pool::{ConnectionPool, ConnectionUse, ShortCall};
use async_channel::Receiver;
use bytes::Bytes;
use nickelgw_node::{seconds, within};
use nickelgw_node_core::AttemptOutcome;
use smol::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

const LIST_PATH: &str = "/v1/servers";
/// Gap after each call, so that watches which are answered at once do not follow each other in a busy loop.
/// The next call continues the watch.
const CALL_INTERVAL_S: f64 = 0.005;
/// Gap after a watch that was answered early and without changes. The next call continues the watch if it
/// comes within 0.2 s (the platform's protocol).
const EMPTY_WATCH_GAP_S: f64 = 0.1;
/// Maximum number of connections to discovery: the one in use, and one that is about to close.
pub const MAX_CONNECTIONS: usize = 2;

/// Error returned when a call to discovery gives no update.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The response violates the protocol.
    #[error("{0}")]
    Malformed(String),
    /// No whole response was received.
    #[error("no response of discovery: {0:?}")]
    NoResponse(AttemptOutcome),
    /// The response has an error status.
    #[error("discovery responded with status {0}")]
    Status(u16),
}

/// Client of discovery for one node.
pub struct DiscoveryClient {
    /// Node that applies the updates.
    pub node: Rc<Node>,
    /// Connection pool for discovery alone, so that the list is received however many connections to engines
    /// and clients are open.
    pub pool: Rc<ConnectionPool>,
    /// Timeouts of the calls.
    pub timeouts: DiscoveryTimeouts,
    /// Address of discovery.
    pub address: Rc<RefCell<String>>,
    /// Channel that receives a message when the address has changed.
    pub address_changes: Receiver<()>,
}

/// State of the client between calls.
#[derive(Default)]
struct FollowState {
    /// Generation of the last update; `None` if the whole list is to be fetched.
    generation: Option<u64>,
    /// Number of consecutive failed calls.
    failures: u32,
}

impl DiscoveryClient {
    /// Applies the updates of discovery to the node until the future is dropped.
    pub async fn follow(self) {
        let mut state = FollowState::default();
        loop {
            let called_at = Instant::now();
            let Some(fetched) = self.fetch(state.generation).await else {
                // The whole list is fetched from the agent at the new address at once.
                state = FollowState::default();
                continue;
            };
            match fetched {
                Ok(update) => self.apply(update, &mut state, called_at).await,
                Err(error) => self.wait_after_failure(&error, &mut state).await,
            }
            Timer::after(seconds(CALL_INTERVAL_S)).await;
        }
    }

    /// Makes one call for the list, or for changes since a generation; `None` if the address has changed
    /// meanwhile.
    async fn fetch(&self, generation: Option<u64>) -> Option<Result<DiscoveryUpdate, FetchError>> {
        let address = self.address.borrow().clone();
        let (kind, target) = match generation {
            None => (DiscoveryCall::List, LIST_PATH.to_string()),
            Some(generation) => {
                let watch_ms = (self.timeouts.watch_s * 1e3) as u64;
                (DiscoveryCall::Watch, format!("{LIST_PATH}?since={generation}&timeout_ms={watch_ms}"))
            }
        };
        let call = ShortCall {
            method: "GET",
            target: &target,
            address: &address,
            usage: ConnectionUse::Control,
            timeouts: self.timeouts.response_timeouts(kind),
            max_body_bytes: MAX_LIST_BYTES,
        };
        let response = async { Some(self.pool.call(&call).await) };
        let address_changed = async {
            self.address_changed().await;
            None
        };
        let response = futures_lite::future::or(response, address_changed).await?;
        Some(self.parse(response))
    }

    fn parse(
        &self,
        response: Result<(ResponseHead, Bytes), AttemptOutcome>,
    ) -> Result<DiscoveryUpdate, FetchError> {
        match response {
            Err(AttemptOutcome::Malformed) => {
                Err(self.malformed("discovery response is not valid HTTP or exceeds a size limit".into()))
            }
            Err(outcome) => Err(FetchError::NoResponse(outcome)),
            Ok((head, body)) if head.status == 200 => {
                DiscoveryUpdate::parse(&body).map_err(|error| self.malformed(error.to_string()))
            }
            Ok((head, _)) => Err(FetchError::Status(head.status)),
        }
    }

    fn malformed(&self, reason: String) -> FetchError {
        self.node.log_malformed("discovery", &reason);
        FetchError::Malformed(reason)
    }

    async fn apply(&self, update: DiscoveryUpdate, state: &mut FollowState, called_at: Instant) {
        // These changes belong to an older list than the node has: they come from another agent, or from one
        // that restarted. Fetching the whole list resolves this.
        if state.generation.is_some_and(|generation| update.is_older_than(generation)) {
            state.generation = None;
            return;
        }
        let waited_s = called_at.elapsed().as_secs_f64();
        let returned_early =
            state.generation.is_some() && update.is_empty() && waited_s < self.timeouts.watch_s / 2.0;
        *state = FollowState { generation: Some(update.generation), failures: 0 };
        self.node.apply_update(update);
        if returned_early {
            // The watch returned no changes and did not wait: repeating it at once would spin. The address
            // may change meanwhile.
            if within(EMPTY_WATCH_GAP_S, self.address_changed()).await.is_some() {
                state.generation = None;
            }
        }
    }

    async fn wait_after_failure(&self, error: &FetchError, state: &mut FollowState) {
        tracing::debug!(error = error.to_string(), "endpoint list fetch failed");
        state.generation = None;
        within(self.timeouts.gap_s(state.failures), self.address_changed()).await;
        state.failures += 1;
    }

    /// Completes when the address has changed; never if it can no longer change.
    async fn address_changed(&self) {
        if self.address_changes.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
