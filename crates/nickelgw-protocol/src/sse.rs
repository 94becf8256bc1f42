//! Server-sent events as engines stream them: `data:` lines, a blank line after each event, and `[DONE]` as
//! the last event.

use crate::Malformed;
use bytes::{Buf, Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Maximum size of an event. It bounds the buffer if a peer never ends an event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Number of bytes that are searched again when more bytes arrive: the longest boundary has four bytes, so up
/// to three of them may be in the part already searched.
const BOUNDARY_OVERLAP: usize = 3;

/// Event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An event with data.
    Data {
        /// Event with its framing, byte for byte as received.
        frame: Bytes,
        /// Data of the event without the framing.
        data: Bytes,
    },
    /// End of the stream.
    Done,
}

/// Splits a byte stream into events. The bytes of an event are returned as received.
#[derive(Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Length of the part at the beginning of the buffer that contains no boundary.
    searched: usize,
}

/// End of an event in the buffer.
struct Boundary {
    /// Offset of the event's end.
    end: usize,
    /// Length of the blank line after it.
    gap: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete event are buffered. At the end of a stream, this means that it
    /// was truncated.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.iter().all(|byte| byte.is_ascii_whitespace())
    }

    /// Returns the next complete event. Comments and empty events are skipped. `None` if more bytes are
    /// needed.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some(Boundary { end, gap }) = self.find_boundary() {
            let frame = self.buffer.split_to(end + gap).freeze();
            self.searched = 0;
            match event_data(&frame, end)? {
                None => continue,
                Some(data) if &data[..] == DONE_DATA => return Ok(Some(Event::Done)),
                Some(data) => return Ok(Some(Event::Data { frame, data })),
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Malformed::Stream("an event exceeds the maximum size"));
        }
        Ok(None)
    }

    fn find_boundary(&mut self) -> Option<Boundary> {
        while matches!(self.buffer.first(), Some(b'\n' | b'\r')) {
            self.buffer.advance(1);
            self.searched = 0;
        }
        let from = self.searched.saturating_sub(BOUNDARY_OVERLAP);
        for i in from..self.buffer.len().saturating_sub(1) {
            if self.buffer[i] == b'\n' && self.buffer[i + 1] == b'\n' {
                return Some(Boundary { end: i, gap: 2 });
            }
            if self.buffer[i..].starts_with(b"\r\n\r\n") {
                return Some(Boundary { end: i, gap: 4 });
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the data of the event that ends at offset `end` of its frame. Several data lines are joined by
/// line feeds. `None` if the event has no data line.
fn event_data(frame: &Bytes, end: usize) -> Result<Option<Bytes>, Malformed> {
    let mut data: Option<Bytes> = None;
    let mut offset = 0;
    for line in frame[..end].split(|&byte| byte == b'\n') {
        let (start, line) = (offset, line.strip_suffix(b"\r").unwrap_or(line));
        let ends_with_return = frame.get(start + line.len()) == Some(&b'\r');
        offset = start + line.len() + 1 + usize::from(ends_with_return);
        if let Some(rest) = line.strip_prefix(b"data:") {
            let skip = b"data:".len() + usize::from(rest.first() == Some(&b' '));
            let piece = frame.slice(start + skip..start + line.len());
            data = Some(match data {
                None => piece,
                Some(before) => [&before[..], &piece[..]].join(&b'\n').into(),
            });
        } else if !(line.is_empty() || line.contains(&b':')) {
            return Err(Malformed::Stream("a line has no field name"));
        }
    }
    Ok(data)
}

/// Encodes an event with this data.
pub fn encode_event(data: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(data.len() + 8);
    frame.extend_from_slice(b"data: ");
    frame.extend_from_slice(data);
    frame.extend_from_slice(b"\n\n");
    frame.freeze()
}

/// Returns the encoded event that ends a stream.
pub fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}
