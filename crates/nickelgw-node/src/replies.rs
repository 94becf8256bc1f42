//! The client's side of a request: passes its response from the event loop to the client's connection.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_protocol::chat::{ApiError, ChatRequest, Chunk, UnaryResponse};
use std::rc::Rc;
use std::time::Instant;

/// Number of events buffered for a slow client. While the buffer is full, the node reads no further events
/// from the decode engine.
const MAX_BUFFERED_EVENTS: usize = 32;

/// A response, or the beginning of one, as the client's connection receives it.
pub enum Reply {
    /// Server-sent events; the channel is closed after the last one.
    Stream(Receiver<Bytes>),
    /// The whole response body.
    Unary(Bytes),
    /// An error instead of a response.
    Error(ApiError),
}

/// An open request, from the client's side.
pub struct ClientRequest {
    /// The request id, as in the `x-request-id` header.
    pub id: Rc<str>,
    /// The parsed body.
    pub chat: Rc<ChatRequest>,
    /// Receives exactly one reply.
    pub reply: Sender<Reply>,
    /// When the request's head was read.
    pub received_at: Instant,
    /// The client's event stream; `None` if it has not begun or the response is not streamed.
    pub stream: Option<Sender<Bytes>>,
}

impl ClientRequest {
    /// Begins the response and returns the sink for its events. A client that asked for a stream gets the
    /// receiving end as its reply.
    pub fn begin_response(&mut self) -> ResponseSink {
        if !self.chat.stream {
            return ResponseSink::Unary(Box::default());
        }
        let (events, stream) = async_channel::bounded(MAX_BUFFERED_EVENTS);
        self.stream = Some(events.clone());
        let _ = self.reply.try_send(Reply::Stream(stream));
        ResponseSink::Stream { events, include_usage: self.chat.include_usage }
    }
}

/// Destination for the events of a decode stream. Owned by the one attempt that may respond to the client.
pub enum ResponseSink {
    /// Each event is forwarded as it is.
    Stream {
        /// The client's stream.
        events: Sender<Bytes>,
        /// Whether the client asked for the usage event.
        include_usage: bool,
    },
    /// The events are merged into one response body.
    Unary(Box<UnaryResponse>),
}

impl ResponseSink {
    /// Forwards one event. Waits while the client's buffer is full.
    pub async fn forward(&mut self, frame: Bytes, data: &[u8]) -> Result<(), AttemptOutcome> {
        match self {
            // The node always asks the engine for a usage event, but this client did not ask for one.
            ResponseSink::Stream { include_usage: false, .. } if is_usage_only(data) => Ok(()),
            ResponseSink::Stream { events, .. } => {
                events.send(frame).await.map_err(|_| AttemptOutcome::Cancelled)
            }
            ResponseSink::Unary(response) => {
                response.push_chunk(Chunk::parse(data).map_err(|_| AttemptOutcome::Malformed)?);
                Ok(())
            }
        }
    }
}

fn is_usage_only(data: &[u8]) -> bool {
    const USAGE_FIELD: &[u8] = b"\"usage\":";
    let has_usage = data.windows(USAGE_FIELD.len()).any(|window| window == USAGE_FIELD);
    has_usage && Chunk::parse(data).is_ok_and(|chunk| chunk.is_usage_only())
}
