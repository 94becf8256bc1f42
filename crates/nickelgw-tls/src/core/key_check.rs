//! Facts about certificates and keys that were read from files, and the check whether they may come into
//! force. Times are in seconds since 1970.

use std::fmt;

/// Facts about a certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Digest of the certificate's bytes.
    pub id: [u8; 32],
    /// Distinguished name of the subject.
    pub subject: String,
    /// Distinguished name of the issuer.
    pub issuer: String,
    /// Start of the validity period.
    pub not_before: f64,
    /// End of the validity period.
    pub not_after: f64,
    /// DNS names and IP addresses for which the certificate is issued.
    pub names: Vec<String>,
    /// Whether the certificate may sign other certificates.
    pub is_ca: bool,
    /// Whether the signature is verified by the key of the next certificate in the chain or, for the last
    /// certificate, of a trusted root. `None` if no issuer was found.
    pub signature_valid: Option<bool>,
}

/// Facts about the content of a set of files that were read together.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyMaterial {
    /// Own certificate chain, leaf first. Empty if no own certificate is used.
    pub chain: Vec<Certificate>,
    /// Whether the private key matches the leaf. `None` if there is no key.
    pub key_matches: Option<bool>,
    /// Whether users other than the owner can read the key's file.
    pub key_readable_by_others: bool,
    /// Trusted roots. Empty if the peer is not verified.
    pub roots: Vec<Certificate>,
    /// Digest of all files. Material with the digest of the current generation does not start a new one.
    pub digest: [u8; 32],
}

/// Tolerated clock difference: a certificate is accepted this long before its validity period begins.
const CLOCK_SKEW_S: f64 = 60.0;

/// Reason why key material is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyMaterialError {
    /// The chain or the key is missing.
    Incomplete,
    /// The key does not match the leaf certificate.
    KeyMismatch,
    /// Other users can read the key's file.
    KeyReadableByOthers,
    /// A certificate has expired, or all roots have.
    Expired {
        /// Subject of the certificate.
        subject: String,
        /// Seconds since it expired.
        since_s: f64,
    },
    /// A certificate is not valid yet.
    NotYetValid {
        /// Subject of the certificate.
        subject: String,
        /// Seconds until it is valid.
        in_s: f64,
    },
    /// A certificate is not signed by the next one in the chain.
    BrokenChain {
        /// Subject of the certificate.
        subject: String,
    },
    /// The leaf certificate is issued for no DNS name or IP address.
    NoNames {
        /// Subject of the leaf.
        subject: String,
    },
    /// An intermediate or a root is not a certificate authority.
    NotAnAuthority {
        /// Subject of the certificate.
        subject: String,
    },
    /// The trust bundle is empty.
    NoTrust,
}

impl fmt::Display for KeyMaterialError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            KeyMaterialError::Incomplete => {
                write!(
                    formatter,
                    "incomplete key material: the private key or the certificate chain is missing"
                )
            }
            KeyMaterialError::KeyMismatch => {
                write!(
                    formatter,
                    "the private key does not match the leaf certificate; \
                     a rotation may have replaced only one of the two files"
                )
            }
            KeyMaterialError::KeyReadableByOthers => {
                write!(formatter, "the private key file can be read by other users; expected mode 0600")
            }
            KeyMaterialError::Expired { subject, since_s } => {
                write!(formatter, "certificate {subject} expired {since_s:.0} s ago")
            }
            KeyMaterialError::NotYetValid { subject, in_s } => {
                write!(formatter, "certificate {subject} is not valid for another {in_s:.0} s")
            }
            KeyMaterialError::BrokenChain { subject } => {
                write!(formatter, "certificate {subject} is not signed by the next certificate in the chain")
            }
            KeyMaterialError::NoNames { subject } => {
                write!(formatter, "leaf certificate {subject} is issued for no DNS name or IP address")
            }
            KeyMaterialError::NotAnAuthority { subject } => {
                write!(
                    formatter,
                    "certificate {subject} is a root or an intermediate, but not a certificate authority"
                )
            }
            KeyMaterialError::NoTrust => write!(formatter, "the trust bundle contains no certificate"),
        }
    }
}

impl KeyMaterial {
    /// Checks whether the material may come into force now. `needs_trust` tells whether the peer is verified.
    pub(super) fn check(&self, now: f64, needs_trust: bool) -> Result<(), KeyMaterialError> {
        self.check_key()?;
        for position in 0..self.chain.len() {
            self.check_chain_link(now, position)?;
        }
        if let Some(leaf) = self.chain.first().filter(|leaf| leaf.names.is_empty()) {
            return Err(KeyMaterialError::NoNames { subject: leaf.subject.clone() });
        }
        self.check_roots(now, needs_trust)
    }

    fn check_key(&self) -> Result<(), KeyMaterialError> {
        match (self.chain.first(), self.key_matches) {
            (None, None) | (Some(_), Some(true)) => {}
            (Some(_), Some(false)) => return Err(KeyMaterialError::KeyMismatch),
            _ => return Err(KeyMaterialError::Incomplete),
        }
        if self.key_readable_by_others {
            return Err(KeyMaterialError::KeyReadableByOthers);
        }
        Ok(())
    }

    fn check_chain_link(&self, now: f64, position: usize) -> Result<(), KeyMaterialError> {
        let certificate = &self.chain[position];
        let subject = certificate.subject.clone();
        if now > certificate.not_after {
            return Err(KeyMaterialError::Expired { subject, since_s: now - certificate.not_after });
        }
        if now + CLOCK_SKEW_S < certificate.not_before {
            return Err(KeyMaterialError::NotYetValid { subject, in_s: certificate.not_before - now });
        }
        if position > 0 && !certificate.is_ca {
            return Err(KeyMaterialError::NotAnAuthority { subject });
        }
        let is_last = position + 1 == self.chain.len();
        match certificate.signature_valid {
            Some(false) => Err(KeyMaterialError::BrokenChain { subject }),
            None if !is_last => Err(KeyMaterialError::BrokenChain { subject }),
            _ => Ok(()),
        }
    }

    fn check_roots(&self, now: f64, needs_trust: bool) -> Result<(), KeyMaterialError> {
        if needs_trust && self.roots.is_empty() {
            return Err(KeyMaterialError::NoTrust);
        }
        if let Some(root) = self.roots.iter().find(|root| !root.is_ca) {
            return Err(KeyMaterialError::NotAnAuthority { subject: root.subject.clone() });
        }
        // A bundle may contain expired roots beside valid ones, as real bundles do, but not only expired
        // ones.
        match self.roots.iter().map(|root| root.not_after).reduce(f64::max) {
            Some(last_end) if last_end < now => {
                let subject = self.roots[0].subject.clone();
                Err(KeyMaterialError::Expired { subject, since_s: now - last_end })
            }
            _ => Ok(()),
        }
    }
}
