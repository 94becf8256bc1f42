//! The ledger of KV reservations: where each stands, since when, and which attempt claims it.
//!
//! A reservation that bears its request's name has a lease, which runs from the last answer of an engine: that an attempt's
//! bytes were written, or that its connection is open, proves nothing. As the lease ends the reservation is released, also
//! while an attempt is in flight; the call spares what an attempt that has arrived claims. What nothing will claim is
//! released at once. A release that is not confirmed is repeated with exponential backoff.

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

/// A reservation, by the serial number of its request and the number of the prefill that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId {
    /// Serial number of the request.
    pub owner: u64,
    /// Number of the prefill attempt.
    pub prefill: u32,
}

/// Reservations being released at once; past it the oldest is abandoned, and its engine's own limit frees it.
const MAX_RELEASING: usize = 8192;
/// Share of the reservation limit after which a release is repeated that may have overtaken the end of an attempt.
const FOLLOW_UP_SHARE: f64 = 0.25;
/// Seconds after which it is repeated where the request goes on, whose next prefill waits for it: that prefill may be lost, and
/// then nothing would release what the first call spared.
const RETRY_FOLLOW_UP_S: f64 = 0.05;
/// Seconds before a failed release call is repeated, at first and at most.
const INITIAL_BACKOFF_S: f64 = 0.02;
const MAX_BACKOFF_S: f64 = 0.32;
/// Longest unclaimed time that the histogram holds, in microseconds.
const MAX_UNCLAIMED_US: u64 = 3_600_000_000;

/// What became of the reservations that prefills made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationCounters {
    /// Made by a prefill, or possibly made by one that failed.
    pub prefilled: u64,
    /// Claimed by an attempt that began to answer.
    pub served: u64,
    /// Released by a confirmed call.
    pub released: u64,
    /// Gone with the process of their prefill engine.
    pub lost: u64,
    /// Not confirmed in time: their engines' own limits free them.
    pub abandoned: u64,
    /// Released by the ledger as their lease or limit ended.
    pub overdue: u64,
}

/// All reservations of a node that are not known to have ended.
pub struct Ledger {
    /// Longest that a reservation may stand unattended.
    reservation_limit_s: f64,
    /// How long a release call is repeated.
    release_timeout_s: f64,
    entries: BTreeMap<ReservationId, Entry>,
    indexes: Indexes,
    /// What became of reservations so far.
    pub counters: ReservationCounters,
    /// Microseconds unclaimed, each wait by itself.
    unclaimed_us: Histogram<u64>,
    transitions: TransitionLog,
    /// Requests whose reservation's lease has ended, not yet collected.
    expired: Vec<u64>,
}

impl Ledger {
    /// An empty ledger with the longest time that a reservation may stand unattended, and that a release is repeated.
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

    /// Whether no reservation is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of open reservations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Quantile of the times that reservations stood unclaimed, in seconds.
    pub fn unclaimed_quantile_s(&self, quantile: f64) -> f64 {
        self.unclaimed_us.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        self.transitions.drain()
    }

    /// Transitions that were dropped since nothing collected them in time.
    pub fn dropped_transitions(&self) -> u64 {
        self.transitions.dropped()
    }

    /// A prefill is dispatched: from now on its engine may hold a reservation for it.
    pub fn prefill_begins(&mut self, now: f64, id: ReservationId, reservation: Reservation) {
        self.entries.insert(id, Entry::new(now, reservation));
    }

    /// The prefill is done, and its reservation unclaimed.
    pub fn prefill_done(&mut self, now: f64, id: ReservationId) {
        if self.stage(id) == Some(Stage::Prefilling) {
            self.counters.prefilled += 1;
            self.renew_lease(now, id);
            self.transition(now, id, Stage::Unclaimed { since: now });
        }
    }

    /// The prefill failed. Unless it is known not to have run it may have left a reservation that nothing will claim.
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

