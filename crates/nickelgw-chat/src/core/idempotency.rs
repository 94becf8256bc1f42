//! Table of idempotency keys. A request with the key of a running request joins that request, and a request
//! with the key of a finished request gets the recorded answer. A request that may have had an effect is
//! never run again by a duplicate. The number of entries, their bytes and their retention time are bounded.

use std::collections::{BTreeMap, BTreeSet};

/// Limits of an [`IdempotencyTable`].
#[derive(Clone, Debug)]
pub struct IdempotencyConfig {
    /// Maximum number of keys that are remembered.
    pub max_entries: usize,
    /// Maximum size of all recorded answers together.
    pub max_bytes: usize,
    /// Maximum size of one recorded answer.
    pub max_bytes_per_entry: usize,
    /// Time for which an entry is kept after its request has finished.
    pub retention_s: f64,
    /// Time for which a request continues without a client, since a duplicate may arrive and join it.
    pub takeover_s: f64,
}

impl Default for IdempotencyConfig {
    fn default() -> Self {
        IdempotencyConfig {
            max_entries: 16_384,
            max_bytes: 64 << 20,
            max_bytes_per_entry: 256 << 10,
            retention_s: 60.0,
            takeover_s: 2.0,
        }
    }
}

/// Digest of a tenant and its idempotency key. It has a fixed size, and the key itself is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(pub [u8; 32]);

impl IdempotencyKey {
    /// Hashes the key that this tenant sent.
    pub fn new(tenant: &str, key: &str) -> IdempotencyKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(tenant.len() as u64).to_le_bytes());
        hasher.update(tenant.as_bytes());
        hasher.update(key.as_bytes());
        IdempotencyKey(*hasher.finalize().as_bytes())
    }
}

/// Identifies an entry of the table; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(pub u64);

/// Outcome of [`IdempotencyTable::look_up`]: how to handle a request that has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is new: the request runs and is recorded as this entry.
    New(EntryId),
    /// The first request is still running: the duplicate gets the same answer from its beginning.
    Join(EntryId),
    /// The first request has finished, and its answer is recorded.
    Recorded(EntryId),
    /// The first request may have had its effect, and its answer was not recorded.
    NotRecorded,
    /// The key was used before with a different body.
    Mismatch,
    /// The table is full: a duplicate of the request could not be recognized, so the request must not run.
    Full,
    /// The request may run again, and runs without being recorded.
    Unrecorded,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer is complete.
    Completed,
    /// The request was rejected before it ran, so a duplicate runs.
    Rejected,
    /// The request failed and may have had an effect.
    Failed,
    /// The request was cancelled because no client was left.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EntryState {
    Running {
        /// Number of clients that receive the answer.
        listeners: usize,
        /// Time at which the last of these clients disconnected.
        unattended_since: f64,
    },
    Finished {
        at: f64,
        outcome: RunOutcome,
    },
}

struct Entry {
    key: IdempotencyKey,
    body: [u8; 32],
    /// Whether the request may run again, as its model route is idempotent.
    may_repeat: bool,
    state: EntryState,
    /// Number of bytes of the answer that are recorded.
    bytes: usize,
    /// Whether the answer is recorded from its beginning up to now.
    is_recorded: bool,
}

/// Command to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyCommand {
    /// Cancel the request, because it has had no client for the takeover time.
    Cancel(EntryId),
    /// Delete the recorded answer.
    Forget(EntryId),
}

/// Table of a node's idempotency keys.
pub struct IdempotencyTable {
    config: IdempotencyConfig,
    by_key: BTreeMap<IdempotencyKey, EntryId>,
    entries: BTreeMap<EntryId, Entry>,
    /// Times at which entries are to be forgotten or cancelled, in microseconds.
    timers: BTreeSet<(i64, EntryId)>,
    /// Finished entries that may be forgotten early, since their requests may run again.
    evictable: BTreeSet<EntryId>,
    /// Size of all recorded answers together.
    bytes: usize,
    last_id: u64,
    pending_commands: Vec<IdempotencyCommand>,
    /// Number of requests that joined a running one, since the start.
    pub joined: u64,
    /// Number of requests that got a recorded answer, since the start.
    pub replayed: u64,
}

