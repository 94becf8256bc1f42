//! One connection to an engine or to discovery, on a plain socket. hyper is not used since it does not report
//! when a request's last byte has been written, which decides whether the request may have run.

use crate::core::engine::{self, ResponseHead};
use crate::core::event_stream::{EventStreamDecoder, StreamPiece};
use crate::core::{Framing, MalformedMessage};
use crate::stream_io::{read_some, receive, receive_body, receive_to_end, write_all, ReceiveError};
use bytes::{Buf, Bytes, BytesMut};
use nickelgw_node::discard_unsent_on_close;
use nickelgw_node_core::AttemptOutcome;
use smol::Async;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Time within which an engine may send a surplus response after a stream; the platform's days have some that are
/// milliseconds late. A request written meanwhile would take the surplus response for its own.
const SURPLUS_RESPONSE_WITHIN_S: f64 = 0.1;

/// A descriptor in use. It counts from when the connection begins to be opened, since a connection that is
/// established late uses a descriptor meanwhile as well.
pub(crate) struct DescriptorPermit(Rc<Cell<usize>>);

impl DescriptorPermit {
    /// Adds one to the number of descriptors in use.
    pub(crate) fn new(open: &Rc<Cell<usize>>) -> DescriptorPermit {
        open.set(open.get() + 1);
        DescriptorPermit(open.clone())
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A connection that this node opened. Dropping it closes it, which tells the peer that no response is
/// awaited any more.
pub struct Connection {
    pub(crate) address: String,
    stream: Rc<Async<TcpStream>>,
    buffer: BytesMut,
    idle_since: Instant,
    /// Time in seconds for which the connection had been idle when it was last seen open.
    pub(crate) seen_open_after_s: f64,
    /// Time in seconds for which the connection had been idle when the current call took it from the pool;
    /// `None` if it is new.
    idle_s: Option<f64>,
    /// When the last stream was read to its end, which a surplus response may follow; `None` if there was none.
    stream_ended_at: Option<Instant>,
    _permit: DescriptorPermit,
}

/// Handle that ends a connection at once, whichever task holds the connection.
pub struct ConnectionCloser(Rc<Async<TcpStream>>);

impl ConnectionCloser {
    /// Gives up the request on the connection. What has not reached the engine's machine is not sent any more: a
    /// request whose last byte arrived later would begin then.
    pub fn give_up(self) {
        discard_unsent_on_close(self.0.get_ref());
        let _ = self.0.get_ref().shutdown(Shutdown::Both);
    }
}

impl Connection {
    /// Creates a connection on this stream.
    pub(crate) fn new(address: &str, stream: Async<TcpStream>, permit: DescriptorPermit) -> Connection {
        Connection {
            address: address.to_string(),
            stream: Rc::new(stream),
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
            seen_open_after_s: 0.0,
            idle_s: None,
            stream_ended_at: None,
            _permit: permit,
        }
    }

    /// Returns for how many seconds the connection had been idle when the current call took it from the pool;
    /// `None` if it was opened for this call.
    pub fn idle_s(&self) -> Option<f64> {
        self.idle_s
    }

    /// Returns for how many seconds the connection has been idle in the pool.
    pub(crate) fn idle_elapsed_s(&self) -> f64 {
        self.idle_since.elapsed().as_secs_f64()
    }

    /// Marks the connection as taken from the pool by a call, after it was idle for `idle_s`.
    pub(crate) fn set_in_use(&mut self, idle_s: f64) {
        self.idle_s = Some(idle_s);
    }

    /// Marks the connection as idle in the pool. Returns `false` if bytes follow the last response, since
    /// they would be taken for the next response.
    pub(crate) fn set_idle(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        self.buffer = BytesMut::new();
        self.idle_since = Instant::now();
        (self.seen_open_after_s, self.idle_s) = (0.0, None);
        true
    }

    /// Returns a handle with which another task can end the connection.
    pub fn closer(&self) -> ConnectionCloser {
        ConnectionCloser(self.stream.clone())
    }

    /// Notes that a stream was read to its end.
    pub fn set_stream_ended(&mut self) {
        self.stream_ended_at = Some(Instant::now());
    }

    /// Returns whether a surplus response may still follow the last stream.
    pub(crate) fn may_get_surplus_response(&self) -> bool {
        self.stream_ended_at
            .is_some_and(|ended_at| ended_at.elapsed().as_secs_f64() < SURPLUS_RESPONSE_WITHIN_S)
    }

    /// Returns whether nothing has arrived and the stream has not ended while the connection was idle.
    pub(crate) fn is_reusable(&self) -> bool {
        loop {
            return match self.stream.get_ref().peek(&mut [0]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => self.buffer.is_empty() && error.kind() == ErrorKind::WouldBlock,
                Ok(_) => false,
            };
        }
    }

    /// Writes a request. Until its last byte is handed to the system the request is known not to have run.
    /// The request's parts are written one after the other.
    pub async fn write(&mut self, parts: &[Bytes], delivered: &Cell<bool>) -> Result<(), AttemptOutcome> {
        for part in parts {
            // On an error, the system has not accepted all of the request.
            write_all(&self.stream, part).await.map_err(|_| AttemptOutcome::ConnectFailed)?;
        }
        delivered.set(true);
        Ok(())
    }

    /// Reads the head of the final response; interim responses before it are skipped.
    pub async fn response_head(&mut self) -> Result<ResponseHead, ReceiveError> {
        for _ in 0..MAX_INTERIM_RESPONSES {
            let parse = |buffer: &mut BytesMut| {
                Ok(engine::parse_response_head(buffer)?.map(|(head, length)| {
                    buffer.advance(length);
                    head
                }))
            };
            let head = receive(&*self.stream, &mut self.buffer, parse).await?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
        Err(MalformedMessage::Head.into())
    }

    /// Waits for the next bytes of a stream of events. Returns a piece if they complete one. If the future is dropped
    /// while it waits, no bytes are lost.
    pub async fn read_stream(
        &mut self,
        decoder: &mut EventStreamDecoder,
    ) -> Result<Option<StreamPiece>, ReceiveError> {
        if let Some(piece) = decoder.next(&mut self.buffer)? {
            return Ok(Some(piece));
        }
        read_some(&*self.stream, &mut self.buffer).await?;
        Ok(decoder.next(&mut self.buffer)?)
    }

    /// Reads a body whose length is not stated, up to the end of the connection.
    pub async fn body_to_end(&mut self, max_bytes: usize) -> Result<Bytes, AttemptOutcome> {
        Ok(receive_to_end(&*self.stream, &mut self.buffer, max_bytes).await?)
    }

    /// Reads a whole body, and returns it with whether the connection can carry another request. A body without
    /// a stated length is taken as empty: the status decides, and its connection may stay open for long.
    pub async fn body(
        &mut self,
        head: &ResponseHead,
        max_bytes: usize,
    ) -> Result<(Bytes, bool), AttemptOutcome> {
        if head.status == 204 || head.status == 304 {
            return Ok((Bytes::new(), !head.closes_connection));
        }
        let body = receive_body(&*self.stream, &mut self.buffer, head.framing, max_bytes).await?;
        Ok((body, !head.closes_connection && head.framing != Framing::Unspecified))
    }
}
