//! Requests for which there is no memory: they are read to their end and then refused. A response before that would
//! be lost if its client is still sending, and clients that stop in the middle of a request would come back at once.

use super::receive::{read_part, NoRequest};
use super::socket::ClientSocket;
use crate::core::chunked::ChunkedDecoder;
use crate::core::client_memory::{RequestStage, GUARANTEED_BYTES};
use crate::core::MAX_BODY_BYTES;
use crate::stream_io::decode_body;
use bytes::BytesMut;

/// Message to a client whose request finds no memory, or has to give way to others while it arrives.
pub(super) const NO_MEMORY: &str = "no memory for a request";
/// Refusal of a request for which there is no memory.
const REFUSED: NoRequest = NoRequest::Refused(503, NO_MEMORY);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What is missing of a body.
pub(super) enum BodyRest {
    /// This many bytes.
    Bytes(usize),
    /// Chunks, up to the last one.
    Chunks(ChunkedDecoder),
}

/// Reads to the end of a head, and refuses its request.
pub(super) async fn discard_head(socket: &ClientSocket, buffer: &mut BytesMut) -> NoRequest {
    give_memory_back(socket, buffer, HEAD_END.len() - 1);
    while !buffer.windows(HEAD_END.len()).any(|window| window == HEAD_END) {
        keep_last(buffer, HEAD_END.len() - 1);
        if let Err(error) = read_part(socket, buffer).await {
            return error.into();
        }
    }
    REFUSED
}

/// Reads the rest of a body, and refuses its request.
pub(super) async fn discard_body(socket: &ClientSocket, buffer: &mut BytesMut, rest: BodyRest) -> NoRequest {
    match rest {
        BodyRest::Bytes(missing) => discard_bytes(socket, missing).await,
        BodyRest::Chunks(decoder) => discard_chunks(socket, buffer, decoder).await,
    }
}

async fn discard_bytes(socket: &ClientSocket, mut missing: usize) -> NoRequest {
    socket.memory.set(RequestStage::Idle, 0);
    let mut buffer = BytesMut::new();
    while missing > 0 {
        buffer.clear();
        if let Err(error) = read_part(socket, &mut buffer).await {
            return error.into();
        }
        missing = missing.saturating_sub(buffer.len());
    }
    REFUSED
}

async fn discard_chunks(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
    mut decoder: ChunkedDecoder,
) -> NoRequest {
    let length = buffer.len();
    give_memory_back(socket, buffer, length);
    let mut body = BytesMut::new();
    loop {
        body.clear();
        match decode_body(&mut decoder, buffer, &mut body, MAX_BODY_BYTES) {
            Ok(true) => return REFUSED,
            Ok(false) => {}
            Err(error) => return error.into(),
        }
        let length = buffer.len();
        keep_last(buffer, length);
        if let Err(error) = read_part(socket, buffer).await {
            return error.into();
        }
    }
}

fn give_memory_back(socket: &ClientSocket, buffer: &mut BytesMut, kept_bytes: usize) {
    keep_last(buffer, kept_bytes);
    socket.memory.set(RequestStage::Idle, 0);
}

/// Moves the last bytes to a buffer of the size that each connection is guaranteed.
fn keep_last(buffer: &mut BytesMut, kept_bytes: usize) {
    let from = buffer.len().saturating_sub(kept_bytes);
    let mut kept = BytesMut::with_capacity(GUARANTEED_BYTES.max(2 * kept_bytes));
    kept.extend_from_slice(&buffer[from..]);
    *buffer = kept;
}
