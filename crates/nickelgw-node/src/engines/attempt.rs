//! Runs prefill and decode attempts.

use super::decode_stream::DecodeStream;
use super::{load_report, EngineClient};
use crate::client::read_body;
use crate::clock::{seconds, within};
use crate::events::{Event, TimedEvent};
use crate::replies::ResponseSink;
use async_channel::bounded;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, TE};
use hyper::{Method, Request};
use nickelgw_node_core::{AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult, Reservation};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{decode_request_body, prefill_request_body, KvTransfer, PrefillResponse};
use nickelgw_protocol::{ATTEMPT_ID_HEADER, REQUEST_ID_HEADER};
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;

/// One attempt as the event loop starts it.
pub struct Attempt {
    /// The core's request for this attempt.
    pub attempt_request: AttemptRequest,
    /// The request id, as in the `x-request-id` header.
    pub request_id: Rc<str>,
    /// The client's request.
    pub chat: Rc<ChatRequest>,
    /// Set once a byte of the attempt may have been sent.
    pub sent: Rc<Cell<bool>>,
}

impl Attempt {
    /// Returns the outcome of a timeout. If nothing was sent yet, the engine counts as not reached.
    fn timeout_outcome(&self) -> AttemptOutcome {
        match self.sent.get() {
            true => AttemptOutcome::TimedOut,
            false => AttemptOutcome::ConnectFailed,
        }
    }
}

fn ended(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, ..AttemptResult::default() }
}

/// Tells the decode engine where to fetch the KV cache, with the grant that permits it.
fn kv_transfer(reservation: &Reservation, grant: Option<&String>) -> KvTransfer {
    let prefill_engine = &reservation.prefill_engine;
    KvTransfer {
        do_remote_prefill: true,
        remote_request_id: Some(reservation.name.to_string()),
        remote_engine_id: Some(prefill_engine.id.clone()),
        remote_host: Some(prefill_engine.address.clone()),
        remote_tls_name: prefill_engine.tls_name.clone(),
        remote_grant: grant.cloned(),
        ..KvTransfer::default()
    }
}

impl EngineClient {
    /// Makes one attempt and reports how it ended. Dropping the future closes the attempt's connection.
    pub async fn run_attempt(self: Rc<Self>, attempt: Attempt) {
        let (result, sink) = match &attempt.attempt_request.kind {
            AttemptKind::Prefill => (self.prefill(&attempt).await, None),
            AttemptKind::Decode { reservation, grant, idle_timeout_s } => {
                let transfer =
                    reservation.as_ref().map(|reservation| kv_transfer(reservation, grant.as_ref()));
                self.decode(&attempt, transfer, *idle_timeout_s).await
            }
        };
        let (request_id, number) = (attempt.attempt_request.request, attempt.attempt_request.attempt);
        self.report(Event::AttemptEnded { request_id, attempt: number, result, sink }).await;
    }

    fn completion_request(&self, attempt: &Attempt, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let attempt_request = &attempt.attempt_request;
        let builder = self.request(Method::POST, &attempt_request.engine.address, "/v1/chat/completions");
        let builder = builder.header(CONTENT_TYPE, "application/json").header(TE, "trailers");
        let builder = builder
            .header(REQUEST_ID_HEADER, &*attempt.request_id)
            .header(ATTEMPT_ID_HEADER, &attempt_request.name);
        builder.body(Full::new(body)).ok()
    }

