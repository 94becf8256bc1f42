//! Ledger of KV reservations: the stage of each reservation, when it entered that stage, and which attempt
//! claims it.
//!
//! A reservation named after its request has a lease that starts at the last answer of an engine. Bytes
//! written for an attempt and an open connection do not renew it: they do not prove that the attempt has
//! arrived. When the lease ends, the reservation is released, even while an attempt is in flight: the engine
//! does not release what an attempt that has arrived there claims. A reservation that no attempt will claim
//! is released at once. A release that is not confirmed is retried with exponential backoff.

mod entry;
mod indexes;
mod transitions;

use crate::backoff::exponential_backoff_s;
use crate::Reservation;
use entry::{Entry, FollowUp, ReleaseState, Stage};
use hdrhistogram::Histogram;
use indexes::{time_key, Indexes};
use std::collections::BTreeMap;
use transitions::TransitionLog;
pub use transitions::{Phase, Transition};

/// Identifies a reservation by its request and the prefill that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId {
    /// Serial number of the request.
    pub owner: u64,
    /// Number of the prefill attempt.
    pub prefill: u32,
}

/// Maximum number of reservations being released at once. Beyond it the oldest release is abandoned, and the
/// engine frees that reservation at its own time limit.
const MAX_RELEASING: usize = 8192;
/// Share of the reservation limit after which a confirmed release is repeated if the request is finished and
/// the release may have reached the engine before the end of an attempt did.
const FOLLOW_UP_SHARE: f64 = 0.25;
/// Seconds after which such a release is repeated if the request is still open. It is repeated before the
/// request's next prefill, which waits for it: that prefill may be lost, and then nothing would release what
/// the first call did not.
const RETRY_FOLLOW_UP_S: f64 = 0.05;
/// Initial and maximum backoff before a failed release call is retried, in seconds.
const INITIAL_BACKOFF_S: f64 = 0.02;
const MAX_BACKOFF_S: f64 = 0.32;
/// Longest unclaimed time that the histogram can record, in microseconds (1 hour).
const MAX_UNCLAIMED_US: u64 = 3_600_000_000;

/// Numbers of reservations made by prefills, and of those by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationCounters {
    /// Reservations made by a prefill, or possibly made by a prefill that failed.
    pub prefilled: u64,
    /// Reservations claimed by an attempt that returned its first token.
    pub served: u64,
    /// Reservations released by a confirmed call.
    pub released: u64,
    /// Reservations lost because the process of their prefill engine ended.
    pub lost: u64,
    /// Reservations whose release was not confirmed in time: their engines free them at their own time limit.
    pub abandoned: u64,
    /// Reservations whose release began because their lease or time limit ended.
    pub overdue: u64,
}

/// All reservations of a node that are not known to have ended.
pub struct Ledger {
    /// How long an engine holds a reservation that no attempt claims, in seconds.
    reservation_limit_s: f64,
    /// How long an unconfirmed release is retried, in seconds.
    release_timeout_s: f64,
    entries: BTreeMap<ReservationId, Entry>,
    indexes: Indexes,
    /// Counters of reservations since the process started.
    pub counters: ReservationCounters,
    /// Times that reservations were unclaimed, in microseconds; each unclaimed period is one sample.
    unclaimed_us: Histogram<u64>,
    transitions: TransitionLog,
    /// Serial numbers of requests with a reservation whose lease has ended, until they are collected.
    expired: Vec<u64>,
}

impl Ledger {
    /// Creates an empty ledger. `reservation_limit_s`: how long an engine holds a reservation that no attempt
    /// claims. `release_timeout_s`: how long an unconfirmed release is retried.
    pub fn new(reservation_limit_s: f64, release_timeout_s: f64) -> Self {
        Ledger {
            reservation_limit_s,
            release_timeout_s,
            entries: BTreeMap::new(),
            indexes: Indexes::default(),
            counters: ReservationCounters::default(),
            unclaimed_us: Histogram::new_with_bounds(1, MAX_UNCLAIMED_US, 2).expect("a valid range"),
            transitions: TransitionLog::default(),
            expired: Vec::new(),
        }
    }

