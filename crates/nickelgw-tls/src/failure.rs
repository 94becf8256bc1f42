//! What a failed handshake, or a broken connection, says of the other side.

use crate::core::pool::ConnectFailure;
use rustls::{AlertDescription, Error};

/// Why a connection in TLS failed.
#[derive(Clone, Debug, PartialEq)]
pub enum TlsFailure {
    /// Its certificate is not accepted here: expired, wrong name, unknown authority, not yet valid, self-signed.
    PeerCertificate(String),
    /// It does not accept our certificate, or wants one: it ended the handshake with a certificate alert.
    OwnCertificate(String),
    /// It speaks no TLS that fits.
    Protocol(String),
    /// Closed, reset or silent.
    Connection(String),
}

impl TlsFailure {
    /// What it means to the pool: a matter of certificates does not mend within moments.
    pub fn connect_failure(&self) -> ConnectFailure {
        match self {
            TlsFailure::PeerCertificate(_) | TlsFailure::OwnCertificate(_) | TlsFailure::Protocol(_) => {
                ConnectFailure::Untrusted
            }
            TlsFailure::Connection(_) => ConnectFailure::Unreachable,
        }
    }
}

/// Finds the error of TLS in a chain of errors; without one it is a failure of the connection.
pub fn classify_error(error: &(dyn std::error::Error + 'static)) -> TlsFailure {
    let mut next = Some(error);
    while let Some(current) = next {
        let inner = current.downcast_ref::<std::io::Error>().and_then(|io_error| io_error.get_ref());
        let tls_error = current.downcast_ref::<Error>();
        let tls_error = tls_error.or_else(|| inner.and_then(|inner| inner.downcast_ref::<Error>()));
        if let Some(tls_error) = tls_error {
            return classify_tls_error(tls_error);
        }
        next = match inner {
            Some(inner) => Some(inner),
            None => current.source(),
        };
    }
    TlsFailure::Connection(error.to_string())
}

fn classify_tls_error(error: &Error) -> TlsFailure {
    let text = error.to_string();
    match error {
        Error::InvalidCertificate(_) | Error::NoCertificatesPresented => TlsFailure::PeerCertificate(text),
        Error::AlertReceived(alert) if is_certificate_alert(*alert) => TlsFailure::OwnCertificate(text),
        _ => TlsFailure::Protocol(text),
    }
}

fn is_certificate_alert(alert: AlertDescription) -> bool {
    matches!(
        alert,
        AlertDescription::BadCertificate
            | AlertDescription::UnsupportedCertificate
            | AlertDescription::CertificateRevoked
            | AlertDescription::CertificateExpired
            | AlertDescription::CertificateUnknown
            | AlertDescription::UnknownCA
            | AlertDescription::AccessDenied
            | AlertDescription::CertificateRequired
    )
}
