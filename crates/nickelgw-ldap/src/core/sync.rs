//! Content synchronization (RFC 4533) as a state machine: applies refreshes and streamed changes to the known
//! entries. A refresh is applied only if it was completed; an aborted refresh removes nothing. A refresh that
//! would remove more than a share of the entries must be confirmed by a later one.

use std::collections::{BTreeMap, BTreeSet};

/// An entry's `entryUUID`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Uuid(pub [u8; 16]);

/// Attributes of an entry, by name in lower case. Values are stored as received.
pub type Attributes = BTreeMap<String, Vec<Vec<u8>>>;

/// Limits of a [`ContentSync`].
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum number of attributes of an entry.
    pub max_attributes: usize,
    /// Maximum size of a value.
    pub max_value_bytes: usize,
    /// Share of the entries that one refresh may remove without confirmation.
    pub max_removal_share: f64,
    /// Number of entries that one refresh may always remove.
    pub max_unconfirmed_removals: usize,
    /// Time after a suspected refresh from which a further refresh that removes too many entries confirms the
    /// removal.
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

/// Message from the directory about its entries.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncMessage {
    /// An entry is unchanged.
    Present(Uuid),
    /// An entry is new or has changed.
    Put(Uuid, Attributes),
    /// An entry was deleted.
    Delete(Uuid),
    /// Several entries are unchanged, or were deleted.
    IdSet {
        /// Whether the entries were deleted.
        deleted: bool,
        /// Ids of the entries.
        ids: Vec<Uuid>,
    },
}

/// How a refresh ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshResult {
    /// The directory reported all entries or changes.
    Complete {
        /// Whether the directory named the deleted entries. Otherwise every entry that it did not name is
        /// deleted.
        names_deleted: bool,
    },
    /// The cookie is too old for the directory. All entries are read again, and the known entries are kept
    /// meanwhile.
    RefreshRequired,
    /// The refresh was interrupted, refused, or exceeded a limit of the directory.
    Aborted,
}

/// Outcome of [`ContentSync::refresh_finished`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshOutcome {
    /// The refresh was applied.
    Applied {
        /// Number of entries added or changed.
        changed: usize,
        /// Number of entries removed.
        removed: usize,
    },
    /// The refresh would remove too many entries and must be confirmed. Its additions and changes were
    /// applied.
    Suspected {
        /// Number of entries that the refresh would remove.
        removed: usize,
    },
    /// The refresh was discarded, and no entry has changed.
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

/// Known entries of a directory, and the state of their synchronization.
pub struct ContentSync {
    config: SyncConfig,
    entries: BTreeMap<Uuid, Attributes>,
    cookie: Option<Vec<u8>>,
    refresh: Option<Refresh>,
    /// Time of the first of consecutive refreshes that would remove too many entries. `None` if the last
    /// applied refresh did not.
    suspected_since: Option<f64>,
    /// Number that increases when the entries change.
    pub version: u64,
    /// Number of updates that were ignored because the entry was too large.
    pub oversized: u64,
}

impl ContentSync {
    /// Creates a state without entries.
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

    /// Returns the known entries.
    pub fn entries(&self) -> &BTreeMap<Uuid, Attributes> {
        &self.entries
    }

    /// Returns the cookie with which to resume. `None` if the next refresh must report all entries.
    pub fn cookie(&self) -> Option<&[u8]> {
        self.cookie.as_deref()
    }

    /// Begins a refresh.
    pub fn begin_refresh(&mut self) {
        self.refresh = Some(Refresh::default());
    }

    fn is_oversized(&self, attributes: &Attributes) -> bool {
        let is_long = |value: &Vec<u8>| value.len() > self.config.max_value_bytes;
        attributes.len() > self.config.max_attributes || attributes.values().flatten().any(is_long)
    }

    /// Handles a message of a refresh, or a streamed change after it.
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

    /// Keeps the known version of an entry that has become too large, so that its owner is not rejected.
    fn keep_oversized(&mut self, id: Uuid) {
        self.oversized += 1;
        if let Some(refresh) = &mut self.refresh {
            refresh.present.insert(id);
        }
    }

    /// Applies a streamed change. Returns whether an entry has changed.
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

    /// Stores the cookie that came with a message. During a refresh it is ignored, as the changes up to it
    /// are not applied yet.
    pub fn update_cookie(&mut self, cookie: Vec<u8>) {
        if self.refresh.is_none() {
            self.cookie = Some(cookie);
        }
    }

    /// Ends the refresh and applies or discards it. `cookie` is the cookie that came with its end, if any.
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
            // Without a cookie, the next refresh reports all entries again.
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

    /// Adds or replaces entries. Returns the number of entries added or changed.
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