    /// Returns whether no reservation is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of open reservations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns a quantile of the times that reservations were unclaimed, in seconds.
    pub fn unclaimed_quantile_s(&self, quantile: f64) -> f64 {
        self.unclaimed_us.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Returns the transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        self.transitions.drain()
    }

    /// Returns the number of transitions that were dropped because they were not collected in time.
    pub fn dropped_transitions(&self) -> u64 {
        self.transitions.dropped()
    }

    /// Records that a prefill is dispatched: from now on its engine may hold a reservation for it.
    pub fn prefill_begins(&mut self, now: f64, id: ReservationId, reservation: Reservation) {
        self.entries.insert(id, Entry::new(now, reservation));
    }

    /// Records that the prefill has completed: its lease starts, and no attempt claims its reservation yet.
    pub fn prefill_done(&mut self, now: f64, id: ReservationId) {
        if self.stage(id) == Some(Stage::Prefilling) {
            self.counters.prefilled += 1;
            self.renew_lease(now, id);
            self.transition(now, id, Stage::Unclaimed { since: now });
        }
    }

    /// Records that the prefill failed. Unless it is known not to have run, it may have left a reservation,
    /// which is released because no attempt will claim it.
    pub fn prefill_failed(&mut self, now: f64, id: ReservationId, never_ran: bool) {
        if self.stage(id) != Some(Stage::Prefilling) {
            return;
        }
        if never_ran {
            return self.remove(now, id);
        }
        self.counters.prefilled += 1;
        self.renew_lease(now, id);
        self.release(now, id);
        self.expect_follow_up(id, FollowUp::OnceFinished);
    }

    /// Claims the newest unclaimed reservation of the request for this decode attempt. Returns `None` if the
    /// request has no unclaimed reservation; the decode engine then has to prefill.
    pub fn claim(&mut self, now: f64, owner: u64, attempt: u32) -> Option<Reservation> {
        let id = *self.reservations_of(owner, Stage::is_unclaimed).last()?;
        self.transition(now, id, Stage::Claimed { attempt });
        self.entries.get(&id).map(|entry| entry.reservation.clone())
    }

    /// Records the first token of an attempt that claims a reservation: the decode engine has fetched the
    /// reservation, and the prefill engine has freed it.
    pub fn claim_served(&mut self, now: f64, owner: u64, attempt: u32) {
        for id in self.reservations_of(owner, |stage| stage.claimed_by() == Some(attempt)) {
            self.counters.served += 1;
            // At the first token engines free all other reservations named after the request without a call.
            let named_after_request =
                self.entries.get(&id).is_some_and(|entry| entry.reservation.named_after_request);
            self.remove(now, id);
            if named_after_request {
                let others = self.reservations_of(owner, Stage::is_unclaimed);
                others.into_iter().for_each(|other| self.remove(now, other));
            }
        }
    }

    /// Records the end of an attempt that claims a reservation and has returned no token. The reservation is
    /// unclaimed again unless its lease has ended. `answered`: the attempt ended with an answer of its
    /// engine, which renews the lease. Without an answer the attempt may never have arrived, and the lease is
    /// not renewed.
    pub fn claim_ended(&mut self, now: f64, owner: u64, attempt: u32, answered: bool) {
        for id in self.reservations_of(owner, |stage| stage.claimed_by() == Some(attempt)) {
            if !answered {
                self.expect_follow_up(id, FollowUp::Always);
            }
            match self.stage(id) {
                Some(Stage::Claimed { .. }) => {
                    if answered {
                        self.renew_lease(now, id);
                    }
                    self.transition(now, id, Stage::Unclaimed { since: now });
                }
                // The release that was confirmed in the meantime did not release what the attempt claimed.
                Some(Stage::Released { .. }) => {
                    self.renew_lease(now, id);
                    self.release(now, id);
                }
                _ => self.release(now, id),
            }
        }
    }

    /// Returns whether the release of any reservation named after the request is unconfirmed. Release calls
    /// use the request's name, so they would also release what a further prefill reserves.
    pub fn is_releasing(&self, owner: u64) -> bool {
        let mut entries = self.entries_of(owner);
        entries.any(|(_, entry)| entry.reservation.named_after_request && entry.stage.is_releasing())
    }

