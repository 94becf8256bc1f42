//! Server-sent events as engines stream them: `data:` lines, a blank line after each event, `[DONE]` last.

use crate::Malformed;
use bytes::{Buf, Bytes, BytesMut};

/// An event may not be longer; a peer that sends more without a blank line is garbling.
pub const LONGEST_EVENT: usize = 256 * 1024;

/// Cuts a byte stream into whole events. The bytes of an event are passed on as they came.
#[derive(Default)]
pub struct Events {
    buffer: BytesMut,
    searched: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An event with its framing, and its data alone.
    Data {
        frame: Bytes,
        data: Bytes,
    },
    Done,
}

impl Events {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are left: at the end of a stream, a cut.
    pub fn is_cut(&self) -> bool {
        !self.buffer.iter().all(|b| b.is_ascii_whitespace())
    }

    /// The next whole event; comments and empty events are passed over.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some((end, gap)) = self.boundary() {
            let frame = self.buffer.split_to(end + gap).freeze();
            self.searched = 0;
            let mut data: Option<Bytes> = None;
            let mut at = 0;
            for line in frame[..end].split(|&b| b == b'\n') {
                let (start, line) = (at, line.strip_suffix(b"\r").unwrap_or(line));
                at = start + line.len() + 1 + usize::from(frame.get(start + line.len()) == Some(&b'\r'));
                if let Some(rest) = line.strip_prefix(b"data:") {
                    let skip = 5 + usize::from(rest.first() == Some(&b' '));
                    let piece = frame.slice(start + skip..start + line.len());
                    // Several data lines are one text, joined by line feeds.
                    data = Some(data.map_or(piece.clone(), |d| [&d[..], &piece[..]].join(&b'\n').into()));
                } else if !(line.is_empty() || line[0] == b':' || line.contains(&b':')) {
                    return Err(Malformed::Stream("a line is not a field"));
                }
            }
            match data {
                None => continue,
                Some(d) if &d[..] == b"[DONE]" => return Ok(Some(Event::Done)),
                Some(data) => return Ok(Some(Event::Data { frame, data })),
            }
        }
        if self.buffer.len() > LONGEST_EVENT {
            return Err(Malformed::Stream("an event is too long"));
        }
        Ok(None)
    }

    /// Where the first event ends and how long the blank line after it is.
    fn boundary(&mut self) -> Option<(usize, usize)> {
        while matches!(self.buffer.first(), Some(b'\n' | b'\r')) {
            self.buffer.advance(1);
            self.searched = 0;
        }
        let from = self.searched.saturating_sub(3);
        for i in from..self.buffer.len().saturating_sub(1) {
            if self.buffer[i] == b'\n' && self.buffer[i + 1] == b'\n' {
                return Some((i, 2));
            }
            if self.buffer[i..].starts_with(b"\r\n\r\n") {
                return Some((i, 4));
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

pub fn frame(data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + 8);
    out.extend_from_slice(b"data: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
    out.freeze()
}

pub fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(bytes: &[u8], step: usize) -> Result<Vec<Event>, Malformed> {
        let (mut events, mut out) = (Events::default(), Vec::new());
        for piece in bytes.chunks(step) {
            events.push(piece);
            while let Some(e) = events.next_event()? {
                out.push(e);
            }
        }
        Ok(out)
    }

    #[test]
    fn any_cut_gives_the_same_events() {
        let text =
            b": hello\n\ndata: {\"a\":1}\n\nevent: x\r\ndata:two\r\ndata: lines\r\n\r\ndata: [DONE]\n\n";
        let whole = all(text, text.len()).unwrap();
        assert_eq!(whole.len(), 3);
        assert!(matches!(&whole[0], Event::Data { data, .. } if &data[..] == b"{\"a\":1}"));
        assert!(matches!(&whole[1], Event::Data { data, .. } if &data[..] == b"two\nlines"));
        assert_eq!(whole[2], Event::Done);
        for step in 1..text.len() {
            assert_eq!(all(text, step).unwrap(), whole, "cut every {step}");
        }
    }

    #[test]
    fn what_is_no_event_stream_is_told() {
        assert!(all(b"<html>nope</html>\n\n", 5).is_err());
        assert!(all(&vec![b'x'; LONGEST_EVENT + 9], 4096).is_err());
        let mut cut = Events::default();
        cut.push(b"data: {\"a\"");
        assert!(cut.next_event().unwrap().is_none() && cut.is_cut());
    }
}
