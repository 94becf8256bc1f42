//! Files of keys, chains and trust: read at one time, understood whole, or refused with file and reason.

use crate::core::generation::{Cert, KeyMaterial};
use rustls::crypto::ring::sign::any_supported_type;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::prelude::*;
use zeroize::Zeroizing;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Files {
    pub chain: Option<PathBuf>,
    pub key: Option<PathBuf>,
    pub trust: Option<PathBuf>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}: {why}")]
pub struct Problem {
    pub file: String,
    pub why: String,
}

/// What the files hold: facts for the decision, and what rustls needs if it is taken.
pub struct Read {
    pub material: KeyMaterial,
    pub own: Option<Arc<CertifiedKey>>,
    pub roots: Vec<CertificateDer<'static>>,
}

/// Files of certificates are small; one that is not is none.
const LONGEST_FILE: u64 = 4 << 20;
const MOST_CERTS: usize = 512;

fn bytes(path: &Path) -> Result<(Zeroizing<Vec<u8>>, u32), Problem> {
    let wrong = |why: String| Problem { file: path.display().to_string(), why };
    let meta = std::fs::metadata(path).map_err(|e| wrong(e.to_string()))?;
    if meta.len() > LONGEST_FILE {
        return Err(wrong(format!("over {LONGEST_FILE} bytes")));
    }
    let read = std::fs::read(path).map_err(|e| wrong(e.to_string()))?;
    Ok((Zeroizing::new(read), meta.mode()))
}

impl Files {
    pub fn read(&self) -> Result<Read, Problem> {
        let get = |p: &Option<PathBuf>| p.as_deref().map(bytes).transpose();
        let (chain, key, trust) = (get(&self.chain)?, get(&self.key)?, get(&self.trust)?);
        let name = |p: &Option<PathBuf>| p.as_ref().map(|p| p.display().to_string()).unwrap_or_default();
        let open = key.as_ref().is_some_and(|k| k.1 & 0o077 != 0);
        let of = |b: &Option<(Zeroizing<Vec<u8>>, u32)>| b.as_ref().map(|b| b.0.clone());
        let (chain, key, trust) = (of(&chain), of(&key), of(&trust));
        let mut read = parse(
            chain.as_ref().map(|b| &b[..]),
            key.as_ref().map(|b| &b[..]),
            trust.as_ref().map(|b| &b[..]),
        )
        .map_err(|(which, why)| Problem { file: name([&self.chain, &self.key, &self.trust][which]), why })?;
        read.material.key_open_to_others = open;
        Ok(read)
    }
}

fn certs(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|e| format!("is not PEM: {e}"))?;
    if all.is_empty() {
        return Err("holds no certificate".into());
    }
    if all.len() > MOST_CERTS {
        return Err(format!("holds over {MOST_CERTS} certificates"));
    }
    Ok(all)
}

fn names(c: &X509Certificate) -> Vec<String> {
    let Ok(Some(alt)) = c.subject_alternative_name() else { return Vec::new() };
    let name = |n: &GeneralName| match n {
        GeneralName::DNSName(d) => Some(d.to_string()),
        GeneralName::IPAddress(b) => Some(format!("{b:?}")),
        _ => None,
    };
    alt.value.general_names.iter().filter_map(name).collect()
}

fn facts(ders: &[CertificateDer], trust: &[CertificateDer]) -> Result<Vec<Cert>, String> {
    let read = |d: &CertificateDer, n: usize| match X509Certificate::from_der(d) {
        Ok((rest, _)) if !rest.is_empty() => Err(format!("certificate {} has bytes after its end", n + 1)),
        Ok(_) => Ok(()),
        Err(e) => Err(format!("certificate {} cannot be read: {e}", n + 1)),
    };
    for (n, d) in ders.iter().enumerate() {
        read(d, n)?;
    }
    let x509 = |d| X509Certificate::from_der(d).ok().map(|c| c.1);
    let roots: Vec<_> = trust.iter().filter_map(|d| x509(d)).collect();
    let chain: Vec<_> = ders.iter().filter_map(|d| x509(d)).collect();
    let one = |(n, c): (usize, &X509Certificate)| {
        let signed = match chain.get(n + 1) {
            Some(next) => Some(c.verify_signature(Some(next.public_key())).is_ok()),
            None => {
                let mut issuers = roots.iter().filter(|r| r.subject() == c.issuer()).peekable();
                let found = issuers.peek().is_some();
                found.then(|| issuers.any(|r| c.verify_signature(Some(r.public_key())).is_ok()))
            }
        };
        Cert {
            id: *blake3::hash(&ders[n]).as_bytes(),
            subject: c.subject().to_string(),
            issuer: c.issuer().to_string(),
            not_before: c.validity().not_before.timestamp() as f64,
            not_after: c.validity().not_after.timestamp() as f64,
            names: names(c),
            is_ca: c.is_ca(),
            signed,
        }
    };
    Ok(chain.iter().enumerate().map(one).collect())
}

/// Understands the files' bytes; wrong ones are told by which file (0 chain, 1 key, 2 trust) and why. No I/O.
pub fn parse(
    chain: Option<&[u8]>,
    key: Option<&[u8]>,
    trust: Option<&[u8]>,
) -> Result<Read, (usize, String)> {
    let roots = trust.map(certs).transpose().map_err(|e| (2, e))?.unwrap_or_default();
    let ders = chain.map(certs).transpose().map_err(|e| (0, e))?.unwrap_or_default();
    let mut digest = blake3::Hasher::new();
    for part in [chain, key, trust] {
        let part = part.unwrap_or_default();
        digest.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let signing = match key {
        None => None,
        Some(pem) => {
            // The reason is told, the bytes never.
            let der =
                PrivateKeyDer::from_pem_slice(pem).map_err(|e| (1, format!("is no private key: {e}")))?;
            let made = any_supported_type(&der);
            let mut der = der;
            zeroize::Zeroize::zeroize(&mut der);
            Some(made.map_err(|_| (1, "is a key of a kind that is not supported".to_string()))?)
        }
    };
    let fits = |signing: &Arc<dyn rustls::sign::SigningKey>| {
        let own = CertifiedKey::new(ders.clone(), signing.clone());
        !ders.is_empty() && own.keys_match().is_ok()
    };
    let key_fits = signing.as_ref().map(fits);
    let material = KeyMaterial {
        chain: facts(&ders, &roots).map_err(|e| (0, e))?,
        key_fits,
        key_open_to_others: false,
        roots: facts(&roots, &roots).map_err(|e| (2, e))?,
        digest: *digest.finalize().as_bytes(),
    };
    let own = signing.filter(|_| key_fits == Some(true)).map(|s| Arc::new(CertifiedKey::new(ders, s)));
    Ok(Read { material, own, roots })
}
