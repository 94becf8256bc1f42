//! Attempts at engines: the exchange with a prefill engine, and the exchange with a decode engine up to the
//! end of its stream.

use super::attempt_failure::AttemptFailure;
use super::stream_memory::StreamMemoryUse;
use super::stream_queue::{stream_queue, PieceSender};
use super::{Node, Reply};
use crate::clients::socket::ClientSocket;
use crate::core::engine::{self, ForwardedRequest, ResponseHead};
use crate::core::event_stream::{EventStreamDecoder, StreamPiece};
use crate::core::{Framing, MalformedMessage, MAX_BODY_BYTES};
use crate::pool::{Connection, ConnectionCloser, ConnectionUse};
use crate::stream_io::ReceiveError;
use bytes::{Bytes, BytesMut};
use nickelgw_node::within;
use nickelgw_node_core::{AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult};
use nickelgw_protocol::load::LoadReport;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Time for which the first event is held back until the rest of its chunk arrives. Events have to be
/// forwarded within 0.3 s (the platform's protocol).
const FIRST_EVENT_DELAY_S: f64 = 0.1;

/// Time without a byte after which an event that is arriving counts as broken off, if the stream has been without a whole
/// event for long: an engine may stop inside an event, and its client may not wait longer than otherwise.
const PART_TIMEOUT_S: f64 = 2.0;
/// Longest time for which one event may arrive, however steadily its bytes come.
const EVENT_TIMEOUT_S: f64 = 60.0;

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

/// A stream whose head has arrived.
struct StartedStream {
    memory: Rc<StreamMemoryUse>,
    connection: Connection,
    decoder: EventStreamDecoder,
    /// The first event, and the comments before it.
    first: Bytes,
    /// Time in seconds for which bytes were awaited since the last event was complete.
    event_idle_s: f64,
    /// Time in seconds for which bytes were awaited since the last ones of an event.
    byte_idle_s: f64,
    /// Piece after the first event, if it arrived while the rest of that event's chunk was awaited.
    next: Option<StreamPiece>,
    /// Whether the connection can carry another request after the stream.
    reusable: bool,
    load: Option<LoadReport>,
}

/// Response to an attempt at a decode engine.
enum DecodeResponse {
    /// A stream that has begun.
    Stream(Box<StartedStream>),
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
        let mut stream = StartedStream {
            reusable: !head.closes_connection,
            load: head.load,
            memory: StreamMemoryUse::new(&self.parts.stream_memory),
            connection,
            decoder: EventStreamDecoder::default(),
            first: Bytes::new(),
            event_idle_s: 0.0,
            byte_idle_s: 0.0,
            next: None,
        };
        stream.read_first_event().await?;
        // In most cases this wait detects a chunk that is truncated or does not match its size before any of
        // it is forwarded.
        if stream.decoder.in_chunk() {
            if let Some(next) = within(FIRST_EVENT_DELAY_S, stream.read_piece(EVENT_TIMEOUT_S)).await {
                stream.next = Some(next?);
            }
        }
        Ok(DecodeResponse::Stream(Box::new(stream)))
    }

    /// Starts the response to the client with this stream, and forwards the stream to its end.
    async fn forward_stream(
        &self,
        attempt: &AttemptRequest,
        stream: Box<StartedStream>,
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
        let (sender, receiver) = stream_queue(&stream.memory);
        let _ = pending.reply.try_send(Reply::Stream(receiver));
        self.forward_pieces(attempt, stream, idle_timeout_s, sender).await
    }

    /// Forwards a stream as it arrives, and returns the attempt's result.
    async fn forward_pieces(
        &self,
        attempt: &AttemptRequest,
        mut stream: Box<StartedStream>,
        idle_timeout_s: f64,
        sender: PieceSender,
    ) -> Result<AttemptResult, AttemptFailure> {
        let mut load = stream.load.take();
        let mut piece = StreamPiece::Events(std::mem::take(&mut stream.first));
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
                if stream.reusable {
                    stream.connection.set_stream_ended();
                    self.parts.pool.put_idle(stream.connection);
                }
                return Ok(AttemptResult { outcome: AttemptOutcome::Completed, load, cached_tokens: 0.0 });
            }
            // While the client takes nothing, nothing more is read for it.
            sender.room().await;
            piece = stream.next_piece(idle_timeout_s).await?;
        }
    }
}

impl StartedStream {
    /// Reads a stream up to the end of its first event, with the comments before it: they are no event, and a stream that
    /// ends after them can still be replaced by another.
    async fn read_first_event(&mut self) -> Result<(), AttemptFailure> {
        let mut first = BytesMut::new();
        while !self.decoder.has_data() {
            match self.read_some().await? {
                None => {}
                Some(StreamPiece::Events(events)) => first.extend_from_slice(&events),
                Some(StreamPiece::End) => return Err(MalformedMessage::Incomplete.into()),
            }
            if first.len() > MAX_BODY_BYTES {
                return Err(MalformedMessage::TooLong.into());
            }
        }
        self.first = first.freeze();
        Ok(())
    }

    /// Waits for memory, and then for the next bytes. Returns a piece if they complete one.
    async fn read_some(&mut self) -> Result<Option<StreamPiece>, AttemptFailure> {
        self.memory.reserve(self.decoder.pending_bytes()).await?;
        Ok(self.connection.read_stream(&mut self.decoder).await?)
    }

    async fn next_piece(&mut self, idle_timeout_s: f64) -> Result<StreamPiece, AttemptFailure> {
        if let Some(piece) = self.next.take() {
            return Ok(piece);
        }
        let piece = self.read_piece(idle_timeout_s);
        within(EVENT_TIMEOUT_S, piece).await.unwrap_or(Err(AttemptOutcome::TimedOut.into()))
    }

    /// Reads until a piece is complete. An engine may write an event slowly: while its bytes come the stream is not idle.
    /// What is no event does not count.
    async fn read_piece(&mut self, idle_timeout_s: f64) -> Result<StreamPiece, AttemptFailure> {
        loop {
            let remaining_s = (idle_timeout_s - self.event_idle_s).max(PART_TIMEOUT_S - self.byte_idle_s);
            let (bytes, returned) = (self.decoder.event_bytes(), self.decoder.returned_bytes());
            let read_at = Instant::now();
            let piece = within(remaining_s, self.read_some()).await.ok_or(AttemptOutcome::TimedOut)??;
            let waited_s = read_at.elapsed().as_secs_f64();
            self.event_idle_s =
                if self.decoder.returned_bytes() > returned { 0.0 } else { self.event_idle_s + waited_s };
            self.byte_idle_s =
                if self.decoder.event_bytes() > bytes { 0.0 } else { self.byte_idle_s + waited_s };
            if let Some(piece) = piece {
                return Ok(piece);
            }
        }
    }
}
