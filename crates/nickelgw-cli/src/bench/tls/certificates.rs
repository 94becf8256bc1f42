//! Certificates of the measured clients and engines.

use crate::bench::temporary_path;
use crate::error::{with_context, CommandError};
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use nickelgw_test_servers::engine_config::{EngineConfig, TlsFiles};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_tls::{Client, Files, Versions};
use std::path::PathBuf;

/// Id of the node, whose certificate the client presents.
pub(super) const NODE: &str = "node0";
const TRUST_OVERLAP_S: f64 = 600.0;

/// Test certificate authority, and the folder with the certificates that it has signed.
pub(super) struct Certificates {
    pub(super) dir: PathBuf,
    authority: Authority,
}

impl Certificates {
    pub(super) fn new() -> Result<Certificates, CommandError> {
        let dir = temporary_path("tls");
        std::fs::create_dir_all(&dir)?;
        let authority =
            Authority::new("bench").map_err(with_context("cannot create the certificate authority"))?;
        replace_file(&dir.join("root.pem"), authority.root_pem.as_bytes(), 0o644)?;
        let certificates = Certificates { dir, authority };
        certificates.sign(NODE)?;
        Ok(certificates)
    }

    /// Writes a new certificate and key in place of earlier ones; returns their paths.
    pub(super) fn sign(&self, id: &str) -> Result<[PathBuf; 2], CommandError> {
        let signed = self.authority.write(&self.dir, id, &tls_name(id), CertificateFault::None);
        signed.map_err(with_context(format!("cannot create a certificate for {id}")))
    }

    pub(super) fn files(&self, id: &str) -> Files {
        let path = |file: String| Some(self.dir.join(file));
        Files {
            chain: path(format!("{id}.pem")),
            key: path(format!("{id}.key")),
            trust: path("root.pem".into()),
        }
    }

    pub(super) fn client(&self, resume: bool) -> Client {
        let mut client = Client::new(self.files(NODE), Versions::Only13, TRUST_OVERLAP_S);
        client.resume = resume;
        client.reload_if_changed(unix_now());
        client
    }

    /// Returns the configuration of an engine that serves TLS with a certificate of its own.
    pub(super) fn engine(&self, id: &str, engine: &EngineConfig) -> Result<EngineConfig, CommandError> {
        let [chain, key] = self.sign(id)?;
        let trust = self.dir.join("root.pem");
        let tls = TlsFiles { name: tls_name(id), chain, key, trust, mutual: true };
        Ok(EngineConfig { id: id.into(), tls: Some(tls), ..engine.clone() })
    }
}

/// Returns the name in the certificate of a node or engine.
pub(super) fn tls_name(id: &str) -> String {
    format!("{id}.example.org")
}
