//! Encoding of datagrams. Each datagram is self-contained and authenticated with the key of the fleet.

use super::record::Message;
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, chosen to fit the MTU of any path; longer datagrams are rejected.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Version of the wire format, the first byte of a datagram.
const VERSION: u8 = 1;
/// Size of the authentication code that follows the version.
const CODE_BYTES: usize = blake3::OUT_LEN;
/// Context string of the key derivation, which separates this key from others derived from the same secret.
/// It is part of the wire format.
const KEY_CONTEXT: &str = "nickelgw accord: datagrams between nodes";

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Name of the sending node.
    pub from: String,
    /// Unix time in milliseconds at which the datagram was created; used to detect replays.
    pub at_ms: u64,
    /// Content of the datagram.
    pub message: Message,
}

/// Reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`], or shorter than its version and authentication
    /// code.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes or shorter than its authentication code")]
    Length,
    /// The datagram has a version of the wire format that this node does not support.
    #[error("datagram has an unsupported version of the wire format")]
    Version,
    /// The datagram was altered, or authenticated with another key.
    #[error("authentication code of the datagram does not match the key of this fleet")]
    Key,
    /// The datagram is authentic, but malformed or beyond the limits of a record.
    #[error("authenticated datagram is malformed or exceeds the limits of a record")]
    Unreadable,
    /// The time of the datagram differs from this node's clock by more than the permitted skew.
    #[error("time of the datagram differs from the local clock by more than the permitted skew")]
    Time,
}

impl DatagramError {
    /// All reasons, in the order of [`GossipCounters::rejected`](super::GossipCounters::rejected).
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Length,
        DatagramError::Version,
        DatagramError::Key,
        DatagramError::Unreadable,
        DatagramError::Time,
    ];

    /// Name of the reason as a metric label.
    pub fn name(self) -> &'static str {
        ["length", "version", "key", "unreadable", "time"][self as usize]
    }
}

/// Key shared by the nodes of a fleet. Its value is never printed.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("Key")
    }
}

impl SharedKey {
    /// Derives the key from the secret in the settings.
    pub fn from_secret(secret: &str) -> SharedKey {
        SharedKey(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Encodes and authenticates a datagram; `None` if it would be longer than [`MAX_DATAGRAM_BYTES`].
    pub fn seal(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        self.seal_raw(&postcard::to_allocvec(datagram).ok()?)
    }

    pub(super) fn seal_raw(&self, body: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(1 + CODE_BYTES + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(blake3::keyed_hash(&self.0, body).as_bytes());
        bytes.extend_from_slice(body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies and decodes a datagram. `max_skew_ms` is the maximum difference between its time and
    /// `unix_ms`, the time of this node.
    pub fn open(&self, bytes: &[u8], unix_ms: u64, max_skew_ms: u64) -> Result<Datagram, DatagramError> {
        let body = self.verify(bytes)?;
        let datagram: Datagram = postcard::from_bytes(body).map_err(|_| DatagramError::Unreadable)?;
        if !datagram.message.is_valid() {
            return Err(DatagramError::Unreadable);
        }
        if datagram.at_ms.abs_diff(unix_ms) > max_skew_ms {
            return Err(DatagramError::Time);
        }
        Ok(datagram)
    }

    /// Returns the encoded datagram if its authentication code was computed with this key.
    fn verify<'bytes>(&self, bytes: &'bytes [u8]) -> Result<&'bytes [u8], DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length);
        }
        let (version, sealed_body) = bytes.split_first().ok_or(DatagramError::Length)?;
        if *version != VERSION {
            return Err(DatagramError::Version);
        }
        let (code, body) = sealed_body.split_first_chunk::<CODE_BYTES>().ok_or(DatagramError::Length)?;
        // The comparison of BLAKE3 hashes takes constant time.
        if blake3::keyed_hash(&self.0, body) != *code {
            return Err(DatagramError::Key);
        }
        Ok(body)
    }
}
