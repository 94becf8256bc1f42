//! Buffer of changes that are not on disk yet. Changes are collected and committed together: soon if a
//! request waits for one of them, otherwise after a longer delay. At most one commit is in flight; a failed
//! commit is retried with backoff.

use super::record::{seal, unseal};
pub use super::record_index::Key;
use super::record_index::{disk_key, RecordIndex};
use super::{retention, RecordKind};
use std::collections::BTreeMap;

/// Delays and limits of a [`WriteBuffer`].
#[derive(Clone, Copy, Debug)]
pub struct WriteBufferConfig {
    /// Time in seconds for which changes are collected before a commit if a waiter waits for one of them.
    pub urgent_delay_s: f64,
    /// Time in seconds for which changes are collected before a commit if there is no waiter.
    pub lazy_delay_s: f64,
    /// Size in bytes at which a commit without a waiter is closed.
    pub max_batch_bytes: usize,
    /// Maximum number of records of all kinds; above it, the oldest idempotency keys are evicted.
    pub max_records: usize,
    /// Maximum total size of all records; above it, the oldest idempotency keys are evicted.
    pub max_bytes: usize,
    /// Backoff in seconds after the first failed commit; doubles with each further consecutive failure.
    pub initial_backoff_s: f64,
    /// Longest backoff in seconds.
    pub max_backoff_s: f64,
    /// A waiter is notified of a failed commit if the retry would begin more than this many seconds after its
    /// change.
    pub max_wait_s: f64,
}

impl Default for WriteBufferConfig {
    fn default() -> Self {
        WriteBufferConfig {
            urgent_delay_s: 0.002,
            lazy_delay_s: 1.0,
            max_batch_bytes: 1 << 20,
            max_records: 65_536,
            max_bytes: 64 << 20,
            initial_backoff_s: 0.1,
            max_backoff_s: 5.0,
            max_wait_s: 1.0,
        }
    }
}

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Identifies a waiter: a caller that waits until its change is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

struct PendingWaiter {
    waiter: Waiter,
    since: f64,
}

/// Changes that are written by one commit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Identifies the commit in [`WriteBuffer::commit_finished`].
    pub number: u64,
    /// Keys with the sealed value to write, or `None` if the record is to be removed.
    pub changes: Vec<(Key, Option<Vec<u8>>)>,
    /// Total size of all keys and values.
    pub bytes: usize,
}

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Commits that succeeded.
    pub commits: u64,
    /// Commits that failed.
    pub failed: u64,
    /// Bytes of the commits that succeeded.
    pub written_bytes: u64,
    /// Records removed because the maximum number or size was exceeded.
    pub evicted: u64,
    /// Records removed because their age exceeded the retention of their kind, or was unknown.
    pub expired: u64,
    /// Records found on disk that could not be decoded.
    pub damaged: u64,
}

/// Buffer of changes in front of the store file.
pub struct WriteBuffer {
    config: WriteBufferConfig,
    index: RecordIndex,
    /// Changes that are not in a commit yet; the newest one for each key.
    dirty: BTreeMap<Key, Option<Vec<u8>>>,
    /// Time since which there are changes; `None` if there are none.
    dirty_since: Option<f64>,
    /// Time since which a waiter waits for the next batch; `None` if there is no waiter.
    urgent_since: Option<f64>,
    /// Waiters for the next batch.
    next_waiters: Vec<PendingWaiter>,
    /// Waiters for the batch in flight.
    in_flight_waiters: Vec<PendingWaiter>,
    in_flight: Option<Batch>,
    last_batch_number: u64,
    consecutive_failures: u32,
    /// Earliest time of the next commit, set by the backoff.
    not_before: f64,
    /// Totals for the metrics.
    pub counters: StoreCounters,
}

/// A record that an earlier process left.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredRecord {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Key within the kind.
    pub key: Vec<u8>,
    /// Value as passed to [`WriteBuffer::put`].
    pub value: Vec<u8>,
    /// Age in seconds; `None` if it is unknown because the clock was set back.
    pub age_s: Option<f64>,
}

