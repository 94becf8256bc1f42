//! TLS client and server: their key material and the rustls configurations built from it.

use crate::core::generation::{KeyMaterialError, Validity};
use crate::core::tickets::{TicketLimits, Tickets};
use crate::key_material::Files;
use crate::reload::{ReloadingKeys, TlsEvent};
use crate::session_store::{lock, SessionStore, SharedTickets};
use rustls::client::Resumption;
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls::sign::SingleCertAndKey;
use rustls::{ClientConfig, ServerConfig, SupportedProtocolVersion};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Protocol negotiated within TLS.
const ALPN_HTTP_1_1: &[u8] = b"http/1.1";

const TICKET_LIMITS: TicketLimits = TicketLimits { max_per_name: 8, max_tickets: 4096, max_age_s: 3600.0 };

/// Accepted versions of TLS. Version 1.2 is accepted only where the settings allow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// TLS 1.3 only.
    Only13,
    /// TLS 1.2 and later.
    From12,
}

impl Versions {
    fn list(self) -> &'static [&'static SupportedProtocolVersion] {
        static ALL: [&SupportedProtocolVersion; 2] = [&rustls::version::TLS13, &rustls::version::TLS12];
        match self {
            Versions::Only13 => &ALL[..1],
            Versions::From12 => &ALL,
        }
    }
}

/// TLS client for connections to engines.
pub struct Client {
    keys: ReloadingKeys,
    versions: Versions,
    config: Option<Arc<ClientConfig>>,
    started_at: Instant,
    tickets: SharedTickets,
    /// Number of the current configuration and of its session tickets.
    generation: u64,
    /// Whether sessions are resumed. A change takes effect with the next generation.
    pub resume: bool,
}

impl Client {
    /// Creates a client that has not read its files yet. `overlap_s` is the time for which roots that a new
    /// trust bundle omits stay trusted.
    pub fn new(files: Files, versions: Versions, overlap_s: f64) -> Self {
        Client {
            keys: ReloadingKeys::new(files, overlap_s, true),
            versions,
            config: None,
            started_at: Instant::now(),
            tickets: Arc::new(Mutex::new(Tickets::new(TICKET_LIMITS))),
            generation: 0,
            resume: true,
        }
    }

    /// Reads the files, and rebuilds the configuration if they have changed. `now` is in seconds since 1970.
    pub fn reload_if_changed(&mut self, now: f64) -> Vec<TlsEvent> {
        let mut events = Vec::new();
        if self.keys.reload_if_changed(now, &mut events) {
            self.generation += 1;
            lock(&self.tickets).rotate(self.generation);
            self.config = self.build_config();
        }
        events
    }

    fn build_config(&self) -> Option<Arc<ClientConfig>> {
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(self.versions.list())
            .ok()?
            .with_root_certificates(self.keys.root_store());
        let mut config = match &self.keys.certified_key {
            None => builder.with_no_client_auth(),
            Some(key) => builder.with_client_cert_resolver(Arc::new(SingleCertAndKey::from(key.clone()))),
        };
        config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
        // Early data could be replayed and would send a prompt before the engine is verified.
        config.enable_early_data = false;
        config.resumption = self.resumption();
        Some(Arc::new(config))
    }

    fn resumption(&self) -> Resumption {
        if !self.resume {
            return Resumption::disabled();
        }
        let (generation, started_at) = (self.generation, self.started_at);
        Resumption::store(Arc::new(SessionStore { generation, started_at, tickets: self.tickets.clone() }))
    }

    /// Returns the configuration of new connections and its generation. `None` before valid files were first
    /// read.
    pub fn config(&self) -> Option<(Arc<ClientConfig>, u64)> {
        self.config.clone().map(|config| (config, self.generation))
    }

    /// Returns how long the own certificate remains valid.
    pub fn validity(&self, now: f64) -> Validity {
        self.keys.keyring.validity(now)
    }

    /// Returns why the newest files were refused. `None` if they are in force.
    pub fn refusal(&self) -> Option<&KeyMaterialError> {
        self.keys.keyring.refusal()
    }

    /// Number of session tickets stored.
    pub fn tickets(&self) -> usize {
        lock(&self.tickets).len()
    }
}

/// TLS server for a listening port.
pub struct Server {
    keys: ReloadingKeys,
    versions: Versions,
    /// Whether clients must present a certificate that the trust bundle verifies.
    mutual: bool,
    config: Option<Arc<ServerConfig>>,
}

impl Server {
    /// Creates a server that has not read its files yet. `overlap_s` is the time for which roots that a new
    /// trust bundle omits stay trusted. With `mutual`, clients must present a certificate that the trust
    /// bundle verifies.
    pub fn new(files: Files, versions: Versions, overlap_s: f64, mutual: bool) -> Self {
        Server { keys: ReloadingKeys::new(files, overlap_s, mutual), versions, mutual, config: None }
    }

    /// Reads the files, and rebuilds the configuration if they have changed. `now` is in seconds since 1970.
    pub fn reload_if_changed(&mut self, now: f64) -> Vec<TlsEvent> {
        let mut events = Vec::new();
        if self.keys.reload_if_changed(now, &mut events) {
            self.config = self.build_config();
        }
        events
    }

    fn build_config(&self) -> Option<Arc<ServerConfig>> {
        let key = self.keys.certified_key.clone()?;
        let provider = Arc::new(ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(self.versions.list())
            .ok()?;
        let builder = if self.mutual {
            let verifier = WebPkiClientVerifier::builder_with_provider(self.keys.root_store(), provider);
            builder.with_client_cert_verifier(verifier.build().ok()?)
        } else {
            builder.with_no_client_auth()
        };
        let mut config = builder.with_cert_resolver(Arc::new(SingleCertAndKey::from(key)));
        config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
        // A new ticketer refuses tickets of earlier generations, so that a full handshake follows.
        config.ticketer = ring::Ticketer::new().ok()?;
        Some(Arc::new(config))
    }

    /// Returns the configuration of new connections. `None` before valid files were first read.
    pub fn config(&self) -> Option<Arc<ServerConfig>> {
        self.config.clone()
    }

    /// Returns how long the own certificate remains valid.
    pub fn validity(&self, now: f64) -> Validity {
        self.keys.keyring.validity(now)
    }
}
