//! Chunked bodies, a whole chunk at a time: what does not fit is found before any of it is passed on.

use super::{Spoilt, MOST_HEADERS};
use bytes::{Buf, Bytes, BytesMut};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    Data(Bytes),
    /// The last chunk, with its trailers.
    Last,
}

/// Longest line that tells a chunk's size, and longest trailers.
const MOST_LINE: usize = 256;
const MOST_TRAILERS: usize = 4096;

/// Takes the next chunk off the buffer; none until it is whole, none longer than allowed.
pub fn next(buf: &mut BytesMut, most: usize) -> Result<Option<Piece>, Spoilt> {
    let (line, size) = match httparse::parse_chunk_size(buf) {
        Err(_) => return Err(Spoilt::Chunk),
        Ok(httparse::Status::Partial) if buf.len() > MOST_LINE => return Err(Spoilt::Chunk),
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete((line, size))) => (line, size),
    };
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > most || line > MOST_LINE {
        return Err(Spoilt::Long);
    }
    if size == 0 {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let rest = buf.get(line..).unwrap_or_default();
        return match httparse::parse_headers(rest, &mut headers) {
            Err(_) => Err(Spoilt::Chunk),
            Ok(httparse::Status::Partial) if rest.len() > MOST_TRAILERS => Err(Spoilt::Long),
            Ok(httparse::Status::Partial) => Ok(None),
            Ok(httparse::Status::Complete((n, _))) => {
                buf.advance(line + n);
                Ok(Some(Piece::Last))
            }
        };
    }
    match buf.get(line + size..) {
        None | Some([]) | Some([b'\r']) => Ok(None),
        Some([b'\r', b'\n', ..]) => {
            buf.advance(line);
            let data = buf.split_to(size).freeze();
            buf.advance(2);
            Ok(Some(Piece::Data(data)))
        }
        Some(_) => Err(Spoilt::Chunk),
    }
}
