//! Watches, which stream events, and progress messages while there are no events.

use super::api::{decode_bytes, decode_number, key_value};
use super::state::{KeyEvent, State};
use super::{record_engines, Call, Registry};
use crate::http::{channel_body, ConnectionClosed, HttpResponse};
use crate::recorder::{unix_now, Recorder};
use crate::timing::sleep_s;
use async_channel::Sender;
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use hyper::body::Frame;
use hyper::Response;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Time without events after which a progress message is sent.
const PROGRESS_INTERVAL_S: f64 = 1.0;
/// Time between checks for events.
const POLL_INTERVAL_S: f64 = 0.01;
/// Number of messages buffered for a client that reads more slowly than the registry writes.
const BUFFER_MESSAGES: usize = 16;

/// Next step of a watch.
enum WatchStep {
    /// Ends without a message, because the registry restarts.
    End,
    /// Ends with a message, because events that it needs have been compacted.
    Cancel { compact_revision: u64 },
    /// Sends the events of one revision.
    Send { revision: u64, events: Vec<Value> },
    /// Waits, because there is nothing to send.
    Wait { revision: u64, stalled: bool },
}

/// Watch of a range of keys by one client.
struct Watch {
    state: Rc<RefCell<State>>,
    recorder: Recorder,
    node: String,
    /// Watched keys: from the first, inclusive, to the second, exclusive.
    range: (Vec<u8>, Vec<u8>),
    next_revision: u64,
    /// Number of restarts of the registry when the watch began.
    restarts: u64,
    cluster_id: String,
    frames: Sender<Frame<Bytes>>,
}

/// Error returned when the client of a watch has disconnected.
struct ClientDisconnected;

impl Registry {
    pub(super) fn start_watch(&self, call: Call) -> Result<HttpResponse, ConnectionClosed> {
        let (frames, body) = async_channel::bounded(BUFFER_MESSAGES);
        let registry = self.clone();
        let watch = async move { drop(Watch::new(registry, call, frames).run().await) };
        self.executor.spawn(watch).detach();
        let builder = Response::builder().header("content-type", "application/json");
        builder.body(channel_body(body)).map_err(|_| ConnectionClosed)
    }
}

impl Watch {
    fn new(registry: Registry, call: Call, frames: Sender<Frame<Bytes>>) -> Watch {
        let request = &call.body["create_request"];
        let range = (decode_bytes(&request["key"]), decode_bytes(&request["range_end"]));
        let next_revision = decode_number(&request["start_revision"]).max(0) as u64;
        let (restarts, cluster_id) = {
            let state = registry.state.borrow();
            (state.restarts, state.cluster_id())
        };
        Watch {
            state: registry.state,
            recorder: registry.recorder,
            node: call.node,
            range,
            next_revision,
            restarts,
            cluster_id,
            frames,
        }
    }

    async fn run(mut self) -> Result<(), ClientDisconnected> {
        let revision = self.state.borrow().revision;
        let header = self.header(revision);
        self.send(json!({"header": header, "watch_id": "0", "created": true})).await?;
        let mut idle_s = 0.0;
        loop {
            match self.next_step() {
                WatchStep::End => return Ok(()),
                WatchStep::Cancel { compact_revision } => {
                    let compact_revision = compact_revision.to_string();
                    return self.send(json!({"canceled": true, "compact_revision": compact_revision})).await;
                }
                WatchStep::Send { revision, events } => {
                    idle_s = 0.0;
                    self.send_events(revision, events).await?;
                }
                WatchStep::Wait { revision, stalled } => {
                    idle_s += POLL_INTERVAL_S;
                    if idle_s >= PROGRESS_INTERVAL_S && !stalled {
                        idle_s = 0.0;
                        self.send(json!({"header": self.header(revision)})).await?;
                    }
                    if self.frames.is_closed() {
                        return Ok(());
                    }
                    sleep_s(POLL_INTERVAL_S).await;
                }
            }
        }
    }

    fn next_step(&self) -> WatchStep {
        let state = self.state.borrow();
        if state.restarts != self.restarts {
            return WatchStep::End;
        }
        let compact_revision = state.compact_revision;
        if self.next_revision > 0 && self.next_revision < compact_revision {
            return WatchStep::Cancel { compact_revision };
        }
        let now = unix_now();
        let stalled = now < state.watches_stalled_until || now < state.silent_until;
        let is_next = |event: &&KeyEvent| event.revision >= self.next_revision && self.covers(event);
        match state.events.iter().find(is_next).map(|event| event.revision) {
            Some(revision) if !stalled => {
                // All events of one revision are sent in one message.
                let of_revision =
                    state.events.iter().filter(is_next).filter(|event| event.revision == revision);
                WatchStep::Send { revision, events: of_revision.map(encode_event).collect() }
            }
            first => WatchStep::Wait { revision: first.unwrap_or(state.revision), stalled },
        }
    }

    async fn send_events(&mut self, revision: u64, events: Vec<Value>) -> Result<(), ClientDisconnected> {
        self.next_revision = revision + 1;
        {
            let state = self.state.borrow();
            // After the last pending event, the node knows the present set of engines.
            if !state.events.iter().any(|event| event.revision > revision && self.covers(event)) {
                record_engines(&self.recorder, &self.node, revision, &state.keys);
            }
        }
        self.send(json!({"header": self.header(revision), "events": events})).await
    }

    fn covers(&self, event: &KeyEvent) -> bool {
        event.key >= self.range.0 && event.key < self.range.1
    }

    fn header(&self, revision: u64) -> Value {
        json!({"cluster_id": self.cluster_id, "revision": revision.to_string()})
    }

    async fn send(&self, result: Value) -> Result<(), ClientDisconnected> {
        let message = format!("{}\n", json!({ "result": result }));
        self.frames.send(Frame::data(Bytes::from(message))).await.map_err(|_| ClientDisconnected)
    }
}

fn encode_event(event: &KeyEvent) -> Value {
    match &event.put {
        Some(entry) => json!({"kv": key_value(&event.key, entry)}),
        None => {
            let key = BASE64_STANDARD.encode(&event.key);
            json!({"type": "DELETE", "kv": {"key": key, "mod_revision": event.revision.to_string()}})
        }
    }
}
