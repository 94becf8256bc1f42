//! Issues certificates of an authority that is created for one test, in its own directory.

use super::common::engine_config;
use nickelgw_node::TlsOptions;
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use nickelgw_test_servers::engine_config::{EngineConfig, TlsFiles};
use nickelgw_tls::{Client, Files, Versions};
use std::path::PathBuf;

/// The authority of a test and the directory of its files.
pub struct Certs {
    pub dir: PathBuf,
    pub authority: Authority,
}

impl Certs {
    pub fn new(name: &str) -> Certs {
        let dir = std::env::temp_dir().join(format!("nickelgw-tls-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let authority = Authority::new("first").unwrap();
        replace_file(&dir.join("root.pem"), authority.root_pem.as_bytes(), 0o644).unwrap();
        let certs = Certs { dir, authority };
        certs.issue("node0", "node0.example.org", CertificateFault::None);
        certs
    }

    /// Issues a certificate for a name; returns the paths of its chain and key.
    pub fn issue(&self, file: &str, name: &str, fault: CertificateFault) -> [PathBuf; 2] {
        self.authority.write(&self.dir, file, name, fault).unwrap()
    }

    pub fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }

    /// Returns the configuration of an engine with its own certificate. `mutual` makes it require a client
    /// certificate.
    pub fn engine(&self, id: &str, mutual: bool) -> EngineConfig {
        let name = format!("{id}.example.org");
        let [chain, key] = self.issue(id, &name, CertificateFault::None);
        let tls = TlsFiles { name, chain, key, trust: self.path("root.pem"), mutual };
        EngineConfig { tls: Some(tls), ..engine_config(id) }
    }

    fn client(&self, has_certificate: bool) -> Client {
        let own_file = |file: &str| has_certificate.then(|| self.path(file));
        let files = Files {
            chain: own_file("node0.pem"),
            key: own_file("node0.key"),
            trust: Some(self.path("root.pem")),
        };
        let mut client = Client::new(files, Versions::Only13, 600.0);
        client.reload_if_changed(nickelgw_test_servers::recorder::unix_now());
        assert!(client.config().is_some());
        client
    }

    /// Returns the TLS options of a node, with a client certificate if `has_certificate` is true.
    pub fn options(&self, has_certificate: bool) -> TlsOptions {
        TlsOptions {
            engines: Some(self.client(has_certificate)),
            chat: None,
            reload_s: 0.05,
            max_handshakes: 8,
            max_handshakes_per_engine: 2,
            retire_gap_s: 0.05,
        }
    }
}

impl Drop for Certs {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
