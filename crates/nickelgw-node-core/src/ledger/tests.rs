//! Tests of the ledger: single cases, then random sequences of events that check its invariants.

use super::entry::LEASE_SHARE;
use super::*;
use crate::Endpoint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::rc::Rc;
use test_case::test_case;

const RESERVATION_LIMIT_S: f64 = 0.5;

fn new_ledger() -> Ledger {
    Ledger::new(RESERVATION_LIMIT_S, 2.0)
}

fn reservation(n: u64) -> Reservation {
    let engine = Rc::new(Endpoint { id: format!("r{}", n % 3), address: "a".into(), tls_name: None });
    Reservation { name: format!("s{n}").into(), prefill_engine: engine, named_after_request: false }
}

fn reservation_id(owner: u64) -> ReservationId {
    ReservationId { owner, prefill: 0 }
}

fn add_unclaimed(ledger: &mut Ledger, now: f64, owner: u64) {
    ledger.prefill_begins(now, reservation_id(owner), reservation(owner));
    ledger.prefill_done(now, reservation_id(owner));
}

#[test]
fn failed_release_is_retried_and_abandoned_after_the_release_timeout() {
    let mut ledger = new_ledger();
    add_unclaimed(&mut ledger, 1.0, 1);
    ledger.release_all(1.0, 1);
    let (mut now, mut calls) = (1.0, 0);
    while !ledger.is_empty() {
        let (release_calls, _) = ledger.poll_releases(now);
        release_calls.iter().for_each(|(id, _)| ledger.release_answered(now, *id, false, false));
        calls += release_calls.len();
        now = ledger.poll_releases(now).1.unwrap_or(now).max(now + 0.001);
        assert!(now < 4.0);
    }
    assert!((6..=10).contains(&calls), "{calls}");
    assert_eq!((ledger.counters.abandoned, ledger.counters.released), (1, 0));
}

/// Starts a prefill of request 1, whose reservation is named after the request.
fn begin_shared_prefill(ledger: &mut Ledger, now: f64, prefill: u32) -> ReservationId {
    let id = ReservationId { owner: 1, prefill };
    ledger.prefill_begins(now, id, Reservation { named_after_request: true, ..reservation(1) });
    id
}

/// Guards against a reservation that is kept until its request is finished, because the connection broke
/// although the prefill had succeeded (issue 39).
#[test]
fn reservation_of_a_failed_prefill_is_released_at_once() {
    let mut ledger = new_ledger();
    let first = begin_shared_prefill(&mut ledger, 0.5, 0);
    ledger.prefill_failed(1.0, first, false);
    assert!(ledger.is_releasing(1), "a further prefill has to wait");
    let (calls, _) = ledger.poll_releases(1.0);
    assert_eq!(calls.len(), 1);
    ledger.release_answered(1.01, first, false, false);
    assert!(ledger.is_releasing(1), "the release is not confirmed");
    let (calls, _) = ledger.poll_releases(1.1);
    assert_eq!(calls.len(), 1);
    ledger.release_answered(1.11, first, true, false);
    assert!(!ledger.is_releasing(1) && ledger.is_empty());
}

/// Guards against a reservation that is kept for an attempt from which no engine has answered (issue 39).
#[test_case(false; "attempt ends without an answer")]
#[test_case(true; "attempt returns its first token after all")]
fn claimed_reservation_is_released_when_its_lease_ends(returns_first_token: bool) {
    let mut ledger = new_ledger();
    let id = begin_shared_prefill(&mut ledger, 0.5, 0);
    ledger.prefill_done(1.0, id);
    assert!(ledger.claim(1.0, 1, 1).is_some());
    let lease_s = LEASE_SHARE * RESERVATION_LIMIT_S;
    assert_eq!(ledger.poll_releases(1.0 + lease_s - 0.01).0, vec![]);
    let (calls, _) = ledger.poll_releases(1.0 + lease_s);
    assert_eq!((calls.len(), ledger.take_expired()), (1, vec![1]));
    ledger.release_answered(1.3, id, true, false);
    // The attempt may have claimed the reservation before the release, so its end decides.
    assert!(!ledger.is_empty() && ledger.claim(1.4, 1, 2).is_none());
    if returns_first_token {
        ledger.claim_served(1.5, 1, 1);
        assert!(ledger.is_empty());
        return;
    }
    ledger.claim_ended(1.5, 1, 1, false);
    let (calls, _) = ledger.poll_releases(1.5);
    assert_eq!(calls.len(), 1, "the reservation that the attempt had claimed is released");
    ledger.release_answered(1.51, id, true, false);
    assert_release_is_repeated(&mut ledger, 1.51, id);
}

