//! A client's socket: detects whether the client has disconnected, buffers what the client sends before its
//! response, and closes the connection.

use super::connection_table::ConnectionState;
use super::memory::{MemoryBudget, MemoryUse};
use crate::core::client_memory::{RequestStage, GUARANTEED_BYTES};
use crate::core::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::stream_io::{self, Readable, READ_BYTES};
use bytes::BytesMut;
use nickelgw_node::{close_lingering, ArrivalTimes};
use smol::Async;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of bytes buffered from a client before its response: the maximum size of one request. A
/// client that sends more is refused, since unread bytes hide whether it has disconnected.
const MAX_PIPELINED_BYTES: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// Time for which a connection is still read after its last response: a connection that is closed with unread
/// bytes is reset, and the response is lost with it.
const LINGER_S: f64 = 0.5;
/// Maximum number of bytes read after a connection's last response.
const LINGER_BYTES: usize = MAX_BODY_BYTES;

/// Reason why a response is no longer awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnection {
    /// The client has closed its connection, or its sending direction.
    Closed,
    /// The client has sent more before its response than may be buffered.
    PipelineOverflow,
}

/// The socket of one client's connection.
pub struct ClientSocket {
    /// Stream of the connection.
    pub stream: Async<TcpStream>,
    /// Arrival times of the bytes that were read.
    arrivals: RefCell<ArrivalTimes>,
    /// Bytes that arrived while a response was awaited.
    pipelined: RefCell<BytesMut>,
    disconnection: Cell<Option<Disconnection>>,
    /// Memory that the connection uses.
    pub memory: MemoryUse,
    /// State of the connection.
    state: Rc<ConnectionState>,
    /// Memory of the open request in bytes; 0 if no request is open.
    open_request_bytes: Cell<usize>,
}

impl ClientSocket {
    /// Creates a socket on this stream, on which no byte had arrived by `empty_at`.
    pub fn new(
        stream: Async<TcpStream>,
        empty_at: Instant,
        budget: &Rc<MemoryBudget>,
        state: &Rc<ConnectionState>,
    ) -> Rc<ClientSocket> {
        let _ = stream.get_ref().set_nodelay(true);
        let memory = MemoryUse::new(budget);
        Rc::new(ClientSocket {
            stream,
            arrivals: RefCell::new(ArrivalTimes::new(empty_at)),
            pipelined: RefCell::default(),
            disconnection: Cell::new(None),
            memory,
            state: state.clone(),
            open_request_bytes: Cell::new(0),
        })
    }

    /// Notes that bytes of a request have arrived that is not whole yet.
    pub fn set_progress(&self) {
        self.memory.note_arrival();
        self.state.set_progress();
    }

    /// Returns the arrival time of the last byte that was read before the final `unused` bytes.
    pub fn arrival_before(&self, unused: usize) -> Instant {
        self.arrivals.borrow_mut().arrival_before(unused)
    }

    /// Marks a request that uses this many bytes as open, and buffers the bytes that arrived after it.
    pub fn begin_request(&self, bytes: usize, pipelined: BytesMut) {
        self.memory.set(RequestStage::Open, bytes + pipelined.capacity());
        self.pipelined.replace(pipelined);
        self.open_request_bytes.set(bytes);
    }

    /// Marks the request as answered. Returns the bytes that arrived meanwhile, which belong to the next
    /// request.
    pub fn end_request(&self) -> BytesMut {
        self.open_request_bytes.set(0);
        self.pipelined.take()
    }

    /// Returns how the client has disconnected; `None` if it is connected. Reads the available bytes without
    /// waiting, since the end of the connection comes after all bytes that were sent before it.
    pub fn disconnection(&self) -> Option<Disconnection> {
        while self.disconnection.get().is_none() {
            let mut pipelined = self.pipelined.borrow_mut();
            match self.read_up_to(READ_BYTES, &mut pipelined) {
                Ok(0) => self.disconnection.set(Some(Disconnection::Closed)),
                Ok(_) => {
                    let bytes = self.open_request_bytes.get() + pipelined.capacity();
                    let fits = self.memory.try_reserve(RequestStage::Open, bytes);
                    if pipelined.len() > MAX_PIPELINED_BYTES || !fits {
                        self.disconnection.set(Some(Disconnection::PipelineOverflow));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.disconnection.set(Some(Disconnection::Closed)),
            }
        }
        self.disconnection.get()
    }

    /// Returns the future's result, or an error if the client disconnects first.
    pub async fn while_connected<T>(&self, future: impl Future<Output = T>) -> Result<T, Disconnection> {
        let disconnected = async {
            loop {
                if let Some(disconnection) = self.disconnection() {
                    return Err(disconnection);
                }
                if self.stream.readable().await.is_err() {
                    return Err(Disconnection::Closed);
                }
            }
        };
        futures_lite::future::or(async { Ok(future.await) }, disconnected).await
    }

    /// Reads bytes that arrived just as the connection was about to be closed, and returns whether there were
    /// any: their request counts as received.
    pub fn read_before_close(&self, buffer: &mut BytesMut) -> bool {
        matches!(self.read_up_to(GUARANTEED_BYTES, buffer), Ok(length) if length > 0)
    }

    /// Appends at most `max_bytes` of the bytes that have arrived to the buffer without waiting, and returns their
    /// number; 0 at the end of the stream.
    fn read_up_to(&self, max_bytes: usize, buffer: &mut BytesMut) -> io::Result<usize> {
        let (stream, read_at) = (self.stream.get_ref(), Instant::now());
        let read = stream_io::read_available(stream, buffer, max_bytes);
        let mut arrivals = self.arrivals.borrow_mut();
        match &read {
            Ok(length) if *length > 0 => arrivals.record_read(read_at, stream, *length),
            Err(error) if error.kind() == ErrorKind::WouldBlock => arrivals.record_empty(read_at),
            _ => {}
        }
        read
    }

    /// Closes the connection in such a way that the last response arrives. Bytes received from now on are
    /// discarded.
    pub async fn close(&self) {
        close_lingering(&self.stream, LINGER_S, LINGER_BYTES).await;
    }
}

impl Readable for ClientSocket {
    fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    /// Fills the buffer up to its capacity, for which memory was reserved; a buffer without capacity gets the bytes
    /// that each connection is guaranteed.
    fn read_available(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let max_bytes = match buffer.capacity() {
            0 => GUARANTEED_BYTES,
            capacity => capacity - buffer.len(),
        };
        self.read_up_to(max_bytes, buffer)
    }
}
