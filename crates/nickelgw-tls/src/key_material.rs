//! Files of private keys, certificate chains and trust bundles. They are read together, and either all are
//! parsed or the load is rejected with file and reason.

use crate::core::generation::{Certificate, KeyMaterial};
use rustls::crypto::ring::sign::any_supported_type;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::{CertifiedKey, SigningKey};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::prelude::*;
use zeroize::{Zeroize, Zeroizing};

/// Paths of the PEM files of a TLS client or server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Files {
    /// Own certificate chain, leaf first.
    pub chain: Option<PathBuf>,
    /// Private key of the leaf.
    pub key: Option<PathBuf>,
    /// Trust bundle: roots against which the peer is verified.
    pub trust: Option<PathBuf>,
}

/// One of the three files in [`Files`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFile {
    /// The certificate chain.
    Chain,
    /// The private key.
    Key,
    /// The trust bundle.
    Trust,
}

/// Error returned when the content of a file is rejected. Never contains bytes of a key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct ParseError {
    /// File whose content is invalid.
    pub file: KeyFile,
    /// Description of what is invalid.
    pub reason: String,
}

/// Error returned when a file could not be read or its content is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}: {reason}")]
pub struct KeyFileError {
    /// Path of the file.
    pub file: String,
    /// Description of the failure.
    pub reason: String,
}

/// Content of the files: the facts that are checked before use, and the values that rustls needs after that.
#[derive(Debug)]
pub struct LoadedKeyMaterial {
    /// Facts about the certificates and the key.
    pub material: KeyMaterial,
    /// Chain and key. `None` if there is no key or it does not match the leaf certificate.
    pub certified_key: Option<Arc<CertifiedKey>>,
    /// Certificates of the trust bundle.
    pub roots: Vec<CertificateDer<'static>>,
}

/// Maximum size of a file; no file of certificates is larger.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum number of certificates in one file.
const MAX_CERTIFICATES: usize = 512;
/// Mode bits that give access to users other than the owner.
const OTHERS_MODE: u32 = 0o077;

struct FileContent {
    bytes: Zeroizing<Vec<u8>>,
    mode: u32,
}

fn read_file(path: &Path) -> Result<FileContent, KeyFileError> {
    let failed = |reason: String| KeyFileError { file: path.display().to_string(), reason };
    let metadata = std::fs::metadata(path).map_err(|error| failed(error.to_string()))?;
    if metadata.len() > MAX_FILE_BYTES {
        return Err(failed(format!("file too large: {} bytes, limit {MAX_FILE_BYTES}", metadata.len())));
    }
    let bytes = std::fs::read(path).map_err(|error| failed(error.to_string()))?;
    Ok(FileContent { bytes: Zeroizing::new(bytes), mode: metadata.mode() })
}

fn read_optional(path: &Option<PathBuf>) -> Result<Option<FileContent>, KeyFileError> {
    path.as_deref().map(read_file).transpose()
}

impl Files {
    /// Reads and parses the files.
    pub fn read(&self) -> Result<LoadedKeyMaterial, KeyFileError> {
        let (chain, key, trust) =
            (read_optional(&self.chain)?, read_optional(&self.key)?, read_optional(&self.trust)?);
        let bytes = |content: &'_ Option<FileContent>| content.as_ref().map(|content| content.bytes.clone());
        let (chain_bytes, key_bytes, trust_bytes) = (bytes(&chain), bytes(&key), bytes(&trust));
        let parsed = parse(
            chain_bytes.as_ref().map(|bytes| &bytes[..]),
            key_bytes.as_ref().map(|bytes| &bytes[..]),
            trust_bytes.as_ref().map(|bytes| &bytes[..]),
        );
        let mut loaded =
            parsed.map_err(|error| KeyFileError { file: self.name(error.file), reason: error.reason })?;
        loaded.material.key_readable_by_others = key.is_some_and(|key| key.mode & OTHERS_MODE != 0);
        Ok(loaded)
    }

    fn name(&self, file: KeyFile) -> String {
        let path = match file {
            KeyFile::Chain => &self.chain,
            KeyFile::Key => &self.key,
            KeyFile::Trust => &self.trust,
        };
        path.as_ref().map(|path| path.display().to_string()).unwrap_or_default()
    }
}

/// Parses the contents of the files, without I/O.
pub fn parse(
    chain: Option<&[u8]>,
    key: Option<&[u8]>,
    trust: Option<&[u8]>,
) -> Result<LoadedKeyMaterial, ParseError> {
    let roots = parse_certificates(KeyFile::Trust, trust)?;
    let chain_certificates = parse_certificates(KeyFile::Chain, chain)?;
    let signing_key = key.map(parse_key).transpose()?;
    let matches = |signing_key: &Arc<dyn SigningKey>| {
        let certified = CertifiedKey::new(chain_certificates.clone(), signing_key.clone());
        !chain_certificates.is_empty() && certified.keys_match().is_ok()
    };
    let key_matches = signing_key.as_ref().map(matches);
    let material = KeyMaterial {
        chain: describe(KeyFile::Chain, &chain_certificates, &roots)?,
        key_matches,
        key_readable_by_others: false,
        roots: describe(KeyFile::Trust, &roots, &roots)?,
        digest: digest([chain, key, trust]),
    };
    let certified_key = signing_key
        .filter(|_| key_matches == Some(true))
        .map(|signing_key| Arc::new(CertifiedKey::new(chain_certificates, signing_key)));
    Ok(LoadedKeyMaterial { material, certified_key, roots })
}

