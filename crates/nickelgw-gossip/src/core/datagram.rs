//! Datagrams: each is complete in itself and authenticated with the fleet's key.

use super::record::Message;
use serde::{Deserialize, Serialize};

/// What fits a datagram on any path; longer ones are rejected.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Version of the wire format, the first byte of a datagram.
const VERSION: u8 = 1;
/// Bytes of the authentication code that follows the version.
const CODE_BYTES: usize = blake3::OUT_LEN;
/// Separates this key from others derived from the same secret; part of the wire format.
const KEY_CONTEXT: &str = "nickelgw accord: datagrams between nodes";

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Name of the node that sent it.
    pub from: String,
    /// Unix time at which it was made: a replayed one is recognized by it.
    pub at_ms: u64,
    /// What it says.
    pub message: Message,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM_BYTES`], or too short to be one.
    #[error("longer or shorter than any datagram of ours")]
    Length,
    /// Of a wire format that this node does not know.
    #[error("of another version")]
    Version,
    /// Altered, or authenticated with another key.
    #[error("not sealed with this fleet's key")]
    Key,
    /// Authentic, but malformed or beyond the bounds of a record.
    #[error("sealed, but it cannot be read")]
    Unreadable,
    /// Older than the clock skew allows, or from the future.
    #[error("made too long ago, or in the future")]
    Time,
}

impl DatagramError {
    /// All reasons, in the order in which they are counted.
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Length,
        DatagramError::Version,
        DatagramError::Key,
        DatagramError::Unreadable,
        DatagramError::Time,
    ];

    /// The reason as a metric label.
    pub fn name(self) -> &'static str {
        ["length", "version", "key", "unreadable", "time"][self as usize]
    }
}

/// The fleet's key. Its value is never printed.
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

    /// Encodes and authenticates a datagram. None: it is too long.
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

    /// Verifies and decodes a datagram. `max_skew_ms`: how far its time may be from this node's.
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

    /// Gives the encoded datagram if the code before it was made with this key.
    fn verify<'bytes>(&self, bytes: &'bytes [u8]) -> Result<&'bytes [u8], DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length);
        }
        let (version, sealed_body) = bytes.split_first().ok_or(DatagramError::Length)?;
        if *version != VERSION {
            return Err(DatagramError::Version);
        }
        let (code, body) = sealed_body.split_first_chunk::<CODE_BYTES>().ok_or(DatagramError::Length)?;
        // The comparison of hashes takes constant time.
        if blake3::keyed_hash(&self.0, body) != *code {
            return Err(DatagramError::Key);
        }
        Ok(body)
    }
}
