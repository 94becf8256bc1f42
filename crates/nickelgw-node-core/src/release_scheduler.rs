//! Schedules the calls that release reservations: which engine is called, when, on which connection, and how
//! many calls are in flight.
//!
//! Any engine can release reservations named after a request, so a call that fails can be made to another
//! engine. Each engine has a limit on calls in flight, which grows as it answers, and a circuit breaker: an
//! engine that does not answer gets one call at a time, whatever the number of releases. Releases beyond the
//! limits wait here. Without these limits, release calls repeated because engines were slow kept the engines
//! slow even after the original cause was gone (`docs/incidents/release-storm.md`).

mod engine_health;

use crate::commands::{Endpoint, ReleaseCall, ReleaseCallId, ReleaseConnection, ReleaseOutcome, Reservation};
use crate::ledger::ReservationId;
use engine_health::{EngineHealth, Preference};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Time without an answer to the newest call of a release after which a hedged call goes to another engine:
/// an open connection may no longer respond. An answer usually takes a few milliseconds.
const HEDGE_DELAY_S: f64 = 0.05;
/// Maximum number of calls for one release before it returns to the ledger, which retries it with exponential
/// backoff.
const MAX_CALLS_PER_ROUND: usize = 6;
/// Longest time that a release waits for an available engine. It then returns to the ledger, which limits the
/// total time of its retries.
const MAX_WAIT_S: f64 = 1.0;
/// Maximum number of releases without an available engine that one poll examines at the head of the queue.
const MAX_BLOCKED: usize = 8;
/// Time after which the engines for a release are chosen again.
const ENDPOINTS_VALID_S: f64 = 0.05;
/// Seconds until the next poll while a release waits for an available engine.
const BLOCKED_POLL_INTERVAL_S: f64 = 0.02;
/// Maximum number of hedged calls that the hedge budget can hold.
const HEDGE_BURST: f64 = 8.0;
/// Hedged calls added to the hedge budget for each enqueued release, and for each second.
const HEDGES_PER_RELEASE: f64 = 0.1;
const HEDGES_PER_S: f64 = 10.0;
/// Number of engines above which the health of engines that are idle and not in backoff is forgotten.
const MAX_ENGINES: usize = 4096;

/// A release that is not confirmed yet.
struct PendingRelease {
    reservation: Reservation,
    /// Distinguishes the release from an earlier one of the same reservation, whose calls no longer count.
    round: u64,
    enqueued_at: f64,
    /// Engines to call, in order of preference.
    endpoints: Vec<Rc<Endpoint>>,
    endpoints_chosen_at: f64,
    /// Engines called in this round.
    tried: Vec<TriedEngine>,
    calls_made: usize,
    calls_in_flight: usize,
    last_call_at: f64,
}

/// An engine that was called for a release.
struct TriedEngine {
    id: String,
    called_at: f64,
}

/// A call that has not ended.
struct CallInFlight {
    reservation: ReservationId,
    round: u64,
    engine: String,
    connection: ReleaseConnection,
    started_at: f64,
}

/// Token bucket that limits hedged calls.
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

/// All releases that are not confirmed yet, and the release calls in flight.
pub(crate) struct ReleaseScheduler {
    pending: BTreeMap<ReservationId, PendingRelease>,
    /// Pending releases without a call in flight, with their rounds, oldest first.
    waiting: VecDeque<(ReservationId, u64)>,
    calls: BTreeMap<ReleaseCallId, CallInFlight>,
    /// Calls in flight for reservations that only their prefill engine can release.
    direct_calls: BTreeMap<ReleaseCallId, ReservationId>,
    engines: HashMap<String, EngineHealth>,
    hedge_budget: HedgeBudget,
    random: WyRand,
    next_number: u64,
}

impl ReleaseScheduler {
    /// Creates an empty scheduler. `seed`: seed of the random backoff jitter.
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

    /// Returns a call to the prefill engine of a reservation that no other engine can release. No limit
    /// applies to these calls.
    pub(crate) fn call_directly(&mut self, id: ReservationId, reservation: Reservation) -> ReleaseCall {
        let call = ReleaseCallId(self.new_number());
        self.direct_calls.insert(call, id);
        let endpoint = reservation.prefill_engine.clone();
        ReleaseCall { id: call, reservation, endpoint, connection: ReleaseConnection::Any }
    }

