//! Incremental decoder of the chunked transfer coding.

use super::{MalformedMessage, MAX_HEADERS};
use bytes::{Buf, BytesMut};

/// Maximum length of the line with a chunk's size.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum length of all trailers together.
const MAX_TRAILERS_BYTES: usize = 4096;

/// Part of the body that the decoder expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum DecoderState {
    #[default]
    Size,
    /// Data of a chunk, of which this many bytes are still to arrive.
    Data(usize),
    /// The line end after a chunk's data.
    DataEnd,
    Trailers,
    Finished,
}

/// Point at which decoding stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// More bytes are needed.
    Incomplete,
    /// A chunk has ended; the buffer may hold bytes that follow it.
    ChunkEnd,
    /// The body has ended, including its trailers.
    BodyEnd,
}

/// Decoder of one chunked body.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    state: DecoderState,
}

impl ChunkedDecoder {
    /// Moves the bytes of the body that have arrived, up to the end of a chunk, from `buffer` to the end of
    /// `body`. Fails as soon as a chunk's size exceeds `max_chunk_bytes`, so that a chunk that announces
    /// gigabytes is rejected by its size line and not by its data.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        body: &mut BytesMut,
        max_chunk_bytes: usize,
    ) -> Result<DecodeStep, MalformedMessage> {
        loop {
            match self.state {
                DecoderState::Size => match chunk_size(buffer, max_chunk_bytes)? {
                    None => return Ok(DecodeStep::Incomplete),
                    Some((line_length, size)) => {
                        buffer.advance(line_length);
                        self.state =
                            if size == 0 { DecoderState::Trailers } else { DecoderState::Data(size) };
                    }
                },
                DecoderState::Data(remaining) => {
                    let available = remaining.min(buffer.len());
                    body.extend_from_slice(&buffer.split_to(available));
                    if available < remaining {
                        self.state = DecoderState::Data(remaining - available);
                        return Ok(DecodeStep::Incomplete);
                    }
                    self.state = DecoderState::DataEnd;
                }
                DecoderState::DataEnd => return self.decode_line_end(buffer),
                DecoderState::Trailers => match trailers_length(buffer)? {
                    None => return Ok(DecodeStep::Incomplete),
                    Some(length) => {
                        buffer.advance(length);
                        self.state = DecoderState::Finished;
                    }
                },
                DecoderState::Finished => return Ok(DecodeStep::BodyEnd),
            }
        }
    }

    fn decode_line_end(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, MalformedMessage> {
        match buffer.get(..) {
            None | Some([]) | Some([b'\r']) => Ok(DecodeStep::Incomplete),
            Some([b'\r', b'\n', ..]) => {
                buffer.advance(2);
                self.state = DecoderState::Size;
                Ok(DecodeStep::ChunkEnd)
            }
            Some(_) => Err(MalformedMessage::Chunk),
        }
    }

    /// Returns whether a chunk has begun and not ended yet.
    pub fn in_chunk(&self) -> bool {
        matches!(self.state, DecoderState::Data(_) | DecoderState::DataEnd)
    }
}

/// Returns the length of the line with a chunk's size, and that size; `None` until the whole line has
/// arrived.
fn chunk_size(buffer: &[u8], max_chunk_bytes: usize) -> Result<Option<(usize, usize)>, MalformedMessage> {
    match httparse::parse_chunk_size(buffer) {
        Err(_) => Err(MalformedMessage::Chunk),
        Ok(httparse::Status::Partial) if buffer.len() > MAX_SIZE_LINE_BYTES => Err(MalformedMessage::Chunk),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete((line_length, size))) => match usize::try_from(size) {
            Ok(size) if size <= max_chunk_bytes && line_length <= MAX_SIZE_LINE_BYTES => {
                Ok(Some((line_length, size)))
            }
            _ => Err(MalformedMessage::TooLong),
        },
    }
}

/// Returns the length of the trailers; `None` until all of them have arrived.
fn trailers_length(buffer: &[u8]) -> Result<Option<usize>, MalformedMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(buffer, &mut headers) {
        Err(_) => Err(MalformedMessage::Chunk),
        Ok(httparse::Status::Partial) if buffer.len() > MAX_TRAILERS_BYTES => Err(MalformedMessage::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
    }
}
