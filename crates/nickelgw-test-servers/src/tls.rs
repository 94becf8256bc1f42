//! TLS of a stand-in: its certificate, which faults change, and its fetches from readers.

use crate::model::TlsFiles;
use crate::record::{unix_now, Record};
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::pki_types::ServerName;
use futures_rustls::rustls::{HandshakeKind, ServerConfig};
use futures_rustls::{server, TlsAcceptor, TlsConnector};
use nickelgw_tls::{Client, Files, Server, Versions};
use serde_json::json;
use smol::net::TcpStream;
use smol::Async;
use std::cell::{Cell, RefCell};
use std::sync::Arc;

pub struct Tls {
    pub files: RefCell<TlsFiles>,
    config: RefCell<Option<Arc<ServerConfig>>>,
    client: RefCell<Client>,
    /// Faults: rest before the handshake, cut amid it, and until when.
    pub slow: Cell<(f64, f64)>,
    pub cut_until: Cell<f64>,
    record: Record,
}

pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

impl Tls {
    pub fn new(files: TlsFiles, record: Record) -> Tls {
        let client = RefCell::new(Client::new(Files::default(), Versions::From12, 0.0));
        let tls = Tls {
            files: RefCell::new(files),
            config: RefCell::default(),
            client,
            slow: Cell::default(),
            cut_until: Cell::default(),
            record,
        };
        tls.load();
        tls
    }

    /// Takes its files as they are, bad ones too: that is what some faults are for.
    pub fn load(&self) {
        let f = self.files.borrow().clone();
        let trust = f.mutual.then(|| f.trust.clone());
        let files = Files { chain: Some(f.chain.clone()), key: Some(f.key.clone()), trust: trust.clone() };
        let mut sound = Server::new(files, Versions::From12, 0.0, f.mutual);
        sound.reload_if_changed(unix_now());
        let config = sound.config().or_else(|| unsound(&f));
        let said = json!({"chain": f.chain, "served": config.is_some()});
        self.record.note("certificate", said);
        *self.config.borrow_mut() = config;
        let own = Files { chain: Some(f.chain), key: Some(f.key), trust: Some(f.trust) };
        let mut client = Client::new(own, Versions::From12, 0.0);
        client.reload_if_changed(unix_now());
        *self.client.borrow_mut() = client;
    }

    /// Whether the first byte that comes begins a TLS record.
    pub async fn is_hello(stream: &Async<std::net::TcpStream>) -> bool {
        let mut first = [0];
        !matches!(stream.peek(&mut first).await, Ok(1) if first[0] != 0x16)
    }

    /// The handshake of a connection that has come; none where it ends there.
    pub async fn accept(
        &self,
        stream: Async<std::net::TcpStream>,
    ) -> Option<server::TlsStream<Async<std::net::TcpStream>>> {
        let (until, s) = self.slow.get();
        if unix_now() < until {
            smol::Timer::after(std::time::Duration::from_secs_f64(s)).await;
        }
        if unix_now() < self.cut_until.get() {
            // After the hello has come in: cut.
            let _ = stream.readable().await;
            self.record.note("handshake", json!({"ok": false, "why": "cut by a fault"}));
            return None;
        }
        let config = self.config.borrow().clone()?;
        match TlsAcceptor::from(config).accept(stream).await {
            Ok(s) => {
                let resumed = s.get_ref().1.handshake_kind() == Some(HandshakeKind::Resumed);
                self.record.note("handshake", json!({"ok": true, "resumed": resumed}));
                Some(s)
            }
            Err(e) => {
                self.record.note("handshake", json!({"ok": false, "why": e.to_string()}));
                None
            }
        }
    }

    /// To a reader, verified by its name.
    pub async fn connect(&self, address: &str, name: &str) -> Option<Box<dyn Stream>> {
        let (config, _) = self.client.borrow().config()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let name = ServerName::try_from(name.to_string()).ok()?;
        Some(Box::new(TlsConnector::from(config).connect(name, stream).await.ok()?))
    }
}

/// Served although no check would let it pass: expired, not yet valid.
fn unsound(f: &TlsFiles) -> Option<Arc<ServerConfig>> {
    use futures_rustls::pki_types::pem::PemObject;
    use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer};
    let chain = CertificateDer::pem_file_iter(&f.chain).ok()?.collect::<Result<Vec<_>, _>>().ok()?;
    let key = PrivateKeyDer::from_pem_file(&f.key).ok()?;
    let provider = Arc::new(futures_rustls::rustls::crypto::ring::default_provider());
    let b = ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions().ok()?;
    b.with_no_client_auth().with_single_cert(chain, key).ok().map(Arc::new)
}
