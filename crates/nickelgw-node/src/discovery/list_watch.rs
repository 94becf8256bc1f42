//! The endpoint list service, followed by long polls.

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

/// How long the service may hold a poll back while nothing changes.
const POLL_S: f64 = 5.0;
/// What a poll may take beyond that.
const POLL_MARGIN_S: f64 = 1.0;
/// After a failure the core wakes the watch; past this it polls anyway.
const MAX_BACKOFF_S: f64 = 2.0;

/// Follows the endpoint list service.
pub struct ListWatch {
    /// host:port of the service.
    pub address: String,
    /// This node's name.
    pub node: String,
    /// Takes the lists.
    pub directory: Rc<EndpointDirectory>,
    /// The core asks for a poll.
    pub wakeup: Receiver<()>,
}

/// A poll that brought no list.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("invalid address")]
    InvalidAddress,
    #[error("status {0}")]
    Status(u16),
    #[error("{0:?}")]
    Call(AttemptOutcome),
    #[error("timed out")]
    TimedOut,
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

impl ListWatch {
    /// Polls until dropped, or until the event loop has ended.
    pub async fn run(self) {
        let mut revision = 0;
        let mut is_first = true;
        loop {
            // A poll that follows another waits for a change; the first, or one after a failure, does not.
            let wait_s = if is_first { 0.0 } else { POLL_S };
            match self.fetch(revision, wait_s).await {
                Ok(None) => is_first = false,
                Ok(Some(list)) => {
                    (revision, is_first) = (list.revision, false);
                    self.directory.replace_all(list.revision, list.engines, false).await;
                }
                // It will not become valid.
                Err(FetchError::InvalidAddress) => return,
                Err(error) => {
                    let at = self.directory.clock.now();
                    tracing::warn!(%error, at, "endpoint list fetch failed");
                    is_first = true;
                    let failed = TimedEvent::new(Event::EndpointPollFailed);
                    if self.directory.events.send(failed).await.is_err() {
                        return;
                    }
                    within(MAX_BACKOFF_S, self.wakeup.recv()).await;
                }
            }
        }
    }

    /// The list, or `None` where it has not changed since the revision.
    async fn fetch(&self, revision: u64, wait_s: f64) -> Result<Option<EndpointList>, FetchError> {
        let engines = &self.directory.engines;
        let path = format!("/v1/engines?after={revision}&wait_s={wait_s}&node={}", self.node);
        let request = engines.request(Method::GET, &self.address, &path).body(Full::default());
        let request = request.map_err(|_| FetchError::InvalidAddress)?;
        let fetch = engines.pool.fetch(Peer::plain(&self.address), &request);
        match within(POLL_S + POLL_MARGIN_S, fetch).await {
            Some(Ok((200, _, body))) => Ok(Some(EndpointList::parse(&body)?)),
            Some(Ok((204, _, _))) => Ok(None),
            Some(Ok((status, _, _))) => Err(FetchError::Status(status)),
            Some(Err(outcome)) => Err(FetchError::Call(outcome)),
            None => Err(FetchError::TimedOut),
        }
    }
}
