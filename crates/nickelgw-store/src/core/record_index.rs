//! Index of the records that are, or will be, on disk: size and time of writing of each, and the order of
//! eviction. Values are not kept in memory.

use super::RecordKind;
use std::collections::{BTreeMap, BTreeSet};

/// Key of a record as stored on disk: the number of its kind, followed by the key within the kind.
pub type Key = Vec<u8>;

/// Key on disk of a record with the given key within its kind.
pub(super) fn disk_key(kind: RecordKind, key: &[u8]) -> Key {
    [&[kind as u8], key].concat()
}

struct IndexEntry {
    written_ms: u64,
    bytes: usize,
}

#[derive(Default)]
pub(super) struct RecordIndex {
    entries: BTreeMap<Key, IndexEntry>,
    /// Records ordered by kind and time of writing; the first one of a kind is evicted first.
    by_age: BTreeSet<(RecordKind, u64, Key)>,
    bytes: usize,
}

impl RecordIndex {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a record, or replaces the one with the same key.
    pub(super) fn insert(&mut self, kind: RecordKind, key: &Key, written_ms: u64, bytes: usize) {
        self.remove(kind, key);
        self.entries.insert(key.clone(), IndexEntry { written_ms, bytes });
        self.by_age.insert((kind, written_ms, key.clone()));
        self.bytes += bytes;
    }

    /// Removes a record; returns whether there was one with this key.
    pub(super) fn remove(&mut self, kind: RecordKind, key: &Key) -> bool {
        let Some(removed) = self.entries.remove(key) else { return false };
        self.by_age.remove(&(kind, removed.written_ms, key.clone()));
        self.bytes -= removed.bytes;
        true
    }

    /// Keys of the records of a kind that were written before a time, in milliseconds since 1970.
    pub(super) fn written_before(&self, kind: RecordKind, before_ms: u64) -> Vec<Key> {
        let range = (kind, 0, Vec::new())..(kind, before_ms, Vec::new());
        self.by_age.range(range).map(|(_, _, key)| key.clone()).collect()
    }

    /// Key of the oldest record of a kind; `None` if there is no such record.
    pub(super) fn oldest(&self, kind: RecordKind) -> Option<Key> {
        let range = (kind, 0, Vec::new())..=(kind, u64::MAX, Vec::new());
        self.by_age.range(range).next().map(|(_, _, key)| key.clone())
    }
}
