//! Reading and writing TCP streams: buffered reads, and messages parsed as their bytes arrive.

use crate::core::chunked::{ChunkedDecoder, DecodeStep};
use crate::core::{Framing, MalformedMessage};
use bytes::{Bytes, BytesMut};
use futures_lite::AsyncWriteExt;
use nickelgw_node_core::AttemptOutcome;
use smol::Async;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Bytes of one read.
const READ_BYTES: usize = 8 * 1024;

/// Appends what has arrived to the buffer, without waiting; 0 at the end of the stream.
pub fn read_available(mut stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    let mut bytes = [0; READ_BYTES];
    let length = loop {
        match stream.read(&mut bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => break result?,
        }
    };
    buffer.extend_from_slice(bytes.get(..length).unwrap_or_default());
    Ok(length)
}

/// A connection that is read.
pub trait Readable {
    /// Its stream.
    fn stream(&self) -> &Async<TcpStream>;

    /// Appends what has arrived to the buffer, without waiting; 0 at the end of the stream.
    fn read_available(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        read_available(self.stream().get_ref(), buffer)
    }
}

impl Readable for Async<TcpStream> {
    fn stream(&self) -> &Async<TcpStream> {
        self
    }
}

/// Appends what arrives to the buffer; 0 at the end of the stream. Dropped while it waits, it has read nothing.
pub async fn read(connection: &impl Readable, buffer: &mut BytesMut) -> io::Result<usize> {
    connection.stream().read_with(|_| connection.read_available(buffer)).await
}

/// Writes all of the bytes; a call that a signal interrupts is repeated.
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

/// Why a message was not received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection ended or failed first.
    #[error("the connection ended")]
    ConnectionEnded,
    /// What arrived violates the protocol.
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

/// Reads until `parse` finds what it looks for in the buffer, and removes it there.
pub async fn receive<T>(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    mut parse: impl FnMut(&mut BytesMut) -> Result<Option<T>, MalformedMessage>,
) -> Result<T, ReceiveError> {
    loop {
        if let Some(found) = parse(buffer)? {
            return Ok(found);
        }
        if !matches!(read(connection, buffer).await, Ok(length) if length > 0) {
            return Err(ReceiveError::ConnectionEnded);
        }
    }
}

/// Reads a message's whole body; none longer than allowed.
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

async fn receive_chunked_body(
    connection: &impl Readable,
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Bytes, ReceiveError> {
    let (mut decoder, mut body) = (ChunkedDecoder::default(), BytesMut::new());
    let decode = |buffer: &mut BytesMut| loop {
        let step = decoder.decode(buffer, &mut body, max_bytes)?;
        if body.len() > max_bytes {
            return Err(MalformedMessage::TooLong);
        }
        match step {
            DecodeStep::Incomplete => return Ok(None),
            DecodeStep::ChunkEnd => {}
            DecodeStep::BodyEnd => return Ok(Some(body.split().freeze())),
        }
    };
    receive(connection, buffer, decode).await
}
