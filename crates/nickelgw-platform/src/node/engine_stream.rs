//! The stream of events of a decode engine: its first event, and the pieces after it.

use super::attempt_failure::AttemptFailure;
use super::stream_memory::{StreamMemory, StreamMemoryUse};
use crate::core::engine::ResponseHead;
use crate::core::event_stream::{EventStreamDecoder, StreamPiece};
use crate::core::{MalformedMessage, MAX_BODY_BYTES};
use crate::pool::Connection;
use bytes::{Bytes, BytesMut};
use nickelgw_node::within;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_protocol::load::LoadReport;
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

/// A stream of which the first event has arrived.
pub(super) struct EngineStream {
    memory: Rc<StreamMemoryUse>,
    connection: Connection,
    decoder: EventStreamDecoder,
    /// The first event, and the comments before it.
    first: Bytes,
    /// Piece after the first event, if it arrived while the rest of that event's chunk was awaited.
    next: Option<StreamPiece>,
    /// Time in seconds for which bytes were awaited since the last event was complete.
    event_idle_s: f64,
    /// Time in seconds for which bytes were awaited since the last ones of an event.
    byte_idle_s: f64,
    /// Whether the connection can carry another request after the stream.
    is_reusable: bool,
    load: Option<LoadReport>,
}

impl EngineStream {
    /// Reads the stream with this head up to the end of its first event.
    pub(super) async fn begin(
        connection: Connection,
        head: &ResponseHead,
        memory: &Rc<StreamMemory>,
    ) -> Result<EngineStream, AttemptFailure> {
        let mut stream = EngineStream {
            memory: StreamMemoryUse::new(memory),
            connection,
            decoder: EventStreamDecoder::default(),
            first: Bytes::new(),
            next: None,
            event_idle_s: 0.0,
            byte_idle_s: 0.0,
            is_reusable: !head.closes_connection,
            load: head.load.clone(),
        };
        stream.read_first_event().await?;
        // In most cases this wait detects a chunk that is truncated or does not match its size before any of
        // it is forwarded.
        if stream.decoder.in_chunk() {
            if let Some(next) = within(FIRST_EVENT_DELAY_S, stream.read_piece(EVENT_TIMEOUT_S)).await {
                stream.next = Some(next?);
            }
        }
        Ok(stream)
    }

    /// Returns the stream's use of memory.
    pub(super) fn memory(&self) -> &Rc<StreamMemoryUse> {
        &self.memory
    }

    /// Takes out the load report of the head.
    pub(super) fn take_load(&mut self) -> Option<LoadReport> {
        self.load.take()
    }

    /// Takes out the first event, with the comments before it.
    pub(super) fn take_first(&mut self) -> Bytes {
        std::mem::take(&mut self.first)
    }

    /// Returns the connection after the end of the stream, if it can carry another request.
    pub(super) fn into_connection(mut self) -> Option<Connection> {
        self.connection.set_stream_ended();
        self.is_reusable.then_some(self.connection)
    }

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

    /// Reads the next piece. Fails if none comes within `idle_timeout_s` seconds.
    pub(super) async fn next_piece(&mut self, idle_timeout_s: f64) -> Result<StreamPiece, AttemptFailure> {
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
