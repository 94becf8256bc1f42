//! Reads and writes TCP streams: buffered reads, and messages that are parsed as their bytes arrive.

use crate::core::chunked::{ChunkedDecoder, DecodeStep};
use crate::core::{Framing, MalformedMessage};
use bytes::{Bytes, BytesMut};
use futures_lite::future::yield_now;
use futures_lite::AsyncWriteExt;
use nickelgw_node_core::AttemptOutcome;
use smol::Async;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Maximum number of bytes per read call.
pub const READ_BYTES: usize = 8 * 1024;

/// Appends at most `max_bytes` of the bytes that have arrived to the buffer without waiting, and returns their
/// number; 0 at the end of the stream.
pub fn read_available(mut stream: &TcpStream, buffer: &mut BytesMut, max_bytes: usize) -> io::Result<usize> {
    let mut bytes = [0; READ_BYTES];
    let length = loop {
        let max_length = max_bytes.min(READ_BYTES);
        match stream.read(bytes.get_mut(..max_length).unwrap_or_default()) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => break result?,
        }
    };
    buffer.extend_from_slice(bytes.get(..length).unwrap_or_default());
    Ok(length)
}

/// A connection that can be read.
pub trait Readable {
    /// Returns the connection's stream.
    fn stream(&self) -> &Async<TcpStream>;

    /// Appends the bytes that have arrived to the buffer without waiting, and returns their number; 0 at the
    /// end of the stream.
    fn read_available(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        read_available(self.stream().get_ref(), buffer, READ_BYTES)
    }
}

impl Readable for Async<TcpStream> {
    fn stream(&self) -> &Async<TcpStream> {
        self
    }
}

/// Waits for bytes, appends them to the buffer and returns their number; 0 at the end of the stream. If the
/// future is dropped while it waits, nothing has been read. Other tasks run at each call: a peer that sends without pause
/// does not hold them up.
pub async fn read(connection: &impl Readable, buffer: &mut BytesMut) -> io::Result<usize> {
    yield_now().await;
    connection.stream().read_with(|_| connection.read_available(buffer)).await
}

/// Writes all of the bytes; repeats a call that is interrupted by a signal.
pub async fn write_all(mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(length) => bytes = bytes.get(length..).unwrap_or_default(),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Error returned when a message could not be received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection ended or failed before the message was complete.
    #[error("connection ended before the message was complete")]
    ConnectionEnded,
    /// The received bytes violate the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
}

impl From<ReceiveError> for AttemptOutcome {
    fn from(error: ReceiveError) -> AttemptOutcome {
        match error {
            ReceiveError::ConnectionEnded => AttemptOutcome::ConnectionLost,
            ReceiveError::Malformed(_) => AttemptOutcome::Malformed,
        }
    }
}

/// Waits for bytes of a message and appends them to the buffer; fails at the end of the stream.
pub async fn read_some(connection: &impl Readable, buffer: &mut BytesMut) -> Result<(), ReceiveError> {
    match read(connection, buffer).await {
        Ok(length) if length > 0 => Ok(()),
        _ => Err(ReceiveError::ConnectionEnded),
    }
}

/// Reads until `parse` finds a message part in the buffer and takes it out, and returns that part.
pub async fn receive<T>(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    mut parse: impl FnMut(&mut BytesMut) -> Result<Option<T>, MalformedMessage>,
) -> Result<T, ReceiveError> {
    loop {
        if let Some(found) = parse(buffer)? {
            return Ok(found);
        }
        read_some(connection, buffer).await?;
    }
}

/// Reads the whole body of a message; fails if it is longer than `max_bytes`.
pub async fn receive_body(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    framing: Framing,
    max_bytes: usize,
) -> Result<Bytes, ReceiveError> {
    match framing {
        Framing::Unspecified => Ok(Bytes::new()),
        Framing::Length(length) if length > max_bytes => Err(MalformedMessage::TooLong.into()),
        Framing::Length(length) => {
            let body = |buffer: &mut BytesMut| {
                Ok((buffer.len() >= length).then(|| buffer.split_to(length).freeze()))
            };
            receive(connection, buffer, body).await
        }
        Framing::Chunked => receive_chunked_body(connection, buffer, max_bytes).await,
    }
}

/// Reads a body that ends with its connection; fails if it is longer than `max_bytes`.
pub async fn receive_to_end(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Bytes, ReceiveError> {
    loop {
        if buffer.len() > max_bytes {
            return Err(MalformedMessage::TooLong.into());
        }
        match read(connection, buffer).await {
            Ok(0) => return Ok(buffer.split().freeze()),
            Ok(_) => {}
            Err(_) => return Err(ReceiveError::ConnectionEnded),
        }
    }
}

async fn receive_chunked_body(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Bytes, ReceiveError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), BytesMut::new());
    let decode = |buffer: &mut BytesMut| {
        let is_whole = decode_body(&mut decoder, buffer, &mut body, max_bytes)?;
        Ok(is_whole.then(|| body.split().freeze()))
    };
    receive(connection, buffer, decode).await
}

/// Moves what has arrived of a chunked body from `buffer` to the end of `body`. Returns whether the body is
/// whole; fails if it is longer than `max_bytes`.
pub fn decode_body(
    decoder: &mut ChunkedDecoder,
    buffer: &mut BytesMut,
    body: &mut BytesMut,
    max_bytes: usize,
) -> Result<bool, MalformedMessage> {
    loop {
        let step = decoder.decode(buffer, body, max_bytes)?;
        if body.len() > max_bytes {
            return Err(MalformedMessage::TooLong);
        }
        match step {
            DecodeStep::Incomplete => return Ok(false),
            DecodeStep::ChunkEnd => {}
            DecodeStep::BodyEnd => return Ok(true),
        }
    }
}