    /// Returns the requests with an overdue reservation, each reservation once: no release call was confirmed
    /// although the time since the start of its lease exceeds the reservation limit.
    pub fn take_overdue(&mut self, now: f64) -> Vec<u64> {
        // Only reservations that are being released can be overdue: all other stages have earlier time
        // limits.
        let mut overdue = Vec::new();
        for &(_, id) in &self.indexes.unreported {
            let Some(entry) = self.entries.get(&id) else { continue };
            if now <= entry.lease_from + self.reservation_limit_s {
                break;
            }
            overdue.push((entry.releasing_since().map(time_key), id));
        }
        overdue.sort_unstable();
        for &(_, id) in &overdue {
            self.update(id, |entry| entry.release.mark_reported());
        }
        overdue.into_iter().map(|(_, id)| id.owner).collect()
    }

    /// Returns the requests with a reservation whose lease has ended since the last call.
    pub fn take_expired(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.expired)
    }

    /// Releases the unclaimed reservations of the request, because no further attempt will claim them.
    pub fn release_all(&mut self, now: f64, owner: u64) {
        let mut unclaimed = self.reservations_of(owner, Stage::is_unclaimed);
        let newest = unclaimed.last().and_then(|id| self.entries.get(id));
        if newest.is_some_and(|entry| entry.reservation.named_after_request) {
            // One call releases all reservations named after the request.
            unclaimed.drain(..unclaimed.len() - 1).for_each(|id| self.remove(now, id));
        }
        unclaimed.into_iter().for_each(|id| self.release(now, id));
    }

    /// Records the end of a release call. `confirmed`: the engine confirmed the release. `request_finished`:
    /// the request makes no further attempt.
    pub fn release_answered(&mut self, now: f64, id: ReservationId, confirmed: bool, request_finished: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        let Stage::Releasing { since, calls, next_call_at: None, claimed_by } = entry.stage else { return };
        let engine_gone = entry.engine_gone;
        let follow_up = confirmed && entry.release.needs_follow_up(request_finished);
        match (confirmed, claimed_by) {
            (true, Some(attempt)) => return self.transition(now, id, Stage::Released { attempt }),
            (true, None) if follow_up => return self.schedule_follow_up(now, id, request_finished),
            (true, None) => self.counters.released += 1,
            (false, _) if engine_gone => self.counters.lost += 1,
            (false, _) => {
                let retry_at = now + exponential_backoff_s(INITIAL_BACKOFF_S, calls, MAX_BACKOFF_S);
                if retry_at <= since + self.release_timeout_s {
                    let next_call_at = Some(retry_at);
                    return self.transition(
                        now,
                        id,
                        Stage::Releasing { since, calls, next_call_at, claimed_by },
                    );
                }
                self.counters.abandoned += 1;
            }
        }
        self.remove(now, id);
    }

    /// Records that the processes of some prefill engines have ended. Their reservations are lost, and
    /// release calls for them are not retried. Reservations named after their requests are released
    /// nevertheless: any engine accepts the call, and an engine that has left the list may be unreachable but
    /// still running.
    pub fn engines_gone(&mut self, now: f64, is_gone: impl Fn(&Reservation) -> bool) {
        let lost: Vec<ReservationId> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.engine_gone && !entry.reservation.named_after_request)
            .filter(|(_, entry)| is_gone(&entry.reservation))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            entry.engine_gone = true;
            if matches!(entry.stage, Stage::Releasing { next_call_at: Some(_), .. }) {
                self.counters.lost += 1;
                self.remove(now, id);
            }
        }
    }

    /// Returns whether a release call for the reservation is due now or waits for its answer.
    pub fn needs_release_call(&self, id: ReservationId) -> bool {
        matches!(self.stage(id), Some(Stage::Releasing { next_call_at: None, .. }))
    }

    /// Returns the release calls to make now, and when to poll again (`None` if nothing is scheduled).
    pub fn poll_releases(&mut self, now: f64) -> (Vec<(ReservationId, Reservation)>, Option<f64>) {
        let mut release_calls = Vec::new();
        while let Some((at, id)) = self.indexes.due(now) {
            match self.stage(id) {
                Some(Stage::Releasing { since, calls, claimed_by, .. }) => {
                    let stage = Stage::Releasing { since, calls: calls + 1, next_call_at: None, claimed_by };
                    self.transition(now, id, stage);
                    release_calls.extend(self.entries.get(&id).map(|entry| (id, entry.reservation.clone())));
                }
                Some(Stage::Unclaimed { .. } | Stage::Claimed { .. }) => {
                    self.counters.overdue += 1;
                    self.expired.push(id.owner);
                    self.release(now, id);
                }
                _ => drop(self.indexes.wakeups.remove(&(at, id))),
            }
        }
        (release_calls, self.indexes.next_wakeup())
    }

    fn stage(&self, id: ReservationId) -> Option<Stage> {
        self.entries.get(&id).map(|entry| entry.stage)
    }

    fn entries_of(&self, owner: u64) -> impl Iterator<Item = (ReservationId, &Entry)> {
        let first = ReservationId { owner, prefill: 0 };
        let last = ReservationId { owner, prefill: u32::MAX };
        self.entries.range(first..=last).map(|(id, entry)| (*id, entry))
    }

    fn reservations_of(&self, owner: u64, matches: impl Fn(Stage) -> bool) -> Vec<ReservationId> {
        self.entries_of(owner).filter(|(_, entry)| matches(entry.stage)).map(|(id, _)| id).collect()
    }

    fn release(&mut self, now: f64, id: ReservationId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let claimed_by = match entry.stage {
            Stage::Claimed { attempt } => Some(attempt),
            _ => None,
        };
        if entry.engine_gone {
            self.counters.lost += 1;
            return self.remove(now, id);
        }
        while self.indexes.releasing.len() >= MAX_RELEASING {
            let Some(&(_, oldest)) = self.indexes.releasing.first() else { break };
            self.counters.abandoned += 1;
            self.remove(now, oldest);
        }
        let next_call_at = Some(now);
        self.transition(now, id, Stage::Releasing { since: now, calls: 0, next_call_at, claimed_by });
    }

    /// Schedules one repetition of a confirmed release that may have reached the engine before the end of an
    /// attempt did.
    fn schedule_follow_up(&mut self, now: f64, id: ReservationId, request_finished: bool) {
        self.update(id, |entry| entry.release = ReleaseState::Confirmed);
        let finished_delay_s = FOLLOW_UP_SHARE * self.reservation_limit_s;
        let next_call_at = Some(now + if request_finished { finished_delay_s } else { RETRY_FOLLOW_UP_S });
        self.transition(now, id, Stage::Releasing { since: now, calls: 0, next_call_at, claimed_by: None });
    }

    fn expect_follow_up(&mut self, id: ReservationId, follow_up: FollowUp) {
        if let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.reservation.named_after_request) {
            entry.release.expect_follow_up(follow_up);
        }
    }

    /// Restarts the lease after an answer of an engine.
    fn renew_lease(&mut self, now: f64, id: ReservationId) {
        self.update(id, |entry| entry.lease_from = now);
    }

    /// Moves a reservation to another stage.
    fn transition(&mut self, now: f64, id: ReservationId, stage: Stage) {
        self.leave_stage(now, id, stage.into());
        self.update(id, |entry| {
            entry.stage = stage;
            entry.stage_since = now;
        });
    }

    fn remove(&mut self, now: f64, id: ReservationId) {
        self.leave_stage(now, id, Phase::Ended);
        if let Some(entry) = self.entries.remove(&id) {
            self.indexes.remove(id, &entry, self.reservation_limit_s);
        }
    }

    /// Records the end of a stage in the transition log and the histogram.
    fn leave_stage(&mut self, now: f64, id: ReservationId, to: Phase) {
        let Some(entry) = self.entries.get(&id) else { return };
        self.transitions.push(|| Transition {
            id,
            name: entry.reservation.name.clone(),
            from: entry.stage.into(),
            to,
            after_s: now - entry.stage_since,
        });
        if let Stage::Unclaimed { since } = entry.stage {
            self.unclaimed_us.saturating_record(((now - since).max(0.0) * 1e6) as u64);
        }
    }

    /// Changes an entry and updates the indexes.
    fn update(&mut self, id: ReservationId, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        self.indexes.remove(id, entry, self.reservation_limit_s);
        change(entry);
        self.indexes.insert(id, entry, self.reservation_limit_s);
    }
}

#[cfg(test)]
mod tests;
