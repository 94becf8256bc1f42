use super::*;
use crate::Endpoint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::rc::Rc;
use test_case::test_case;

const HOLD_S: f64 = 0.5;

fn ledger() -> Ledger {
    Ledger::new(HOLD_S, 2.0)
}

fn state(n: u64) -> Reservation {
    let reader = Rc::new(Endpoint { id: format!("r{}", n % 3), address: "a".into(), tls_name: None });
    Reservation { name: format!("s{n}"), prefill_engine: reader, named_after_request: false }
}

fn held(owner: u64) -> ReservationId {
    ReservationId { owner, prefill: 0 }
}

fn waiting(l: &mut Ledger, now: f64, owner: u64) {
    l.prefill_begins(now, held(owner), state(owner));
    l.prefill_done(now, held(owner));
}

#[test]
fn a_failed_call_is_repeated_then_given_up_in_time() {
    let mut l = ledger();
    waiting(&mut l, 1.0, 1);
    l.release_all(1.0, 1);
    let (mut now, mut calls) = (1.0, 0);
    while !l.is_empty() {
        let (due, _) = l.due(now);
        due.iter().for_each(|(h, _)| l.release_answered(now, *h, false, false));
        calls += due.len();
        now = l.due(now).1.unwrap_or(now).max(now + 0.001);
        assert!(now < 4.0);
    }
    assert!((6..=10).contains(&calls), "{calls}");
    assert_eq!((l.counters.abandoned, l.counters.released), (1, 0));
}

/// A prefill of a request whose reservation bears the request's name, at an engine.
fn shared(l: &mut Ledger, now: f64, prefill: u32) -> ReservationId {
    let id = ReservationId { owner: 1, prefill };
    l.prefill_begins(now, id, Reservation { named_after_request: true, ..state(1) });
    id
}

/// It stood until the request was over: a prefill that had ended well as its connection broke (issue 39).
#[test]
fn what_a_failed_prefill_may_have_left_is_released_at_once() {
    let mut l = ledger();
    let first = shared(&mut l, 0.5, 0);
    l.prefill_failed(1.0, first, false);
    assert!(l.is_releasing(1), "a further prefill has to wait");
    let (calls, _) = l.due(1.0);
    assert_eq!(calls.len(), 1);
    l.release_answered(1.01, first, false, false);
    assert!(l.is_releasing(1), "not confirmed");
    let (calls, _) = l.due(1.1);
    assert_eq!(calls.len(), 1);
    l.release_answered(1.11, first, true, false);
    assert!(!l.is_releasing(1) && l.is_empty());
}

/// An attempt that gives no sign does not stop the clock (issue 39).
#[test_case(false; "and ends without one")]
#[test_case(true; "and begins to answer after all")]
fn a_claimed_reservation_is_released_as_its_lease_ends(begins: bool) {
    let mut l = ledger();
    let id = shared(&mut l, 0.5, 0);
    l.prefill_done(1.0, id);
    assert!(l.claim(1.0, 1, 1).is_some());
    let lease_s = LEASE_PART * HOLD_S;
    assert_eq!(l.due(1.0 + lease_s - 0.01).0, vec![]);
    let (calls, _) = l.due(1.0 + lease_s);
    assert_eq!((calls.len(), l.take_expired()), (1, vec![1]));
    l.release_answered(1.3, id, true, false);
    // The attempt may have claimed it before: its end decides.
    assert!(!l.is_empty() && l.claim(1.4, 1, 2).is_none());
    if begins {
        l.claim_served(1.5, 1, 1);
        assert!(l.is_empty());
        return;
    }
    l.claim_ended(1.5, 1, 1, false);
    let (calls, _) = l.due(1.5);
    assert_eq!(calls.len(), 1, "what it had claimed stands again");
    l.release_answered(1.51, id, true, false);
    assert!(l.is_empty());
}

/// Only an engine's answer gives time anew.
#[test_case(true, 0.2 + LEASE_PART * HOLD_S; "answered")]
#[test_case(false, LEASE_PART * HOLD_S; "without a sign")]
fn the_lease_is_renewed_by_answers_alone(answered: bool, until_s: f64) {
    let mut l = ledger();
    let id = shared(&mut l, 0.5, 0);
    l.prefill_done(1.0, id);
    l.claim(1.1, 1, 1);
    l.claim_ended(1.2, 1, 1, answered);
    let (calls, wake) = l.due(1.2);
    assert_eq!(calls, vec![]);
    assert!((wake.unwrap() - 1.0 - until_s).abs() < 1e-9, "{wake:?}");
    assert_eq!(l.due(1.0 + until_s + 1e-9).0.len(), 1);
}

#[test]
fn one_call_releases_all_that_a_request_has_and_a_first_token_the_rest() {
    let mut l = ledger();
    let ids = [shared(&mut l, 0.5, 0), shared(&mut l, 0.5, 1)];
    ids.iter().for_each(|id| l.prefill_done(1.0, *id));
    l.release_all(1.1, 1);
    assert_eq!(l.due(1.1).0.len(), 1);
    l.release_answered(1.11, ids[1], true, false);
    assert!(l.is_empty());
    let ids = [shared(&mut l, 1.5, 2), shared(&mut l, 1.5, 3)];
    ids.iter().for_each(|id| l.prefill_done(1.6, *id));
    assert!(l.claim(1.6, 1, 4).is_some());
    l.claim_served(1.7, 1, 4);
    assert_eq!((l.due(9.0), l.is_empty()), ((vec![], None), true));
}

