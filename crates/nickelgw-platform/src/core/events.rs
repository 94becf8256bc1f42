//! Server-sent events off a chunked body: whole ones alone, as soon as they are whole, whatever the chunks.

use super::chunks::{Chunked, Step};
use super::{Spoilt, MOST_BODY};
use bytes::{Bytes, BytesMut};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// One event, or several that an engine wrote into one chunk; whole.
    Data(Bytes),
    /// The stream is whole.
    Last,
}

/// The fields that an event's lines may have.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// A stream of events as it comes.
#[derive(Debug, Default)]
pub struct Events {
    chunked: Chunked,
    /// What has come of an event that is not whole.
    part: BytesMut,
    /// Bytes of it in which no end was found.
    seen: usize,
    /// Found behind events that were whole before it.
    spoilt: Option<Spoilt>,
}

impl Events {
    /// Takes off the buffer what has become whole; none until something has.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Piece>, Spoilt> {
        if let Some(why) = self.spoilt {
            return Err(why);
        }
        // Chunk by chunk: where an engine writes one for each event they stay as they are.
        let whole = loop {
            let step = self.chunked.decode(buf, &mut self.part, MOST_BODY);
            // The body's end ends its last event too.
            let whole = if step == Ok(Step::Whole) { self.part.len() } else { self.whole() };
            self.spoilt = step.err();
            if whole > 0 {
                break whole;
            }
            match step {
                Err(why) => return Err(why),
                Ok(Step::Whole) => return Ok(Some(Piece::Last)),
                Ok(_) if self.part.len() > MOST_BODY => return Err(Spoilt::Long),
                Ok(Step::Wait) => return Ok(None),
                Ok(Step::Chunk) => {}
            }
        };
        let events = self.part.split_to(whole).freeze();
        self.seen = 0;
        // A size that does not fit lets the next chunk's line into the data: no engine made that.
        let is_field = |line: &[u8]| {
            let name = line.split(|b| *b == b':').next().unwrap_or_default();
            name.is_empty() || FIELDS.contains(&name)
        };
        let mut lines = events.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
        if !lines.all(is_field) {
            self.spoilt = Some(Spoilt::Events);
            return Err(Spoilt::Events);
        }
        Ok(Some(Piece::Data(events)))
    }

    /// Whether the chunk of what was taken last is still coming.
    pub fn in_chunk(&self) -> bool {
        self.chunked.in_chunk()
    }

    /// Length of the events in front that are whole: up to the last empty line.
    fn whole(&mut self) -> usize {
        // The line before an end may have come earlier.
        let from = self.seen.saturating_sub(2);
        self.seen = self.part.len();
        let there = self.part.get(from..).unwrap_or_default();
        let ends = |n: &usize| {
            let before = there.get(..*n).unwrap_or_default();
            before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
        };
        (1..=there.len()).rev().find(ends).map_or(0, |n| from + n)
    }
}
