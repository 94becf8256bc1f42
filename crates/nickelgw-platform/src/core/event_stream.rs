//! Decoder of server-sent events in a chunked body. It returns only complete events, each as soon as it is
//! complete, independently of the chunk boundaries, and the end only of a stream that is whole.

use super::chunked::{ChunkedDecoder, DecodeStep};
use super::stream_completeness::{lines, may_end_stream, StreamCompleteness};
use super::{MalformedMessage, MAX_BODY_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// Part of a stream that can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPiece {
    /// One complete event, or several if an engine wrote them into one chunk.
    Events(Bytes),
    /// The stream is whole.
    End,
}

/// Names of the fields that an event's lines may have.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Decoder of one stream of events.
#[derive(Debug, Default)]
pub struct EventStreamDecoder {
    chunked: ChunkedDecoder,
    /// Bytes received of events that are not complete.
    pending: BytesMut,
    /// Number of bytes at the start of `pending` that have been searched and contain no event's end.
    scanned: usize,
    completeness: StreamCompleteness,
    /// Length of the returned events that had data.
    returned_bytes: usize,
    /// Error found after events that were complete; the next call returns it.
    error: Option<MalformedMessage>,
}

impl EventStreamDecoder {
    /// Takes the events that have become complete out of the buffer; `None` if no event has.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<StreamPiece>, MalformedMessage> {
        if let Some(error) = self.error {
            return Err(error);
        }
        // Decoded chunk by chunk: if an engine writes one event per chunk, each of its events is a piece of
        // its own.
        let complete = loop {
            let decoded_from = self.pending.len();
            let step = self.chunked.decode(buffer, &mut self.pending, MAX_BODY_BYTES);
            // Noise is recognized before its event ends, which it may never do.
            if self.pending.iter().skip(decoded_from).any(is_noise) {
                self.error = Some(MalformedMessage::Events);
                return Err(MalformedMessage::Events);
            }
            let complete =
                if step == Ok(DecodeStep::BodyEnd) { self.final_length()? } else { self.complete_length() };
            self.error = step.err();
            if complete > 0 {
                break complete;
            }
            match step {
                Err(error) => return Err(error),
                Ok(DecodeStep::BodyEnd) if self.completeness.is_whole() => {
                    return Ok(Some(StreamPiece::End));
                }
                Ok(DecodeStep::BodyEnd) => return Err(MalformedMessage::Incomplete),
                Ok(_) if self.pending.len() > MAX_BODY_BYTES => return Err(MalformedMessage::TooLong),
                Ok(DecodeStep::Incomplete) => return Ok(None),
                Ok(DecodeStep::ChunkEnd) => {}
            }
        };
        let events = self.take_pending(complete);
        // If a chunk's size is too large, the size line of the next chunk is taken for data: that is no event
        // of an engine.
        if !is_event_stream(&events) {
            self.error = Some(MalformedMessage::Events);
            return Err(MalformedMessage::Events);
        }
        if self.completeness.record(&events) {
            self.returned_bytes += events.len();
        }
        Ok(Some(StreamPiece::Events(events)))
    }

    /// Returns whether the chunk that contains the end of the last returned piece is still arriving.
    pub fn in_chunk(&self) -> bool {
        self.chunked.in_chunk()
    }

    /// Takes bytes out of the buffer of events that are arriving, into memory of exactly their size.
    fn take_pending(&mut self, length: usize) -> Bytes {
        let events = Bytes::copy_from_slice(&self.pending[..length]);
        self.pending.advance(length);
        self.scanned = 0;
        if self.pending.is_empty() {
            // The buffer of a long event is not kept for the next ones.
            self.pending = BytesMut::new();
        }
        events
    }

    /// Returns how many bytes of an event that is not complete have arrived.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an event with data has been returned.
    pub fn has_data(&self) -> bool {
        self.returned_bytes > 0
    }

    /// Returns the number of bytes of events that have been returned.
    pub fn returned_bytes(&self) -> usize {
        self.returned_bytes
    }

    /// Returns the number of bytes of events that have arrived. Comments, empty lines and noise are no events.
    pub fn event_bytes(&self) -> usize {
        let pending = if begins_event(&self.pending) { self.pending.len() } else { 0 };
        self.returned_bytes + pending
    }

    /// Returns the length of what is still to be returned at the end of the body, which also ends its last event.
    fn final_length(&self) -> Result<usize, MalformedMessage> {
        if may_end_stream(&self.pending) {
            Ok(self.pending.len())
        } else {
            Err(MalformedMessage::Incomplete)
        }
    }

    /// Returns the length of the complete events at the start of `pending`: up to the last empty line.
    fn complete_length(&mut self) -> usize {
        // The first bytes of an event's end may be among those already scanned.
        let from = self.scanned.saturating_sub(2);
        self.scanned = self.pending.len();
        let unscanned = self.pending.get(from..).unwrap_or_default();
        let ends_event = |length: &usize| {
            let before = unscanned.get(..*length).unwrap_or_default();
            before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
        };
        (1..=unscanned.len()).rev().find(ends_event).map_or(0, |length| from + length)
    }
}

/// Returns whether no event has this byte: control characters other than tabs and line ends.
fn is_noise(byte: &u8) -> bool {
    byte.is_ascii_control() && !matches!(byte, b'\t' | b'\r' | b'\n')
}

/// Returns whether these bytes, not yet a whole line perhaps, begin with a field of an event.
fn begins_event(bytes: &[u8]) -> bool {
    let begins_with = |name: &&[u8]| match bytes.get(name.len()) {
        Some(separator) => bytes.starts_with(name) && *separator == b':',
        None => !bytes.is_empty() && name.starts_with(bytes),
    };
    FIELD_NAMES.iter().any(begins_with)
}

/// Returns whether the field name of each line is one that events may have.
fn is_event_stream(events: &[u8]) -> bool {
    let is_field = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.is_empty() || FIELD_NAMES.contains(&name)
    };
    lines(events).all(is_field)
}