impl IdempotencyTable {
    /// Creates an empty table.
    pub fn new(config: IdempotencyConfig) -> Self {
        IdempotencyTable {
            config,
            by_key: BTreeMap::new(),
            entries: BTreeMap::new(),
            timers: BTreeSet::new(),
            evictable: BTreeSet::new(),
            bytes: 0,
            last_id: 0,
            pending_commands: Vec::new(),
            joined: 0,
            replayed: 0,
        }
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of all recorded answers together, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides how to handle a request that arrived with a key. `body` is the digest of the request;
    /// `may_repeat` tells whether its model route is idempotent.
    pub fn look_up(&mut self, now: f64, key: IdempotencyKey, body: [u8; 32], may_repeat: bool) -> KeyLookup {
        self.expire(now);
        let known = self.by_key.get(&key).copied();
        if let Some(found) = known.and_then(|id| self.look_up_entry(now, id, body)) {
            return found;
        }
        if self.entries.len() >= self.config.max_entries && !self.make_room() {
            return if may_repeat { KeyLookup::Unrecorded } else { KeyLookup::Full };
        }
        let state = EntryState::Running { listeners: 1, unattended_since: now };
        KeyLookup::New(self.insert(Entry { key, body, may_repeat, state, bytes: 0, is_recorded: true }))
    }

    fn look_up_entry(&mut self, now: f64, id: EntryId, body: [u8; 32]) -> Option<KeyLookup> {
        let entry = self.entries.get(&id)?;
        if entry.body != body {
            return Some(KeyLookup::Mismatch);
        }
        if !entry.is_recorded {
            // The answer cannot be sent from its beginning. If the route is idempotent, the duplicate runs
            // separately.
            let may_repeat = entry.may_repeat;
            return Some(if may_repeat { KeyLookup::Unrecorded } else { KeyLookup::NotRecorded });
        }
        Some(match entry.state {
            EntryState::Running { .. } => {
                self.change_listeners(now, id, 1);
                self.joined += 1;
                KeyLookup::Join(id)
            }
            EntryState::Finished { .. } => {
                self.replayed += 1;
                KeyLookup::Recorded(id)
            }
        })
    }

    /// Restores the entry of a request that an earlier process accepted at time `at`, on a route that is not
    /// idempotent. Whether and how that request ended is not known, so a duplicate does not run.
    pub fn restore(&mut self, at: f64, key: IdempotencyKey, body: [u8; 32]) {
        if self.entries.len() >= self.config.max_entries || self.by_key.contains_key(&key) {
            return;
        }
        let state = EntryState::Finished { at, outcome: RunOutcome::Failed };
        let id = self.insert(Entry { key, body, may_repeat: false, state, bytes: 0, is_recorded: false });
        self.schedule(id);
    }

    fn insert(&mut self, entry: Entry) -> EntryId {
        self.last_id += 1;
        let id = EntryId(self.last_id);
        self.by_key.insert(entry.key, id);
        self.entries.insert(id, entry);
        id
    }

    /// Evicts the oldest finished entry whose request may run again: a duplicate then costs work, but never
    /// has a second effect. Other entries stay until their retention time has passed. Returns whether an
    /// entry was evicted.
    fn make_room(&mut self) -> bool {
        let Some(oldest) = self.evictable.first().copied() else { return false };
        self.forget(oldest);
        true
    }

    /// Time at which an entry is to be forgotten or cancelled, in microseconds. `None` while a running entry
    /// has listeners.
    fn timer_of(&self, entry: &Entry) -> Option<i64> {
        let at = match entry.state {
            EntryState::Running { listeners: 0, unattended_since } => {
                unattended_since + self.config.takeover_s
            }
            EntryState::Running { .. } => return None,
            EntryState::Finished { at, .. } => at + self.config.retention_s,
        };
        Some(to_micros(at))
    }

    /// Adds an entry to `timers` and, if it may be forgotten early, to `evictable`. Called after its state
    /// has changed.
    fn schedule(&mut self, id: EntryId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let Some(timer) = self.timer_of(entry) else { return };
        let is_finished = matches!(entry.state, EntryState::Finished { .. });
        let is_evictable = is_finished && entry.may_repeat;
        self.timers.insert((timer, id));
        if is_evictable {
            self.evictable.insert(id);
        }
    }

    /// Removes an entry from `timers` and `evictable`. Called before its state changes.
    fn unschedule(&mut self, id: EntryId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let Some(timer) = self.timer_of(entry) else { return };
        self.timers.remove(&(timer, id));
        self.evictable.remove(&id);
    }

    fn forget(&mut self, id: EntryId) {
        self.unschedule(id);
        let Some(entry) = self.entries.remove(&id) else { return };
        self.bytes -= entry.bytes;
        if self.by_key.get(&entry.key) == Some(&id) {
            self.by_key.remove(&entry.key);
        }
        self.pending_commands.push(IdempotencyCommand::Forget(id));
    }

    /// Counts further bytes of an answer towards the limits. Returns `false` if the answer exceeds a limit:
    /// it is no longer recorded, and the caller drops what was recorded of it.
    pub fn record(&mut self, id: EntryId, bytes: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.is_recorded) else { return false };
        let exceeds_entry = entry.bytes + bytes > self.config.max_bytes_per_entry;
        if exceeds_entry || self.bytes + bytes > self.config.max_bytes {
            entry.is_recorded = false;
            self.bytes -= entry.bytes;
            entry.bytes = 0;
            return false;
        }
        entry.bytes += bytes;
        self.bytes += bytes;
        true
    }

