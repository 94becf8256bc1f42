//! Table of the newest record of each peer.

use super::record::{NodeRecord, RecordVersion};
use std::collections::BTreeMap;

/// The newest record of a peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// The record itself.
    pub record: NodeRecord,
    /// Time at which the record was published, by this node's clock.
    pub reported_at: f64,
    /// Number of rounds in which this node still forwards the record.
    pub(super) pending_broadcasts: u32,
}

/// Records of peers by the hash of their names.
#[derive(Default)]
pub(super) struct PeerTable {
    records: BTreeMap<u64, PeerRecord>,
}

impl PeerTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, name_hash: u64) -> Option<&PeerRecord> {
        self.records.get(&name_hash)
    }

    pub(super) fn get_mut(&mut self, name_hash: u64) -> Option<&mut PeerRecord> {
        self.records.get_mut(&name_hash)
    }

    pub(super) fn version(&self, name_hash: u64) -> Option<RecordVersion> {
        self.get(name_hash).map(|peer| peer.record.version())
    }

    pub(super) fn insert(&mut self, name_hash: u64, peer: PeerRecord) {
        self.records.insert(name_hash, peer);
    }

    /// All records in the order of their name hashes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &PeerRecord)> {
        self.records.iter().map(|(name_hash, peer)| (*name_hash, peer))
    }

    /// All records in the order of their name hashes, beginning at `first` and wrapping around.
    pub(super) fn iter_from(&self, first: u64) -> impl Iterator<Item = (u64, &PeerRecord)> {
        let from_first = self.records.range(first..);
        let wrapped_around = self.records.range(..first);
        from_first.chain(wrapped_around).map(|(name_hash, peer)| (*name_hash, peer))
    }

    /// Records published at or after a time.
    pub(super) fn reported_since(&self, since: f64) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(move |peer| peer.reported_at >= since)
    }

    /// Removes the oldest record if it was published before a time. Returns whether a record was removed.
    pub(super) fn evict_older_than(&mut self, since: f64) -> bool {
        let oldest =
            self.records.iter().min_by(|first, second| first.1.reported_at.total_cmp(&second.1.reported_at));
        let evicted = oldest.filter(|oldest| oldest.1.reported_at < since).map(|oldest| *oldest.0);
        evicted.is_some_and(|name_hash| self.records.remove(&name_hash).is_some())
    }
}
