//! Classification of failed handshakes and broken connections.

use crate::core::pool::ConnectFailure;
use rustls::{AlertDescription, Error};

/// Reason why a TLS connection failed.
#[derive(Clone, Debug, PartialEq)]
pub enum TlsFailure {
    /// The peer's certificate was not accepted here: expired, wrong name, unknown authority, not yet valid,
    /// self-signed.
    PeerCertificate(String),
    /// The peer did not accept our certificate, or requires one: it ended the handshake with a certificate
    /// alert.
    OwnCertificate(String),
    /// The peer does not speak a compatible version of TLS, or none at all.
    Protocol(String),
    /// The connection was closed or reset, or the peer did not respond.
    Connection(String),
}

impl TlsFailure {
    /// Returns the failure as the connection pool counts it. Certificate and protocol failures count as
    /// `Untrusted`, since their causes are not removed within moments.
    pub fn connect_failure(&self) -> ConnectFailure {
        match self {
            TlsFailure::PeerCertificate(_) | TlsFailure::OwnCertificate(_) | TlsFailure::Protocol(_) => {
                ConnectFailure::Untrusted
            }
            TlsFailure::Connection(_) => ConnectFailure::Unreachable,
        }
    }
}

/// Classifies the TLS error in a chain of error sources. Without a TLS error it is a failure of the
/// connection.
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
