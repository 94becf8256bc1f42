//! Repeated requests: the same `Idempotency-Key` joins what still runs, or gets the answer that was recorded. One
//! that may have had an effect is never run again by a repeat. Bounded in entries, bytes and time.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct IdempotencyConfig {
    pub most_entries: usize,
    /// Bytes of answers recorded, in all and for one.
    pub most_bytes: usize,
    pub most_bytes_each: usize,
    /// How long an answer is kept after its end.
    pub keep_s: f64,
    /// How long what runs is kept running when its last client has gone: the repeat may be on its way.
    pub takeover_s: f64,
}

impl Default for IdempotencyConfig {
    fn default() -> Self {
        IdempotencyConfig {
            most_entries: 16_384,
            most_bytes: 64 << 20,
            most_bytes_each: 256 << 10,
            keep_s: 60.0,
            takeover_s: 2.0,
        }
    }
}

/// Tenant and key in one digest: fixed in size, and the key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub [u8; 32]);

impl Key {
    pub fn of(tenant: &str, key: &str) -> Key {
        let mut h = blake3::Hasher::new();
        h.update(&(tenant.len() as u64).to_le_bytes()).update(tenant.as_bytes()).update(key.as_bytes());
        Key(*h.finalize().as_bytes())
    }
}

/// Names an entry; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// Not seen: it runs, as this entry.
    New(Serial),
    /// The same still runs: its answer is this one's too, from the beginning.
    Join(Serial),
    /// It has ended, and its answer is here.
    Recorded(Serial),
    /// It has ended or runs, may have had its effect, and its answer is too long to have been kept.
    NotKept,
    /// The key was used with another body.
    Mismatch,
    /// No place is left in which a repeat of it would be known.
    Full,
    /// No place is left, but it may run again: it runs unrecorded.
    Unrecorded,
}

/// How an entry ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Completed,
    /// Nothing has run: a repeat runs anew.
    Rejected,
    Failed,
    /// Called off, as no client was left.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Clients that hear it, and since when there are none.
    Running {
        heard_by: usize,
        alone_since: f64,
    },
    Done {
        at: f64,
        how: Ended,
    },
}

struct Entry {
    key: Key,
    body: [u8; 32],
    may_repeat: bool,
    stage: Stage,
    bytes: usize,
    /// The record is whole so far.
    whole: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Nobody has come for it: it is called off.
    CallOff(Serial),
    /// Its record is dropped.
    Forget(Serial),
}

pub struct IdempotencyTable {
    figures: IdempotencyConfig,
    by_key: BTreeMap<Key, Serial>,
    entries: BTreeMap<Serial, Entry>,
    /// Entries by the time, in microseconds, when they are to be looked at: forgotten, or called off.
    poll_commands: BTreeSet<(i64, Serial)>,
    /// Ended ones that may run again: what goes first when there is no room.
    spare: BTreeSet<Serial>,
    bytes: usize,
    next: u64,
    ready: Vec<Do>,
    pub joined: u64,
    pub replayed: u64,
}

