//! The ledger's entries by the times at which something is to be done about them.

use super::entry::Entry;
use super::ReservationId;
use std::collections::BTreeSet;

/// Entries in the order of a time.
type TimeIndex = BTreeSet<(u64, ReservationId)>;

/// Key of a time in an index: times are not negative, so the order of their bits is their own.
pub(super) fn time_key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

/// The indexes, each kept in step with the stages of entries by [`Indexes::insert`] and [`Indexes::remove`].
#[derive(Default)]
pub(super) struct Indexes {
    /// By the time at which the ledger has to act.
    pub(super) wakeups: TimeIndex,
    /// What is being released, by the start of its release.
    pub(super) releasing: TimeIndex,
    /// What is being released and neither confirmed nor reported as overdue, by the start of its lease.
    pub(super) watched: TimeIndex,
}

impl Indexes {
    pub(super) fn insert(&mut self, id: ReservationId, entry: &Entry, reservation_limit_s: f64) {
        if let Some(at) = entry.wake_at(reservation_limit_s) {
            self.wakeups.insert((time_key(at), id));
        }
        if let Some(since) = entry.releasing_since() {
            self.releasing.insert((time_key(since), id));
        }
        if entry.is_watched() {
            self.watched.insert((time_key(entry.lease_from), id));
        }
    }

    pub(super) fn remove(&mut self, id: ReservationId, entry: &Entry, reservation_limit_s: f64) {
        if let Some(at) = entry.wake_at(reservation_limit_s) {
            self.wakeups.remove(&(time_key(at), id));
        }
        if let Some(since) = entry.releasing_since() {
            self.releasing.remove(&(time_key(since), id));
        }
        if entry.is_watched() {
            self.watched.remove(&(time_key(entry.lease_from), id));
        }
    }

    /// The first entry whose time to act has come.
    pub(super) fn due(&self, now: f64) -> Option<(u64, ReservationId)> {
        self.wakeups.first().copied().filter(|wakeup| f64::from_bits(wakeup.0) <= now)
    }

    /// When the next entry is due.
    pub(super) fn next_wakeup(&self) -> Option<f64> {
        self.wakeups.first().map(|wakeup| f64::from_bits(wakeup.0))
    }
}
