//! Follows discovery: the whole list first, then a watch that waits for what changes.

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
/// A watch continues with its next call; one that is answered at once is not repeated without end.
const CALL_INTERVAL_S: f64 = 0.005;
/// Gap behind a watch that was answered with nothing before its time: a watch continues where the next call comes within
/// 0.2 s (the platform's protocol).
const EMPTY_WATCH_GAP_S: f64 = 0.1;
/// Connections to discovery: the one in use, and one that is about to close.
pub const MAX_CONNECTIONS: usize = 2;

/// Why no update came of a call.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The response violates the protocol.
    #[error("{0}")]
    Malformed(String),
    /// There was no response.
    #[error("{0:?}")]
    NoResponse(AttemptOutcome),
    /// The response has an error status.
    #[error("status {0}")]
    Status(u16),
}

/// Follows discovery for one node.
pub struct DiscoveryClient {
    /// The node that applies updates.
    pub node: Rc<Node>,
    /// Connections of discovery's own: however many are open to engines and clients, the list is received.
    pub pool: Rc<ConnectionPool>,
    /// Timeouts of the calls.
    pub timeouts: DiscoveryTimeouts,
    /// Where discovery is.
    pub address: Rc<RefCell<String>>,
    /// Receives a message when the address has changed.
    pub address_changes: Receiver<()>,
}

/// How far the client has come.
#[derive(Default)]
struct FollowState {
    /// Generation of the last update; none: the whole list is to be fetched.
    generation: Option<u64>,
    /// Calls that failed in a row.
    failures: u32,
}

impl DiscoveryClient {
    /// Follows discovery until dropped.
    pub async fn follow(self) {
        let mut state = FollowState::default();
        loop {
            let called_at = Instant::now();
            let Some(fetched) = self.fetch(state.generation).await else {
                // The new agent is asked for the whole list at once.
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

    /// One call for the list, or for changes since a generation; none: the address has changed meanwhile.
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
            Err(AttemptOutcome::Malformed) => Err(self.malformed("an answer that cannot be read".into())),
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
        // Changes of an older list than was asked for: another agent's, or one that restarted. The whole list resolves it.
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
            // It brought nothing and did not wait: repeated at once it would spin. The address may change meanwhile.
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

    /// Ready when the address has changed; never when nobody can change it any more.
    async fn address_changed(&self) {
        if self.address_changes.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
