//! Schedules the calls that release reservations: which engine is called, when, on which connection, and how many calls are
//! in flight.
//!
//! Any engine releases what bears a request's name, so calls that fail can go elsewhere. Each engine has a limit on calls in
//! flight, which grows as it answers, and a circuit breaker: one that does not answer is asked by a single call for all. Calls
//! beyond the limits wait here. Without that, calls that were repeated because engines were slow kept the engines slow, and the
//! state sustained itself after its cause was gone (`docs/incidents/release-storm.md`).

mod engine_health;

use crate::commands::{Endpoint, ReleaseCall, ReleaseCallId, ReleaseConnection, ReleaseOutcome, Reservation};
use crate::ledger::ReservationId;
use engine_health::EngineHealth;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// A release whose newest call has not been answered for so long is also tried at another engine: an open connection may be
/// silent. A usual answer takes a few milliseconds.
const HEDGE_DELAY_S: f64 = 0.05;
/// Calls of one release before it goes back to the ledger, which retries it with exponential backoff.
const MAX_CALLS_PER_ROUND: usize = 6;
/// A release that found no engine to call for so long goes back to the ledger, which bounds its life.
const MAX_WAIT_S: f64 = 1.0;
/// Releases at the head of the queue that are looked at in one poll while their engines are not available.
const MAX_BLOCKED: usize = 8;
/// Engines chosen for a release are chosen anew after so long.
const ENDPOINTS_VALID_S: f64 = 0.05;
/// Seconds until the next poll while a release waits for an engine.
const BLOCKED_POLL_INTERVAL_S: f64 = 0.02;
/// Hedged calls that may be made at once.
const HEDGE_BURST: f64 = 8.0;
/// Hedged calls for each release that is scheduled, and for each second.
const HEDGES_PER_RELEASE: f64 = 0.1;
const HEDGES_PER_S: f64 = 10.0;
/// Engines whose health is remembered.
const MAX_ENGINES: usize = 4096;

/// A release that is not confirmed.
struct PendingRelease {
    reservation: Reservation,
    /// Distinguishes it from an earlier release of the same reservation, whose calls prove nothing any more.
    round: u64,
    enqueued_at: f64,
    /// Engines to call, in this order, and when they were chosen.
    endpoints: Vec<Rc<Endpoint>>,
    endpoints_chosen_at: f64,
    /// Ids of the engines that were called.
    tried: Vec<String>,
    calls_made: usize,
    calls_in_flight: usize,
    last_call_at: f64,
}

/// A call that has not ended.
struct CallInFlight {
    reservation: ReservationId,
    round: u64,
    engine: String,
    connection: ReleaseConnection,
    started_at: f64,
}

/// Hedged calls that may be made now.
struct HedgeBudget {
    tokens: f64,
    refilled_at: f64,
}

