//! Records of nodes and the messages that carry them.

use serde::{Deserialize, Serialize};

pub use super::datagram::{Datagram, DatagramError, SharedKey, MAX_DATAGRAM_BYTES};

/// Zones that a node reports on, at most.
pub const MAX_ZONES: usize = 16;
/// Unreachable engines reported of a zone, at most.
pub const MAX_UNREACHABLE: usize = 8;
/// Tenants reported, at most: those with the most deferred requests.
pub const MAX_TENANTS: usize = 24;
/// Bytes of a name or an address, at most.
const MAX_NAME_BYTES: usize = 64;
/// The whole weight of a zone.
const MAX_WEIGHT_PER_MILLE: u16 = 1000;

/// Encoded bytes of a record beside its names and lists, at most.
const RECORD_OVERHEAD_BYTES: usize = 32;
/// Encoded bytes of a zone report beside its name and list, at most.
const ZONE_REPORT_OVERHEAD_BYTES: usize = 12;
/// Encoded bytes of a pair of `u32`, at most.
const PAIR_BYTES: usize = 10;

/// What a node observed of a zone. Times are ages, so that no two clocks have to agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: String,
    /// Since any engine of it last responded.
    pub last_response_age_ms: Option<u32>,
    /// Engines unreachable since their last response: the hash of the id, and the age of the latest failure.
    pub unreachable: Vec<(u32, u32)>,
    /// Share of its usual traffic that the node sends to the zone, in thousandths.
    pub weight_per_mille: u16,
}

impl ZoneReport {
    fn is_valid(&self) -> bool {
        is_valid_name(&self.zone)
            && self.unreachable.len() <= MAX_UNREACHABLE
            && self.weight_per_mille <= MAX_WEIGHT_PER_MILLE
    }

    fn max_encoded_len(&self) -> usize {
        self.zone.len() + ZONE_REPORT_OVERHEAD_BYTES + PAIR_BYTES * self.unreachable.len()
    }
}

/// Orders the records of one node: a process that started later has the newer record, then the later sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// When the node's process started.
    pub incarnation: u64,
    /// Number of the record within the process.
    pub seq: u64,
}

/// What a node publishes of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// When its process started; see [`RecordVersion`].
    pub incarnation: u64,
    /// Number of the record within the process.
    pub seq: u64,
    /// Where datagrams reach it, as host:port.
    pub address: String,
    /// Name of the zone that it is in.
    pub zone: String,
    /// What it observed of the zones, the most important first.
    pub zone_reports: Vec<ZoneReport>,
    /// Deferred requests that wait at the node, by the hash of the tenant's name.
    pub deferred_by_tenant: Vec<(u32, u32)>,
}

impl NodeRecord {
    /// Which of two records of the node is newer.
    pub fn version(&self) -> RecordVersion {
        RecordVersion { incarnation: self.incarnation, seq: self.seq }
    }

    /// Whether it keeps to the bounds that every sender keeps to.
    pub(super) fn is_valid(&self) -> bool {
        is_valid_name(&self.name)
            && is_valid_name(&self.address)
            && is_valid_name(&self.zone)
            && self.zone_reports.len() <= MAX_ZONES
            && self.deferred_by_tenant.len() <= MAX_TENANTS
            && self.zone_reports.iter().all(ZoneReport::is_valid)
    }

    /// Bytes that it takes in a datagram, at most.
    pub(super) fn max_encoded_len(&self) -> usize {
        self.name.len()
            + self.address.len()
            + self.zone.len()
            + RECORD_OVERHEAD_BYTES
            + PAIR_BYTES * self.deferred_by_tenant.len()
            + self.zone_reports.iter().map(ZoneReport::max_encoded_len).sum::<usize>()
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// A record on its way, with its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// Time since it was published, as far as it was spent at nodes that passed it on.
    pub age_ms: u32,
    /// The record itself.
    pub record: NodeRecord,
}

/// A record that the sender of a digest has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Hash of the node's name.
    pub name_hash: u64,
    /// Version of its record.
    pub version: RecordVersion,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Records, as an update or as an answer.
    Records(Vec<AgedRecord>),
    /// Which records the sender has.
    Digest(Vec<DigestEntry>),
    /// Which records the sender wants, by the hash of names; none: all there are.
    Want(Vec<u64>),
}

impl Message {
    /// Whether all records in it keep to their bounds.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            Message::Records(records) => records.iter().all(|aged| aged.record.is_valid()),
            Message::Digest(_) | Message::Want(_) => true,
        }
    }
}

/// Stands for a name, or an engine's id, where the whole would be too long.
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let first = hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}
