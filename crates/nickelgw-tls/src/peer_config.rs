//! The two sides of TLS, each with its files, its generation in force, and rustls made from it.

use crate::core::generation::{KeyMaterialError, Keyring, Notice, Term};
use crate::core::tickets::Tickets;
use crate::key_material::{Files, Problem, Read};
use rustls::client::{ClientSessionStore, Resumption, Tls12ClientSessionValue, Tls13ClientSessionValue};
use rustls::crypto::ring;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::sign::{CertifiedKey, SingleCertAndKey};
use rustls::{ClientConfig, NamedGroup, RootCertStore, ServerConfig, SupportedProtocolVersion};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// TLS 1.2 only where a deployment says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    Only13,
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

/// What a look at the files brought.
#[derive(Clone, Debug, PartialEq)]
pub enum TlsEvent {
    InForce { generation: u64 },
    Unreadable(Problem),
    Refused(KeyMaterialError),
    Notice(Notice),
}

/// Roots by their digest: the bundle's and, in their overlap, earlier ones'.
type Roots = BTreeMap<[u8; 32], CertificateDer<'static>>;

struct Held {
    files: Files,
    keyring: Keyring,
    own: Option<Arc<CertifiedKey>>,
    roots: Roots,
    watch_at: f64,
}

impl Held {
    fn new(files: Files, overlap_s: f64, needs_trust: bool) -> Self {
        let keyring = Keyring::new(overlap_s, needs_trust);
        Held { files, keyring, own: None, roots: Roots::new(), watch_at: 0.0 }
    }

    /// Reads the files and watches the terms; true: what rustls was made from has changed.
    fn look(&mut self, now: f64, said: &mut Vec<TlsEvent>) -> bool {
        let mut changed = false;
        match self.files.read() {
            Err(p) => said.push(TlsEvent::Unreadable(p)),
            Ok(Read { material, own, roots }) => {
                let ids: Vec<[u8; 32]> = material.roots.iter().map(|r| r.id).collect();
                let before = self.keyring.refusal().cloned();
                match self.keyring.offer(now, material) {
                    Ok(true) => {
                        self.own = own;
                        self.roots.extend(ids.into_iter().zip(roots));
                        (changed, self.watch_at) = (true, now);
                        let generation = self.keyring.current().map_or(0, |g| g.number);
                        said.push(TlsEvent::InForce { generation });
                    }
                    Ok(false) => {}
                    // Told once, not at each look.
                    Err(why) if before.as_ref() == Some(&why) => {}
                    Err(why) => said.push(TlsEvent::Refused(why)),
                }
            }
        }
        if now >= self.watch_at {
            let (notices, again) = self.keyring.watch(now);
            self.watch_at = again;
            changed |= notices.iter().any(|n| matches!(n, Notice::OverlapEnded { .. }));
            said.extend(notices.into_iter().map(TlsEvent::Notice));
        }
        if changed {
            let wanted = self.keyring.roots(now);
            self.roots.retain(|id, _| wanted.contains(id));
        }
        changed
    }

    fn store(&self) -> Arc<RootCertStore> {
        let mut store = RootCertStore::empty();
        // One that cannot be an anchor was told by the check already.
        self.roots.values().for_each(|r| drop(store.add(r.clone())));
        Arc::new(store)
    }
}

/// Tickets of this node towards engines.
struct Store {
    generation: u64,
    began: Instant,
    tickets: Arc<Mutex<Tickets<Tls13ClientSessionValue>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Store")
    }
}

fn name(n: &ServerName) -> String {
    n.to_str().into_owned()
}

