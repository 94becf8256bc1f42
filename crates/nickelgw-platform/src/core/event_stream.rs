//! Server-sent events decoded from a chunked body: only complete ones, as soon as they are complete, whatever the chunks.

use super::chunked::{ChunkedDecoder, DecodeStep};
use super::{MalformedMessage, MAX_BODY_BYTES};
use bytes::{Bytes, BytesMut};

/// A part of a stream that can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPiece {
    /// One complete event, or several that an engine wrote into one chunk.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The fields that an event's lines may have.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Decoder of one stream of events.
#[derive(Debug, Default)]
pub struct EventStreamDecoder {
    chunked: ChunkedDecoder,
    /// What has arrived of events that are not complete.
    pending: BytesMut,
    /// Bytes of it in which no event ends.
    scanned: usize,
    /// Found behind events that were complete before it.
    error: Option<MalformedMessage>,
}

impl EventStreamDecoder {
    /// Removes what has become complete from the buffer; none until something has.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<StreamPiece>, MalformedMessage> {
        if let Some(error) = self.error {
            return Err(error);
        }
        // Chunk by chunk: where an engine writes one for each event they stay as they are.
        let complete = loop {
            let step = self.chunked.decode(buffer, &mut self.pending, MAX_BODY_BYTES);
            // The body's end ends its last event too.
            let complete =
                if step == Ok(DecodeStep::BodyEnd) { self.pending.len() } else { self.complete_length() };
            self.error = step.err();
            if complete > 0 {
                break complete;
            }
            match step {
                Err(error) => return Err(error),
                Ok(DecodeStep::BodyEnd) => return Ok(Some(StreamPiece::End)),
                Ok(_) if self.pending.len() > MAX_BODY_BYTES => return Err(MalformedMessage::TooLong),
                Ok(DecodeStep::Incomplete) => return Ok(None),
                Ok(DecodeStep::ChunkEnd) => {}
            }
        };
        let events = self.pending.split_to(complete).freeze();
        self.scanned = 0;
        // A size that does not match lets the next chunk's line into the data: no engine made that.
        if !is_event_stream(&events) {
            self.error = Some(MalformedMessage::Events);
            return Err(MalformedMessage::Events);
        }
        Ok(Some(StreamPiece::Events(events)))
    }

    /// Whether the chunk of the piece that was returned last is still arriving.
    pub fn in_chunk(&self) -> bool {
        self.chunked.in_chunk()
    }

    /// Length of the complete events in front: up to the last empty line.
    fn complete_length(&mut self) -> usize {
        // The line before an end may have been scanned before.
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

/// Whether each line has a field that events may have.
fn is_event_stream(events: &[u8]) -> bool {
    let is_field = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.is_empty() || FIELD_NAMES.contains(&name)
    };
    let mut lines = events.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.all(is_field)
}