impl WriteBuffer {
    /// Creates an empty buffer for an empty file.
    pub fn new(config: WriteBufferConfig) -> WriteBuffer {
        WriteBuffer {
            config,
            index: RecordIndex::default(),
            dirty: BTreeMap::new(),
            dirty_since: None,
            urgent_since: None,
            next_waiters: Vec::new(),
            in_flight_waiters: Vec::new(),
            in_flight: None,
            last_batch_number: 0,
            consecutive_failures: 0,
            not_before: 0.0,
            counters: StoreCounters::default(),
        }
    }

    /// Number of records that are, or will be, on disk.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.index.len() == 0
    }

    /// Total size of all records in bytes.
    pub fn bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Returns whether all changes are on disk.
    pub fn is_clean(&self) -> bool {
        self.dirty.is_empty() && self.in_flight.is_none()
    }

    /// Indexes the records that the file contained when it was opened, and returns those that are still used.
    /// The others are removed from the file.
    pub fn restore(&mut self, now: f64, now_unix_s: f64, stored: Vec<(Key, Vec<u8>)>) -> Vec<RestoredRecord> {
        let mut restored = Vec::new();
        for (key, sealed) in stored {
            let kind = key.first().and_then(|number| RecordKind::from_number(*number));
            let unsealed = unseal(&key, &sealed).ok();
            let Some((kind, (written_ms, value))) = kind.zip(unsealed) else {
                self.counters.damaged += 1;
                self.change(now, key, None);
                continue;
            };
            let age_s = retention::age_s(written_ms, now_unix_s);
            if !retention::is_used(kind, age_s) {
                self.counters.expired += 1;
                self.change(now, key, None);
                continue;
            }
            // The retention of a record of unknown age begins now.
            let written_ms = if age_s.is_some() { written_ms } else { (now_unix_s * 1e3) as u64 };
            self.index.insert(kind, &key, written_ms, sealed.len());
            restored.push(RestoredRecord { kind, key: key[1..].to_vec(), value: value.to_vec(), age_s });
        }
        self.evict(now);
        restored
    }

    fn change(&mut self, now: f64, key: Key, value: Option<Vec<u8>>) {
        self.dirty.insert(key, value);
        self.dirty_since.get_or_insert(now);
    }

    /// Puts a record. A waiter makes the next commit urgent and is among those that
    /// [`WriteBuffer::commit_finished`] returns.
    pub fn put(
        &mut self,
        now: f64,
        now_unix_s: f64,
        (kind, key): (RecordKind, &[u8]),
        value: &[u8],
        waiter: Option<Waiter>,
    ) {
        let key = disk_key(kind, key);
        let written_ms = (now_unix_s.max(0.0) * 1e3) as u64;
        let sealed = seal(&key, written_ms, value);
        self.index.insert(kind, &key, written_ms, sealed.len());
        self.change(now, key, Some(sealed));
        if let Some(waiter) = waiter {
            self.next_waiters.push(PendingWaiter { waiter, since: now });
            self.urgent_since.get_or_insert(now);
        }
        self.evict(now);
    }

    /// Removes a record if there is one with this key.
    pub fn remove(&mut self, now: f64, kind: RecordKind, key: &[u8]) {
        self.remove_indexed(now, kind, disk_key(kind, key));
    }

    fn remove_indexed(&mut self, now: f64, kind: RecordKind, key: Key) {
        if self.index.remove(kind, &key) {
            self.change(now, key, None);
        }
    }

    /// Removes records past their retention.
    pub fn expire(&mut self, now: f64, now_unix_s: f64) {
        for kind in RecordKind::ALL {
            let before_ms = ((now_unix_s - retention::max_age_s(kind)).max(0.0) * 1e3) as u64;
            for key in self.index.written_before(kind, before_ms) {
                self.counters.expired += 1;
                self.remove_indexed(now, kind, key);
            }
        }
    }

    /// Removes the oldest idempotency keys while a limit is exceeded. Records of other kinds are too few to
    /// matter.
    fn evict(&mut self, now: f64) {
        while self.index.len() > self.config.max_records || self.index.bytes() > self.config.max_bytes {
            let Some(oldest) = self.index.oldest(RecordKind::IdempotencyKey) else { return };
            self.counters.evicted += 1;
            self.remove_indexed(now, RecordKind::IdempotencyKey, oldest);
        }
    }

    /// Returns the next batch if it is due; otherwise the time of the next poll, or `None` if there is
    /// nothing to commit or a commit is in flight.
    pub fn poll_batch(&mut self, now: f64) -> (Option<Batch>, Option<f64>) {
        if self.in_flight.is_some() || self.dirty.is_empty() {
            return (None, None);
        }
        let commit_at = self.commit_at();
        if now < commit_at {
            return (None, Some(commit_at));
        }
        let batch = self.next_batch();
        self.in_flight_waiters = std::mem::take(&mut self.next_waiters);
        self.urgent_since = None;
        self.dirty_since = (!self.dirty.is_empty()).then_some(now);
        self.in_flight = Some(batch.clone());
        (Some(batch), None)
    }

    fn commit_at(&self) -> f64 {
        let lazy_at = self.dirty_since.map(|since| since + self.config.lazy_delay_s);
        let urgent_at = self.urgent_since.map(|since| since + self.config.urgent_delay_s);
        let first = [lazy_at, urgent_at].into_iter().flatten().fold(f64::INFINITY, f64::min);
        first.max(self.not_before)
    }

    fn next_batch(&mut self) -> Batch {
        self.last_batch_number += 1;
        let mut batch = Batch { number: self.last_batch_number, ..Batch::default() };
        // The change of each waiter must be in this batch, so the size is not limited if there are waiters.
        let is_bounded = self.next_waiters.is_empty();
        while let Some((key, value)) = self.dirty.pop_first() {
            batch.bytes += key.len() + value.as_ref().map_or(0, Vec::len);
            batch.changes.push((key, value));
            if is_bounded && batch.bytes >= self.config.max_batch_bytes {
                break;
            }
        }
        batch
    }

    /// Records that a commit succeeded or failed. Returns the waiters to notify, and whether their changes
    /// are on disk.
    pub fn commit_finished(&mut self, now: f64, number: u64, succeeded: bool) -> Vec<(Waiter, bool)> {
        let Some(batch) = self.in_flight.take_if(|batch| batch.number == number) else { return Vec::new() };
        let waiters = std::mem::take(&mut self.in_flight_waiters);
        if !succeeded {
            return self.commit_failed(now, batch, waiters);
        }
        self.consecutive_failures = 0;
        self.counters.commits += 1;
        self.counters.written_bytes += batch.bytes as u64;
        waiters.into_iter().map(|pending| (pending.waiter, true)).collect()
    }

    /// Schedules a retry. Returns the waiters that cannot wait until the retry; the others stay registered.
    fn commit_failed(&mut self, now: f64, batch: Batch, waiters: Vec<PendingWaiter>) -> Vec<(Waiter, bool)> {
        self.counters.failed += 1;
        self.consecutive_failures += 1;
        self.not_before = now + self.backoff_s();
        for (key, value) in batch.changes {
            // A change made in the meantime is newer than the one that failed, and is kept.
            self.dirty.entry(key).or_insert(value);
        }
        self.dirty_since.get_or_insert(now);
        let (retry_at, max_wait_s) = (self.not_before, self.config.max_wait_s);
        let (expired, waiting): (Vec<_>, Vec<_>) =
            waiters.into_iter().partition(|pending| retry_at > pending.since + max_wait_s);
        self.next_waiters.extend(waiting);
        if !self.next_waiters.is_empty() {
            self.urgent_since = Some(now);
        }
        expired.into_iter().map(|pending| (pending.waiter, false)).collect()
    }

    fn backoff_s(&self) -> f64 {
        let doublings = (self.consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = self.config.initial_backoff_s * f64::from(1u32 << doublings);
        backoff_s.min(self.config.max_backoff_s)
    }
}

#[cfg(test)]
#[path = "write_buffer_tests.rs"]
mod tests;