/// Asserts that a confirmed release is repeated once. Guards against a prefill that starts while an earlier
/// reservation is left, because its release reached the engine before the end of the attempt that claimed it.
fn assert_release_is_repeated(ledger: &mut Ledger, confirmed_at: f64, id: ReservationId) {
    let repeat_at = confirmed_at + RETRY_FOLLOW_UP_S;
    assert!(ledger.is_releasing(id.owner) && ledger.poll_releases(repeat_at - 0.01).0.is_empty());
    assert_eq!(ledger.poll_releases(repeat_at).0.len(), 1);
    ledger.release_answered(repeat_at, id, true, false);
    assert!(ledger.is_empty());
}

#[test_case(true, 0.2 + LEASE_SHARE * RESERVATION_LIMIT_S; "answered")]
#[test_case(false, LEASE_SHARE * RESERVATION_LIMIT_S; "not answered")]
fn lease_is_renewed_only_by_answers(answered: bool, until_s: f64) {
    let mut ledger = new_ledger();
    let id = begin_shared_prefill(&mut ledger, 0.5, 0);
    ledger.prefill_done(1.0, id);
    ledger.claim(1.1, 1, 1);
    ledger.claim_ended(1.2, 1, 1, answered);
    let (calls, wake) = ledger.poll_releases(1.2);
    assert_eq!(calls, vec![]);
    assert!((wake.unwrap() - 1.0 - until_s).abs() < 1e-9, "{wake:?}");
    assert_eq!(ledger.poll_releases(1.0 + until_s + 1e-9).0.len(), 1);
}

#[test]
fn one_call_releases_all_reservations_of_a_request_and_a_first_token_frees_the_rest() {
    let mut ledger = new_ledger();
    let ids = [begin_shared_prefill(&mut ledger, 0.5, 0), begin_shared_prefill(&mut ledger, 0.5, 1)];
    ids.iter().for_each(|id| ledger.prefill_done(1.0, *id));
    ledger.release_all(1.1, 1);
    assert_eq!(ledger.poll_releases(1.1).0.len(), 1);
    ledger.release_answered(1.11, ids[1], true, false);
    assert!(ledger.is_empty());
    let ids = [begin_shared_prefill(&mut ledger, 1.5, 2), begin_shared_prefill(&mut ledger, 1.5, 3)];
    ids.iter().for_each(|id| ledger.prefill_done(1.6, *id));
    assert!(ledger.claim(1.6, 1, 4).is_some());
    ledger.claim_served(1.7, 1, 4);
    assert_eq!((ledger.poll_releases(9.0), ledger.is_empty()), ((vec![], None), true));
}

#[test]
fn unclaimed_reservation_is_released_at_the_limit() {
    let mut ledger = new_ledger();
    add_unclaimed(&mut ledger, 1.0, 1);
    assert_eq!(ledger.poll_releases(1.2), (vec![], Some(1.5)));
    let (calls, _) = ledger.poll_releases(1.5);
    assert_eq!(calls, vec![(reservation_id(1), reservation(1))]);
    ledger.release_answered(1.6, reservation_id(1), true, false);
    assert_eq!((ledger.counters.overdue, ledger.counters.released, ledger.is_empty()), (1, 1, true));
    assert!((ledger.unclaimed_quantile_s(1.0) - 0.5).abs() < 0.01);
}

#[test]
fn reservations_of_an_ended_engine_are_counted_as_lost_without_calls() {
    let mut ledger = new_ledger();
    (0..6).for_each(|n| add_unclaimed(&mut ledger, 1.0, n));
    ledger.release_all(1.0, 0);
    ledger.release_all(1.0, 3);
    let (calls, _) = ledger.poll_releases(1.0);
    assert_eq!(calls.len(), 2);
    ledger.release_answered(1.05, reservation_id(3), false, false);
    // The release call for 0 is in flight, and the one for 3 waits for its retry; both reservations are at
    // r0.
    ledger.engines_gone(1.06, |lost| lost.prefill_engine.id == "r0");
    assert_eq!((ledger.counters.lost, ledger.len()), (1, 5));
    ledger.release_answered(1.2, reservation_id(0), false, false);
    assert_eq!(ledger.counters.lost, 2);
    // Reservations at other engines are released by calls as before.
    (0..6).for_each(|n| ledger.release_all(1.3, n));
    assert_eq!(ledger.poll_releases(1.3).0.len(), 4);
}

