//! The ledger of KV reservations: where each stands, since when, and which attempt claims it.
//!
//! A reservation that bears its request's name has a lease, which runs from the last answer of an engine: that an attempt's bytes
//! were written, or that its connection is open, proves nothing. As the lease ends the reservation is released, also while an attempt is out;
//! the call spares what an attempt that has arrived waits for. What nothing will claim is released at once. A release that is not confirmed
//! is repeated, at doubling gaps.

use super::Reservation;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// A reservation, by the serial number of its request and the number of the prefill that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId {
    pub owner: u64,
    pub prefill: u32,
}

/// Reservations being released at once; past it the oldest is forgotten, and its engine's own limit frees it.
const MOST_RELEASING: usize = 8192;
/// Part of the time that a reservation may stand unattended after which it is released: the rest is for the calls, some of which
/// find silent connections, and for a process that is held up.
const LEASE_PART: f64 = 0.5;
/// Part of that time after which a release is made once more, where the first may have overtaken the end of an attempt.
const FOLLOW_UP_PART: f64 = 0.25;
/// Seconds before a release that failed is repeated, at first and at most.
const FIRST_GAP_S: f64 = 0.02;
const LONGEST_GAP_S: f64 = 0.32;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The prefill is out.
    Prefilling,
    /// The prefill is done, and no attempt claims it, since then.
    Unclaimed(f64),
    /// This decode attempt claims it.
    Claimed { by: u32 },
    /// It is released. Without `at` the answer to a call is awaited.
    Releasing {
        since: f64,
        tries: u32,
        at: Option<f64>,
        /// The attempt that claims it and is still out: its lease has ended with no sign that it arrived.
        claimed_by: Option<u32>,
    },
    /// A release call was confirmed while this attempt is still out. If it had arrived it has kept its claim.
    Released { by: u32 },
}

/// A stage as the log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The prefill is out.
    Prefilling,
    /// No attempt claims it.
    Unclaimed,
    /// A decode attempt claims it.
    Claimed,
    /// Calls that release it go out until one is confirmed.
    Releasing,
    /// Released, with an attempt still out that may have claimed it before.
    Released,
    /// Nothing is known to be reserved any more.
    Ended,
}

impl From<Stage> for Phase {
    fn from(stage: Stage) -> Phase {
        match stage {
            Stage::Prefilling => Phase::Prefilling,
            Stage::Unclaimed(_) => Phase::Unclaimed,
            Stage::Claimed { .. } => Phase::Claimed,
            Stage::Releasing { .. } => Phase::Releasing,
            Stage::Released { .. } => Phase::Released,
        }
    }
}

/// A reservation has passed from one phase to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    pub id: ReservationId,
    /// The name under which it stands at its engine.
    pub name: String,
    pub from: Phase,
    pub to: Phase,
    /// How long it was in the former phase, in seconds.
    pub after_s: f64,
}

/// Transitions kept for a log that does not ask for them; further ones are counted alone.
const MOST_TRANSITIONS: usize = 1024;

impl Stage {
    /// The attempt that claims it and is still out.
    fn claimed_by(self) -> Option<u32> {
        match self {
            Stage::Claimed { by } | Stage::Released { by } => Some(by),
            Stage::Releasing { claimed_by, .. } => claimed_by,
            Stage::Prefilling | Stage::Unclaimed(_) => None,
        }
    }
}

struct Entry {
    state: Reservation,
    /// When it came to its stage.
    since: f64,
    /// When an engine last showed that the reservation was attended to: the lease runs from here.
    lease_from: f64,
    stage: Stage,
    /// Its reader's process has ended, as the list has it: there is nothing to free.
    gone: bool,
    /// It was told as overdue.
    told_late: bool,
    /// An attempt that may have had it was given up without an answer: its engine may hear of that later than of the release, which
    /// spares what an attempt waits for.
    follow_up: bool,
    /// A release was confirmed: what follows is a precaution.
    confirmed: bool,
}

/// What became of the states that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationCounters {
    pub prefilled: u64,
    pub served: u64,
    pub released: u64,
    /// Gone with their reader.
    pub lost: u64,
    /// Not confirmed in time: their readers' own limits free them.
    pub abandoned: u64,
    /// Let go of by the ledger since nobody had said what was to become of them.
    pub overdue: u64,
}