    async fn prefill(&self, attempt: &Attempt) -> AttemptResult {
        let attempt_request = &attempt.attempt_request;
        let body = prefill_request_body(&attempt.chat).ok();
        let request = body.and_then(|body| self.completion_request(attempt, body));
        let Some(request) = request else { return AttemptResult::default() };
        let fetch = self.pool.fetch(self.peer(&attempt_request.engine, Some(&attempt.sent)), &request);
        let (status, headers, body) = match within(attempt_request.timeout_s, fetch).await {
            None => return ended(attempt.timeout_outcome()),
            Some(Err(outcome)) => return ended(outcome),
            Some(Ok(response)) => response,
        };
        let load = load_report(&headers);
        if status != 200 {
            return AttemptResult { load, ..ended(AttemptOutcome::from_status(status, &body)) };
        }
        match PrefillResponse::parse(&body) {
            Ok(response)
                if response.kv_transfer_params.remote_request_id.as_deref()
                    == Some(&attempt_request.name) =>
            {
                let details = response.usage.prompt_tokens_details.unwrap_or_default();
                let cached_tokens = details.cached_tokens as f64;
                AttemptResult { outcome: AttemptOutcome::Prefilled, load, cached_tokens }
            }
            _ => AttemptResult { load, ..ended(AttemptOutcome::Malformed) },
        }
    }

    async fn decode(
        &self,
        attempt: &Attempt,
        transfer: Option<KvTransfer>,
        idle_timeout_s: f64,
    ) -> (AttemptResult, Option<ResponseSink>) {
        let body = decode_request_body(&attempt.chat, transfer.as_ref()).ok();
        let request = body.and_then(|body| self.completion_request(attempt, body));
        let Some(request) = request else { return (ended(AttemptOutcome::NotDelivered), None) };
        let mut stream = match self.begin_stream_before_timeout(attempt, &request).await {
            Err(result) => return (result, None),
            Ok(stream) => stream,
        };
        let Some(mut sink) = self.request_sink(attempt).await else {
            return (ended(AttemptOutcome::Cancelled), None);
        };
        let stall_timeout_s = self.limits.client_stall_timeout_s;
        let result = stream.forward(&mut sink, idle_timeout_s, stall_timeout_s).await;
        // A connection with unread bytes is not returned: the next response on it would begin with them.
        if result.outcome == AttemptOutcome::Completed && stream.is_at_end() {
            self.pool.return_connection(stream.into_connection());
        }
        (result, Some(sink))
    }

    async fn begin_stream_before_timeout(
        &self,
        attempt: &Attempt,
        request: &Request<Full<Bytes>>,
    ) -> Result<DecodeStream, AttemptResult> {
        let mut timeout = Timer::after(seconds(attempt.attempt_request.timeout_s));
        let begun =
            futures_lite::future::or(async { Some(self.begin_stream(attempt, request).await) }, async {
                (&mut timeout).await;
                None
            });
        begun.await.unwrap_or_else(|| Err(ended(attempt.timeout_outcome())))
    }

    /// Returns the client's response sink, or `None` if this attempt may not respond because another attempt
    /// already does or the client has disconnected. The core regards this attempt as ended then.
    async fn request_sink(&self, attempt: &Attempt) -> Option<ResponseSink> {
        let (reply_to, replied) = bounded(1);
        let (request_id, number) = (attempt.attempt_request.request, attempt.attempt_request.attempt);
        let started = Event::ResponseStarted { request_id, attempt: number, reply_to };
        self.events.send(TimedEvent::new(started)).await.ok()?;
        replied.recv().await.ok()
    }

    /// Makes the call and reads up to the first event of the stream.
    async fn begin_stream(
        &self,
        attempt: &Attempt,
        request: &Request<Full<Bytes>>,
    ) -> Result<DecodeStream, AttemptResult> {
        let peer = self.peer(&attempt.attempt_request.engine, Some(&attempt.sent));
        let (response, connection) = self.pool.call(peer, request).await.map_err(ended)?;
        let (head, body) = response.into_parts();
        let load = load_report(&head.headers);
        let failed = |outcome| AttemptResult { load: load.clone(), ..ended(outcome) };
        let status = head.status.as_u16();
        if status != 200 {
            let body = read_body(body).await.map_err(failed)?;
            self.pool.return_connection(connection);
            return Err(failed(AttemptOutcome::from_status(status, &body)));
        }
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        if !content_type.unwrap_or("").starts_with("text/event-stream") {
            return Err(failed(AttemptOutcome::Malformed));
        }
        let mut stream = DecodeStream::new(body, connection);
        stream.read_first_event().await.map_err(failed)?;
        Ok(stream)
    }
}