fn digest(files: [Option<&[u8]>; 3]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for file in files {
        let bytes = file.unwrap_or_default();
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    }
    *hasher.finalize().as_bytes()
}

fn parse_key(pem: &[u8]) -> Result<Arc<dyn SigningKey>, ParseError> {
    let failed = |reason: String| ParseError { file: KeyFile::Key, reason };
    let mut der = PrivateKeyDer::from_pem_slice(pem)
        .map_err(|error| failed(format!("holds no private key: {error}")))?;
    let signing_key = any_supported_type(&der);
    der.zeroize();
    // The error of rustls is dropped, as it might quote the key.
    signing_key.map_err(|_| failed("holds a private key of a type that is not supported".to_string()))
}

fn parse_certificates(file: KeyFile, pem: Option<&[u8]>) -> Result<Vec<CertificateDer<'static>>, ParseError> {
    let failed = |reason: String| ParseError { file, reason };
    let Some(pem) = pem else { return Ok(Vec::new()) };
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certificates = certificates.map_err(|error| failed(format!("is not valid PEM: {error}")))?;
    if certificates.is_empty() {
        return Err(failed("holds no certificate".into()));
    }
    if certificates.len() > MAX_CERTIFICATES {
        return Err(failed(format!("holds {} certificates, limit {MAX_CERTIFICATES}", certificates.len())));
    }
    Ok(certificates)
}

fn parse_x509<'a>(file: KeyFile, der: &'a [u8], number: usize) -> Result<X509Certificate<'a>, ParseError> {
    let failed = |reason: String| ParseError { file, reason };
    match X509Certificate::from_der(der) {
        Ok((rest, _)) if !rest.is_empty() => {
            Err(failed(format!("certificate {number} is followed by {} extra bytes", rest.len())))
        }
        Ok((_, certificate)) => Ok(certificate),
        Err(error) => Err(failed(format!("certificate {number} cannot be read: {error}"))),
    }
}

/// Returns the facts of each certificate in a file. The last one may be signed by a trusted root.
fn describe(
    file: KeyFile,
    ders: &[CertificateDer],
    trust: &[CertificateDer],
) -> Result<Vec<Certificate>, ParseError> {
    let chain: Vec<X509Certificate> =
        ders.iter().enumerate().map(|(n, der)| parse_x509(file, der, n + 1)).collect::<Result<_, _>>()?;
    let parse_root = |der| X509Certificate::from_der(der).ok().map(|(_, root)| root);
    let roots: Vec<X509Certificate> = trust.iter().filter_map(|der| parse_root(der)).collect();
    let describe_one = |(n, certificate): (usize, &X509Certificate)| Certificate {
        id: *blake3::hash(&ders[n]).as_bytes(),
        subject: certificate.subject().to_string(),
        issuer: certificate.issuer().to_string(),
        not_before: certificate.validity().not_before.timestamp() as f64,
        not_after: certificate.validity().not_after.timestamp() as f64,
        names: names(certificate),
        is_ca: certificate.is_ca(),
        signature_valid: verify_signature(certificate, chain.get(n + 1), &roots),
    };
    Ok(chain.iter().enumerate().map(describe_one).collect())
}

/// Verifies the signature of a certificate with the next certificate of the chain or, for the last
/// certificate, with the trusted root that issued it. `None` if there is no such root.
fn verify_signature(
    certificate: &X509Certificate,
    next: Option<&X509Certificate>,
    roots: &[X509Certificate],
) -> Option<bool> {
    let is_signed_by =
        |issuer: &X509Certificate| certificate.verify_signature(Some(issuer.public_key())).is_ok();
    if let Some(next) = next {
        return Some(is_signed_by(next));
    }
    let mut issuers = roots.iter().filter(|root| root.subject() == certificate.issuer()).peekable();
    issuers.peek()?;
    Some(issuers.any(is_signed_by))
}

fn names(certificate: &X509Certificate) -> Vec<String> {
    let Ok(Some(extension)) = certificate.subject_alternative_name() else { return Vec::new() };
    let name = |name: &GeneralName| match name {
        GeneralName::DNSName(dns_name) => Some(dns_name.to_string()),
        GeneralName::IPAddress(address) => Some(format!("{address:?}")),
        _ => None,
    };
    extension.value.general_names.iter().filter_map(name).collect()
}
