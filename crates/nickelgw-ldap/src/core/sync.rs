//! Content synchronization (RFC 4533) as state: what a refresh, or a stream of changes, makes of the known entries. A
//! refresh counts only if it ended as it should: an aborted one removes nothing. One that would remove more than a share
//! of the entries must be confirmed by a later one.

use std::collections::{BTreeMap, BTreeSet};

/// An entry's `entryUUID`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Uuid(pub [u8; 16]);

/// Attributes by name in lower case; values as they were received.
pub type Attributes = BTreeMap<String, Vec<Vec<u8>>>;

/// Bounds of a [`ContentSync`].
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Entries of the directory.
    pub max_entries: usize,
    /// Attributes of an entry.
    pub max_attributes: usize,
    /// Bytes of a value.
    pub max_value_bytes: usize,
    /// Share of the entries that one refresh may remove without confirmation.
    pub max_removal_share: f64,
    /// Number of entries that one refresh may always remove.
    pub max_unconfirmed_removals: usize,
    /// How much later a refresh must report the same to confirm it.
    pub confirmation_interval_s: f64,
}

impl Default for SyncConfig {
    fn default() -> Self {
        SyncConfig {
            max_entries: 200_000,
            max_attributes: 32,
            max_value_bytes: 4096,
            max_removal_share: 0.3,
            max_unconfirmed_removals: 5,
            confirmation_interval_s: 60.0,
        }
    }
}

/// What the directory reports of its entries.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncMessage {
    /// An entry is unchanged.
    Present(Uuid),
    /// An entry is new or has changed.
    Put(Uuid, Attributes),
    /// An entry was deleted.
    Delete(Uuid),
    /// Many entries at once are present, or were deleted.
    IdSet {
        /// Whether they were deleted.
        deleted: bool,
        /// The entries.
        ids: Vec<Uuid>,
    },
}

/// How a refresh ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshResult {
    /// Everything was reported.
    Complete {
        /// True: deleted entries were named. False: what was not named is deleted.
        names_deleted: bool,
    },
    /// The cookie is too old for the directory: everything is read again, and what is known stands meanwhile.
    RefreshRequired,
    /// Broken off, refused, or over the directory's own limit.
    Aborted,
}

/// What became of a refresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshOutcome {
    /// It was applied.
    Applied {
        /// Entries added or changed.
        changed: usize,
        /// Entries removed.
        removed: usize,
    },
    /// It would remove too many entries, and must be confirmed; additions and changes were applied.
    Suspected {
        /// Entries that it would remove.
        removed: usize,
    },
    /// It does not count.
    Discarded,
}

#[derive(Default)]
struct Refresh {
    present: BTreeSet<Uuid>,
    puts: BTreeMap<Uuid, Attributes>,
    deleted: BTreeSet<Uuid>,
    exceeds_bounds: bool,
}

impl Refresh {
    fn add(&mut self, message: SyncMessage, max_entries: usize) {
        match message {
            SyncMessage::Present(id) => {
                self.present.insert(id);
            }
            SyncMessage::Put(id, attributes) => {
                self.present.insert(id);
                self.deleted.remove(&id);
                self.puts.insert(id, attributes);
            }
            SyncMessage::Delete(id) => {
                self.present.remove(&id);
                self.puts.remove(&id);
                self.deleted.insert(id);
            }
            SyncMessage::IdSet { deleted: true, ids } => self.deleted.extend(ids),
            SyncMessage::IdSet { deleted: false, ids } => self.present.extend(ids),
        }
        self.exceeds_bounds |= self.present.len() > max_entries || self.deleted.len() > max_entries;
    }
}

/// The known entries of a directory.
pub struct ContentSync {
    config: SyncConfig,
    entries: BTreeMap<Uuid, Attributes>,
    cookie: Option<Vec<u8>>,
    refresh: Option<Refresh>,
    /// Since when refreshes would remove too many entries.
    suspected_since: Option<f64>,
    /// Counts changes of the entries.
    pub version: u64,
    /// Entries left as they were because the new ones are too large.
    pub oversized: u64,
}

impl ContentSync {
    /// No entries are known.
    pub fn new(config: SyncConfig) -> ContentSync {
        ContentSync {
            config,
            entries: BTreeMap::new(),
            cookie: None,
            refresh: None,
            suspected_since: None,
            version: 0,
            oversized: 0,
        }
    }

    /// The known entries.
    pub fn entries(&self) -> &BTreeMap<Uuid, Attributes> {
        &self.entries
    }

    /// From where to resume; none: from the beginning.
    pub fn cookie(&self) -> Option<&[u8]> {
        self.cookie.as_deref()
    }

