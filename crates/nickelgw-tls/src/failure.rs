//! What a failed handshake, or a broken connection, says of the other side.

use crate::core::pool::Failure;
use rustls::{AlertDescription as A, Error};

#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    /// Its certificate is not accepted here: expired, wrong name, unknown authority, not yet valid, self-signed.
    Certificate(String),
    /// It does not accept ours, or has none of ours: it ends the handshake with a certificate alert.
    OursRefused(String),
    /// It speaks no TLS that fits.
    Protocol(String),
    /// Closed, reset or silent.
    Connection(String),
}

impl Why {
    /// How the pool takes it: what is a matter of certificates does not mend within moments.
    pub fn failure(&self) -> Failure {
        match self {
            Why::Certificate(_) | Why::OursRefused(_) | Why::Protocol(_) => Failure::Untrusted,
            Why::Connection(_) => Failure::Unreached,
        }
    }
}

/// Finds what TLS said in a chain of errors.
pub fn why(e: &(dyn std::error::Error + 'static)) -> Why {
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
    Why::Connection(e.to_string())
}

fn of(e: &Error) -> Why {
    let said = e.to_string();
    match e {
        Error::InvalidCertificate(_) | Error::NoCertificatesPresented => Why::Certificate(said),
        Error::AlertReceived(
            A::BadCertificate
            | A::UnsupportedCertificate
            | A::CertificateRevoked
            | A::CertificateExpired
            | A::CertificateUnknown
            | A::UnknownCA
            | A::AccessDenied
            | A::CertificateRequired,
        ) => Why::OursRefused(said),
        _ => Why::Protocol(said),
    }
}
