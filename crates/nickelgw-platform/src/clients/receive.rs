//! Receives a client's request within limits of time and memory.

use super::connection_table::ConnectionState;
use super::socket::ClientSocket;
use crate::core::request::{self, RequestHead};
use crate::core::{Framing, MalformedMessage, MAX_BODY_BYTES};
use crate::stream_io::{read, receive, receive_body, ReceiveError};
use async_channel::Receiver;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future::or;
use nickelgw_node::within;
use std::time::Instant;

/// Time within which a whole request has to arrive, from its first byte.
pub const REQUEST_TIMEOUT_S: f64 = 2.4;

/// A request that has arrived completely.
pub struct ReceivedRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the request's last byte arrived at this machine.
    pub arrived_at: Instant,
}

/// Reason why no request was received.
pub enum NoRequest {
    /// The connection ended.
    ConnectionEnded,
    /// The connection is to be closed.
    Closing,
    /// The request is refused with this status and message.
    Refused(u16, &'static str),
}

impl From<ReceiveError> for NoRequest {
    fn from(error: ReceiveError) -> NoRequest {
        match error {
            ReceiveError::ConnectionEnded => NoRequest::ConnectionEnded,
            ReceiveError::Malformed(MalformedMessage::TooLong) => {
                NoRequest::Refused(413, "longer than allowed")
            }
            ReceiveError::Malformed(MalformedMessage::Length) => {
                NoRequest::Refused(400, "a length that cannot be used")
            }
            ReceiveError::Malformed(_) => NoRequest::Refused(400, "a request that cannot be read"),
        }
    }
}

/// Conditions under which a connection that waits for a request is closed.
pub struct IdleLimits<'a> {
    /// Time without a byte after which the connection is closed, in seconds.
    pub timeout_s: f64,
    /// Channel that closes when the connection is to be closed.
    pub closing: &'a Receiver<()>,
}

/// Receives the next request. Until its first byte arrives, the connection is marked as idle since `now`.
pub async fn receive_request(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
    limits: &IdleLimits<'_>,
    state: &ConnectionState,
    now: impl Fn() -> f64,
) -> Result<ReceivedRequest, NoRequest> {
    if buffer.is_empty() {
        state.idle_since.set(Some(now()));
        wait_for_first_byte(socket, buffer, limits).await?;
    }
    // Once the first byte of a request has arrived, its connection is not closed to make room.
    state.idle_since.set(None);
    let first_byte_at = socket.arrival_before(buffer.len().saturating_sub(1));
    let remaining_s = REQUEST_TIMEOUT_S - first_byte_at.elapsed().as_secs_f64();
    // If no time remains, a request that has arrived completely is still read.
    let request = within(remaining_s, receive_whole_request(socket, buffer)).await;
    let (head, body) = request.unwrap_or(Err(NoRequest::Refused(408, "a request that does not end")))?;
    Ok(ReceivedRequest { head, body, arrived_at: socket.arrival_before(buffer.len()) })
}

async fn wait_for_first_byte(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
    limits: &IdleLimits<'_>,
) -> Result<(), NoRequest> {
    let first_read = async { Some(within(limits.timeout_s, read(socket, buffer)).await) };
    let closing = async {
        let _ = limits.closing.recv().await;
        None
    };
    match or(first_read, closing).await.flatten() {
        Some(Ok(length)) if length > 0 => Ok(()),
        Some(_) => Err(NoRequest::ConnectionEnded),
        // A request may arrive just as the connection is about to be closed.
        None if socket.read_before_close(buffer) => Ok(()),
        None => Err(NoRequest::Closing),
    }
}

async fn receive_whole_request(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
) -> Result<(RequestHead, Bytes), NoRequest> {
    let parse_head = |buffer: &mut BytesMut| {
        Ok(request::parse_request_head(buffer)?.map(|(head, length)| {
            buffer.advance(length);
            head
        }))
    };
    let head = receive(socket, buffer, parse_head).await?;
    let expected = match head.framing {
        Framing::Unspecified => 0,
        Framing::Length(length) => length.min(MAX_BODY_BYTES),
        Framing::Chunked => MAX_BODY_BYTES,
    };
    if !socket.memory.set(buffer.len().max(expected)) {
        return Err(NoRequest::Refused(503, "no memory for a request"));
    }
    let body = receive_body(socket, buffer, head.framing, MAX_BODY_BYTES).await?;
    socket.memory.set(buffer.len() + body.len());
    Ok((head, body))
}