pub struct Ledger {
    /// Longest wait without a taker, and how long a let-go call is repeated.
    hold_s: f64,
    within_s: f64,
    states: BTreeMap<ReservationId, Entry>,
    /// When each is to be looked at next.
    poll_releases: BTreeSet<(u64, ReservationId)>,
    releasing: BTreeSet<(u64, ReservationId)>,
    pub counters: ReservationCounters,
    /// Microseconds without a taker, each wait by itself.
    waits: Histogram<u64>,
    /// Transitions that no log has taken yet.
    transitions: Vec<Transition>,
    /// Requests whose reservation's lease has ended, not yet asked for.
    expired: Vec<u64>,
    /// Transitions that found no room there.
    pub unlogged: u64,
}

fn bits(t: f64) -> u64 {
    // Times are not negative: their bits are in their order.
    t.max(0.0).to_bits()
}

impl Ledger {
    pub fn new(hold_s: f64, within_s: f64) -> Self {
        Ledger {
            hold_s,
            within_s,
            states: BTreeMap::new(),
            poll_releases: BTreeSet::new(),
            releasing: BTreeSet::new(),
            counters: ReservationCounters::default(),
            waits: Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("a valid range"),
            transitions: Vec::new(),
            expired: Vec::new(),
            unlogged: 0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Quantile of the waits without a taker, in seconds.
    pub fn unclaimed_quantile_s(&self, q: f64) -> f64 {
        self.waits.value_at_quantile(q) as f64 / 1e6
    }

    fn when(e: &Entry, hold_s: f64) -> Option<f64> {
        match e.stage {
            Stage::Unclaimed(_) | Stage::Claimed { .. } if e.state.named_after_request => {
                Some(e.lease_from + LEASE_PART * hold_s)
            }
            Stage::Unclaimed(since) => Some(since + hold_s),
            Stage::Releasing { at, .. } => at,
            Stage::Prefilling | Stage::Claimed { .. } | Stage::Released { .. } => None,
        }
    }

    /// What has become of reservations since this was last asked.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    fn record(&mut self, now: f64, h: ReservationId, to: Phase) {
        let Some(e) = self.states.get(&h) else { return };
        if self.transitions.len() >= MOST_TRANSITIONS {
            self.unlogged += 1;
            return;
        }
        let (name, from, after_s) = (e.state.name.clone(), Phase::from(e.stage), now - e.since);
        self.transitions.push(Transition { id: h, name, from, to, after_s });
    }

    /// Moves one to another stage, and all that is kept by stage with it.
    fn set(&mut self, now: f64, h: ReservationId, stage: Stage) {
        self.record(now, h, stage.into());
        self.index(now, h, stage);
        if let Some(e) = self.states.get_mut(&h) {
            e.since = now;
        }
    }

    fn index(&mut self, now: f64, h: ReservationId, stage: Stage) {
        let Some(e) = self.states.get_mut(&h) else { return };
        if let Some(at) = Self::when(e, self.hold_s) {
            self.poll_releases.remove(&(bits(at), h));
        }
        match e.stage {
            Stage::Unclaimed(since) => self.waits.saturating_record(((now - since).max(0.0) * 1e6) as u64),
            Stage::Releasing { since, .. } => drop(self.releasing.remove(&(bits(since), h))),
            _ => {}
        }
        e.stage = stage;
        if let Some(at) = Self::when(e, self.hold_s) {
            self.poll_releases.insert((bits(at), h));
        }
        if let Stage::Releasing { since, .. } = stage {
            self.releasing.insert((bits(since), h));
        }
    }

    fn remove(&mut self, now: f64, h: ReservationId) {
        self.record(now, h, Phase::Ended);
        // A stage that stands in no other table.
        self.index(now, h, Stage::Prefilling);
        self.states.remove(&h);
    }

    /// A read goes out: from now on its reader may hold a state for it.
    pub fn prefill_begins(&mut self, now: f64, h: ReservationId, state: Reservation) {
        self.states.insert(
            h,
            Entry {
                state,
                since: now,
                lease_from: now,
                stage: Stage::Prefilling,
                gone: false,
                told_late: false,
                follow_up: false,
                confirmed: false,
            },
        );
    }

    /// The read is done, and the state waits.
    pub fn prefill_done(&mut self, now: f64, h: ReservationId) {
        if self.states.get(&h).is_some_and(|e| e.stage == Stage::Prefilling) {
            self.counters.prefilled += 1;
            self.renew(now, h);
            self.set(now, h, Stage::Unclaimed(now));
        }
    }

    /// An engine has answered: the lease runs from now on.
    fn renew(&mut self, now: f64, h: ReservationId) {
        let Some(e) = self.states.get_mut(&h) else { return };
        if let Some(at) = Self::when(e, self.hold_s) {
            self.poll_releases.remove(&(bits(at), h));
        }
        e.lease_from = now;
        if let Some(at) = Self::when(e, self.hold_s) {
            self.poll_releases.insert((bits(at), h));
        }
    }

    /// The read failed. `never`: it is known not to have begun; else it may have left a state that nobody asks for.
    pub fn prefill_failed(&mut self, now: f64, h: ReservationId, never: bool) {
        if self.states.get(&h).is_none_or(|e| e.stage != Stage::Prefilling) {
            return;
        }
        match never {
            true => self.remove(now, h),
            false => {
                self.counters.prefilled += 1;
                self.renew(now, h);
                self.release(now, h);
                self.expect_follow_up(h);
            }
        }
    }

    /// The newest state that waits for the inference goes to a send; none waits: the writer has to read.
    pub fn claim(&mut self, now: f64, owner: u64, by: u32) -> Option<Reservation> {
        let h = *self.of(owner, |s| matches!(s, Stage::Unclaimed(_))).last()?;
        self.set(now, h, Stage::Claimed { by });
        self.states.get(&h).map(|e| e.state.clone())
    }

    /// The send that took it has begun to answer: its writer fetched it, and the reader let go by itself.
    pub fn claim_served(&mut self, now: f64, owner: u64, by: u32) {
        for h in self.of(owner, |s| s.claimed_by() == Some(by)) {
            self.counters.served += 1;
            // With its first token engines let go by themselves of all else that bears the request's name.
            let shared = self.states.get(&h).is_some_and(|e| e.state.named_after_request);
            self.remove(now, h);
            if shared {
                self.of(owner, |s| matches!(s, Stage::Unclaimed(_)))
                    .into_iter()
                    .for_each(|h| self.remove(now, h));
            }
        }
    }

    /// The attempt that claimed it ended without a beginning: it waits again, if its lease has not ended. `answered`: by an
    /// answer of its engine, which had it until now; else it may never have arrived, and the lease runs on.
    pub fn claim_ended(&mut self, now: f64, owner: u64, by: u32, answered: bool) {
        for h in self.of(owner, |s| s.claimed_by() == Some(by)) {
            if !answered {
                self.expect_follow_up(h);
            }
            if !matches!(self.states.get(&h).map(|e| e.stage), Some(Stage::Claimed { .. })) {
                // Released under it: a call that came while it waited there spared what it claimed.
                if matches!(self.states.get(&h).map(|e| e.stage), Some(Stage::Released { .. })) {
                    self.renew(now, h);
                }
                self.release(now, h);
                continue;
            }
            if answered {
                self.renew(now, h);
            }
            self.set(now, h, Stage::Unclaimed(now));
        }
    }

    fn expect_follow_up(&mut self, h: ReservationId) {
        if let Some(e) = self.states.get_mut(&h) {
            e.follow_up = e.state.named_after_request;
        }
    }

    /// Whether a release of anything of the request awaits its confirmation: the calls go by the request's name, and would take
    /// what a further prefill reserves.
    pub fn is_releasing(&self, owner: u64) -> bool {
        let releases = |e: &Entry| e.state.named_after_request && matches!(e.stage, Stage::Releasing { .. });
        let all = self
            .states
            .range(ReservationId { owner, prefill: 0 }..=ReservationId { owner, prefill: u32::MAX });
        all.into_iter().any(|(_, e)| releases(e))
    }

    /// Requests with a reservation that was neither claimed nor released in its time, each told once: no call that releases it was
    /// confirmed though its lease ended long ago.
    pub fn take_overdue(&mut self, now: f64) -> Vec<u64> {
        let hold_s = self.hold_s;
        let late = |e: &Entry| {
            matches!(e.stage, Stage::Releasing { .. }) && now > e.lease_from + hold_s && !e.confirmed
        };
        let mut owners = Vec::new();
        // Only what is being released can be late: all else has a time of its own before that.
        let releasing_now: Vec<ReservationId> = self.releasing.iter().map(|(_, h)| *h).collect();
        for h in releasing_now {
            if let Some(e) = self.states.get_mut(&h).filter(|e| !e.told_late && late(e)) {
                e.told_late = true;
                owners.push(h.owner);
            }
        }
        owners
    }

    /// Requests whose reservation's lease has ended since this was last asked.
    pub fn take_expired(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.expired)
    }

