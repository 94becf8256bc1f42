//! TLS of a test server: its certificate, which faults can change, and its connections to prefill engines.

use crate::engine_config::TlsFiles;
use crate::recorder::{unix_now, Recorder};
use crate::timing::sleep_s;
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use futures_rustls::rustls::crypto::ring::default_provider;
use futures_rustls::rustls::{HandshakeKind, ServerConfig};
use futures_rustls::{server, TlsAcceptor, TlsConnector};
use nickelgw_tls::{Client, Files, Server, Versions};
use serde_json::json;
use smol::net::TcpStream;
use smol::Async;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::sync::Arc;

/// Content type of a TLS record with a handshake message, which is its first byte.
const HANDSHAKE_RECORD: u8 = 0x16;

/// Connection with or without TLS.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Fault that delays handshakes.
#[derive(Clone, Copy, Default)]
struct HandshakeDelay {
    until: f64,
    delay_s: f64,
}

/// TLS configuration and faults of a test server, for the connections that it accepts and for those that it
/// opens.
pub(crate) struct TlsEndpoint {
    files: RefCell<TlsFiles>,
    server_config: RefCell<Option<Arc<ServerConfig>>>,
    client: RefCell<Client>,
    handshake_delay: Cell<HandshakeDelay>,
    handshakes_cut_until: Cell<f64>,
    recorder: Recorder,
}

impl TlsEndpoint {
    pub fn new(files: TlsFiles, recorder: Recorder) -> TlsEndpoint {
        let endpoint = TlsEndpoint {
            files: RefCell::new(files),
            server_config: RefCell::default(),
            client: RefCell::new(Client::new(Files::default(), Versions::From12, 0.0)),
            handshake_delay: Cell::default(),
            handshakes_cut_until: Cell::default(),
            recorder,
        };
        endpoint.load();
        endpoint
    }

    /// Returns the name in the certificate.
    pub fn name(&self) -> String {
        self.files.borrow().name.clone()
    }

    /// Replaces the given files and loads all of them. Files that are `None` stay as they are.
    pub fn replace_files(&self, chain: Option<PathBuf>, key: Option<PathBuf>, trust: Option<PathBuf>) {
        {
            let mut files = self.files.borrow_mut();
            files.chain = chain.unwrap_or(files.chain.clone());
            files.key = key.unwrap_or(files.key.clone());
            files.trust = trust.unwrap_or(files.trust.clone());
        }
        self.load();
    }

    /// Closes connections during the handshake until the Unix time `until`.
    pub fn cut_handshakes(&self, until: f64) {
        self.handshakes_cut_until.set(until);
    }

    /// Delays handshakes by `delay_s` until the Unix time `until`.
    pub fn delay_handshakes(&self, until: f64, delay_s: f64) {
        self.handshake_delay.set(HandshakeDelay { until, delay_s });
    }

    /// Loads the files. Certificates that fail the usual checks are loaded as well, because some faults need
    /// them.
    fn load(&self) {
        let files = self.files.borrow().clone();
        let trust = files.mutual.then(|| files.trust.clone());
        let server_files = Files { chain: Some(files.chain.clone()), key: Some(files.key.clone()), trust };
        let mut server = Server::new(server_files, Versions::From12, 0.0, files.mutual);
        server.reload_if_changed(unix_now());
        let server_config = server.config().or_else(|| unchecked_server_config(&files));
        let fields = json!({"chain": files.chain, "served": server_config.is_some()});
        self.recorder.record("certificate", fields);
        *self.server_config.borrow_mut() = server_config;
        let client_files = Files { chain: Some(files.chain), key: Some(files.key), trust: Some(files.trust) };
        let mut client = Client::new(client_files, Versions::From12, 0.0);
        client.reload_if_changed(unix_now());
        *self.client.borrow_mut() = client;
    }

    /// Returns whether the connection begins with a TLS handshake, judged by its first byte.
    pub async fn is_client_hello(stream: &Async<std::net::TcpStream>) -> bool {
        let mut first = [0];
        !matches!(stream.peek(&mut first).await, Ok(1) if first[0] != HANDSHAKE_RECORD)
    }

    /// Performs the handshake of an accepted connection. `None` if it fails.
    pub async fn accept(
        &self,
        stream: Async<std::net::TcpStream>,
    ) -> Option<server::TlsStream<Async<std::net::TcpStream>>> {
        let delay = self.handshake_delay.get();
        if unix_now() < delay.until {
            sleep_s(delay.delay_s).await;
        }
        if unix_now() < self.handshakes_cut_until.get() {
            // The connection is closed only after the client hello has arrived.
            let _ = stream.readable().await;
            self.record_failure("cut by a fault");
            return None;
        }
        let config = self.server_config.borrow().clone()?;
        match TlsAcceptor::from(config).accept(stream).await {
            Ok(stream) => {
                let resumed = stream.get_ref().1.handshake_kind() == Some(HandshakeKind::Resumed);
                self.recorder.record("handshake", json!({"ok": true, "resumed": resumed}));
                Some(stream)
            }
            Err(error) => {
                self.record_failure(&error.to_string());
                None
            }
        }
    }

    fn record_failure(&self, reason: &str) {
        self.recorder.record("handshake", json!({"ok": false, "why": reason}));
    }

    /// Connects to a prefill engine and verifies that its certificate is for `name`. `None` if either fails.
    pub async fn connect(&self, address: &str, name: &str) -> Option<Box<dyn Stream>> {
        let (config, _) = self.client.borrow().config()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let name = ServerName::try_from(name.to_string()).ok()?;
        Some(Box::new(TlsConnector::from(config).connect(name, stream).await.ok()?))
    }
}

/// Creates a configuration without the usual checks of the certificate, for faults such as an expired
/// certificate.
fn unchecked_server_config(files: &TlsFiles) -> Option<Arc<ServerConfig>> {
    let chain = CertificateDer::pem_file_iter(&files.chain).ok()?.collect::<Result<Vec<_>, _>>().ok()?;
    let key = PrivateKeyDer::from_pem_file(&files.key).ok()?;
    let builder = ServerConfig::builder_with_provider(Arc::new(default_provider()));
    let builder = builder.with_safe_default_protocol_versions().ok()?;
    builder.with_no_client_auth().with_single_cert(chain, key).ok().map(Arc::new)
}