    /// The newest unclaimed reservation of the request goes to this decode attempt; none: its engine has to prefill.
    pub fn claim(&mut self, now: f64, owner: u64, attempt: u32) -> Option<Reservation> {
        let id = *self.reservations_of(owner, Stage::is_unclaimed).last()?;
        self.transition(now, id, Stage::Claimed { attempt });
        self.entries.get(&id).map(|entry| entry.reservation.clone())
    }

    /// The attempt that claims it has begun to answer: the decode engine fetched it, and the prefill engine freed it.
    pub fn claim_served(&mut self, now: f64, owner: u64, attempt: u32) {
        for id in self.reservations_of(owner, |stage| stage.claimed_by() == Some(attempt)) {
            self.counters.served += 1;
            // With the first token engines free by themselves all else that bears the request's name.
            let named_after_request =
                self.entries.get(&id).is_some_and(|entry| entry.reservation.named_after_request);
            self.remove(now, id);
            if named_after_request {
                let others = self.reservations_of(owner, Stage::is_unclaimed);
                others.into_iter().for_each(|other| self.remove(now, other));
            }
        }
    }

    /// The attempt that claims it ended before its first token: it is unclaimed again, if its lease has not ended.
    /// `answered`: by an answer of its engine, which had it until now; else the attempt may never have arrived, and the
    /// lease runs on.
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
                // A release that was confirmed in the meantime spared what the attempt claimed.
                Some(Stage::Released { .. }) => {
                    self.renew_lease(now, id);
                    self.release(now, id);
                }
                _ => self.release(now, id),
            }
        }
    }

    /// Whether a release of any reservation of the request is not confirmed: the calls go by the request's name, and would
    /// release what a further prefill reserves.
    pub fn is_releasing(&self, owner: u64) -> bool {
        let mut entries = self.entries_of(owner);
        entries.any(|(_, entry)| entry.reservation.named_after_request && entry.stage.is_releasing())
    }

    /// Requests with a reservation that was neither claimed nor released in its time, each reported once: no release call
    /// was confirmed though its lease ended long ago.
    pub fn take_overdue(&mut self, now: f64) -> Vec<u64> {
        // Only what is being released can be overdue: all else has a time of its own before that.
        let mut overdue = Vec::new();
        for &(_, id) in &self.indexes.watched {
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

    /// Requests whose reservation's lease has ended since the last call.
    pub fn take_expired(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.expired)
    }

    /// No attempt will claim what the request has reserved.
    pub fn release_all(&mut self, now: f64, owner: u64) {
        let mut unclaimed = self.reservations_of(owner, Stage::is_unclaimed);
        let newest = unclaimed.last().and_then(|id| self.entries.get(id));
        if newest.is_some_and(|entry| entry.reservation.named_after_request) {
            // One call releases all that bears the request's name.
            unclaimed.drain(..unclaimed.len() - 1).for_each(|id| self.remove(now, id));
        }
        unclaimed.into_iter().for_each(|id| self.release(now, id));
    }

    /// A release call has ended. `confirmed`: the engine answered it. `request_finished`: no further attempt is made.
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

    /// The processes of these prefill engines have ended. What they reserved is lost, and calls to them are not repeated.
    /// What bears its request's name is released all the same: any engine takes the call, and one that has left the list
    /// may be cut off and still run.
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

    /// Whether a release call is to be made, or its answer awaited.
    pub fn needs_release_call(&self, id: ReservationId) -> bool {
        matches!(self.stage(id), Some(Stage::Releasing { next_call_at: None, .. }))
    }

    /// Release calls to make now, and when to poll again.
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

    /// The release is confirmed, but may have overtaken the end of an attempt: it is repeated once.
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

    /// An engine has answered: the lease runs from now on.
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

    /// Notes the end of a stage for the log and the histogram.
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

    /// Changes an entry, and the indexes with it.
    fn update(&mut self, id: ReservationId, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        self.indexes.remove(id, entry, self.reservation_limit_s);
        change(entry);
        self.indexes.insert(id, entry, self.reservation_limit_s);
    }
}

#[cfg(test)]
mod tests;
