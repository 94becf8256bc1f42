//! What a node tells of itself, and how records travel: sealed with the fleet's key, each datagram whole by itself.

use serde::{Deserialize, Serialize};

/// What fits a datagram on any path; longer ones are refused.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
pub const MAX_ZONES: usize = 16;
pub const MAX_UNREACHABLE: usize = 8;
/// Tenants told of: those with the most parked.
pub const MAX_TENANTS: usize = 24;
const MOST_NAME: usize = 64;
const VERSION: u8 = 1;
const SEAL: usize = blake3::OUT_LEN;

/// What a node saw of a zone. Times are ages, so that no two clocks have to agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    pub zone: String,
    /// Since any engine of it was last heard.
    pub last_response_age_ms: Option<u32>,
    /// Engines not reached since they were heard, by the hash of their ids, and since when.
    pub unreachable: Vec<(u32, u32)>,
    /// The part of the traffic that it gives the zone, in thousandths.
    pub weight_per_mille: u16,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub name: String,
    /// When its process began; with the sequence it says which of two records is newer.
    pub incarnation: u64,
    pub seq: u64,
    /// Where datagrams reach it.
    pub address: String,
    pub zone: String,
    pub zone_reports: Vec<ZoneReport>,
    /// Offline inferences that wait here, by the hash of the tenant's name.
    pub deferred_by_tenant: Vec<(u32, u32)>,
}

impl NodeRecord {
    pub fn version(&self) -> (u64, u64) {
        (self.incarnation, self.seq)
    }

    fn is_sound(&self) -> bool {
        let short = |s: &str| !s.is_empty() && s.len() <= MOST_NAME;
        let seen = |s: &ZoneReport| {
            short(&s.zone) && s.unreachable.len() <= MAX_UNREACHABLE && s.weight_per_mille <= 1000
        };
        short(&self.name)
            && short(&self.address)
            && short(&self.zone)
            && self.zone_reports.len() <= MAX_ZONES
            && self.deferred_by_tenant.len() <= MAX_TENANTS
            && self.zone_reports.iter().all(seen)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Records, each with the time that it has travelled and lain elsewhere, in milliseconds.
    Records(Vec<(u32, NodeRecord)>),
    /// What the sender has: names by their hash, with versions.
    Digest(Vec<(u64, u64, u64)>),
    /// What it wants, by the hash of names; none: all there is.
    Want(Vec<u64>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub from: String,
    /// Unix time at which it was made: an old one that is played again is known by it.
    pub at_ms: u64,
    pub message: Message,
}

/// Why a datagram is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DatagramError {
    #[error("longer or shorter than any datagram of ours")]
    Length,
    #[error("of another version")]
    Version,
    #[error("not sealed with this fleet's key")]
    Key,
    #[error("sealed, but it cannot be read")]
    Unreadable,
    #[error("made too long ago, or in the future")]
    Time,
}

impl DatagramError {
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Length,
        DatagramError::Version,
        DatagramError::Key,
        DatagramError::Unreadable,
        DatagramError::Time,
    ];

    pub fn name(self) -> &'static str {
        ["length", "version", "key", "unreadable", "time"][self as usize]
    }
}

/// The fleet's key. It is not shown.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl SharedKey {
    pub fn from_secret(secret: &str) -> SharedKey {
        SharedKey(blake3::derive_key("nickelgw accord: datagrams between nodes", secret.as_bytes()))
    }

    /// None: too long for one datagram.
    pub fn seal(&self, d: &Datagram) -> Option<Vec<u8>> {
        self.seal_raw(&postcard::to_allocvec(d).ok()?)
    }

    pub(super) fn seal_raw(&self, body: &[u8]) -> Option<Vec<u8>> {
        let mut out = Vec::with_capacity(1 + SEAL + body.len());
        out.push(VERSION);
        out.extend_from_slice(blake3::keyed_hash(&self.0, body).as_bytes());
        out.extend_from_slice(body);
        (out.len() <= MAX_DATAGRAM_BYTES).then_some(out)
    }

    pub fn open(&self, bytes: &[u8], unix_ms: u64, slack_ms: u64) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Length);
        }
        let (version, rest) = bytes.split_first().ok_or(DatagramError::Length)?;
        if *version != VERSION {
            return Err(DatagramError::Version);
        }
        let (seal, body) = rest.split_at_checked(SEAL).ok_or(DatagramError::Length)?;
        let seal = <[u8; SEAL]>::try_from(seal).map_err(|_| DatagramError::Length)?;
        // Compared in constant time.
        if blake3::keyed_hash(&self.0, body) != seal {
            return Err(DatagramError::Key);
        }
        let d: Datagram = postcard::from_bytes(body).map_err(|_| DatagramError::Unreadable)?;
        let sound = match &d.message {
            Message::Records(r) => r.iter().all(|r| r.1.is_sound()),
            Message::Digest(_) | Message::Want(_) => true,
        };
        if !sound {
            return Err(DatagramError::Unreadable);
        }
        if d.at_ms.abs_diff(unix_ms) > slack_ms {
            return Err(DatagramError::Time);
        }
        Ok(d)
    }
}

/// What stands for a name, or an engine's id, where the whole would be too long.
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let first = hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}
