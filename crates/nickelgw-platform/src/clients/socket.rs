//! A client's socket: whether the client has disconnected, what it sends before its response, and how it is closed.

use super::memory::{MemoryBudget, MemoryUse};
use crate::core::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::stream_io::{self, Readable};
use bytes::BytesMut;
use nickelgw_node::{close_lingering, ArrivalTimes};
use smol::Async;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// Bytes buffered of a client that does not wait for its response: as many as one request may have. One that sends more
/// is refused, since unread bytes hide whether it has disconnected.
const MAX_PIPELINED_BYTES: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// After its last response a connection is read on for so long, and for so many bytes: closed over unread ones it would be
/// reset, and the response lost with it.
const LINGER_S: f64 = 0.5;
const LINGER_BYTES: usize = MAX_BODY_BYTES;

/// Why a response is no longer awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnection {
    /// The client has closed its connection, or its sending direction.
    Closed,
    /// It sends more requests than are buffered before its response.
    PipelineOverflow,
}

/// The socket of one client's connection.
pub struct ClientSocket {
    /// The stream itself.
    pub stream: Async<TcpStream>,
    /// When what was read had arrived.
    arrivals: RefCell<ArrivalTimes>,
    /// What arrived while a response was awaited.
    pipelined: RefCell<BytesMut>,
    disconnection: Cell<Option<Disconnection>>,
    /// The memory that the connection uses.
    pub memory: MemoryUse,
    /// Bytes of the open request.
    open_request_bytes: Cell<usize>,
}

impl ClientSocket {
    /// A socket on this stream, on which nothing had arrived by `empty_at`.
    pub fn new(stream: Async<TcpStream>, empty_at: Instant, budget: &Rc<MemoryBudget>) -> Rc<ClientSocket> {
        let _ = stream.get_ref().set_nodelay(true);
        let memory = MemoryUse::new(budget);
        Rc::new(ClientSocket {
            stream,
            arrivals: RefCell::new(ArrivalTimes::new(empty_at)),
            pipelined: RefCell::default(),
            disconnection: Cell::new(None),
            memory,
            open_request_bytes: Cell::new(0),
        })
    }

    /// When the last byte before the `unused` ones at the end arrived.
    pub fn arrival_before(&self, unused: usize) -> Instant {
        self.arrivals.borrow_mut().arrival_before(unused)
    }

    /// A request of so many bytes is open; what has arrived behind it is buffered.
    pub fn begin_request(&self, bytes: usize, pipelined: BytesMut) {
        self.pipelined.replace(pipelined);
        self.open_request_bytes.set(bytes);
    }

    /// The response has been written. Returns what arrived meanwhile, the next request.
    pub fn end_request(&self) -> BytesMut {
        self.open_request_bytes.set(0);
        self.pipelined.take()
    }

    /// Whether the client has disconnected. Reads what is available without waiting: the end of the connection is behind
    /// whatever was sent before it.
    pub fn disconnection(&self) -> Option<Disconnection> {
        while self.disconnection.get().is_none() {
            let mut pipelined = self.pipelined.borrow_mut();
            match self.read_available(&mut pipelined) {
                Ok(0) => self.disconnection.set(Some(Disconnection::Closed)),
                Ok(_) => {
                    let fits = self.memory.set(self.open_request_bytes.get() + pipelined.len());
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

    /// The future's result, unless the client disconnects before.
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

    /// Reads what arrived in the very moment in which the connection was to be closed: a request that counts as received.
    pub fn read_before_close(&self, buffer: &mut BytesMut) -> bool {
        matches!(self.read_available(buffer), Ok(length) if length > 0)
    }

    /// Closes so that the last response arrives. What is received after this is discarded.
    pub async fn close(&self) {
        close_lingering(&self.stream, LINGER_S, LINGER_BYTES).await;
    }
}

impl Readable for ClientSocket {
    fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    fn read_available(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let (stream, read_at) = (self.stream.get_ref(), Instant::now());
        let read = stream_io::read_available(stream, buffer);
        let mut arrivals = self.arrivals.borrow_mut();
        match &read {
            Ok(length) if *length > 0 => arrivals.record_read(read_at, stream, *length),
            Err(error) if error.kind() == ErrorKind::WouldBlock => arrivals.record_empty(read_at),
            _ => {}
        }
        read
    }
}