    fn of(&self, owner: u64, such: impl Fn(Stage) -> bool) -> Vec<ReservationId> {
        let all = self
            .states
            .range(ReservationId { owner, prefill: 0 }..=ReservationId { owner, prefill: u32::MAX });
        all.filter(|(_, e)| such(e.stage)).map(|(h, _)| *h).collect()
    }

    /// Nothing will take what waits for the inference.
    pub fn release_all(&mut self, now: f64, owner: u64) {
        let mut all = self.of(owner, |s| matches!(s, Stage::Unclaimed(_)));
        let last = all.last().and_then(|h| self.states.get(h)).filter(|e| e.state.named_after_request);
        if last.is_some() {
            // One call is enough.
            all.drain(..all.len() - 1).for_each(|h| self.remove(now, h));
        }
        all.into_iter().for_each(|h| self.release(now, h));
    }

    fn release(&mut self, now: f64, h: ReservationId) {
        let Some(e) = self.states.get(&h) else { return };
        let claimed_by = match e.stage {
            Stage::Claimed { by } => Some(by),
            _ => None,
        };
        if e.gone {
            self.counters.lost += 1;
            return self.remove(now, h);
        }
        while self.releasing.len() >= MOST_RELEASING {
            let Some(&(_, oldest)) = self.releasing.first() else { break };
            self.counters.abandoned += 1;
            self.remove(now, oldest);
        }
        self.set(now, h, Stage::Releasing { since: now, tries: 0, at: Some(now), claimed_by });
    }

