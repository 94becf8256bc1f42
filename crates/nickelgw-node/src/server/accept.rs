//! Accepts client connections within the limits, with TLS if it is configured, and disconnects stalled
//! clients.

use super::connection_monitor::ConnectionMonitor;
use super::ChatServer;
use crate::clock::{seconds, within};
use crate::lingering_close::close_lingering;
use crate::listener_close::close_listener;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::io::{AsyncRead, AsyncWrite};
use smol::{Async, LocalExecutor, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{self, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Age in seconds below which a connection without a request is not closed, as its client's first request is
/// on its way.
const FIRST_REQUEST_GRACE_S: f64 = 0.5;
/// Delay in seconds after a failed accept.
const ACCEPT_RETRY_S: f64 = 0.01;
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time in seconds for which a connection over the limit stays open after its response, and the largest
/// number of connections that do so at the same time.
const REJECT_LINGER_S: f64 = 1.0;
const MAX_REJECTING: usize = 1024;
/// Response to a connection over the limit.
const OVERLOADED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Logs a failed accept and waits before the next, which may succeed: the process had no free file
/// descriptor, or the peer closed its connection while it waited.
async fn wait_after_failed_accept(error: &io::Error) {
    tracing::warn!(%error, "accept failed");
    Timer::after(seconds(ACCEPT_RETRY_S)).await;
}

impl ChatServer {
    /// Accepts connections until dropped or until the node stops listening; then accepts those that wait in
    /// the backlog.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        let stop_listening = self.listener.stop_listening.subscribe();
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                let _ = stop_listening.recv().await;
                None
            };
            match futures_lite::future::or(stopped, accepted).await {
                None => return self.stop_listening(listener, &executor).await,
                Some(Ok((stream, _))) => self.handle_accepted(stream, &executor),
                Some(Err(error)) => wait_after_failed_accept(&error).await,
            }
        }
    }

    /// Closes the listener. After a handover it stays open in the new process, which accepts the waiting
    /// connections.
    async fn stop_listening(
        self: &Rc<Self>,
        listener: Async<TcpListener>,
        executor: &LocalExecutor<'static>,
    ) {
        if !self.listener.handed_over.get() {
            // The process does not exit while a connection is open. Counting one here delays the exit until
            // the listener is closed.
            let _exit_guard = self.listener.connection_opened();
            close_listener(listener, async |listener: &TcpListener| {
                self.accept_waiting(listener, executor).await
            })
            .await;
        }
    }

    /// Accepts connections until the backlog is empty.
    async fn accept_waiting(self: &Rc<Self>, listener: &TcpListener, executor: &LocalExecutor<'static>) {
        loop {
            match listener.accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => self.handle_accepted(stream, executor),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => wait_after_failed_accept(&error).await,
            }
        }
    }

    fn handle_accepted(self: &Rc<Self>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
        let limits = &self.submitter.limits;
        let _ = stream.get_ref().set_nodelay(true);
        if limits.send_buffer > 0 {
            // Otherwise the system buffers megabytes for a client that reads nothing, and the engine is not
            // slowed down.
            let _ = socket2::SockRef::from(stream.get_ref()).set_send_buffer_size(limits.send_buffer);
        }
        if self.listener.connections.get() >= limits.max_connections {
            return executor.spawn(self.clone().reject_connection(stream)).detach();
        }
        executor.spawn(self.clone().serve_connection(stream)).detach();
    }

    /// Responds to a connection over the limit, then reads and discards what its client still sends.
    async fn reject_connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().write(OVERLOADED_RESPONSE);
        if self.listener.rejecting.get() < MAX_REJECTING {
            let _guard = self.listener.rejection_started();
            let max_bytes = self.submitter.limits.max_body_bytes + MAX_HEAD_BYTES;
            close_lingering(&stream, REJECT_LINGER_S, max_bytes).await;
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _guard = self.listener.connection_opened();
        let limits = self.submitter.limits.clone();
        let monitor = ConnectionMonitor::new(self.submitter.clock.origin());
        let stream = monitor.watch(stream);
        let serving = async {
            match self.tls_config() {
                None => self.clone().serve_http(stream, monitor.clone()).await,
                Some(config) => {
                    let handshake = TlsAcceptor::from(config).accept(stream);
                    match within(limits.head_timeout_s, handshake).await {
                        Some(Ok(stream)) => self.clone().serve_http(stream, monitor.clone()).await,
                        failed => {
                            let why = failed.and_then(|result| result.err()).map(|error| error.to_string());
                            tracing::debug!(why, "client TLS handshake failed");
                        }
                    }
                }
            }
        };
        let stalled = async {
            monitor.stalled_for(limits.client_stall_timeout_s).await;
            tracing::info!("stalled client disconnected");
        };
        futures_lite::future::or(serving, stalled).await;
    }

    /// Returns the TLS configuration for a new connection; `None` if the port is plain.
    fn tls_config(&self) -> Option<Arc<ServerConfig>> {
        self.tls.as_ref()?.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).config()
    }

    /// Serves the requests of a connection one after the other, and no further one once idle connections are
    /// to be closed.
    async fn serve_http(
        self: Rc<Self>,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        monitor: ConnectionMonitor,
    ) {
        let opened_at = Instant::now();
        let has_carried_request = Rc::new(Cell::new(false));
        let (server, carries_request) = (self.clone(), has_carried_request.clone());
        let service = service_fn(move |request| {
            carries_request.set(true);
            let (server, monitor) = (server.clone(), monitor.clone());
            async move { Ok::<_, Infallible>(server.serve(request, &monitor).await) }
        });
        let mut http = http1::Builder::new();
        http.timer(SmolTimer::new()).header_read_timeout(seconds(self.submitter.limits.head_timeout_s));
        http.max_buf_size(MAX_HEAD_BYTES);
        let mut connection = std::pin::pin!(http.serve_connection(FuturesIo::new(stream), service));
        let close_idle = self.listener.close_idle.subscribe();
        let close_requested = async {
            let _ = close_idle.recv().await;
            // hyper's graceful shutdown immediately closes a connection on which nothing was read, and its first
            // request is lost.
            if !has_carried_request.get() {
                Timer::at(opened_at + seconds(FIRST_REQUEST_GRACE_S)).await;
            }
            None
        };
        let mut ended =
            futures_lite::future::or(async { Some(connection.as_mut().await) }, close_requested).await;
        if ended.is_none() {
            connection.as_mut().graceful_shutdown();
            ended = Some(connection.await);
        }
        if let Some(Err(error)) = ended {
            tracing::debug!(%error, "HTTP connection of a client failed");
        }
    }
}