#[test]
fn number_of_releases_in_progress_is_bounded() {
    let mut ledger = new_ledger();
    for n in 0..MAX_RELEASING as u64 + 3 {
        add_unclaimed(&mut ledger, 0.0, n);
        ledger.release_all(0.0, n);
    }
    assert_eq!((ledger.len(), ledger.counters.abandoned), (MAX_RELEASING, 3));
    let (calls, wake) = ledger.poll_releases(0.0);
    assert_eq!((calls.len(), wake), (MAX_RELEASING, None));
    calls.iter().for_each(|(id, _)| ledger.release_answered(0.1, *id, true, false));
    assert!(ledger.is_empty() && ledger.indexes.wakeups.is_empty() && ledger.indexes.releasing.is_empty());
}

/// A ledger with the release calls and claims in flight around it.
struct Simulation {
    ledger: Ledger,
    now: f64,
    attempt: u32,
    prefills: u64,
    release_calls: Vec<ReservationId>,
    /// Claims in flight: request, attempt and name of the reservation.
    claims: Vec<(u64, u32, Rc<str>)>,
    named_after_request: bool,
}

impl Simulation {
    fn new(named_after_request: bool) -> Simulation {
        Simulation {
            ledger: new_ledger(),
            now: 0.0,
            attempt: 0,
            prefills: 0,
            release_calls: Vec::new(),
            claims: Vec::new(),
            named_after_request,
        }
    }

    fn is_claimed(&self, name: &str) -> bool {
        self.claims.iter().any(|claim| *claim.2 == *name)
    }

    fn poll(&mut self) {
        for (id, reservation) in self.ledger.poll_releases(self.now).0 {
            let may_be_claimed = self.named_after_request;
            assert!(
                may_be_claimed || !self.is_claimed(&reservation.name),
                "released while an attempt claims it"
            );
            self.release_calls.push(id);
        }
        for entry in self.ledger.entries.values() {
            if let Stage::Unclaimed { since } = entry.stage {
                assert!(self.now < since + RESERVATION_LIMIT_S);
            }
        }
    }

    fn prefill(&mut self, owner: u64, succeeds: bool) {
        let id = ReservationId { owner, prefill: self.attempt };
        let named_after_request = self.named_after_request;
        let reservation = Reservation { named_after_request, ..reservation(u64::from(self.attempt)) };
        self.ledger.prefill_begins(self.now, id, reservation);
        if succeeds {
            self.ledger.prefill_done(self.now, id);
        } else {
            self.ledger.prefill_failed(self.now, id, false);
        }
        self.prefills += 1;
    }

    fn claim(&mut self, owner: u64) {
        if let Some(reservation) = self.ledger.claim(self.now, owner, self.attempt) {
            assert!(!self.is_claimed(&reservation.name), "reservation claimed by two attempts");
            self.claims.push((owner, self.attempt, reservation.name));
        }
    }

    fn end_claim(&mut self, pick: u64, served: bool) {
        let (owner, attempt, _) = self.claims.remove(pick as usize % self.claims.len());
        if served {
            self.ledger.claim_served(self.now, owner, attempt);
        } else {
            self.ledger.claim_ended(self.now, owner, attempt, pick.is_multiple_of(2));
        }
    }

    fn answer_calls(&mut self, confirmed: bool) {
        for id in std::mem::take(&mut self.release_calls) {
            self.ledger.release_answered(self.now, id, confirmed, false);
        }
    }

    fn step(&mut self, (event, pick, elapsed_s): (u8, u64, f64)) {
        self.now += elapsed_s;
        self.poll();
        self.attempt += 1;
        match event {
            0 | 1 => self.prefill(pick, elapsed_s < 0.2),
            2 => {
                let id = ReservationId { owner: pick, prefill: self.attempt - 1 };
                self.ledger.prefill_failed(self.now, id, true);
            }
            3 => self.claim(pick),
            4 | 5 if !self.claims.is_empty() => self.end_claim(pick, event == 4),
            6 => self.ledger.release_all(self.now, pick),
            7 => self.answer_calls(pick % 3 > 0),
            8 if pick == 0 => self.ledger.engines_gone(self.now, |lost| lost.prefill_engine.id == "r1"),
            _ => {}
        }
    }