    /// Notes that a client that received the answer has disconnected.
    pub fn listener_left(&mut self, now: f64, id: EntryId) {
        self.change_listeners(now, id, -1);
    }

    fn change_listeners(&mut self, now: f64, id: EntryId, change: isize) {
        self.unschedule(id);
        let state = self.entries.get_mut(&id).map(|entry| &mut entry.state);
        if let Some(EntryState::Running { listeners, unattended_since }) = state {
            *listeners = listeners.saturating_add_signed(change);
            if *listeners == 0 {
                *unattended_since = now;
            }
        }
        self.schedule(id);
    }

    /// Notes that a request has ended. If it may run again, its entry is kept only if its answer is complete
    /// and recorded.
    pub fn response_ended(&mut self, now: f64, id: EntryId, outcome: RunOutcome) {
        self.unschedule(id);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.state = EntryState::Finished { at: now, outcome };
        let is_forgotten = match outcome {
            RunOutcome::Rejected => true,
            RunOutcome::Completed => entry.may_repeat && !entry.is_recorded,
            RunOutcome::Failed | RunOutcome::Cancelled => entry.may_repeat,
        };
        if outcome == RunOutcome::Cancelled {
            entry.is_recorded = false;
        }
        if is_forgotten {
            self.forget(id);
        } else {
            self.schedule(id);
        }
    }

    /// Returns how a request ended. `None` if it is still running or unknown.
    pub fn outcome(&self, id: EntryId) -> Option<RunOutcome> {
        match self.entries.get(&id)?.state {
            EntryState::Finished { outcome, .. } => Some(outcome),
            EntryState::Running { .. } => None,
        }
    }

    /// Handles the timers that have expired. Visits no other entries, since this runs for every request.
    fn expire(&mut self, now: f64) {
        let now = to_micros(now);
        while let Some(&(_, id)) = self.timers.first().filter(|timer| timer.0 <= now) {
            match self.entries.get(&id).map(|entry| entry.state) {
                Some(EntryState::Finished { .. }) => self.forget(id),
                Some(EntryState::Running { .. }) | None => {
                    self.unschedule(id);
                    self.pending_commands.push(IdempotencyCommand::Cancel(id));
                }
            }
        }
    }

    /// Returns the pending commands, and the time at which to poll again.
    pub fn poll_commands(&mut self, now: f64) -> (Vec<IdempotencyCommand>, Option<f64>) {
        self.expire(now);
        let next_timer = self.timers.first().map(|timer| timer.0 as f64 / MICROS_PER_SECOND);
        (std::mem::take(&mut self.pending_commands), next_timer)
    }
}

const MICROS_PER_SECOND: f64 = 1e6;

fn to_micros(seconds: f64) -> i64 {
    (seconds * MICROS_PER_SECOND) as i64
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
