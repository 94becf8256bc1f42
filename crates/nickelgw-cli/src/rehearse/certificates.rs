//! Certificates of a day with TLS, and their rotations.

use super::stage::RehearsalFleet;
use crate::error::{with_context, CommandError};
use crate::timing::sleep_s;
use nickelgw_settings::engine_names;
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use serde_json::json;

/// Time for all nodes to reload trust roots or certificates.
const ROTATION_STEP_S: f64 = 1.5;

/// Returns the name in a process's certificate.
pub(super) fn tls_name(process: &str) -> String {
    format!("{process}.example.org")
}

impl RehearsalFleet {
    /// Writes the trust file with the authority's root and the given other roots.
    pub(super) fn write_trust(&self, other_roots: &[&str]) -> Result<(), CommandError> {
        let Some(authority) = &*self.authority.borrow() else { return Ok(()) };
        let roots = [&[authority.root_pem.as_str()], other_roots].concat().concat();
        replace_file(&self.path("certs/root.pem"), roots.as_bytes(), 0o644)?;
        Ok(())
    }

    pub(super) fn sign_certificate(
        &self,
        process: &str,
        fault: CertificateFault,
    ) -> Result<(), CommandError> {
        let Some(authority) = &*self.authority.borrow() else { return Ok(()) };
        let signed = authority.write(&self.path("certs"), process, &tls_name(process), fault);
        signed.map_err(with_context(format!("cannot create a certificate for {process}")))?;
        Ok(())
    }

    /// Signs a new certificate for an engine, which loads it at once.
    pub(super) async fn rotate_certificate(
        &self,
        engine: &str,
        fault: CertificateFault,
    ) -> Result<(), CommandError> {
        self.sign_certificate(engine, fault)?;
        self.reload_certificate(engine).await;
        Ok(())
    }

    async fn reload_certificate(&self, engine: &str) {
        self.control_engine(engine, json!({"fault": "cert"})).await;
    }

    async fn reload_all_certificates(&self) {
        for engine in engine_names(&self.day) {
            self.reload_certificate(&engine).await;
        }
    }

    /// Replaces the certificate authority: all processes trust both roots, then get certificates of the new
    /// authority, then trust the new root alone.
    pub(super) async fn rotate_authority(&self) -> Result<(), CommandError> {
        let second =
            Authority::new("second").map_err(with_context("cannot create the certificate authority"))?;
        // Both roots are trusted before the first certificate of the new authority is presented.
        self.write_trust(&[&second.root_pem])?;
        self.reload_all_certificates().await;
        sleep_s(ROTATION_STEP_S).await;
        *self.authority.borrow_mut() = Some(second);
        for number in 0..self.day.nodes() {
            self.sign_certificate(&format!("node{number}"), CertificateFault::None)?;
        }
        for engine in engine_names(&self.day) {
            self.rotate_certificate(&engine, CertificateFault::None).await?;
        }
        sleep_s(ROTATION_STEP_S).await;
        self.write_trust(&[])?;
        self.reload_all_certificates().await;
        Ok(())
    }
}
