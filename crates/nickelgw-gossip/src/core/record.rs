//! Records of nodes, and the messages that contain them. Datagrams are encoded with postcard, which is
//! positional: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

pub use super::datagram::{Datagram, DatagramError, SharedKey, MAX_DATAGRAM_BYTES};

/// Maximum number of zones that a node reports on.
pub const MAX_ZONES: usize = 16;
/// Maximum number of unreachable engines in the report of a zone.
pub const MAX_UNREACHABLE: usize = 8;
/// Maximum number of tenants in a record; those with the most deferred requests are reported.
pub const MAX_TENANTS: usize = 24;
/// Maximum length of a name or an address in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Weight of a zone that receives all its traffic, in thousandths.
const MAX_WEIGHT_PER_MILLE: u16 = 1000;

/// Maximum encoded size of a record without its names and lists.
const RECORD_OVERHEAD_BYTES: usize = 32;
/// Maximum encoded size of a zone report without its name and list.
const ZONE_REPORT_OVERHEAD_BYTES: usize = 12;
/// Maximum encoded size of a pair of `u32`.
const PAIR_BYTES: usize = 10;

/// Observations of a zone by a node. Times are given as ages, so that the clocks of the nodes need not agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: String,
    /// Time in milliseconds since any engine of the zone last responded; `None` if no engine has responded.
    pub last_response_age_ms: Option<u32>,
    /// Engines unreachable since their last response: the hash of the id, and the age of the latest failure
    /// in milliseconds.
    pub unreachable: Vec<(u32, u32)>,
    /// Fraction of its usual traffic that the node sends to the zone, in thousandths.
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

/// Version that orders the records of one node: by the start of the process, then by the sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Start time of the node's process.
    pub incarnation: u64,
    /// Sequence number of the record within the process.
    pub seq: u64,
}

/// Information that a node publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Start time of the node's process; see [`RecordVersion`].
    pub incarnation: u64,
    /// Sequence number of the record within the process.
    pub seq: u64,
    /// Address at which datagrams reach the node, as host:port.
    pub address: String,
    /// Name of the node's zone.
    pub zone: String,
    /// Observations of the zones, the most important first.
    pub zone_reports: Vec<ZoneReport>,
    /// Hash of each tenant's name, and the number of its deferred requests that wait at the node.
    pub deferred_by_tenant: Vec<(u32, u32)>,
}

impl NodeRecord {
    /// Version of the record, which orders the records of the node.
    pub fn version(&self) -> RecordVersion {
        RecordVersion { incarnation: self.incarnation, seq: self.seq }
    }

    /// Returns whether the record is within the limits that every sender keeps.
    pub(super) fn is_valid(&self) -> bool {
        is_valid_name(&self.name)
            && is_valid_name(&self.address)
            && is_valid_name(&self.zone)
            && self.zone_reports.len() <= MAX_ZONES
            && self.deferred_by_tenant.len() <= MAX_TENANTS
            && self.zone_reports.iter().all(ZoneReport::is_valid)
    }

    /// Upper bound of the encoded size of the record in bytes.
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

/// A record in transit, with its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// Time in milliseconds since the record was published. Only the time spent at nodes counts, not the time
    /// on the network.
    pub age_ms: u32,
    /// The record itself.
    pub record: NodeRecord,
}

/// Entry of a digest: a record that the sender has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Hash of the node's name.
    pub name_hash: u64,
    /// Version of the node's record.
    pub version: RecordVersion,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Records, as an update or as an answer to a digest or a request.
    Records(Vec<AgedRecord>),
    /// Names and versions of records that the sender has.
    Digest(Vec<DigestEntry>),
    /// Request for records by the hash of the nodes' names; an empty list requests all records.
    Want(Vec<u64>),
}

impl Message {
    /// Returns whether all records in the message are within their limits.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            Message::Records(records) => records.iter().all(|aged| aged.record.is_valid()),
            Message::Digest(_) | Message::Want(_) => true,
        }
    }
}

/// Hash that is sent in place of a name or an engine's id, which would be too long.
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let first = hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}
