//! What is to be on disk, and when it gets there. Changes gather and are committed together; what a request waits for
//! goes soon, the rest when its time has come. One commit at a time; one that fails is tried again after a while.

use super::record::{seal, unseal};
use super::{retention, RecordKind};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// How long changes gather before a commit: those that somebody waits for, and others.
    pub urgent_s: f64,
    pub lazy_s: f64,
    pub most_batch_bytes: usize,
    /// Records of a kind, and bytes of all.
    pub most_records: usize,
    pub most_bytes: usize,
    pub first_gap_s: f64,
    pub longest_gap_s: f64,
    /// Who waits is told of a failure after so long.
    pub most_wait_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            urgent_s: 0.002,
            lazy_s: 1.0,
            most_batch_bytes: 1 << 20,
            most_records: 65_536,
            most_bytes: 64 << 20,
            first_gap_s: 0.1,
            longest_gap_s: 5.0,
            most_wait_s: 1.0,
        }
    }
}

/// One that waits until what it has put is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

pub type Key = Vec<u8>;

/// What one commit writes; none for a value: the record goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    pub number: u64,
    pub changes: Vec<(Key, Option<Vec<u8>>)>,
    pub bytes: usize,
}

/// What is, or will be, on disk under a key.
struct Kept {
    written_ms: u64,
    bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    pub commits: u64,
    pub failed: u64,
    pub written_bytes: u64,
    /// Dropped for want of room, and as too old.
    pub evicted: u64,
    pub expired: u64,
    /// Found on disk and not believed.
    pub damaged: u64,
}

pub struct WriteBuffer {
    figures: Figures,
    kept: BTreeMap<Key, Kept>,
    /// By kind and time: what goes first when there is no room.
    order: BTreeSet<(RecordKind, u64, Key)>,
    bytes: usize,
    /// Not on disk yet, the newest word on each.
    dirty: BTreeMap<Key, Option<Vec<u8>>>,
    dirty_since: Option<f64>,
    urgent_since: Option<f64>,
    /// Waiters for the next batch, and for the one under way.
    next_waiters: Vec<(Waiter, f64)>,
    waiters: Vec<(Waiter, f64)>,
    in_flight: Option<Batch>,
    number: u64,
    failures: u32,
    not_before: f64,
    pub counters: StoreCounters,
}

/// A record as an earlier process left it.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredRecord {
    pub kind: RecordKind,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    /// None: of no known age, as the clock was set back.
    pub age_s: Option<f64>,
}

fn whole_key(kind: RecordKind, key: &[u8]) -> Key {
    [&[kind as u8], key].concat()
}

