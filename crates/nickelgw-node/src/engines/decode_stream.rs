//! Event stream of a decode engine.

use super::load_report;
use crate::client::Connection;
use crate::clock::{seconds, within};
use crate::replies::ResponseSink;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use nickelgw_node_core::{AttemptOutcome, AttemptResult};
use nickelgw_protocol::sse::{Event, EventDecoder};
use smol::Timer;

/// First bytes of an engine's error event.
const ERROR_EVENT_PREFIX: &[u8] = b"{\"error\"";

/// The response to a decode attempt while it arrives.
pub(super) struct DecodeStream {
    body: Incoming,
    parser: EventDecoder,
    /// First event, read ahead before the attempt may respond to the client.
    first_event: Option<Event>,
    trailers: Option<HeaderMap>,
    at_end: bool,
    connection: Connection,
}

fn ended(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, ..AttemptResult::default() }
}

impl DecodeStream {
    pub fn new(body: Incoming, connection: Connection) -> DecodeStream {
        DecodeStream {
            body,
            parser: EventDecoder::default(),
            first_event: None,
            trailers: None,
            at_end: false,
            connection,
        }
    }

    /// Returns whether the body was read to its end.
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    pub fn into_connection(self) -> Connection {
        self.connection
    }

    /// Reads the first event ahead.
    pub async fn read_first_event(&mut self) -> Result<(), AttemptOutcome> {
        self.first_event = Some(self.next_event().await?.ok_or(AttemptOutcome::Malformed)?);
        Ok(())
    }

    /// Reads the next event; returns `None` at the end of the body.
    async fn next_event(&mut self) -> Result<Option<Event>, AttemptOutcome> {
        loop {
            if let Some(event) = self.parser.next_event().map_err(|_| AttemptOutcome::Malformed)? {
                return if is_valid(&event) { Ok(Some(event)) } else { Err(AttemptOutcome::Malformed) };
            }
            match self.body.frame().await {
                None if self.parser.has_incomplete_event() => return Err(AttemptOutcome::Malformed),
                None => {
                    self.at_end = true;
                    return Ok(None);
                }
                Some(Err(_)) => return Err(AttemptOutcome::ConnectionLost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.parser.push(&data),
                    Err(frame) => self.trailers = frame.into_trailers().ok(),
                },
            }
        }
    }

    async fn next_event_before_timeout(
        &mut self,
        idle_timer: &mut Timer,
        idle_timeout_s: f64,
    ) -> Result<Option<Event>, AttemptOutcome> {
        if let Some(first_event) = self.first_event.take() {
            return Ok(Some(first_event));
        }
        idle_timer.set_after(seconds(idle_timeout_s));
        let next = futures_lite::future::or(async { Some(self.next_event().await) }, async {
            idle_timer.await;
            None
        });
        next.await.unwrap_or(Err(AttemptOutcome::TimedOut))
    }

    /// Forwards events until the stream ends, and returns how it ended.
    pub async fn forward(
        &mut self,
        sink: &mut ResponseSink,
        idle_timeout_s: f64,
        stall_timeout_s: f64,
    ) -> AttemptResult {
        let mut idle_timer = Timer::after(seconds(idle_timeout_s));
        loop {
            let (frame, data) = match self.next_event_before_timeout(&mut idle_timer, idle_timeout_s).await {
                // Without `[DONE]` the stream was cut off, even if its HTTP framing is complete.
                Ok(None) => return ended(AttemptOutcome::ConnectionLost),
                Err(outcome) => return ended(outcome),
                Ok(Some(Event::Done)) => return self.finish(idle_timeout_s).await,
                Ok(Some(Event::Data { data, .. })) if data.starts_with(ERROR_EVENT_PREFIX) => {
                    return ended(AttemptOutcome::ErrorStatus(200));
                }
                Ok(Some(Event::Data { frame, data })) => (frame, data),
            };
            match within(stall_timeout_s, sink.forward(frame, &data)).await {
                Some(Ok(())) => {}
                Some(Err(outcome)) => return ended(outcome),
                None => return ended(AttemptOutcome::Cancelled),
            }
        }
    }

    /// Reads up to the trailers after `[DONE]`. The response is complete by then: further events are not
    /// forwarded.
    async fn finish(&mut self, idle_timeout_s: f64) -> AttemptResult {
        let rest = within(idle_timeout_s, self.next_event()).await;
        let load = self.trailers.as_ref().and_then(load_report);
        let is_clean_end = matches!(rest, Some(Ok(None)));
        AttemptResult { load: load.filter(|_| is_clean_end), ..ended(AttemptOutcome::Completed) }
    }
}

fn is_valid(event: &Event) -> bool {
    match event {
        Event::Done => true,
        Event::Data { data, .. } => serde_json::from_slice::<serde::de::IgnoredAny>(data).is_ok(),
    }
}