    /// Finds overdue requests by a scan of all releases, in the order in which the releases began.
    fn overdue_by_full_scan(&self) -> Vec<u64> {
        let releasing = self.ledger.indexes.releasing.iter().map(|(_, id)| *id);
        let is_overdue = |id: &ReservationId| {
            let entry = &self.ledger.entries[id];
            entry.is_unreported() && self.now > entry.lease_from + RESERVATION_LIMIT_S
        };
        releasing.filter(is_overdue).map(|id| id.owner).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
    /// In any order of events, each reservation is counted once when it ends, none stays unclaimed beyond the
    /// limit, none is claimed by two attempts, and the indexes agree with the stages.
    #[test]
    fn each_reservation_is_counted_once(
        steps in prop::collection::vec((0u8..9, 0u64..12, 0.0..0.3f64), 1..200),
    ) {
        let mut simulation = Simulation::new(false);
        for step in steps {
            simulation.step(step);
            let ledger = &simulation.ledger;
            let with_wakeup = ledger.entries.values().filter(|entry| entry.wake_at(RESERVATION_LIMIT_S).is_some());
            prop_assert_eq!(ledger.indexes.wakeups.len(), with_wakeup.count());
        }
        let Simulation { mut ledger, mut now, prefills, mut release_calls, claims, .. } = simulation;
        for (owner, attempt, _) in claims {
            ledger.claim_ended(now, owner, attempt, true);
        }
        for _ in 0..400 {
            now += 0.01;
            for id in std::mem::take(&mut release_calls) {
                ledger.release_answered(now, id, true, false);
            }
            release_calls.extend(ledger.poll_releases(now).0.into_iter().map(|call| call.0));
        }
        let counters = ledger.counters;
        prop_assert_eq!(counters.prefilled, prefills);
        let ended = counters.served + counters.released + counters.lost + counters.abandoned;
        prop_assert_eq!(counters.prefilled, ended, "{:?}", counters);
        prop_assert!(ledger.is_empty() && ledger.indexes.releasing.is_empty());
    }

    /// The index of unreported releases gives the same requests as a scan of all releases, in the same order
    /// and each once.
    #[test]
    fn overdue_reservations_are_those_that_a_scan_of_all_releases_finds(
        steps in prop::collection::vec((0u8..9, 0u64..12, 0.0..0.3f64), 1..200),
        named_after_request in any::<bool>(),
    ) {
        let mut simulation = Simulation::new(named_after_request);
        for step in steps {
            simulation.step(step);
            let unreported = simulation.ledger.entries.values().filter(|entry| entry.is_unreported()).count();
            prop_assert_eq!(simulation.ledger.indexes.unreported.len(), unreported);
            let expected = simulation.overdue_by_full_scan();
            prop_assert_eq!(simulation.ledger.take_overdue(simulation.now), expected);
            prop_assert!(simulation.ledger.take_overdue(simulation.now).is_empty());
        }
    }
}

/// The end of an attempt and the release use two connections, so they may reach the engine in either order.
#[test]
fn release_that_may_have_overtaken_the_end_of_an_attempt_is_repeated_once() {
    let mut ledger = new_ledger();
    let id = begin_shared_prefill(&mut ledger, 0.5, 0);
    ledger.prefill_done(1.0, id);
    ledger.claim(1.0, 1, 1);
    ledger.claim_ended(1.1, 1, 1, false);
    ledger.release_all(1.1, 1);
    assert_eq!(ledger.poll_releases(1.1).0.len(), 1);
    ledger.release_answered(1.11, id, true, true);
    let repeat_at = 1.11 + FOLLOW_UP_SHARE * RESERVATION_LIMIT_S;
    assert_eq!(ledger.poll_releases(repeat_at - 0.01).0, vec![]);
    assert_eq!(ledger.poll_releases(repeat_at).0.len(), 1);
    assert!(ledger.take_overdue(9.0).is_empty(), "a confirmed release is not overdue");
    ledger.release_answered(repeat_at, id, true, true);
    assert!(ledger.is_empty());
}