    /// A refresh begins.
    pub fn begin_refresh(&mut self) {
        self.refresh = Some(Refresh::default());
    }

    fn is_oversized(&self, attributes: &Attributes) -> bool {
        let is_long = |value: &Vec<u8>| value.len() > self.config.max_value_bytes;
        attributes.len() > self.config.max_attributes || attributes.values().flatten().any(is_long)
    }

    /// A message of a refresh, or after it of a change as it happens.
    pub fn message(&mut self, message: SyncMessage) {
        if let SyncMessage::Put(id, attributes) = &message {
            if self.is_oversized(attributes) {
                self.keep_oversized(*id);
                return;
            }
        }
        match &mut self.refresh {
            Some(refresh) => refresh.add(message, self.config.max_entries),
            None => {
                let changed = self.apply_change(message);
                self.version += u64::from(changed);
            }
        }
    }

    /// An entry that grew too large stays as it was known: that is no reason to reject its owner.
    fn keep_oversized(&mut self, id: Uuid) {
        self.oversized += 1;
        if let Some(refresh) = &mut self.refresh {
            refresh.present.insert(id);
        }
    }

    /// Whether an entry has changed.
    fn apply_change(&mut self, message: SyncMessage) -> bool {
        match message {
            SyncMessage::Present(_) => false,
            SyncMessage::Put(id, attributes) => {
                let is_full = self.entries.len() >= self.config.max_entries;
                if is_full && !self.entries.contains_key(&id) {
                    return false;
                }
                self.entries.insert(id, attributes.clone()) != Some(attributes)
            }
            SyncMessage::Delete(id) => self.entries.remove(&id).is_some(),
            SyncMessage::IdSet { deleted: false, .. } => false,
            SyncMessage::IdSet { deleted: true, ids } => self.remove_all(&ids) > 0,
        }
    }

    fn remove_all(&mut self, ids: &[Uuid]) -> usize {
        ids.iter().filter(|id| self.entries.remove(id).is_some()).count()
    }

    /// A cookie came with a message. During a refresh it does not count: what it stands for is not applied yet.
    pub fn update_cookie(&mut self, cookie: Vec<u8>) {
        if self.refresh.is_none() {
            self.cookie = Some(cookie);
        }
    }

    /// The refresh ended.
    pub fn refresh_finished(
        &mut self,
        now: f64,
        result: RefreshResult,
        cookie: Option<Vec<u8>>,
    ) -> RefreshOutcome {
        let Some(refresh) = self.refresh.take() else { return RefreshOutcome::Discarded };
        let names_deleted = match result {
            RefreshResult::Aborted => return RefreshOutcome::Discarded,
            RefreshResult::RefreshRequired => {
                self.cookie = None;
                return RefreshOutcome::Discarded;
            }
            RefreshResult::Complete { .. } if refresh.exceeds_bounds => return RefreshOutcome::Discarded,
            RefreshResult::Complete { names_deleted } => names_deleted,
        };
        let removed = self.removed_by(&refresh, names_deleted);
        if self.needs_confirmation(now, removed.len()) {
            // The next refresh begins from the start, to report everything again.
            self.apply_puts(refresh.puts);
            self.cookie = None;
            return RefreshOutcome::Suspected { removed: removed.len() };
        }
        self.suspected_since = None;
        let changed = self.apply_puts(refresh.puts);
        self.remove_all(&removed);
        self.version += u64::from(!removed.is_empty());
        self.cookie = cookie.or(self.cookie.take());
        RefreshOutcome::Applied { changed, removed: removed.len() }
    }

    fn removed_by(&self, refresh: &Refresh, names_deleted: bool) -> Vec<Uuid> {
        if names_deleted {
            let known = refresh.deleted.iter().filter(|id| self.entries.contains_key(id));
            return known.copied().collect();
        }
        self.entries.keys().filter(|id| !refresh.present.contains(id)).copied().collect()
    }

    fn needs_confirmation(&mut self, now: f64, removed: usize) -> bool {
        let max_removed = self.config.max_removal_share * self.entries.len() as f64;
        if removed <= self.config.max_unconfirmed_removals || removed as f64 <= max_removed {
            return false;
        }
        let since = *self.suspected_since.get_or_insert(now);
        now < since + self.config.confirmation_interval_s
    }

    /// The number of entries added or changed.
    fn apply_puts(&mut self, puts: BTreeMap<Uuid, Attributes>) -> usize {
        let mut changed = 0;
        for (id, attributes) in puts {
            changed += usize::from(self.entries.get(&id) != Some(&attributes));
            self.entries.insert(id, attributes);
        }
        self.version += u64::from(changed > 0);
        changed
    }
}

#[cfg(test)]
#[path = "sync_tests.rs"]
mod tests;
