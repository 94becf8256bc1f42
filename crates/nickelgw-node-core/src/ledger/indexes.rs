//! Indexes of the ledger's entries, ordered by the times at which they need attention.

use super::entry::Entry;
use super::ReservationId;
use std::collections::BTreeSet;

/// Entries ordered by a time.
type TimeIndex = BTreeSet<(u64, ReservationId)>;

/// Converts a time to an index key. The bits of non-negative floating-point numbers have the same order as
/// the numbers.
pub(super) fn time_key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

/// Indexes kept consistent with the entries by [`Indexes::insert`] and [`Indexes::remove`].
#[derive(Default)]
pub(super) struct Indexes {
    /// Entries by the time at which the ledger has to act.
    pub(super) wakeups: TimeIndex,
    /// Reservations that are being released, by the start of their release.
    pub(super) releasing: TimeIndex,
    /// Reservations that are being released and neither confirmed nor reported as overdue, by the start of
    /// their lease.
    pub(super) unreported: TimeIndex,
}

impl Indexes {
    pub(super) fn insert(&mut self, id: ReservationId, entry: &Entry, reservation_limit_s: f64) {
        if let Some(at) = entry.wake_at(reservation_limit_s) {
            self.wakeups.insert((time_key(at), id));
        }
        if let Some(since) = entry.releasing_since() {
            self.releasing.insert((time_key(since), id));
        }
        if entry.is_unreported() {
            self.unreported.insert((time_key(entry.lease_from), id));
        }
    }

    pub(super) fn remove(&mut self, id: ReservationId, entry: &Entry, reservation_limit_s: f64) {
        if let Some(at) = entry.wake_at(reservation_limit_s) {
            self.wakeups.remove(&(time_key(at), id));
        }
        if let Some(since) = entry.releasing_since() {
            self.releasing.remove(&(time_key(since), id));
        }
        if entry.is_unreported() {
            self.unreported.remove(&(time_key(entry.lease_from), id));
        }
    }

    /// Returns the earliest entry that is due, with its key; `None` if none is.
    pub(super) fn due(&self, now: f64) -> Option<(u64, ReservationId)> {
        self.wakeups.first().copied().filter(|wakeup| f64::from_bits(wakeup.0) <= now)
    }

    /// Returns when the next entry is due; `None` if there is none.
    pub(super) fn next_wakeup(&self) -> Option<f64> {
        self.wakeups.first().map(|wakeup| f64::from_bits(wakeup.0))
    }
}
