//! Receives a client's request within limits of time and memory.

use super::body::BodyReceiver;
use super::connection_table::ConnectionState;
use super::discard::{discard_body, discard_head, NO_MEMORY};
use super::socket::ClientSocket;
use crate::core::client_memory::{RequestStage, GUARANTEED_BYTES};
use crate::core::request::{self, RequestHead, CHAT_PATH};
use crate::core::{MalformedMessage, MAX_HEAD_BYTES};
use crate::stream_io::{read, read_some, ReceiveError, READ_BYTES};
use async_channel::Receiver;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future::or;
use nickelgw_node::within;
use std::time::Instant;

/// Time within which a whole request has to arrive, from its first byte.
pub const REQUEST_TIMEOUT_S: f64 = 2.4;

/// Memory of an open chat request besides its head and body: tasks and connections of its attempts, and its part of the
/// core's tables.
const OPEN_REQUEST_BYTES: usize = 16 * 1024;
/// Maximum size of the buffer of a head: one that is too long is recognized by its last bytes.
const MAX_HEAD_BUFFER_BYTES: usize = MAX_HEAD_BYTES + GUARANTEED_BYTES;

/// A request that has arrived completely.
pub struct ReceivedRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Memory in bytes that the request uses while it is open.
    pub bytes: usize,
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
    /// The request has stalled while it arrived, and gives way to other connections.
    GaveWay,
}

/// Reason why the rest of a request is not received.
pub(super) enum ReceiveFailure {
    /// There is no memory for the request, or it has to give way to others.
    NoMemory,
    /// The request cannot be received whatever the memory.
    NoRequest(NoRequest),
}

impl<E: Into<NoRequest>> From<E> for ReceiveFailure {
    fn from(error: E) -> ReceiveFailure {
        ReceiveFailure::NoRequest(error.into())
    }
}

impl From<MalformedMessage> for NoRequest {
    fn from(error: MalformedMessage) -> NoRequest {
        ReceiveError::from(error).into()
    }
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
    state.begin_arrival();
    let request = receive_before_timeout(socket, buffer, state).await;
    state.set_arrived();
    let (head, body, bytes) = request?;
    Ok(ReceivedRequest { head, body, bytes, arrived_at: socket.arrival_before(buffer.len()) })
}

async fn receive_before_timeout(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
    state: &ConnectionState,
) -> Result<(RequestHead, Bytes, usize), NoRequest> {
    let first_byte_at = socket.arrival_before(buffer.len().saturating_sub(1));
    let remaining_s = REQUEST_TIMEOUT_S - first_byte_at.elapsed().as_secs_f64();
    // If no time remains, a request that has arrived completely is still read.
    let gave_way = async {
        state.wait_until_giving_way().await;
        Err(NoRequest::GaveWay)
    };
    let request = within(remaining_s, or(receive_whole_request(socket, buffer), gave_way)).await;
    request.unwrap_or(Err(NoRequest::Refused(408, "a request that does not end")))
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

/// Receives a whole request. Returns its head, its body, and the memory in bytes that both use.
async fn receive_whole_request(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
) -> Result<(RequestHead, Bytes, usize), NoRequest> {
    socket.memory.set(RequestStage::Head, buffer.capacity());
    let (head, head_bytes) = match receive_head(socket, buffer).await {
        Ok(received) => received,
        Err(ReceiveFailure::NoRequest(no_request)) => return Err(no_request),
        Err(ReceiveFailure::NoMemory) => return Err(discard_head(socket, buffer).await),
    };
    let mut body = BodyReceiver::new(head.framing, head_bytes, buffer)?;
    match body.receive(socket, buffer).await {
        Ok(()) => {}
        Err(ReceiveFailure::NoRequest(no_request)) => return Err(no_request),
        Err(ReceiveFailure::NoMemory) => {
            // The memory of what has arrived is free from now on.
            drop(head);
            return Err(discard_body(socket, buffer, body.into_rest()).await);
        }
    }
    let body = body.into_bytes();
    let attempt_bytes = if head.path() == CHAT_PATH { OPEN_REQUEST_BYTES } else { 0 };
    let bytes = head_bytes + body.len() + attempt_bytes;
    release_unused(buffer);
    if socket.memory.reserve(RequestStage::Open, bytes + buffer.capacity()).await {
        Ok((head, body, bytes))
    } else {
        Err(NoRequest::Refused(503, NO_MEMORY))
    }
}

/// Receives a head, and returns it with its length.
async fn receive_head(
    socket: &ClientSocket,
    buffer: &mut BytesMut,
) -> Result<(RequestHead, usize), ReceiveFailure> {
    loop {
        if let Some((head, length)) = request::parse_request_head(buffer)? {
            buffer.advance(length);
            return Ok((head, length));
        }
        make_room(socket, RequestStage::Head, buffer, 0, MAX_HEAD_BUFFER_BYTES).await?;
        read_more(socket, buffer).await?;
    }
}

/// Reads what has arrived into the buffer, up to its capacity. Fails if the request has to give way meanwhile.
pub(super) async fn read_more(socket: &ClientSocket, buffer: &mut BytesMut) -> Result<(), ReceiveFailure> {
    let reclaimed = async {
        socket.memory.reclaimed().await;
        None
    };
    match or(async { Some(read_part(socket, buffer).await) }, reclaimed).await {
        Some(read) => Ok(read?),
        None => Err(ReceiveFailure::NoMemory),
    }
}

/// Reads what has arrived into the buffer, and notes that the request makes progress.
pub(super) async fn read_part(socket: &ClientSocket, buffer: &mut BytesMut) -> Result<(), ReceiveError> {
    read_some(socket, buffer).await?;
    socket.set_progress();
    Ok(())
}

/// Makes room in a buffer that is full, up to `max_bytes`. `other_bytes` is what the connection uses besides.
pub(super) async fn make_room(
    socket: &ClientSocket,
    stage: RequestStage,
    buffer: &mut BytesMut,
    other_bytes: usize,
    max_bytes: usize,
) -> Result<(), ReceiveFailure> {
    if buffer.len() < buffer.capacity() {
        return Ok(());
    }
    let min_bytes = if stage == RequestStage::Head { GUARANTEED_BYTES } else { READ_BYTES };
    let capacity = (2 * buffer.len()).max(min_bytes).min(max_bytes);
    resize(socket, stage, buffer, other_bytes, capacity).await
}

/// Moves a buffer to memory of exactly this capacity.
pub(super) async fn resize(
    socket: &ClientSocket,
    stage: RequestStage,
    buffer: &mut BytesMut,
    other_bytes: usize,
    capacity: usize,
) -> Result<(), ReceiveFailure> {
    if !socket.memory.reserve(stage, other_bytes + capacity).await {
        return Err(ReceiveFailure::NoMemory);
    }
    let mut resized = BytesMut::with_capacity(capacity);
    resized.extend_from_slice(buffer);
    *buffer = resized;
    Ok(())
}

/// Moves a buffer's bytes, few or none, to memory of their own, so that the rest is freed.
pub(super) fn release_unused(buffer: &mut BytesMut) {
    *buffer = BytesMut::from(&buffer[..]);
}
