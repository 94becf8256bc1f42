//! Test certificate authority with a root and an intermediate certificate. It issues valid and faulty
//! certificates for engines and nodes.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};

/// Error of the authority: of key generation, signing or writing files.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Name in certificates with [`CertificateFault::WrongName`].
pub const WRONG_NAME: &str = "wrong.brno.example.org";

/// Validity of the root and intermediate certificates.
const AUTHORITY_VALIDITY: Validity = Validity { from_day: -2, to_day: 3650 };
const PUBLIC_MODE: u32 = 0o644;
const PRIVATE_MODE: u32 = 0o600;

/// Fault of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CertificateFault {
    /// The certificate is valid.
    None,
    /// The validity of the certificate has ended.
    Expired,
    /// The validity of the certificate has not begun.
    NotYetValid,
    /// The certificate is for [`WRONG_NAME`] instead of the requested name.
    WrongName,
    /// The certificate is self-signed.
    SelfSigned,
}

/// Validity of a certificate, in days relative to now.
#[derive(Clone, Copy)]
struct Validity {
    from_day: i64,
    to_day: i64,
}

impl CertificateFault {
    fn validity(self) -> Validity {
        match self {
            CertificateFault::Expired => Validity { from_day: -2, to_day: -1 },
            CertificateFault::NotYetValid => Validity { from_day: 1, to_day: 2 },
            _ => Validity { from_day: -2, to_day: 365 },
        }
    }
}

/// Root and intermediate authority.
pub struct Authority {
    /// Root certificate in PEM.
    pub root_pem: String,
    intermediate_pem: String,
    intermediate: Issuer<'static, KeyPair>,
}

/// Certificate chain and its private key in PEM.
pub struct IssuedCertificate {
    /// Certificate, followed by that of the intermediate authority unless the certificate is self-signed.
    pub chain_pem: String,
    /// Private key of the certificate.
    pub key_pem: String,
}

impl Authority {
    /// Creates an authority with new keys.
    pub fn new(name: &str) -> Result<Authority, BoxError> {
        let (root, root_key) = (authority_params(&format!("{name} root"))?, KeyPair::generate()?);
        let root_pem = root.self_signed(&root_key)?.pem();
        let root = Issuer::new(root, root_key);
        let intermediate = authority_params(&format!("{name} intermediate"))?;
        let intermediate_key = KeyPair::generate()?;
        let intermediate_pem = intermediate.signed_by(&intermediate_key, &root)?.pem();
        let intermediate = Issuer::new(intermediate, intermediate_key);
        Ok(Authority { root_pem, intermediate_pem, intermediate })
    }

    /// Issues a certificate for a name, with a fault.
    pub fn issue(&self, name: &str, fault: CertificateFault) -> Result<IssuedCertificate, BoxError> {
        let name = if fault == CertificateFault::WrongName { WRONG_NAME } else { name };
        let mut params = certificate_params(name, fault.validity())?;
        params.subject_alt_names = CertificateParams::new(vec![name.to_string()])?.subject_alt_names;
        let key = KeyPair::generate()?;
        let chain_pem = if fault == CertificateFault::SelfSigned {
            params.self_signed(&key)?.pem()
        } else {
            let leaf = params.signed_by(&key, &self.intermediate)?.pem();
            format!("{leaf}{}", self.intermediate_pem)
        };
        Ok(IssuedCertificate { chain_pem, key_pem: key.serialize_pem() })
    }

    /// Issues a certificate and writes it to `FILE.pem` and its private key to `FILE.key`. Returns both
    /// paths.
    pub fn write(
        &self,
        dir: &Path,
        file: &str,
        name: &str,
        fault: CertificateFault,
    ) -> Result<[PathBuf; 2], BoxError> {
        let issued = self.issue(name, fault)?;
        let paths = [dir.join(format!("{file}.pem")), dir.join(format!("{file}.key"))];
        replace_file(&paths[0], issued.chain_pem.as_bytes(), PUBLIC_MODE)?;
        replace_file(&paths[1], issued.key_pem.as_bytes(), PRIVATE_MODE)?;
        Ok(paths)
    }
}

fn certificate_params(name: &str, validity: Validity) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, name);
    let now = OffsetDateTime::now_utc();
    params.not_before = now + Duration::days(validity.from_day);
    params.not_after = now + Duration::days(validity.to_day);
    Ok(params)
}

fn authority_params(name: &str) -> Result<CertificateParams, rcgen::Error> {
    let mut params = certificate_params(name, AUTHORITY_VALIDITY)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}

/// Writes a file under a temporary name and renames it, so that a reader sees either the old or the new
/// content.
pub fn replace_file(path: &Path, bytes: &[u8], mode: u32) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let _ = fs::remove_file(&temporary);
    let mut file = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&temporary)?;
    file.write_all(bytes)?;
    fs::rename(temporary, path)
}

/// Writes the files of `nickelgw authority`: the root certificate, a valid certificate for each name, and one
/// certificate with each fault. Returns the paths of all files.
pub fn write_all(dir: &Path, names: &[String]) -> Result<Vec<PathBuf>, BoxError> {
    fs::create_dir_all(dir)?;
    let authority = Authority::new("test authority")?;
    let root = dir.join("root.pem");
    replace_file(&root, authority.root_pem.as_bytes(), PUBLIC_MODE)?;
    let mut paths = vec![root];
    for name in names {
        paths.extend(authority.write(dir, name, name, CertificateFault::None)?);
    }
    let first = names.first().map_or("engine.example.org", String::as_str);
    for (file, fault) in [
        ("expired", CertificateFault::Expired),
        ("not-yet-valid", CertificateFault::NotYetValid),
        ("wrong-name", CertificateFault::WrongName),
        ("self-signed", CertificateFault::SelfSigned),
    ] {
        paths.extend(authority.write(dir, file, first, fault)?);
    }
    Ok(paths)
}
