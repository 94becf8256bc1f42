//! Facts of certificates and keys as read from files, and the check that they may come into force. Times are seconds
//! since 1970.

use std::fmt;

/// What is known of a certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Digest of its bytes.
    pub id: [u8; 32],
    /// Its subject's distinguished name.
    pub subject: String,
    /// Its issuer's distinguished name.
    pub issuer: String,
    /// Start of its validity.
    pub not_before: f64,
    /// End of its validity.
    pub not_after: f64,
    /// DNS names and addresses that it is for.
    pub names: Vec<String>,
    /// Whether it may sign others.
    pub is_ca: bool,
    /// Whether its signature is by the key of the next one in the chain, or (the last one's) of a trusted root; `None`
    /// where no issuer was found.
    pub signature_valid: Option<bool>,
}

/// What was read from the files at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyMaterial {
    /// Leaf first; empty where no certificate of one's own is used.
    pub chain: Vec<Certificate>,
    /// Whether the key belongs to the leaf; `None` without a key.
    pub key_matches: Option<bool>,
    /// Whether the key's file can be read by other users.
    pub key_readable_by_others: bool,
    /// Trusted roots; empty where nobody is verified.
    pub roots: Vec<Certificate>,
    /// Digest of all files: material with the same digest is no new generation.
    pub digest: [u8; 32],
}

/// A certificate may begin this much later than now by our clock: clocks differ.
const CLOCK_SKEW_S: f64 = 60.0;

/// Why key material is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyMaterialError {
    /// A chain without its key, or a key without its chain.
    Incomplete,
    /// The key is not the leaf's.
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
        /// Seconds until it is.
        in_s: f64,
    },
    /// A certificate is not signed by the next one in the chain.
    BrokenChain {
        /// Subject of the certificate.
        subject: String,
    },
    /// The leaf is for no name.
    NoNames {
        /// Subject of the leaf.
        subject: String,
    },
    /// An intermediate or a root may not sign.
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
                write!(formatter, "a key and a chain belong together, one of them is missing")
            }
            KeyMaterialError::KeyMismatch => {
                write!(formatter, "the key does not fit the certificate: rotated by half?")
            }
            KeyMaterialError::KeyReadableByOthers => {
                write!(formatter, "the key's file can be read by others; wanted: mode 0600")
            }
            KeyMaterialError::Expired { subject, since_s } => {
                write!(formatter, "{subject} ended {since_s:.0} s ago")
            }
            KeyMaterialError::NotYetValid { subject, in_s } => {
                write!(formatter, "{subject} begins in {in_s:.0} s only")
            }
            KeyMaterialError::BrokenChain { subject } => {
                write!(formatter, "{subject} is not signed by what follows it")
            }
            KeyMaterialError::NoNames { subject } => write!(formatter, "{subject} stands for no name"),
            KeyMaterialError::NotAnAuthority { subject } => {
                write!(formatter, "{subject} is trusted or signs, but is no authority")
            }
            KeyMaterialError::NoTrust => write!(formatter, "the trust bundle holds no certificate"),
        }
    }
}

impl KeyMaterial {
    /// Whether it may come into force now. `needs_trust`: this side verifies the other.
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
        // A bundle may hold expired roots beside valid ones, as real bundles do; not only those.
        match self.roots.iter().map(|root| root.not_after).reduce(f64::max) {
            Some(last_end) if last_end < now => {
                let subject = self.roots[0].subject.clone();
                Err(KeyMaterialError::Expired { subject, since_s: now - last_end })
            }
            _ => Ok(()),
        }
    }
}
