//! Follows the endpoint list service with long polls.

use super::directory::EndpointDirectory;
use crate::client::Peer;
use crate::clock::within;
use crate::events::{Event, TimedEvent};
use async_channel::Receiver;
use http_body_util::Full;
use hyper::Method;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_protocol::list::EndpointList;
use nickelgw_protocol::Malformed;
use std::rc::Rc;

/// Time for which the service may delay its response to a poll while the list is unchanged.
const POLL_WAIT_S: f64 = 5.0;
/// Time added to [`POLL_WAIT_S`] for the timeout of a poll.
const POLL_MARGIN_S: f64 = 1.0;
/// Longest delay of the next poll after a failure. The core usually requests the poll earlier.
const MAX_BACKOFF_S: f64 = 2.0;

/// Task that follows the endpoint list service.
pub struct ListWatch {
    /// Address (host:port) of the service.
    pub address: String,
    /// This node's name.
    pub node: String,
    /// Directory that the fetched lists are passed to.
    pub directory: Rc<EndpointDirectory>,
    /// Receives the core's requests for a poll.
    pub wakeup: Receiver<()>,
}

/// Error returned when a poll fails.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("the address of the endpoint list service is invalid")]
    InvalidAddress,
    #[error("the endpoint list service responded with status {0}")]
    Status(u16),
    #[error("the call of the endpoint list service failed: {0:?}")]
    Call(AttemptOutcome),
    #[error("the endpoint list service did not respond within {} s", POLL_WAIT_S + POLL_MARGIN_S)]
    TimedOut,
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

impl ListWatch {
    /// Polls until dropped, until the event loop has ended, or if the address is invalid.
    pub async fn run(self) {
        let mut revision = 0;
        let mut is_immediate = true;
        loop {
            // A poll that follows a successful one waits for a change. The first poll, and one after a
            // failure, asks for an immediate response.
            let wait_s = if is_immediate { 0.0 } else { POLL_WAIT_S };
            match self.fetch(revision, wait_s).await {
                Ok(None) => is_immediate = false,
                Ok(Some(list)) => {
                    (revision, is_immediate) = (list.revision, false);
                    self.directory.replace_all(list.revision, list.engines, false).await;
                }
                // Retrying is useless: the address does not change.
                Err(FetchError::InvalidAddress) => return,
                Err(error) => {
                    let at = self.directory.clock.now();
                    tracing::warn!(%error, at, "endpoint list fetch failed");
                    is_immediate = true;
                    let failed = TimedEvent::new(Event::EndpointPollFailed);
                    if self.directory.events.send(failed).await.is_err() {
                        return;
                    }
                    within(MAX_BACKOFF_S, self.wakeup.recv()).await;
                }
            }
        }
    }

    /// Fetches the list; `None` if it has not changed since `revision`. `wait_s` is the time in seconds for
    /// which the service may wait for a change.
    async fn fetch(&self, revision: u64, wait_s: f64) -> Result<Option<EndpointList>, FetchError> {
        let engines = &self.directory.engines;
        let path = format!("/v1/engines?after={revision}&wait_s={wait_s}&node={}", self.node);
        let request = engines.request(Method::GET, &self.address, &path).body(Full::default());
        let request = request.map_err(|_| FetchError::InvalidAddress)?;
        let fetch = engines.pool.fetch(Peer::plain(&self.address), &request);
        match within(POLL_WAIT_S + POLL_MARGIN_S, fetch).await {
            Some(Ok((200, _, body))) => Ok(Some(EndpointList::parse(&body)?)),
            Some(Ok((204, _, _))) => Ok(None),
            Some(Ok((status, _, _))) => Err(FetchError::Status(status)),
            Some(Err(outcome)) => Err(FetchError::Call(outcome)),
            None => Err(FetchError::TimedOut),
        }
    }
}