impl WriteBuffer {
    pub fn new(figures: Figures) -> WriteBuffer {
        WriteBuffer {
            figures,
            kept: BTreeMap::new(),
            order: BTreeSet::new(),
            bytes: 0,
            dirty: BTreeMap::new(),
            dirty_since: None,
            urgent_since: None,
            next_waiters: Vec::new(),
            waiters: Vec::new(),
            in_flight: None,
            number: 0,
            failures: 0,
            not_before: 0.0,
            counters: StoreCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Nothing is left to be written.
    pub fn is_clean(&self) -> bool {
        self.dirty.is_empty() && self.in_flight.is_none()
    }

    /// What the file held when it was opened. What is not believed is taken out of it.
    pub fn restore(&mut self, now: f64, now_unix_s: f64, found: Vec<(Key, Vec<u8>)>) -> Vec<RestoredRecord> {
        let mut out = Vec::new();
        for (key, bytes) in found {
            let kind = key.first().and_then(|n| RecordKind::of(*n));
            let sound = unseal(&key, &bytes).ok();
            let Some((kind, (written_ms, value))) = kind.zip(sound) else {
                self.counters.damaged += 1;
                self.change(now, key, None);
                continue;
            };
            let age_s = retention::age_s(written_ms, now_unix_s);
            if !retention::used(kind, age_s) {
                self.counters.expired += 1;
                self.change(now, key, None);
                continue;
            }
            // One of no known age counts from now on.
            let written_ms = if age_s.is_some() { written_ms } else { (now_unix_s * 1e3) as u64 };
            self.note(kind, &key, written_ms, bytes.len());
            out.push(RestoredRecord { kind, key: key[1..].to_vec(), value: value.to_vec(), age_s });
        }
        self.make_room(now);
        out
    }

    fn note(&mut self, kind: RecordKind, key: &Key, written_ms: u64, bytes: usize) {
        self.forget(kind, key);
        self.kept.insert(key.clone(), Kept { written_ms, bytes });
        self.order.insert((kind, written_ms, key.clone()));
        self.bytes += bytes;
    }

    fn forget(&mut self, kind: RecordKind, key: &Key) -> bool {
        let Some(old) = self.kept.remove(key) else { return false };
        self.order.remove(&(kind, old.written_ms, key.clone()));
        self.bytes -= old.bytes;
        true
    }

    fn change(&mut self, now: f64, key: Key, value: Option<Vec<u8>>) {
        self.dirty.insert(key, value);
        self.dirty_since.get_or_insert(now);
    }

    /// Puts a record; a waiter makes it urgent, and is told when it is on disk.
    pub fn put(
        &mut self,
        now: f64,
        now_unix_s: f64,
        (kind, key): (RecordKind, &[u8]),
        value: &[u8],
        waiter: Option<Waiter>,
    ) {
        let (key, written_ms) = (whole_key(kind, key), (now_unix_s.max(0.0) * 1e3) as u64);
        let sealed = seal(&key, written_ms, value);
        self.note(kind, &key, written_ms, sealed.len());
        self.change(now, key, Some(sealed));
        if let Some(w) = waiter {
            self.next_waiters.push((w, now));
            self.urgent_since.get_or_insert(now);
        }
        self.make_room(now);
    }

    pub fn remove(&mut self, now: f64, kind: RecordKind, key: &[u8]) {
        let key = whole_key(kind, key);
        if self.forget(kind, &key) {
            self.change(now, key, None);
        }
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: f64, now_unix_s: f64) {
        for kind in RecordKind::ALL {
            let before = ((now_unix_s - retention::limit_s(kind)).max(0.0) * 1e3) as u64;
            let old: Vec<Key> = self
                .order
                .range((kind, 0, Vec::new())..(kind, before, Vec::new()))
                .map(|o| o.2.clone())
                .collect();
            for key in old {
                self.counters.expired += 1;
                self.forget(kind, &key);
                self.change(now, key, None);
            }
        }
    }

    /// Too many of a kind: its oldest go. Too many bytes: the oldest repeats go, which are the only ones in number.
    fn make_room(&mut self, now: f64) {
        for kind in RecordKind::ALL {
            let all = || (kind, 0, Vec::new())..=(kind, u64::MAX, Vec::new());
            // Counting is cheap only where it is rarely needed.
            while self.kept.len() > self.figures.most_records || self.bytes > self.figures.most_bytes {
                let Some(oldest) = self.order.range(all()).next().cloned() else { break };
                if kind != RecordKind::IdempotencyKey {
                    break;
                }
                self.counters.evicted += 1;
                self.forget(kind, &oldest.2);
                self.change(now, oldest.2, None);
            }
        }
    }

    /// The next commit, if its time has come, and when to look again.
    pub fn poll_batch(&mut self, now: f64) -> (Option<Batch>, Option<f64>) {
        if self.in_flight.is_some() || self.dirty.is_empty() {
            return (None, None);
        }
        let f = &self.figures;
        let lazy = self.dirty_since.map(|s| s + f.lazy_s);
        let urgent = self.urgent_since.map(|s| s + f.urgent_s);
        let at = [lazy, urgent].into_iter().flatten().fold(f64::INFINITY, f64::min).max(self.not_before);
        if now < at {
            return (None, Some(at));
        }
        self.number += 1;
        let mut batch = Batch { number: self.number, ..Batch::default() };
        // Somebody waits for the whole of what is there: it goes in one piece, else in bounded ones.
        let whole = !self.next_waiters.is_empty();
        while let Some((key, value)) = self.dirty.pop_first() {
            batch.bytes += key.len() + value.as_ref().map_or(0, Vec::len);
            batch.changes.push((key, value));
            if !whole && batch.bytes >= f.most_batch_bytes {
                break;
            }
        }
        self.waiters = std::mem::take(&mut self.next_waiters);
        self.urgent_since = None;
        self.dirty_since = (!self.dirty.is_empty()).then_some(now);
        self.in_flight = Some(batch.clone());
        (Some(batch), None)
    }

    /// How the commit went: who need wait no longer, and whether what they put is on disk.
    pub fn commit_finished(&mut self, now: f64, number: u64, done: bool) -> Vec<(Waiter, bool)> {
        let Some(batch) = self.in_flight.take_if(|b| b.number == number) else { return Vec::new() };
        if done {
            self.failures = 0;
            self.counters.commits += 1;
            self.counters.written_bytes += batch.bytes as u64;
            return std::mem::take(&mut self.waiters).into_iter().map(|w| (w.0, true)).collect();
        }
        self.counters.failed += 1;
        self.failures += 1;
        let gap = self.figures.first_gap_s * f64::from(1u32 << (self.failures - 1).min(10));
        self.not_before = now + gap.min(self.figures.longest_gap_s);
        // What has been said since of the same key is newer.
        for (key, value) in batch.changes {
            self.dirty.entry(key).or_insert(value);
        }
        self.dirty_since.get_or_insert(now);
        // Who can wait for the next try does; the others are told.
        let until = self.not_before;
        let most = self.figures.most_wait_s;
        let (late, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|w| until > w.1 + most);
        self.next_waiters.extend(wait);
        if !self.next_waiters.is_empty() {
            self.urgent_since = Some(now);
        }
        late.into_iter().map(|w| (w.0, false)).collect()
    }
}

#[cfg(test)]
#[path = "write_buffer_tests.rs"]
mod tests;
