//! Attempts at engines: the exchange with a prefill engine, and the exchange with a decode engine up to the
//! end of its stream.

use super::stream_queue::{stream_queue, PieceSender};
use super::{Node, Reply};
use crate::clients::socket::ClientSocket;
use crate::core::engine::{self, ForwardedRequest, ResponseHead};
use crate::core::event_stream::{EventStreamDecoder, StreamPiece};
use crate::core::{Framing, MAX_BODY_BYTES};
use crate::pool::{Connection, ConnectionCloser, ConnectionUse};
use bytes::Bytes;
use nickelgw_node::within;
use nickelgw_node_core::{AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult};
use nickelgw_protocol::load::LoadReport;
use std::cell::{Cell, RefCell};

/// Time for which the first event is held back until the rest of its chunk arrives. Events have to be
/// forwarded within 0.3 s (the platform's protocol).
const FIRST_EVENT_DELAY_S: f64 = 0.1;

/// Progress of an attempt, read when the attempt is cancelled or times out.
#[derive(Default)]
pub(super) struct AttemptProgress {
    /// Whether the request's last byte has been written.
    pub(super) delivered: Cell<bool>,
    /// Connection to which the request is written; `None` until there is one.
    pub(super) connection: RefCell<Option<ConnectionCloser>>,
}

impl AttemptProgress {
    /// Returns the result of an attempt whose timeout has expired.
    fn timed_out(&self) -> AttemptResult {
        if self.delivered.get() {
            result_with(AttemptOutcome::TimedOut)
        } else {
            result_with(AttemptOutcome::ConnectFailed)
        }
    }
}

/// A stream whose first event has arrived.
struct StartedStream {
    connection: Connection,
    decoder: EventStreamDecoder,
    first: Bytes,
    /// Piece after the first event, if it arrived while the rest of that event's chunk was awaited.
    next: Option<StreamPiece>,
    /// Whether the connection can carry another request after the stream.
    reusable: bool,
    load: Option<LoadReport>,
}

/// Returns a result with this outcome, without a load report and cached tokens.
fn result_with(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, ..AttemptResult::default() }
}

impl Node {
    /// Carries out an attempt to its end, and returns its result.
    pub(super) async fn execute_attempt(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        // The timeout covers all steps of the attempt together.
        let timeout_s = attempt.timeout_s;
        match attempt.kind {
            AttemptKind::Prefill => within(timeout_s, self.prefill(attempt, forwarded, client, progress))
                .await
                .unwrap_or_else(|| progress.timed_out()),
            AttemptKind::Decode { idle_timeout_s, .. } => {
                match within(timeout_s, self.read_stream_head(attempt, forwarded, client, progress)).await {
                    None => progress.timed_out(),
                    Some(Err(result)) => result,
                    Some(Ok(stream)) => self.forward_stream(attempt, stream, idle_timeout_s).await,
                }
            }
        }
    }

    async fn prefill(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        match self.send_request(attempt, forwarded, client, progress).await {
            Err(outcome) => result_with(outcome),
            Ok((_, head)) if head.is_event_stream => result_with(AttemptOutcome::Malformed),
            Ok((connection, head)) => self.read_unary_body(connection, head, true).await,
        }
    }

