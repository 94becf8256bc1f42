//! Opens connections: TCP, the TLS handshake if TLS is configured, and HTTP/1.1.

use super::peer::Peer;
use bytes::Bytes;
use futures_rustls::pki_types::ServerName;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::TlsConnector;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use nickelgw_tls::{classify_error, TlsFailure};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use std::sync::{Arc, Mutex};

/// Size of a connection's read buffer. It fits a few events, and is small because each of thousands of
/// streams has one.
const READ_BUFFER_BYTES: usize = 4096;

/// TLS of the connections to engines; its files are reloaded on another thread.
#[derive(Clone)]
pub struct Tls(
    /// Configuration, shared with the task that reloads it.
    pub Arc<Mutex<nickelgw_tls::Client>>,
);

impl Tls {
    /// Returns the configuration in force and its generation; `None` if there is none.
    pub(super) fn config(&self) -> Option<(Arc<ClientConfig>, u64)> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).config()
    }
}

/// An open HTTP/1.1 connection. Dropping it closes the connection.
pub(super) struct HttpConnection {
    pub sender: SendRequest<Full<Bytes>>,
    _task: Task<()>,
}

/// Connects to the peer and verifies its certificate. No byte of a request is sent before that.
pub(super) async fn connect(
    executor: &LocalExecutor<'static>,
    tls: Option<&Tls>,
    peer: Peer<'_>,
) -> Result<HttpConnection, TlsFailure> {
    let io_failure = |error: std::io::Error| classify_error(&error);
    let stream = TcpStream::connect(peer.address).await.map_err(io_failure)?;
    stream.set_nodelay(true).map_err(io_failure)?;
    let Some(tls_name) = peer.tls_name else { return http_handshake(executor, stream).await };
    let config = tls.and_then(Tls::config);
    let (config, _) =
        config.ok_or_else(|| TlsFailure::Protocol("the node has no valid TLS configuration".into()))?;
    let server_name = ServerName::try_from(tls_name.to_string());
    let server_name = server_name
        .map_err(|_| TlsFailure::PeerCertificate(format!("invalid TLS name of the engine: {tls_name:?}")))?;
    let stream = TlsConnector::from(config).connect(server_name, stream).await.map_err(io_failure)?;
    http_handshake(executor, stream).await
}

async fn http_handshake(
    executor: &LocalExecutor<'static>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> Result<HttpConnection, TlsFailure> {
    let mut http = Builder::new();
    http.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let handshake = http.handshake(FuturesIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error: hyper::Error| classify_error(&error))?;
    let task = executor.spawn(async move { drop(connection.await) });
    Ok(HttpConnection { sender, _task: task })
}