    /// A call that lets go of it was answered, or was not. `over`: nothing more is sent for its request.
    pub fn release_answered(&mut self, now: f64, h: ReservationId, done: bool, over: bool) {
        let Some(Entry { stage: Stage::Releasing { since, tries, at: None, claimed_by }, gone, .. }) =
            self.states.get(&h)
        else {
            return;
        };
        let (since, tries, gone, claimed_by) = (*since, *tries, *gone, *claimed_by);
        if let (true, Some(by)) = (done, claimed_by) {
            return self.set(now, h, Stage::Released { by });
        }
        let gap = super::doubling(FIRST_GAP_S, tries, LONGEST_GAP_S);
        let late = now + gap > since + self.within_s;
        if done && over && self.states.get_mut(&h).is_some_and(|e| std::mem::take(&mut e.follow_up)) {
            if let Some(e) = self.states.get_mut(&h) {
                e.confirmed = true;
            }
            let at = Some(now + FOLLOW_UP_PART * self.hold_s);
            return self.set(now, h, Stage::Releasing { since: now, tries: 0, at, claimed_by });
        }
        match (done, gone) {
            (true, _) => self.counters.released += 1,
            (false, true) => self.counters.lost += 1,
            (false, false) if late => self.counters.abandoned += 1,
            (false, false) => {
                let at = Some(now + gap);
                return self.set(now, h, Stage::Releasing { since, tries, at, claimed_by });
            }
        }
        self.remove(now, h);
    }

    /// These readers' processes have ended. What waits there is lost; calls to them are not repeated. What bears its request's name
    /// is released all the same: any engine takes the call, and one that has left the list may be cut off and still run.
    pub fn engines_gone(&mut self, now: f64, gone: impl Fn(&Reservation) -> bool) {
        let there: Vec<ReservationId> = self
            .states
            .iter()
            .filter(|(_, e)| !e.gone && !e.state.named_after_request && gone(&e.state))
            .map(|(h, _)| *h)
            .collect();
        for h in there {
            let Some(e) = self.states.get_mut(&h) else { continue };
            e.gone = true;
            if matches!(e.stage, Stage::Releasing { at: Some(_), .. }) {
                self.counters.lost += 1;
                self.remove(now, h);
            }
        }
    }

    /// Calls to make now, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<(ReservationId, Reservation)>, Option<f64>) {
        let mut calls = Vec::new();
        while let Some(&(at, h)) = self.poll_releases.first().filter(|d| f64::from_bits(d.0) <= now) {
            match self.states.get(&h).map(|e| e.stage) {
                Some(Stage::Releasing { since, tries, claimed_by, .. }) => {
                    self.set(now, h, Stage::Releasing { since, tries: tries + 1, at: None, claimed_by });
                    calls.extend(self.states.get(&h).map(|e| (h, e.state.clone())));
                }
                Some(Stage::Unclaimed(_) | Stage::Claimed { .. }) => {
                    self.counters.overdue += 1;
                    self.expired.push(h.owner);
                    self.release(now, h);
                }
                _ => drop(self.poll_releases.remove(&(at, h))),
            }
        }
        (calls, self.poll_releases.first().map(|d| f64::from_bits(d.0)))
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