impl IdempotencyTable {
    pub fn new(figures: IdempotencyConfig) -> Self {
        IdempotencyTable {
            figures,
            by_key: BTreeMap::new(),
            entries: BTreeMap::new(),
            poll_commands: BTreeSet::new(),
            spare: BTreeSet::new(),
            bytes: 0,
            next: 0,
            ready: Vec::new(),
            joined: 0,
            replayed: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A request with a key. `body`: digest of what is asked. `may_repeat`: its model route may run again.
    pub fn look_up(&mut self, now: f64, key: Key, body: [u8; 32], may_repeat: bool) -> KeyLookup {
        self.expire(now);
        if let Some(&serial) = self.by_key.get(&key) {
            if let Some(e) = self.entries.get_mut(&serial) {
                if e.body != body {
                    return KeyLookup::Mismatch;
                }
                match &mut e.stage {
                    Stage::Running { .. } if e.whole => {
                        self.heard(now, serial, 1);
                        self.joined += 1;
                        return KeyLookup::Join(serial);
                    }
                    Stage::Done { .. } if e.whole => {
                        self.replayed += 1;
                        return KeyLookup::Recorded(serial);
                    }
                    // What is not whole cannot be heard from its beginning. Where it may, it runs anew beside.
                    _ if e.may_repeat => return KeyLookup::Unrecorded,
                    _ => return KeyLookup::NotKept,
                }
            }
        }
        if self.entries.len() >= self.figures.most_entries && !self.make_room() {
            return if may_repeat { KeyLookup::Unrecorded } else { KeyLookup::Full };
        }
        self.next += 1;
        let serial = Serial(self.next);
        let stage = Stage::Running { heard_by: 1, alone_since: now };
        self.by_key.insert(key, serial);
        self.entries.insert(serial, Entry { key, body, may_repeat, stage, bytes: 0, whole: true });
        KeyLookup::New(serial)
    }

    /// One that an earlier process of the node took at `at`, on a route that may not run again: whether it ended, and
    /// how, is not known, so that a repeat of it does not run.
    pub fn restore(&mut self, at: f64, key: Key, body: [u8; 32]) {
        if self.entries.len() >= self.figures.most_entries || self.by_key.contains_key(&key) {
            return;
        }
        self.next += 1;
        let stage = Stage::Done { at, how: Ended::Failed };
        self.by_key.insert(key, Serial(self.next));
        let entry = Entry { key, body, may_repeat: false, stage, bytes: 0, whole: false };
        self.entries.insert(Serial(self.next), entry);
        self.filed(Serial(self.next), true);
    }

    /// The oldest ended one that may repeat goes first: forgetting it costs work, never a second effect. One that
    /// may not repeat stays until its time is up.
    fn make_room(&mut self) -> bool {
        let oldest = self.spare.first().copied();
        oldest.is_some_and(|s| {
            self.forget(s);
            true
        })
    }

    /// Puts an entry into the tables by time, or takes it out of them: around each change of its stage.
    fn filed(&mut self, serial: Serial, is: bool) {
        let Some(e) = self.entries.get(&serial) else { return };
        let at = match e.stage {
            Stage::Running { heard_by: 0, alone_since } => alone_since + self.figures.takeover_s,
            Stage::Running { .. } => return,
            Stage::Done { at, .. } => at + self.figures.keep_s,
        };
        let (at, done) = ((at * 1e6) as i64, matches!(e.stage, Stage::Done { .. }));
        if is {
            self.poll_commands.insert((at, serial));
            if done && e.may_repeat {
                self.spare.insert(serial);
            }
        } else {
            self.poll_commands.remove(&(at, serial));
            self.spare.remove(&serial);
        }
    }

    fn forget(&mut self, serial: Serial) {
        self.filed(serial, false);
        if let Some(e) = self.entries.remove(&serial) {
            self.bytes -= e.bytes;
            if self.by_key.get(&e.key) == Some(&serial) {
                self.by_key.remove(&e.key);
            }
            self.ready.push(Do::Forget(serial));
        }
    }

    /// More of an answer has come. False: it is not recorded (any more), and what was is dropped.
    pub fn record(&mut self, serial: Serial, bytes: usize) -> bool {
        let f = &self.figures;
        let Some(e) = self.entries.get_mut(&serial).filter(|e| e.whole) else { return false };
        if e.bytes + bytes > f.most_bytes_each || self.bytes + bytes > f.most_bytes {
            e.whole = false;
            self.bytes -= e.bytes;
            e.bytes = 0;
            return false;
        }
        e.bytes += bytes;
        self.bytes += bytes;
        true
    }

    /// A client that heard it has gone.
    pub fn listener_left(&mut self, now: f64, serial: Serial) {
        self.heard(now, serial, -1);
    }

    fn heard(&mut self, now: f64, serial: Serial, more: isize) {
        self.filed(serial, false);
        if let Some(Stage::Running { heard_by, alone_since }) =
            self.entries.get_mut(&serial).map(|e| &mut e.stage)
        {
            *heard_by = heard_by.saturating_add_signed(more);
            if *heard_by == 0 {
                *alone_since = now;
            }
        }
        self.filed(serial, true);
    }

    /// It has ended. What a repeat may run again is kept only if its answer is whole and good.
    pub fn response_ended(&mut self, now: f64, serial: Serial, how: Ended) {
        self.filed(serial, false);
        let Some(e) = self.entries.get_mut(&serial) else { return };
        e.stage = Stage::Done { at: now, how };
        let again = match how {
            Ended::Rejected => true,
            Ended::Completed => e.may_repeat && !e.whole,
            Ended::Failed | Ended::Cancelled => e.may_repeat,
        };
        // Called off, nothing of an answer is there to be heard.
        if how == Ended::Cancelled {
            e.whole = false;
        }
        if again {
            self.forget(serial);
        } else {
            self.filed(serial, true);
        }
    }

    pub fn outcome(&self, serial: Serial) -> Option<Ended> {
        match self.entries.get(&serial)?.stage {
            Stage::Done { how, .. } => Some(how),
            Stage::Running { .. } => None,
        }
    }

    /// Forgets what has been kept for its time. Looks at nothing else: every request comes through here.
    fn expire(&mut self, now: f64) {
        let now = (now * 1e6) as i64;
        while let Some(&(_, s)) = self.poll_commands.first().filter(|d| d.0 <= now) {
            match self.entries.get(&s).map(|e| e.stage) {
                Some(Stage::Done { .. }) => self.forget(s),
                // Nobody has come for it.
                _ => {
                    self.filed(s, false);
                    self.ready.push(Do::CallOff(s));
                }
            }
        }
    }

    /// What to do now, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<Do>, Option<f64>) {
        self.expire(now);
        (std::mem::take(&mut self.ready), self.poll_commands.first().map(|d| d.0 as f64 / 1e6))
    }
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
