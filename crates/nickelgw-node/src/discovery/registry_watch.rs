//! Follows the engines listed in a registry: reads all of them, then watches for changes.

use super::registry_client::{RegistryClient, CALL_TIMEOUT_S};
use crate::clock::{seconds, within, Clock};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nickelgw_registry::core::registry_watch::{
    ReadVerdict, RegistryWatch, RegistryWatchConfig, WatchCommand,
};
use nickelgw_registry::wire;
use smol::Timer;
use std::ops::ControlFlow;
use std::rc::Rc;

/// Longest line of a watch stream.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Longest sleep between two polls of the watch's state machine.
const MAX_SLEEP_S: f64 = 0.5;

impl RegistryClient {
    fn clock(&self) -> Clock {
        self.directory.clock
    }

    /// Follows the engines until dropped.
    pub async fn follow_engines(self: Rc<Self>, seed: u64) {
        let mut watch =
            RegistryWatch::new(RegistryWatchConfig::default(), self.options.endpoints.len(), seed);
        loop {
            let (commands, wake_at) = watch.poll_commands(self.clock().now());
            // Running a command takes time, a watch even hours, so that `wake_at` is outdated afterwards.
            let is_idle = commands.is_empty();
            for command in commands {
                match command {
                    WatchCommand::Read { endpoint } => self.read_engines(&mut watch, endpoint).await,
                    WatchCommand::Watch { endpoint, from } => {
                        self.watch_engines(&mut watch, endpoint, from).await
                    }
                    // Nothing to close: the stream was dropped when `watch_engines` returned.
                    WatchCommand::CloseWatch => {}
                }
            }
            if is_idle {
                let sleep_s = (wake_at - self.clock().now()).clamp(0.0, MAX_SLEEP_S);
                Timer::after(seconds(sleep_s)).await;
            }
        }
    }

    async fn read_engines(&self, watch: &mut RegistryWatch, endpoint: usize) {
        let prefix = &self.options.engines;
        let response = self.call(endpoint, "/v3/kv/range", &wire::range_request(prefix)).await;
        let range = match response.and_then(|body| wire::parse_response::<wire::RangeResponse>(&body)) {
            Ok(range) => range,
            Err(error) => {
                tracing::warn!(%error, endpoint, "registry read failed");
                return watch.failed(self.clock().now());
            }
        };
        let revision = range.header.revision.max(0) as u64;
        let verdict = watch.read_finished(self.clock().now(), revision, &range.header.cluster_id);
        let (entries, malformed) = wire::endpoint_entries(prefix, &range.kvs);
        if malformed > 0 {
            tracing::warn!(malformed, "malformed registry entries skipped");
        }
        if verdict != ReadVerdict::Stale {
            let rolled_back = verdict == ReadVerdict::RolledBack;
            self.directory.replace_all(revision, entries, rolled_back).await;
        }
    }

    /// Opens a watch that starts at revision `from`; `None` if that fails.
    async fn open_watch(&self, endpoint: usize, from: u64) -> Option<WatchStream> {
        let body = wire::watch_request(&self.options.engines, from);
        let is_signed_in = self.sign_in(endpoint).await.is_ok();
        let request = self.request(endpoint, "/v3/watch", &body).filter(|_| is_signed_in)?;
        let call = self.directory.engines.pool.call(self.peer(endpoint), &request);
        let (response, connection) = within(CALL_TIMEOUT_S, call).await?.ok()?;
        let is_ok = response.status() == 200;
        is_ok.then(|| WatchStream { body: response.into_body(), buffer: Vec::new(), _connection: connection })
    }

    /// Watches until the stream breaks or is silent for too long, or its start revision was compacted.
    async fn watch_engines(&self, watch: &mut RegistryWatch, endpoint: usize, from: u64) {
        let Some(mut stream) = self.open_watch(endpoint, from).await else {
            return watch.failed(self.clock().now());
        };
        loop {
            if !stream.read_more().await {
                return watch.failed(self.clock().now());
            }
            while let Some(line) = stream.next_line() {
                let Ok(message) = wire::parse_stream_message::<wire::WatchResponse>(&line) else {
                    return watch.failed(self.clock().now());
                };
                if self.handle_message(watch, &message).await.is_break() {
                    return;
                }
            }
        }
    }

    /// Handles a message of the watch. Returns `Break` if the watch is over; `watch` has the reason then.
    async fn handle_message(
        &self,
        watch: &mut RegistryWatch,
        message: &wire::WatchResponse,
    ) -> ControlFlow<()> {
        let now = || self.clock().now();
        if message.compact_revision > 0 {
            watch.was_compacted(now());
            return ControlFlow::Break(());
        }
        if message.canceled {
            watch.failed(now());
            return ControlFlow::Break(());
        }
        let revision = message.header.revision.max(0) as u64;
        if !watch.check_cluster(now(), &message.header.cluster_id) {
            return ControlFlow::Break(());
        }
        if message.created && revision >= watch.revision() {
            // The revision in the message that confirms a watch does not count as progress: events of earlier
            // revisions may follow.
            return ControlFlow::Continue(());
        }
        if message.events.is_empty() {
            if !watch.watch_progressed(now(), revision) {
                return ControlFlow::Break(());
            }
            self.directory.view.borrow_mut().advance_revision(revision);
            return ControlFlow::Continue(());
        }
        let events = wire::endpoint_events(&self.options.engines, &message.events);
        self.directory.view.borrow_mut().apply_events(now(), revision, events);
        if !watch.watch_progressed(now(), revision) {
            return ControlFlow::Break(());
        }
        self.directory.reconcile().await;
        ControlFlow::Continue(())
    }
}

/// The response stream of a watch, with one JSON message per line.
struct WatchStream {
    body: Incoming,
    buffer: Vec<u8>,
    /// Connection of the stream, kept open while the stream is read.
    _connection: crate::client::Connection,
}

impl WatchStream {
    /// Reads a frame. Returns false if the stream has ended, is silent for too long, or has a line over
    /// [`MAX_LINE_BYTES`].
    async fn read_more(&mut self) -> bool {
        let silence_timeout_s = RegistryWatchConfig::default().idle_timeout_s;
        let Some(Some(Ok(frame))) = within(silence_timeout_s, self.body.frame()).await else { return false };
        if let Some(data) = frame.data_ref() {
            self.buffer.extend_from_slice(data);
        }
        self.buffer.len() <= MAX_LINE_BYTES
    }

    /// Removes the first complete line from the buffer; `None` if there is none.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.drain(..=end).collect())
    }
}
