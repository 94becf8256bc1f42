//! Key material that is reloaded from its files, and the generation in force.

use crate::core::generation::{KeyMaterialError, Keyring, Notice};
use crate::key_material::{Files, KeyFileError, LoadedKeyMaterial};
use rustls::pki_types::CertificateDer;
use rustls::sign::CertifiedKey;
use rustls::RootCertStore;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Event of a reload of the files.
#[derive(Clone, Debug, PartialEq)]
pub enum TlsEvent {
    /// New key material is in force.
    InForce {
        /// Number of its generation.
        generation: u64,
    },
    /// A file could not be read or parsed. The generation in force stays.
    Unreadable(KeyFileError),
    /// The files are not valid key material. The generation in force stays.
    Refused(KeyMaterialError),
    /// A notice about an expiry or the end of a root's overlap.
    Notice(Notice),
}

/// Trusted roots by their digest: those of the current bundle, and earlier ones during their overlap.
type Roots = BTreeMap<[u8; 32], CertificateDer<'static>>;

/// Key material of a TLS client or server, reloaded when its files change.
pub(crate) struct ReloadingKeys {
    files: Files,
    pub(crate) keyring: Keyring,
    pub(crate) certified_key: Option<Arc<CertifiedKey>>,
    roots: Roots,
    poll_notices_at: f64,
}

impl ReloadingKeys {
    pub(crate) fn new(files: Files, overlap_s: f64, needs_trust: bool) -> Self {
        let keyring = Keyring::new(overlap_s, needs_trust);
        ReloadingKeys { files, keyring, certified_key: None, roots: Roots::new(), poll_notices_at: 0.0 }
    }

    /// Reads the files and checks for expiry. Returns whether the rustls configuration must be rebuilt.
    pub(crate) fn reload_if_changed(&mut self, now: f64, events: &mut Vec<TlsEvent>) -> bool {
        let mut changed = match self.files.read() {
            Ok(loaded) => self.offer(now, loaded, events),
            Err(error) => {
                events.push(TlsEvent::Unreadable(error));
                false
            }
        };
        if now >= self.poll_notices_at {
            let (notices, poll_at) = self.keyring.poll_notices(now);
            self.poll_notices_at = poll_at;
            changed |= notices.iter().any(|notice| matches!(notice, Notice::OverlapEnded { .. }));
            events.extend(notices.into_iter().map(TlsEvent::Notice));
        }
        if changed {
            let trusted = self.keyring.roots(now);
            self.roots.retain(|id, _| trusted.contains(id));
        }
        changed
    }

    /// Offers the material to the keyring. Returns whether it came into force.
    fn offer(&mut self, now: f64, loaded: LoadedKeyMaterial, events: &mut Vec<TlsEvent>) -> bool {
        let LoadedKeyMaterial { material, certified_key, roots } = loaded;
        let ids: Vec<[u8; 32]> = material.roots.iter().map(|root| root.id).collect();
        let previous_refusal = self.keyring.refusal().cloned();
        match self.keyring.offer(now, material) {
            Ok(true) => {
                self.certified_key = certified_key;
                self.roots.extend(ids.into_iter().zip(roots));
                self.poll_notices_at = now;
                let generation = self.keyring.current().map_or(0, |current| current.number);
                events.push(TlsEvent::InForce { generation });
                true
            }
            Ok(false) => false,
            Err(error) => {
                // A refusal is reported once, not at each reload.
                if previous_refusal.as_ref() != Some(&error) {
                    events.push(TlsEvent::Refused(error));
                }
                false
            }
        }
    }

    pub(crate) fn root_store(&self) -> Arc<RootCertStore> {
        let mut store = RootCertStore::empty();
        // A certificate that cannot be a trust anchor was already reported by the check.
        self.roots.values().for_each(|root| drop(store.add(root.clone())));
        Arc::new(store)
    }
}