    /// Enqueues the release of a reservation that any engine can release.
    pub(crate) fn enqueue(&mut self, now: f64, id: ReservationId, reservation: Reservation) {
        let round = self.new_number();
        self.pending.insert(id, PendingRelease::new(now, round, reservation));
        self.waiting.push_back((id, round));
        self.hedge_budget.add(HEDGES_PER_RELEASE);
    }

    /// Returns the calls to make now. `is_wanted`: whether a reservation still has to be released. `choose`:
    /// engines to call for a reservation at the given prefill engine.
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

    /// Removes and returns the releases that have waited too long for an available engine.
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

    /// Returns when to poll again if no event comes before; `None` if only an event requires another poll.
    pub(crate) fn wake_at(&self, now: f64) -> Option<f64> {
        let blocked = (!self.waiting.is_empty()).then_some(now + BLOCKED_POLL_INTERVAL_S);
        let hedges = self.calls.values().filter_map(|call| self.hedge_at(call));
        let hedges = hedges.map(|at| if at > now { at } else { now + BLOCKED_POLL_INTERVAL_S });
        hedges.chain(blocked).min_by(f64::total_cmp)
    }

    /// Records the end of a call. Returns the reservation whose release has ended with it and whether the
    /// release is confirmed; `None` if the release continues or is not pending any more.
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
            // The failure of an idle connection does not show that the engine fails: call it again on a new
            // one.
            pending.tried.retain(|tried| tried.id != call.engine);
        }
        if pending.calls_in_flight > 0 {
            return None;
        }
        let can_call_again =
            pending.calls_made < MAX_CALLS_PER_ROUND && pending.candidates(&self.engines).next().is_some();
        if can_call_again && outcome == ReleaseOutcome::Unanswered {
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

    /// Returns when a hedged call follows this call; `None` if the release is not pending any more or has
    /// used up its calls.
    fn hedge_at(&self, call: &CallInFlight) -> Option<f64> {
        let pending = self.pending_round(call.reservation, call.round)?;
        (pending.calls_made < MAX_CALLS_PER_ROUND).then_some(pending.last_call_at + HEDGE_DELAY_S)
    }

    /// Starts calls for waiting releases as far as engines are available.
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

    /// Starts a hedged call for each release whose newest call is overdue, within the hedge budget.
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

    /// Starts a call to the best available engine that was not called in this round, or has answered since; returns
    /// `None` if there is none.
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
        let is_repeat = pending.calls_made > 0;
        let preference = |endpoint: &&Rc<Endpoint>| {
            let health = self.engines.get(&endpoint.id);
            health.map_or(Preference::Usual, |health| health.preference(now, is_repeat))
        };
        let candidates = pending.candidates(&self.engines).filter(is_available);
        let endpoint = candidates.min_by_key(preference)?.clone();
        let is_hedge = pending.calls_in_flight > 0;
        let health = self.engines.entry(endpoint.id.clone()).or_default();
        let connection = health.connection(now, is_hedge);
        health.call_started(now);
        pending.tried.push(TriedEngine { id: endpoint.id.clone(), called_at: now });
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

    /// Returns the engines that may be called: those that were not called in this round, and those that have answered
    /// other calls since. An engine that failed may have recovered by then.
    fn candidates<'a>(
        &'a self,
        engines: &'a HashMap<String, EngineHealth>,
    ) -> impl Iterator<Item = &'a Rc<Endpoint>> {
        let has_answered_since = |tried: &TriedEngine| {
            engines.get(&tried.id).is_some_and(|health| health.has_answered_since(tried.called_at))
        };
        let may_be_called = move |endpoint: &&Rc<Endpoint>| {
            let mut calls = self.tried.iter().filter(|tried| tried.id == endpoint.id);
            calls.all(has_answered_since)
        };
        self.endpoints.iter().filter(may_be_called)
    }
}

#[cfg(test)]
mod tests;
