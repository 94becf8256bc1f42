//! Server for clients' connections: accepts them up to a limit, and serves one request after another on each.

mod body;
mod connection_table;
mod discard;
mod memory;
mod receive;
mod response;
mod serve;
pub mod socket;

use crate::core::client_memory::RequestStage;
use crate::core::request::KnownNames;
use crate::node::Node;
use async_channel::Receiver;
use bytes::BytesMut;
use connection_table::{ConnectionEntry, ConnectionTable};
use futures_lite::future::{or, yield_now};
pub use memory::MemoryBudget;
use nickelgw_node::close_listener;
use receive::{receive_request, IdleLimits, NoRequest, REQUEST_TIMEOUT_S};
use response::{NextStep, NodeResponse};
use smol::Async;
use socket::ClientSocket;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Idle time after a response at which a connection is closed; it is closed sooner if others need its place.
const KEEP_ALIVE_TIMEOUT_S: f64 = 30.0;

/// The server for clients.
pub struct ClientServer {
    node: Rc<Node>,
    known_names: KnownNames,
    memory: Rc<MemoryBudget>,
    table: Rc<ConnectionTable>,
    /// Time at which the listener's backlog was last seen empty: connections accepted since, and their bytes,
    /// arrived after it.
    backlog_empty_at: Cell<Instant>,
    /// Whether the node is shutting down: each response is then the last of its connection.
    draining: Cell<bool>,
}

impl ClientServer {
    /// Creates a server for up to `max_connections` connections at once.
    pub fn new(
        node: Rc<Node>,
        known_names: KnownNames,
        max_connections: usize,
        memory: Rc<MemoryBudget>,
    ) -> Rc<ClientServer> {
        let table = ConnectionTable::new(max_connections);
        Rc::new(ClientServer {
            node,
            known_names,
            memory,
            table,
            backlog_empty_at: Cell::new(Instant::now()),
            draining: Cell::new(false),
        })
    }

    /// Accepts connections until told to stop, and then those that the system has already accepted: a request
    /// on such a connection counts as received.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, stop: Receiver<()>) {
        loop {
            self.accept_waiting(listener.get_ref()).await;
            let stopped = async {
                let _ = stop.recv().await;
                true
            };
            let ready = async {
                let _ = listener.readable().await;
                false
            };
            if or(ready, stopped).await {
                break;
            }
        }
        close_listener(listener, async |listener: &TcpListener| self.accept_waiting(listener).await).await;
    }

    /// Accepts connections until the backlog is empty. While the table is full, new connections wait in the
    /// backlog: if they were accepted and closed unserved, their first requests would fail.
    async fn accept_waiting(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            while self.table.is_full() {
                self.make_room().await;
            }
            let accepted_at = Instant::now();
            match listener.accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => self.start_connection(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.backlog_empty_at.set(accepted_at);
                    return;
                }
                Err(error) => {
                    // No descriptor is free, or the peer disconnected while it waited in the backlog. The
                    // listener stays readable, so that a retry at once would spin.
                    tracing::debug!(at = self.node.now(), %error, "accept failed");
                    self.make_room().await;
                }
            }
        }
    }

    async fn make_room(&self) {
        self.table.make_room(self.node.now());
        self.table.wait_for_room().await;
    }

    fn start_connection(self: &Rc<Self>, stream: Async<TcpStream>) {
        // The connection is in the table before its task runs: otherwise a whole backlog would be accepted
        // beyond the limit.
        let (entry, closing) = self.table.insert(self.node.now());
        tracing::debug!(
            at = self.node.now(),
            connection = entry.number,
            peer = stream.get_ref().peer_addr().map(tracing::field::display).ok(),
            "client connection accepted"
        );
        let serving = self.clone().serve_connection(stream, entry, closing, self.backlog_empty_at.get());
        self.node.executor().spawn(serving).detach();
    }

    /// Makes each response from now on the last of its connection.
    pub fn begin_drain(&self) {
        self.draining.set(true);
    }

    /// Closes connections without an open request.
    pub fn close_idle(&self) {
        self.table.close_idle(self.node.now());
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        entry: ConnectionEntry,
        closing: Receiver<()>,
        backlog_empty_at: Instant,
    ) {
        let socket = ClientSocket::new(stream, backlog_empty_at, &self.memory, &entry.state);
        let mut buffer = BytesMut::new();
        let mut limits = IdleLimits { timeout_s: REQUEST_TIMEOUT_S, closing: &closing };
        loop {
            let next = self.serve_next_request(&socket, &mut buffer, &entry, &limits).await;
            if next != NextStep::KeepAlive {
                self.log_connection_ended(&entry, next);
            }
            match next {
                NextStep::KeepAlive => {}
                NextStep::Close => return socket.close().await,
                NextStep::CloseAtOnce | NextStep::Disconnected => return,
            }
            if buffer.is_empty() {
                // Hundreds of connections may be idle for long: none of them keeps a buffer.
                buffer = BytesMut::new();
            }
            socket.memory.set(RequestStage::Idle, buffer.capacity());
            limits.timeout_s = KEEP_ALIVE_TIMEOUT_S;
            // The next request may be in the buffer: other connections take turns with a client that pipelines.
            yield_now().await;
        }
    }

    fn log_connection_ended(&self, entry: &ConnectionEntry, next: NextStep) {
        tracing::debug!(
            at = self.node.now(),
            connection = entry.number,
            carried_request = entry.state.has_carried_request.get(),
            reason = ?next,
            "client connection ended"
        );
    }

    async fn serve_next_request(
        self: &Rc<Self>,
        socket: &Rc<ClientSocket>,
        buffer: &mut BytesMut,
        entry: &ConnectionEntry,
        limits: &IdleLimits<'_>,
    ) -> NextStep {
        let state = &entry.state;
        let received = receive_request(socket, buffer, limits, state, || self.node.now()).await;
        state.idle_since.set(None);
        if received.is_err() {
            *buffer = BytesMut::new();
            socket.memory.set(RequestStage::Idle, 0);
        }
        match received {
            Err(NoRequest::ConnectionEnded) => NextStep::Disconnected,
            Err(NoRequest::Closing) => NextStep::Close,
            Err(NoRequest::GaveWay) => {
                NodeResponse::new(503, "no room for a request that does not arrive", true)
                    .write(socket)
                    .await;
                NextStep::CloseAtOnce
            }
            Err(NoRequest::Refused(status, reason)) => {
                tracing::debug!(at = self.node.now(), status, reason, "request refused before admission");
                self.node.log_malformed("client", reason);
                NodeResponse::new(status, reason, true).write(socket).await
            }
            Ok(request) => {
                tracing::debug!(
                    at = self.node.now(),
                    request = request.head.id().map(tracing::field::display),
                    connection = entry.number,
                    "request received"
                );
                state.has_carried_request.set(true);
                let close = request.head.closes_connection || self.draining.get();
                socket.begin_request(request.bytes, std::mem::take(buffer));
                let next = self.serve_request(socket, request, close).await;
                *buffer = socket.end_request();
                next
            }
        }
    }
}
