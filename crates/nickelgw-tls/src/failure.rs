//! What a failed handshake, or a broken connection, says of the other side.

use crate::core::pool::ConnectFailure;
use rustls::{AlertDescription as A, Error};

#[derive(Clone, Debug, PartialEq)]
pub enum TlsFailure {
    /// Its certificate is not accepted here: expired, wrong name, unknown authority, not yet valid, self-signed.
    Certificate(String),
    /// It does not accept ours, or has none of ours: it ends the handshake with a certificate alert.
    OursRefused(String),
    /// It speaks no TLS that fits.
    Protocol(String),
    /// Closed, reset or silent.
    Connection(String),
}

impl TlsFailure {
    /// How the pool takes it: what is a matter of certificates does not mend within moments.
    pub fn failure(&self) -> ConnectFailure {
        match self {
            TlsFailure::Certificate(_) | TlsFailure::OursRefused(_) | TlsFailure::Protocol(_) => {
                ConnectFailure::Untrusted
            }
            TlsFailure::Connection(_) => ConnectFailure::Unreachable,
        }
    }
}

/// Finds what TLS said in a chain of errors.
pub fn why(e: &(dyn std::error::Error + 'static)) -> TlsFailure {
    let mut at = Some(e);
    while let Some(e) = at {
        let inner = e.downcast_ref::<std::io::Error>().and_then(|io| io.get_ref());
        let tls = e.downcast_ref::<Error>().or_else(|| inner.and_then(|i| i.downcast_ref::<Error>()));
        if let Some(tls) = tls {
            return of(tls);
        }
        at = match inner {
            Some(i) => Some(i),
            None => e.source(),
        };
    }
    TlsFailure::Connection(e.to_string())
}

fn of(e: &Error) -> TlsFailure {
    let said = e.to_string();
    match e {
        Error::InvalidCertificate(_) | Error::NoCertificatesPresented => TlsFailure::Certificate(said),
        Error::AlertReceived(
            A::BadCertificate
            | A::UnsupportedCertificate
            | A::CertificateRevoked
            | A::CertificateExpired
            | A::CertificateUnknown
            | A::UnknownCA
            | A::AccessDenied
            | A::CertificateRequired,
        ) => TlsFailure::OursRefused(said),
        _ => TlsFailure::Protocol(said),
    }
}
