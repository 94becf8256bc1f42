//! Follows the engine list by long polls, and reads the last one that was kept on disk.

use crate::client::Peer;
use crate::discovery::EndpointDirectory;
use crate::engines::Engines;
use crate::event_loop::{Event, TimedEvent};
use crate::{within, Clock};
use async_channel::{Receiver, Sender};
use http_body_util::Full;
use hyper::Method;
use nickelgw_protocol::list::EndpointList;
use std::path::Path;
use std::rc::Rc;

/// How long the list may hold a call back while there is no news; a call takes a little longer at most.
const POLL_S: f64 = 5.0;
/// After a failure the core says when to ask again; past this it is asked anyway.
const LONGEST_REST_S: f64 = 2.0;

pub struct Watch {
    pub address: String,
    pub node: String,
    pub fleet: Rc<EndpointDirectory>,
    pub words: Sender<TimedEvent>,
    pub poked: Receiver<()>,
    pub clock: Clock,
}

/// The list as it was last written; a missing or damaged file is as none.
pub fn last(path: Option<&Path>) -> Option<EndpointList> {
    let bytes = std::fs::read(path?).ok()?;
    match EndpointList::parse(&bytes) {
        Ok(list) => Some(list),
        Err(e) => {
            tracing::warn!(error = %e, "the last list on disk is not used");
            None
        }
    }
}

/// Written beside and renamed: a crash leaves the old list or the new one.
pub fn write(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    let beside = path.with_extension("new");
    let mut f = std::fs::File::create(&beside)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    std::fs::rename(beside, path)
}

impl Watch {
    pub async fn run(self, engines: Rc<Engines>) {
        let mut after = 0;
        let mut fresh = true;
        loop {
            // A poll that follows another waits for news; the first, or one after a break, does not.
            let wait = if fresh { 0.0 } else { POLL_S };
            let path = format!("/v1/engines?after={after}&wait_s={wait}&node={}", self.node);
            let request = engines.request(Method::GET, &self.address, &path).body(Full::default());
            let Ok(request) = request else { return };
            let answer = within(POLL_S + 1.0, engines.pool.fetch(Peer::plain(&self.address), &request)).await;
            let list = match answer {
                Some(Ok((200, _, body))) => EndpointList::parse(&body).map_err(|e| e.to_string()),
                Some(Ok((204, _, _))) => {
                    fresh = false;
                    continue;
                }
                Some(Ok((status, _, _))) => Err(format!("status {status}")),
                Some(Err(cause)) => Err(format!("{cause:?}")),
                None => Err("no answer".into()),
            };
            match list {
                Ok(list) => {
                    (after, fresh) = (list.revision, false);
                    self.fleet.full(list.revision, list.engines, false).await;
                }
                Err(error) => {
                    tracing::warn!(error, at = self.clock.now(), "the engine list was not had");
                    fresh = true;
                    if self.words.send(TimedEvent::new(Event::EndpointPollFailed)).await.is_err() {
                        return;
                    }
                    within(LONGEST_REST_S, self.poked.recv()).await;
                }
            }
        }
    }
}
