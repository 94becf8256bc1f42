//! Receives the body of a client's request in memory of exactly the size that was reserved for it.

use super::discard::BodyRest;
use super::receive::{make_room, read_more, release_unused, resize, NoRequest, ReceiveFailure};
use super::socket::ClientSocket;
use crate::core::chunked::ChunkedDecoder;
use crate::core::client_memory::RequestStage;
use crate::core::{Framing, MalformedMessage, MAX_BODY_BYTES};
use crate::stream_io::{decode_body, READ_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// A body that is arriving.
pub(super) struct BodyReceiver {
    body: BytesMut,
    /// Memory that the request's head uses meanwhile.
    head_bytes: usize,
    framing: BodyFraming,
}

/// How the end of a body is found.
enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// By its chunks.
    Chunked(ChunkedDecoder),
}

impl BodyReceiver {
    /// Begins a body with the bytes of `buffer` that belong to it.
    pub(super) fn new(
        framing: Framing,
        head_bytes: usize,
        buffer: &mut BytesMut,
    ) -> Result<BodyReceiver, NoRequest> {
        let (length, framing) = match framing {
            Framing::Unspecified => (0, BodyFraming::Length(0)),
            Framing::Length(length) if length > MAX_BODY_BYTES => {
                return Err(MalformedMessage::TooLong.into())
            }
            Framing::Length(length) => (length, BodyFraming::Length(length)),
            Framing::Chunked => (0, BodyFraming::Chunked(ChunkedDecoder::default())),
        };
        let arrived = buffer.len().min(length);
        let body = BytesMut::from(&buffer[..arrived]);
        buffer.advance(arrived);
        release_unused(buffer);
        Ok(BodyReceiver { body, head_bytes, framing })
    }

    /// Receives the rest of the body.
    pub(super) async fn receive(
        &mut self,
        socket: &ClientSocket,
        buffer: &mut BytesMut,
    ) -> Result<(), ReceiveFailure> {
        let BodyReceiver { body, head_bytes, framing } = self;
        match framing {
            BodyFraming::Length(length) => fill(socket, body, *head_bytes, *length).await,
            BodyFraming::Chunked(decoder) => {
                fill_from_chunks(socket, buffer, decoder, body, *head_bytes).await
            }
        }
    }

    /// Returns a whole body in memory of its size.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.body.capacity() > self.body.len() {
            Bytes::copy_from_slice(&self.body)
        } else {
            self.body.freeze()
        }
    }

    /// Drops what has arrived, and returns what is missing.
    pub(super) fn into_rest(self) -> BodyRest {
        match self.framing {
            BodyFraming::Length(length) => BodyRest::Bytes(length - self.body.len()),
            BodyFraming::Chunked(decoder) => BodyRest::Chunks(decoder),
        }
    }
}

/// Reads until the body has this length.
async fn fill(
    socket: &ClientSocket,
    body: &mut BytesMut,
    head_bytes: usize,
    length: usize,
) -> Result<(), ReceiveFailure> {
    while body.len() < length {
        make_room(socket, RequestStage::Body, body, head_bytes, length).await?;
        read_more(socket, body).await?;
    }
    Ok(())
}

/// Reads and decodes until the body is whole.
async fn fill_from_chunks(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
    decoder: &mut ChunkedDecoder,
    body: &mut BytesMut,
    head_bytes: usize,
) -> Result<(), ReceiveFailure> {
    loop {
        // What has arrived is moved from the buffer to the body.
        let needed = body.len() + buffer.len();
        if body.capacity() < needed {
            let capacity = needed.max(2 * body.len());
            resize(socket, RequestStage::Body, body, head_bytes + buffer.capacity(), capacity).await?;
        }
        if decode_body(decoder, buffer, body, MAX_BODY_BYTES)? {
            return Ok(());
        }
        release_unused(buffer);
        make_room(socket, RequestStage::Body, buffer, head_bytes + body.capacity(), READ_BYTES).await?;
        read_more(socket, buffer).await?;
    }
}
