//! Attempts at engines: the exchange with a prefill engine, and the exchange with a decode engine up to the
//! end of its stream.

use super::attempt_failure::AttemptFailure;
use super::engine_stream::EngineStream;
use super::stream_queue::{stream_queue, PieceSender};
use super::{Node, Reply};
use crate::clients::socket::ClientSocket;
use crate::core::engine::{self, ForwardedRequest, ResponseHead};
use crate::core::event_stream::StreamPiece;
use crate::core::{Framing, MalformedMessage, MAX_BODY_BYTES};
use crate::pool::{Connection, ConnectionCloser, ConnectionUse};
use crate::stream_io::ReceiveError;
use nickelgw_node::within;
use nickelgw_node_core::{AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult};
use std::cell::{Cell, RefCell};

/// Progress of an attempt, read when the attempt is cancelled or times out.
#[derive(Default)]
pub(super) struct AttemptProgress {
    /// Whether the request's last byte has been written.
    pub(super) delivered: Cell<bool>,
    /// Whether a part of the request may have been written.
    pub(super) sent: Cell<bool>,
    /// Connection to which the request is written; `None` until there is one.
    pub(super) connection: RefCell<Option<ConnectionCloser>>,
}

impl AttemptProgress {
    /// Gives up the attempt on its connection, if it has one.
    pub(super) fn give_up_connection(&self) {
        if let Some(connection) = self.connection.take() {
            connection.give_up();
        }
    }

    /// Gives up an attempt whose timeout has expired, and returns its failure.
    fn timed_out(&self) -> AttemptFailure {
        self.give_up_connection();
        if self.delivered.get() {
            AttemptOutcome::TimedOut.into()
        } else {
            AttemptOutcome::ConnectFailed.into()
        }
    }
}

/// Response to an attempt at a decode engine.
enum DecodeResponse {
    /// A stream that has begun.
    Stream(Box<EngineStream>),
    /// A whole response of another kind.
    Other(AttemptResult),
}

impl Node {
    /// Carries out an attempt to its end, and returns its result.
    pub(super) async fn execute_attempt(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> Result<AttemptResult, AttemptFailure> {
        // The timeout covers all steps of the attempt together.
        let timeout_s = attempt.timeout_s;
        match attempt.kind {
            AttemptKind::Prefill => within(timeout_s, self.prefill(attempt, forwarded, client, progress))
                .await
                .unwrap_or_else(|| Err(progress.timed_out())),
            AttemptKind::Decode { idle_timeout_s, .. } => {
                let response = self.read_stream_head(attempt, forwarded, client, progress);
                match within(timeout_s, response).await.unwrap_or_else(|| Err(progress.timed_out()))? {
                    DecodeResponse::Other(result) => Ok(result),
                    DecodeResponse::Stream(stream) => {
                        self.forward_stream(attempt, stream, idle_timeout_s).await
                    }
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
    ) -> Result<AttemptResult, AttemptFailure> {
        let (connection, head) = self.send_request(attempt, forwarded, client, progress).await?;
        if head.is_event_stream {
            return Err(MalformedMessage::Kind.into());
        }
        Ok(self.read_unary_body(connection, head, true).await)
    }

    /// Writes the request and reads the head of the response.
    async fn send_request(
        &self,
        attempt: &AttemptRequest,
        forwarded: &ForwardedRequest,
        client: &ClientSocket,
        progress: &AttemptProgress,
    ) -> Result<(Connection, ResponseHead), AttemptFailure> {
        let started_at = self.now();
        let pool = &self.parts.pool;
        let usage = if attempt.runs_once { ConnectionUse::SingleAttempt } else { ConnectionUse::Attempt };
        let mut connection = pool.connection(&attempt.engine.address, usage).await?;
        // Opening the connection may have taken a while, and the attempt begins only now.
        if client.disconnection().is_some() {
            pool.put_idle(connection);
            return Err(AttemptOutcome::NotDelivered.into());
        }
        // No attempt begins at an engine that was announced as draining meanwhile. The outcome is as if the
        // engine had rejected the request.
        if !self.endpoints.borrow().is_active(&attempt.engine.id) {
            return Err(AttemptOutcome::Rejected.into());
        }
        progress.connection.replace(Some(connection.closer()));
        // Opening the connection may have taken a while: the timeout stated to the engine is the time that
        // remains now.
        let remaining_s = attempt.timeout_s - (self.now() - started_at);
        progress.sent.set(true);
        self.attempt_sent(forwarded);
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
        if matches!(head, Ok(_) | Err(ReceiveError::ConnectionEnded)) {
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
    ) -> Result<DecodeResponse, AttemptFailure> {
        let (connection, head) = self.send_request(attempt, forwarded, client, progress).await?;
        if head.status != 200 {
            return Ok(DecodeResponse::Other(self.read_unary_body(connection, head, false).await));
        }
        if !head.is_event_stream || head.framing != Framing::Chunked {
            return Err(MalformedMessage::Kind.into());
        }
        let stream = EngineStream::begin(connection, &head, &self.parts.stream_memory).await?;
        Ok(DecodeResponse::Stream(Box::new(stream)))
    }

    /// Starts the response to the client with this stream, and forwards the stream to its end.
    async fn forward_stream(
        &self,
        attempt: &AttemptRequest,
        stream: Box<EngineStream>,
        idle_timeout_s: f64,
    ) -> Result<AttemptResult, AttemptFailure> {
        if !self.core.borrow_mut().response_started(self.now(), attempt.request, attempt.attempt) {
            return Err(AttemptOutcome::Cancelled.into());
        }
        self.wake();
        tracing::debug!(at = self.now(), request = %attempt.name, "stream started");
        let Some(pending) = self.pending.borrow_mut().remove(&attempt.request) else {
            return Err(AttemptOutcome::Cancelled.into());
        };
        let (sender, receiver) = stream_queue(stream.memory());
        let _ = pending.reply.try_send(Reply::Stream(receiver));
        self.forward_pieces(attempt, stream, idle_timeout_s, sender).await
    }

    /// Forwards a stream as it arrives, and returns the attempt's result.
    async fn forward_pieces(
        &self,
        attempt: &AttemptRequest,
        mut stream: Box<EngineStream>,
        idle_timeout_s: f64,
        sender: PieceSender,
    ) -> Result<AttemptResult, AttemptFailure> {
        let mut load = stream.take_load();
        let mut piece = StreamPiece::Events(stream.take_first());
        loop {
            if let StreamPiece::Events(events) = &piece {
                load = engine::load_report_in_comment(events).or(load);
            }
            let is_end = piece == StreamPiece::End;
            if sender.send(piece).await.is_err() {
                return Err(AttemptOutcome::Cancelled.into());
            }
            if is_end {
                tracing::debug!(at = self.now(), request = %attempt.name, "stream finished");
                if let Some(connection) = stream.into_connection() {
                    self.parts.pool.put_idle(connection);
                }
                return Ok(AttemptResult { outcome: AttemptOutcome::Completed, load, cached_tokens: 0.0 });
            }
            // While the client takes nothing, nothing more is read for it.
            sender.room().await;
            piece = stream.next_piece(idle_timeout_s).await?;
        }
    }
}
