//! A test authority: root, intermediate, and certificates of engines and nodes, sound ones and bad ones.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use time::{Duration, OffsetDateTime};

pub type Failed = Box<dyn std::error::Error + Send + Sync>;

/// What is wrong with a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Expired,
    NotYetValid,
    /// For another name than asked for.
    WrongName,
    /// Signed by itself.
    SelfSigned,
}

/// The name in wrong certificates.
pub const WRONG_NAME: &str = "wrong.brno.example.org";

pub struct Authority {
    pub root_pem: String,
    middle_pem: String,
    middle: Issuer<'static, KeyPair>,
}

fn params(name: &str, days: (i64, i64)) -> Result<CertificateParams, rcgen::Error> {
    let mut p = CertificateParams::new(Vec::<String>::new())?;
    p.distinguished_name.push(DnType::CommonName, name);
    let now = OffsetDateTime::now_utc();
    (p.not_before, p.not_after) = (now + Duration::days(days.0), now + Duration::days(days.1));
    Ok(p)
}

fn ca(name: &str) -> Result<CertificateParams, rcgen::Error> {
    let mut p = params(name, (-2, 3650))?;
    p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    p.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(p)
}

impl Authority {
    pub fn new(name: &str) -> Result<Authority, Failed> {
        let (root, root_key) = (ca(&format!("{name} root"))?, KeyPair::generate()?);
        let root_pem = root.self_signed(&root_key)?.pem();
        let root = Issuer::new(root, root_key);
        let (middle, middle_key) = (ca(&format!("{name} intermediate"))?, KeyPair::generate()?);
        let middle_pem = middle.signed_by(&middle_key, &root)?.pem();
        Ok(Authority { root_pem, middle_pem, middle: Issuer::new(middle, middle_key) })
    }

    /// Chain and key in PEM.
    pub fn issue(&self, name: &str, fault: Fault) -> Result<(String, String), Failed> {
        let days = match fault {
            Fault::Expired => (-2, -1),
            Fault::NotYetValid => (1, 2),
            _ => (-2, 365),
        };
        let named = if fault == Fault::WrongName { WRONG_NAME } else { name };
        let mut p = params(named, days)?;
        p.subject_alt_names = CertificateParams::new(vec![named.to_string()])?.subject_alt_names;
        let key = KeyPair::generate()?;
        let leaf = match fault {
            Fault::SelfSigned => return Ok((p.self_signed(&key)?.pem(), key.serialize_pem())),
            _ => p.signed_by(&key, &self.middle)?.pem(),
        };
        Ok((format!("{leaf}{}", self.middle_pem), key.serialize_pem()))
    }

    /// Writes `NAME.pem` and `NAME.key`, each by a rename: a reader sees the old or the new, of each file.
    pub fn write(&self, dir: &Path, file: &str, name: &str, fault: Fault) -> Result<[PathBuf; 2], Failed> {
        let (chain, key) = self.issue(name, fault)?;
        let paths = [dir.join(format!("{file}.pem")), dir.join(format!("{file}.key"))];
        put(&paths[0], chain.as_bytes(), 0o644)?;
        put(&paths[1], key.as_bytes(), 0o600)?;
        Ok(paths)
    }
}

pub fn put(path: &Path, bytes: &[u8], mode: u32) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    let _ = fs::remove_file(&beside);
    let mut f = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(&beside)?;
    f.write_all(bytes)?;
    fs::rename(beside, path)
}

/// All that `nickelgw authority` makes.
pub fn write_all(dir: &Path, names: &[String]) -> Result<Vec<PathBuf>, Failed> {
    fs::create_dir_all(dir)?;
    let a = Authority::new("test authority")?;
    let root = dir.join("root.pem");
    put(&root, a.root_pem.as_bytes(), 0o644)?;
    let mut made = vec![root];
    for n in names {
        made.extend(a.write(dir, n, n, Fault::None)?);
    }
    let first = names.first().map_or("engine.example.org", String::as_str);
    for (file, fault) in [
        ("expired", Fault::Expired),
        ("not-yet-valid", Fault::NotYetValid),
        ("wrong-name", Fault::WrongName),
        ("self-signed", Fault::SelfSigned),
    ] {
        made.extend(a.write(dir, file, first, fault)?);
    }
    Ok(made)
}
