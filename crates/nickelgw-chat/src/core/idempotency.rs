//! The table of idempotency keys: a request with the key of one that still runs joins it, and one with the key of a finished
//! request gets the recorded answer. A request that may have had an effect is never run again by a duplicate. Bounded in
//! entries, bytes and time.

use std::collections::{BTreeMap, BTreeSet};

/// Bounds of the table.
#[derive(Clone, Debug)]
pub struct IdempotencyConfig {
    /// Keys remembered.
    pub max_entries: usize,
    /// Bytes of all recorded answers.
    pub max_bytes: usize,
    /// Bytes of one recorded answer.
    pub max_bytes_per_entry: usize,
    /// How long an entry is kept after its end.
    pub retention_s: f64,
    /// How long a request goes on without a client: a duplicate may be on its way.
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

/// Digest of a tenant and its key: of fixed size, and the key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(pub [u8; 32]);

impl IdempotencyKey {
    /// The key as this tenant sent it.
    pub fn new(tenant: &str, key: &str) -> IdempotencyKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(tenant.len() as u64).to_le_bytes());
        hasher.update(tenant.as_bytes());
        hasher.update(key.as_bytes());
        IdempotencyKey(*hasher.finalize().as_bytes())
    }
}

/// Identifies an entry; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(pub u64);

/// What is to be done with a request that has a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is new: the request runs, as this entry.
    New(EntryId),
    /// The first request still runs: this one gets the same answer, from its beginning.
    Join(EntryId),
    /// The first request has finished, and its answer is recorded.
    Recorded(EntryId),
    /// The first request may have had its effect, and its answer was not recorded.
    NotRecorded,
    /// The key was used with another body.
    Mismatch,
    /// The table is full, so that a duplicate of the request would not be recognized.
    Full,
    /// The request may run again, and runs without being recorded.
    Unrecorded,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It has its whole answer.
    Completed,
    /// It was rejected before it ran: a duplicate runs.
    Rejected,
    /// It failed, and may have run.
    Failed,
    /// It was cancelled, since no client was left.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EntryState {
    Running {
        /// Clients that receive the answer.
        listeners: usize,
        /// When the last of them left.
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
    may_repeat: bool,
    state: EntryState,
    /// Bytes recorded of the answer.
    bytes: usize,
    /// All of the answer so far is recorded.
    is_recorded: bool,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyCommand {
    /// Cancel the run: no client has come for it.
    Cancel(EntryId),
    /// Drop what is recorded of the answer.
    Forget(EntryId),
}

/// The table of a node.
pub struct IdempotencyTable {
    config: IdempotencyConfig,
    by_key: BTreeMap<IdempotencyKey, EntryId>,
    entries: BTreeMap<EntryId, Entry>,
    /// When entries are to be forgotten or cancelled, in microseconds.
    timers: BTreeSet<(i64, EntryId)>,
    /// Finished entries that may be forgotten early, since their requests may run again.
    evictable: BTreeSet<EntryId>,
    /// Bytes of all recorded answers.
    bytes: usize,
    last_id: u64,
    pending_commands: Vec<IdempotencyCommand>,
    /// Requests that joined a running one, since the start.
    pub joined: u64,
    /// Requests that got a recorded answer, since the start.
    pub replayed: u64,
}

impl IdempotencyTable {
    /// An empty table.
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

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A request with a key has come. `body`: digest of the request; `may_repeat`: its model route is idempotent.
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
            // Its answer cannot be sent from the beginning. Where it may, the duplicate runs separately.
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

    /// A request that an earlier process accepted at this time, on a route that is not idempotent. Whether and how it ended is
    /// not known, so that a duplicate does not run.
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

    /// Forgets the oldest finished entry whose request may run again: that costs work, never a second effect. The others stay
    /// until their time is up.
    fn make_room(&mut self) -> bool {
        let Some(oldest) = self.evictable.first().copied() else { return false };
        self.forget(oldest);
        true
    }

    /// When an entry is to be forgotten or cancelled; never while it has listeners.
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

    /// Adds an entry to the timers and the evictable ones, after its state has changed.
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

    /// Removes an entry from the timers and the evictable ones, before its state changes.
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

    /// More of an answer has come. False: it is not recorded, and what was recorded of it is dropped.
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

    /// A client that received the answer has disconnected.
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

    /// A request has ended. Where it may run again, its entry is kept only if its answer is recorded and complete.
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

    /// How a request ended; none while it runs.
    pub fn outcome(&self, id: EntryId) -> Option<RunOutcome> {
        match self.entries.get(&id)?.state {
            EntryState::Finished { outcome, .. } => Some(outcome),
            EntryState::Running { .. } => None,
        }
    }

    /// Runs the timers that have passed. This looks at nothing else, since every request comes through here.
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

    /// What to do now, and when to poll again.
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