impl HedgeBudget {
    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(HEDGE_BURST);
    }

    fn refill(&mut self, now: f64) {
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.refilled_at = now;
        self.add(HEDGES_PER_S * elapsed_s);
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// All releases that are not confirmed, and the calls in flight.
pub(crate) struct ReleaseScheduler {
    pending: BTreeMap<ReservationId, PendingRelease>,
    /// Those with no call in flight, the oldest first.
    waiting: VecDeque<(ReservationId, u64)>,
    calls: BTreeMap<ReleaseCallId, CallInFlight>,
    /// Calls in flight to the one engine that can release a reservation.
    direct_calls: BTreeMap<ReleaseCallId, ReservationId>,
    engines: HashMap<String, EngineHealth>,
    hedge_budget: HedgeBudget,
    random: WyRand,
    next_number: u64,
}

impl ReleaseScheduler {
    /// An empty scheduler; `seed` is that of the jitter.
    pub(crate) fn new(seed: u64) -> ReleaseScheduler {
        ReleaseScheduler {
            pending: BTreeMap::new(),
            waiting: VecDeque::new(),
            calls: BTreeMap::new(),
            direct_calls: BTreeMap::new(),
            engines: HashMap::new(),
            hedge_budget: HedgeBudget { tokens: HEDGE_BURST, refilled_at: 0.0 },
            random: WyRand::new_seed(seed),
            next_number: 0,
        }
    }

    /// A call to the one engine that can release the reservation; nothing limits it here.
    pub(crate) fn call_directly(&mut self, id: ReservationId, reservation: Reservation) -> ReleaseCall {
        let call = ReleaseCallId(self.new_number());
        self.direct_calls.insert(call, id);
        let endpoint = reservation.prefill_engine.clone();
        ReleaseCall { id: call, reservation, endpoint, connection: ReleaseConnection::Any }
    }

    /// A reservation that any engine can release is to be released.
    pub(crate) fn enqueue(&mut self, now: f64, id: ReservationId, reservation: Reservation) {
        let round = self.new_number();
        self.pending.insert(id, PendingRelease::new(now, round, reservation));
        self.waiting.push_back((id, round));
        self.hedge_budget.add(HEDGES_PER_RELEASE);
    }

    /// Calls to make now. `is_wanted`: whether a reservation still has to be released; `choose`: engines that may release what
    /// is reserved at this one.
    pub(crate) fn poll(
        &mut self,
        now: f64,
        is_wanted: impl Fn(ReservationId) -> bool,
        choose: impl Fn(&Rc<Endpoint>) -> Vec<Rc<Endpoint>>,
    ) -> Vec<ReleaseCall> {
        self.hedge_budget.refill(now);
        let mut calls = self.first_calls(now, is_wanted, &choose);
        calls.extend(self.hedged_calls(now, &choose));
        calls
    }

    /// Releases that found no engine to call for too long. They are not pending any more.
    pub(crate) fn take_timed_out(&mut self, now: f64) -> Vec<ReservationId> {
        let mut timed_out = Vec::new();
        while let Some(&(id, round)) = self.waiting.front() {
            match self.pending_round(id, round) {
                Some(pending) if now < pending.enqueued_at + MAX_WAIT_S => break,
                Some(_) => {
                    self.pending.remove(&id);
                    timed_out.push(id);
                }
                None => {}
            }
            self.waiting.pop_front();
        }
        timed_out
    }

    /// When to poll again, if nothing happens before.
    pub(crate) fn wake_at(&self, now: f64) -> Option<f64> {
        let blocked = (!self.waiting.is_empty()).then_some(now + BLOCKED_POLL_INTERVAL_S);
        let hedges = self.calls.values().filter_map(|call| self.hedge_at(call));
        let hedges = hedges.map(|at| if at > now { at } else { now + BLOCKED_POLL_INTERVAL_S });
        hedges.chain(blocked).min_by(f64::total_cmp)
    }

    /// A call has ended. Returns the reservation whose release it decides, and whether that is confirmed.
    pub(crate) fn call_ended(
        &mut self,
        now: f64,
        id: ReleaseCallId,
        outcome: ReleaseOutcome,
    ) -> Option<(ReservationId, bool)> {
        if let Some(reservation) = self.direct_calls.remove(&id) {
            return Some((reservation, outcome == ReleaseOutcome::Confirmed));
        }
        let call = self.calls.remove(&id)?;
        self.update_health(now, &call, outcome);
        let reservation = call.reservation;
        let pending = self.pending.get_mut(&reservation).filter(|pending| pending.round == call.round)?;
        pending.calls_in_flight -= 1;
        if outcome == ReleaseOutcome::Confirmed {
            self.pending.remove(&reservation);
            return Some((reservation, true));
        }
        if call.connection == ReleaseConnection::Any {
            // An idle connection that fails says nothing of the engine, which may be called on a new one.
            pending.tried.retain(|tried| *tried != call.engine);
        }
        if pending.calls_in_flight > 0 {
            return None;
        }
        let has_further = pending.calls_made < MAX_CALLS_PER_ROUND && pending.untried().next().is_some();
        if has_further && outcome == ReleaseOutcome::Unanswered {
            self.waiting.push_front((reservation, call.round));
            return None;
        }
        self.pending.remove(&reservation);
        Some((reservation, false))
    }

    fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn pending_round(&self, id: ReservationId, round: u64) -> Option<&PendingRelease> {
        self.pending.get(&id).filter(|pending| pending.round == round)
    }

    /// When the release of this call is tried at a further engine; none: the call decides nothing any more, or enough were made.
    fn hedge_at(&self, call: &CallInFlight) -> Option<f64> {
        let pending = self.pending_round(call.reservation, call.round)?;
        (pending.calls_made < MAX_CALLS_PER_ROUND).then_some(pending.last_call_at + HEDGE_DELAY_S)
    }

    /// Starts calls for releases that have none in flight, as far as engines are available.
    fn first_calls(
        &mut self,
        now: f64,
        is_wanted: impl Fn(ReservationId) -> bool,
        choose: impl Fn(&Rc<Endpoint>) -> Vec<Rc<Endpoint>>,
    ) -> Vec<ReleaseCall> {
        let (mut calls, mut blocked) = (Vec::new(), Vec::new());
        while blocked.len() < MAX_BLOCKED {
            let Some((id, round)) = self.waiting.pop_front() else { break };
            if self.pending_round(id, round).is_none() {
                continue;
            }
            if !is_wanted(id) {
                self.pending.remove(&id);
                continue;
            }
            match self.start_call(now, id, &choose) {
                Some(call) => calls.push(call),
                None => blocked.push((id, round)),
            }
        }
        for waiting in blocked.into_iter().rev() {
            self.waiting.push_front(waiting);
        }
        calls
    }

    /// Starts a further call for each release whose newest call is overdue.
    fn hedged_calls(
        &mut self,
        now: f64,
        choose: impl Fn(&Rc<Endpoint>) -> Vec<Rc<Endpoint>>,
    ) -> Vec<ReleaseCall> {
        let is_overdue = |call: &&CallInFlight| self.hedge_at(call).is_some_and(|at| now >= at);
        let mut overdue: Vec<ReservationId> =
            self.calls.values().filter(is_overdue).map(|call| call.reservation).collect();
        overdue.dedup();
        let mut calls: Vec<ReleaseCall> = Vec::new();
        for id in overdue {
            let is_hedged = calls.iter().any(|call| self.calls[&call.id].reservation == id);
            if !is_hedged && self.hedge_budget.has_token() {
                calls.extend(self.start_call(now, id, &choose));
            }
        }
        calls
    }

    /// Starts a call at the first engine that is available and was not called in this round.
    fn start_call(
        &mut self,
        now: f64,
        id: ReservationId,
        choose: impl Fn(&Rc<Endpoint>) -> Vec<Rc<Endpoint>>,
    ) -> Option<ReleaseCall> {
        let pending = self.pending.get_mut(&id)?;
        if now >= pending.endpoints_chosen_at + ENDPOINTS_VALID_S {
            pending.endpoints = choose(&pending.reservation.prefill_engine);
            pending.endpoints_chosen_at = now;
        }
        let is_available = |endpoint: &&Rc<Endpoint>| {
            self.engines.get(&endpoint.id).is_none_or(|health| health.is_available(now))
        };
        let endpoint = pending.untried().find(is_available)?.clone();
        let is_hedge = pending.calls_in_flight > 0;
        let health = self.engines.entry(endpoint.id.clone()).or_default();
        let connection = health.connection(now, is_hedge);
        health.call_started(now);
        pending.tried.push(endpoint.id.clone());
        pending.calls_made += 1;
        pending.calls_in_flight += 1;
        pending.last_call_at = now;
        let (round, reservation) = (pending.round, pending.reservation.clone());
        if is_hedge {
            self.hedge_budget.take();
        }
        let call = ReleaseCallId(self.new_number());
        let engine = endpoint.id.clone();
        let in_flight = CallInFlight { reservation: id, round, engine, connection, started_at: now };
        self.calls.insert(call, in_flight);
        Some(ReleaseCall { id: call, reservation, endpoint, connection })
    }

    fn update_health(&mut self, now: f64, call: &CallInFlight, outcome: ReleaseOutcome) {
        let Some(health) = self.engines.get_mut(&call.engine) else { return };
        match outcome {
            ReleaseOutcome::Confirmed | ReleaseOutcome::Refused => {
                health.call_answered(now, call.started_at);
            }
            ReleaseOutcome::Unanswered => {
                let jitter: f64 = self.random.generate();
                health.call_failed(now, call.started_at, call.connection, jitter);
            }
        }
        if self.engines.len() > MAX_ENGINES {
            self.engines.retain(|_, health| health.is_worth_keeping(now));
        }
    }
}

impl PendingRelease {
    fn new(now: f64, round: u64, reservation: Reservation) -> PendingRelease {
        PendingRelease {
            reservation,
            round,
            enqueued_at: now,
            endpoints: Vec::new(),
            endpoints_chosen_at: f64::NEG_INFINITY,
            tried: Vec::new(),
            calls_made: 0,
            calls_in_flight: 0,
            last_call_at: now,
        }
    }

    /// Engines that were not called in this round.
    fn untried(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.iter().filter(|endpoint| !self.tried.contains(&endpoint.id))
    }
}

#[cfg(test)]
mod tests;