impl ClientSessionStore for Store {
    fn set_kx_hint(&self, _: ServerName<'static>, _: NamedGroup) {}
    fn kx_hint(&self, _: &ServerName<'_>) -> Option<NamedGroup> {
        None
    }
    // Sessions of TLS 1.2 are not resumed: their tickets may be used twice.
    fn set_tls12_session(&self, _: ServerName<'static>, _: Tls12ClientSessionValue) {}
    fn tls12_session(&self, _: &ServerName<'_>) -> Option<Tls12ClientSessionValue> {
        None
    }
    fn remove_tls12_session(&self, _: &ServerName<'static>) {}

    fn insert_tls13_ticket(&self, server: ServerName<'static>, value: Tls13ClientSessionValue) {
        let now = self.began.elapsed().as_secs_f64();
        let mut t = self.tickets.lock().unwrap_or_else(|e| e.into_inner());
        t.put(now, self.generation, &name(&server), value);
    }

    fn take_tls13_ticket(&self, server: &ServerName<'static>) -> Option<Tls13ClientSessionValue> {
        let now = self.began.elapsed().as_secs_f64();
        let mut t = self.tickets.lock().unwrap_or_else(|e| e.into_inner());
        t.take(now, self.generation, &name(server))
    }
}

/// Tickets kept: for an engine, for all, and for how long.
const TICKETS: (usize, usize, f64) = (8, 4096, 3600.0);

/// Towards engines.
pub struct Client {
    held: Held,
    versions: Versions,
    config: Option<Arc<ClientConfig>>,
    began: Instant,
    tickets: Arc<Mutex<Tickets<Tls13ClientSessionValue>>>,
    numbers: u64,
    pub resume: bool,
}

impl Client {
    pub fn new(files: Files, versions: Versions, overlap_s: f64) -> Self {
        let (a, b, c) = TICKETS;
        Client {
            held: Held::new(files, overlap_s, true),
            versions,
            config: None,
            began: Instant::now(),
            tickets: Arc::new(Mutex::new(Tickets::new(a, b, c))),
            numbers: 0,
            resume: true,
        }
    }

    /// Looks at the files; `now` in seconds since 1970.
    pub fn look(&mut self, now: f64) -> Vec<TlsEvent> {
        let mut said = Vec::new();
        if self.held.look(now, &mut said) {
            self.numbers += 1;
            let mut t = self.tickets.lock().unwrap_or_else(|e| e.into_inner());
            t.rotate(self.numbers);
            drop(t);
            self.config = self.make();
        }
        said
    }

    fn make(&self) -> Option<Arc<ClientConfig>> {
        let b = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let b =
            b.with_protocol_versions(self.versions.list()).ok()?.with_root_certificates(self.held.store());
        let mut c = match &self.held.own {
            None => b.with_no_client_auth(),
            Some(own) => b.with_client_cert_resolver(Arc::new(SingleCertAndKey::from(own.clone()))),
        };
        c.alpn_protocols = vec![b"http/1.1".to_vec()];
        // No prompt goes before the engine is verified, and none that a wire could replay: no early data.
        c.enable_early_data = false;
        c.resumption = if self.resume {
            let store = Store { generation: self.numbers, began: self.began, tickets: self.tickets.clone() };
            Resumption::store(Arc::new(store))
        } else {
            Resumption::disabled()
        };
        Some(Arc::new(c))
    }

    /// What new connections are made with, and its number; none before the first sound files.
    pub fn config(&self) -> Option<(Arc<ClientConfig>, u64)> {
        self.config.clone().map(|c| (c, self.numbers))
    }

    pub fn term(&self, now: f64) -> Term {
        self.held.keyring.term(now)
    }

    pub fn refusal(&self) -> Option<&KeyMaterialError> {
        self.held.keyring.refusal()
    }

    pub fn tickets(&self) -> usize {
        self.tickets.lock().unwrap_or_else(|e| e.into_inner()).len()
    }
}

/// On a port that is served: the chat port, a stand-in's.
pub struct Server {
    held: Held,
    versions: Versions,
    /// Clients must show a certificate of the trust bundle.
    mutual: bool,
    config: Option<Arc<ServerConfig>>,
}

impl Server {
    pub fn new(files: Files, versions: Versions, overlap_s: f64, mutual: bool) -> Self {
        Server { held: Held::new(files, overlap_s, mutual), versions, mutual, config: None }
    }

    pub fn look(&mut self, now: f64) -> Vec<TlsEvent> {
        let mut said = Vec::new();
        if self.held.look(now, &mut said) {
            self.config = self.make();
        }
        said
    }

    fn make(&self) -> Option<Arc<ServerConfig>> {
        let own = self.held.own.clone()?;
        let provider = Arc::new(ring::default_provider());
        let b = ServerConfig::builder_with_provider(provider.clone());
        let b = b.with_protocol_versions(self.versions.list()).ok()?;
        let b = match self.mutual {
            false => b.with_no_client_auth(),
            true => {
                let v = WebPkiClientVerifier::builder_with_provider(self.held.store(), provider);
                b.with_client_cert_verifier(v.build().ok()?)
            }
        };
        let mut c = b.with_cert_resolver(Arc::new(SingleCertAndKey::from(own)));
        c.alpn_protocols = vec![b"http/1.1".to_vec()];
        // Tickets of an earlier generation are refused by that: a full handshake follows.
        c.ticketer = ring::Ticketer::new().ok()?;
        Some(Arc::new(c))
    }

    pub fn config(&self) -> Option<Arc<ServerConfig>> {
        self.config.clone()
    }

    pub fn term(&self, now: f64) -> Term {
        self.held.keyring.term(now)
    }
}