    /// Writes the request and reads the head of the response.
    async fn send_request(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> Result<(Connection, ResponseHead), AttemptOutcome> {
        let started_at = self.now();
        let pool = &self.parts.pool;
        let usage = if attempt.runs_once { ConnectionUse::SingleAttempt } else { ConnectionUse::Attempt };
        let mut connection = pool.connection(&attempt.engine.address, usage).await?;
        // Opening the connection may have taken a while, and the attempt begins only now.
        if client.disconnection().is_some() {
            pool.put_idle(connection);
            return Err(AttemptOutcome::NotDelivered);
        }
        // No attempt begins at an engine that was announced as draining meanwhile. The outcome is as if the
        // engine had rejected the request.
        if !self.endpoints.borrow().is_active(&attempt.engine.id) {
            return Err(AttemptOutcome::Rejected);
        }
        progress.connection.replace(Some(connection.closer()));
        // Opening the connection may have taken a while: the timeout stated to the engine is the time that
        // remains now.
        let remaining_s = attempt.timeout_s - (self.now() - started_at);
        let parts = forwarded.encode(&attempt.engine.address, remaining_s);
        connection.write(&parts, &progress.delivered).await?;
        tracing::debug!(
            at = self.now(),
            request = %forwarded.id,
            attempt = attempt.attempt,
            idle_s = connection.idle_s(),
            "attempt written"
        );
        let head = connection.response_head().await;
        if head.is_ok() || head == Err(AttemptOutcome::ConnectionLost) {
            pool.record_use(&connection, head.is_ok());
        }
        Ok((connection, head?))
    }

    /// Reads a response that is not a stream to its end.
    async fn read_unary_body(
        &self,
        mut connection: Connection,
        head: ResponseHead,
        is_prefill: bool,
    ) -> AttemptResult {
        let outcome = engine::unary_outcome(&head, is_prefill);
        // The status has decided the outcome: a truncated body affects only the connection.
        let cached_tokens = match connection.body(&head, MAX_BODY_BYTES).await {
            Ok((body, reusable)) => {
                if reusable {
                    self.parts.pool.put_idle(connection);
                }
                engine::cached_tokens(&body)
            }
            Err(_) => 0.0,
        };
        AttemptResult { outcome, load: head.load, cached_tokens }
    }

    /// Sends the request and reads the stream up to the end of its first event: none of that event is
    /// forwarded before it is complete.
    async fn read_stream_head(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> Result<StartedStream, AttemptResult> {
        let sent = self.send_request(attempt, forwarded, client, progress).await;
        let (mut connection, head) = sent.map_err(result_with)?;
        if head.status != 200 {
            return Err(self.read_unary_body(connection, head, false).await);
        }
        if !head.is_event_stream || head.framing != Framing::Chunked {
            return Err(result_with(AttemptOutcome::Malformed));
        }
        let mut decoder = EventStreamDecoder::default();
        let piece = connection.stream_piece(&mut decoder).await.map_err(result_with)?;
        let StreamPiece::Events(first) = piece else {
            return Err(result_with(AttemptOutcome::Malformed));
        };
        let reusable = !head.closes_connection;
        let mut stream = StartedStream { connection, decoder, first, next: None, reusable, load: head.load };
        // In most cases this wait detects a chunk that is truncated or does not match its size before any of
        // it is forwarded.
        if stream.decoder.in_chunk() {
            let next = stream.connection.stream_piece(&mut stream.decoder);
            match within(FIRST_EVENT_DELAY_S, next).await {
                None => {}
                Some(next) => stream.next = Some(next.map_err(result_with)?),
            }
        }
        Ok(stream)
    }

    /// Starts the response to the client with this stream, and forwards the stream to its end.
    async fn forward_stream(
        &self,
        attempt: &AttemptRequest,
        stream: StartedStream,
        idle_timeout_s: f64,
    ) -> AttemptResult {
        if !self.core.borrow_mut().response_started(self.now(), attempt.request, attempt.attempt) {
            return result_with(AttemptOutcome::Cancelled);
        }
        self.wake();
        tracing::debug!(at = self.now(), request = %attempt.name, "stream started");
        let Some(pending) = self.pending.borrow_mut().remove(&attempt.request) else {
            return result_with(AttemptOutcome::Cancelled);
        };
        let (sender, receiver) = stream_queue();
        let _ = pending.reply.try_send(Reply::Stream(receiver));
        self.forward_pieces(attempt, stream, idle_timeout_s, sender).await
    }

    /// Forwards a stream as it arrives, and returns the attempt's result.
    async fn forward_pieces(
        &self,
        attempt: &AttemptRequest,
        mut stream: StartedStream,
        idle_timeout_s: f64,
        sender: PieceSender,
    ) -> AttemptResult {
        let mut load = stream.load.take();
        let mut next = Ok(StreamPiece::Events(std::mem::take(&mut stream.first)));
        loop {
            let piece = match next {
                Ok(piece) => piece,
                Err(outcome) => return result_with(outcome),
            };
            if let StreamPiece::Events(events) = &piece {
                load = engine::load_report_in_comment(events).or(load);
            }
            let is_end = piece == StreamPiece::End;
            if sender.send(piece).await.is_err() {
                return result_with(AttemptOutcome::Cancelled);
            }
            if is_end {
                tracing::debug!(at = self.now(), request = %attempt.name, "stream finished");
                if stream.reusable {
                    stream.connection.set_stream_ended();
                    self.parts.pool.put_idle(stream.connection);
                }
                return AttemptResult { outcome: AttemptOutcome::Completed, load, cached_tokens: 0.0 };
            }
            next = stream.next_piece(idle_timeout_s).await;
        }
    }
}

impl StartedStream {
    async fn next_piece(&mut self, idle_timeout_s: f64) -> Result<StreamPiece, AttemptOutcome> {
        match self.next.take() {
            Some(piece) => Ok(piece),
            None => {
                let piece = self.connection.stream_piece(&mut self.decoder);
                within(idle_timeout_s, piece).await.unwrap_or(Err(AttemptOutcome::TimedOut))
            }
        }
    }
}
