//! The chunked transfer coding, decoded as its bytes come.

use super::{Spoilt, MOST_HEADERS};
use bytes::{Buf, BytesMut};

/// Longest line that tells a chunk's size, and longest trailers.
const MOST_LINE: usize = 256;
const MOST_TRAILERS: usize = 4096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    #[default]
    Size,
    /// So many bytes of the chunk are still to come.
    Data(usize),
    /// The end of its line.
    End,
    Trailers,
    Over,
}

/// What a body has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// More bytes are wanted.
    Wait,
    /// A chunk has ended, and bytes may stand behind it.
    Chunk,
    /// All of it, trailers included.
    Whole,
}

/// How far a chunked body has come.
#[derive(Debug, Default)]
pub struct Chunked {
    at: At,
}

impl Chunked {
    /// Moves what has come of the body, up to a chunk's end, from `buf` to the end of `body`. No chunk may be longer than
    /// `most`: what is said to have gigabytes is found by its size, not by its end.
    pub fn decode(&mut self, buf: &mut BytesMut, body: &mut BytesMut, most: usize) -> Result<Step, Spoilt> {
        loop {
            match self.at {
                At::Size => match size(buf, most)? {
                    None => return Ok(Step::Wait),
                    Some((line, size)) => {
                        buf.advance(line);
                        self.at = if size == 0 { At::Trailers } else { At::Data(size) };
                    }
                },
                At::Data(left) => {
                    let there = left.min(buf.len());
                    body.extend_from_slice(&buf.split_to(there));
                    if there < left {
                        self.at = At::Data(left - there);
                        return Ok(Step::Wait);
                    }
                    self.at = At::End;
                }
                At::End => match buf.get(..) {
                    None | Some([]) | Some([b'\r']) => return Ok(Step::Wait),
                    Some([b'\r', b'\n', ..]) => {
                        buf.advance(2);
                        self.at = At::Size;
                        return Ok(Step::Chunk);
                    }
                    Some(_) => return Err(Spoilt::Chunk),
                },
                At::Trailers => match trailers(buf)? {
                    None => return Ok(Step::Wait),
                    Some(length) => {
                        buf.advance(length);
                        self.at = At::Over;
                    }
                },
                At::Over => return Ok(Step::Whole),
            }
        }
    }

    /// Whether a chunk has begun that is not whole yet.
    pub fn in_chunk(&self) -> bool {
        matches!(self.at, At::Data(_) | At::End)
    }
}

/// A chunk's size, and the length of its line; none until that is whole.
fn size(buf: &[u8], most: usize) -> Result<Option<(usize, usize)>, Spoilt> {
    match httparse::parse_chunk_size(buf) {
        Err(_) => Err(Spoilt::Chunk),
        Ok(httparse::Status::Partial) if buf.len() > MOST_LINE => Err(Spoilt::Chunk),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete((line, size))) => match usize::try_from(size) {
            Ok(size) if size <= most && line <= MOST_LINE => Ok(Some((line, size))),
            _ => Err(Spoilt::Long),
        },
    }
}

/// The length of the trailers; none until they are whole.
fn trailers(buf: &[u8]) -> Result<Option<usize>, Spoilt> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    match httparse::parse_headers(buf, &mut headers) {
        Err(_) => Err(Spoilt::Chunk),
        Ok(httparse::Status::Partial) if buf.len() > MOST_TRAILERS => Err(Spoilt::Long),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
    }
}