#[test]
fn what_nobody_takes_is_let_go_of_within_the_limit() {
    let mut l = ledger();
    waiting(&mut l, 1.0, 1);
    assert_eq!(l.due(1.2), (vec![], Some(1.5)));
    let (calls, _) = l.due(1.5);
    assert_eq!(calls, vec![(held(1), state(1))]);
    l.release_answered(1.6, held(1), true, false);
    assert_eq!((l.counters.overdue, l.counters.released, l.is_empty()), (1, 1, true));
    assert!((l.unclaimed_quantile_s(1.0) - 0.5).abs() < 0.01);
}

#[test]
fn what_a_gone_reader_held_is_accounted_for_and_not_called_for() {
    let mut l = ledger();
    (0..6).for_each(|n| waiting(&mut l, 1.0, n));
    l.release_all(1.0, 0);
    l.release_all(1.0, 3);
    let (calls, _) = l.due(1.0);
    assert_eq!(calls.len(), 2);
    l.release_answered(1.05, held(3), false, false);
    // 0 awaits an answer, 3 its next try; both were at r0, as was 6.
    l.engines_gone(1.06, |s| s.prefill_engine.id == "r0");
    assert_eq!((l.counters.lost, l.len()), (1, 5));
    l.release_answered(1.2, held(0), false, false);
    assert_eq!(l.counters.lost, 2);
    // Others are let go of by calls, as ever.
    (0..6).for_each(|n| l.release_all(1.3, n));
    assert_eq!(l.due(1.3).0.len(), 4);
}

#[test]
fn the_table_of_calls_is_bounded() {
    let mut l = ledger();
    for n in 0..MOST_RELEASING as u64 + 3 {
        waiting(&mut l, 0.0, n);
        l.release_all(0.0, n);
    }
    assert_eq!((l.len(), l.counters.abandoned), (MOST_RELEASING, 3));
    let (calls, wake) = l.due(0.0);
    assert_eq!((calls.len(), wake), (MOST_RELEASING, None));
    calls.iter().for_each(|(h, _)| l.release_answered(0.1, *h, true, false));
    assert!(l.is_empty() && l.poll_releases.is_empty() && l.releasing.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever comes in whatever order: each state ends in the account once, none waits past the limit, no state
    /// is given to two sends, and the tables by time agree with the stages.
    #[test]
    fn each_state_is_accounted_for_once(
        steps in prop::collection::vec((0u8..9, 0u64..12, 0.0..0.3f64), 1..200),
    ) {
        let mut l = ledger();
        let (mut now, mut send, mut calls, mut read) = (0.0, 0u32, Vec::new(), 0u64);
        let mut taken: Vec<(u64, u32, String)> = Vec::new();
        for (what, n, dt) in steps {
            now += dt;
            let (due, _) = l.due(now);
            for (h, s) in due {
                prop_assert!(!taken.iter().any(|t| t.2 == s.name), "let go of while a send takes it");
                calls.push(h);
            }
            for e in l.states.values() {
                if let Stage::Unclaimed(since) = e.stage {
                    prop_assert!(now < since + HOLD_S);
                }
            }
            send += 1;
            match what {
                0 | 1 => {
                    let h = ReservationId { owner: n, prefill: send };
                    l.prefill_begins(now, h, state(u64::from(send)));
                    match dt < 0.2 {
                        true => l.prefill_done(now, h),
                        false => l.prefill_failed(now, h, false),
                    }
                    read += 1;
                }
                2 => l.prefill_failed(now, ReservationId { owner: n, prefill: send - 1 }, true),
                3 => {
                    if let Some(s) = l.claim(now, n, send) {
                        prop_assert!(!taken.iter().any(|t| t.2 == s.name), "taken twice");
                        taken.push((n, send, s.name));
                    }
                }
                4 | 5 if !taken.is_empty() => {
                    let (owner, by, _) = taken.remove(n as usize % taken.len());
                    if what == 4 { l.claim_served(now, owner, by) } else { l.claim_ended(now, owner, by, n % 2 == 0) }
                }
                6 => l.release_all(now, n),
                7 => std::mem::take(&mut calls).into_iter().for_each(|h| l.release_answered(now, h, n % 3 > 0, false)),
                8 if n == 0 => l.engines_gone(now, |s| s.prefill_engine.id == "r1"),
                _ => {}
            }
            let by_time = l.states.values().filter(|e| Ledger::when(e, HOLD_S).is_some()).count();
            prop_assert_eq!(l.poll_releases.len(), by_time);
        }
        taken.drain(..).for_each(|(owner, by, _)| l.claim_ended(now, owner, by, true));
        for _ in 0..400 {
            now += 0.01;
            std::mem::take(&mut calls).into_iter().for_each(|h| l.release_answered(now, h, true, false));
            calls.extend(l.due(now).0.into_iter().map(|c| c.0));
        }
        let a = l.counters;
        prop_assert_eq!(a.prefilled, read);
        prop_assert_eq!(a.prefilled, a.served + a.released + a.lost + a.abandoned, "{:?}", a);
        prop_assert!(l.is_empty() && l.releasing.is_empty());
    }
}

/// The end of an attempt and the release take two connections: the engine may hear of them in either order.
#[test]
fn a_release_that_may_have_overtaken_the_end_of_an_attempt_is_made_once_more() {
    let mut l = ledger();
    let id = shared(&mut l, 0.5, 0);
    l.prefill_done(1.0, id);
    l.claim(1.0, 1, 1);
    l.claim_ended(1.1, 1, 1, false);
    l.release_all(1.1, 1);
    assert_eq!(l.due(1.1).0.len(), 1);
    l.release_answered(1.11, id, true, true);
    let again = 1.11 + FOLLOW_UP_PART * HOLD_S;
    assert_eq!(l.due(again - 0.01).0, vec![]);
    assert_eq!(l.due(again).0.len(), 1);
    assert!(l.take_overdue(9.0).is_empty(), "it was confirmed");
    l.release_answered(again, id, true, true);
    assert!(l.is_empty());
}
