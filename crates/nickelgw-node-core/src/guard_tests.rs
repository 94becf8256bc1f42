//! Tests of the rules that the guard checks.

use super::*;
use nickelgw::interface::IdempotencyScope;
use test_case::test_case;

const KEYED: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::All, window_s: 3.0 };

fn permitted_attempt() -> ProposedAttempt {
    ProposedAttempt {
        is_prefill: false,
        request_waiting: true,
        remaining_s: 1.0,
        another_in_flight: false,
        since_possible_run_s: None,
        idempotency: Idempotency::NonIdempotent,
        engine_available: true,
        release_pending: false,
    }
}

#[test_case(|attempt| attempt.request_waiting = false, Violation::AttemptAfterEnd; "after its end")]
#[test_case(|attempt| attempt.remaining_s = 0.0, Violation::AttemptAfterDeadline; "after its deadline")]
#[test_case(|attempt| attempt.another_in_flight = true, Violation::ConcurrentAttempt; "while another is in flight")]
#[test_case(|attempt| attempt.since_possible_run_s = Some(0.1), Violation::RepeatedEffect; "retry of a non idempotent request")]
#[test_case(|attempt| (attempt.idempotency, attempt.since_possible_run_s) = (KEYED, Some(3.0)), Violation::RepeatedEffect; "retry after the idempotency window")]
#[test_case(|attempt| attempt.engine_available = false, Violation::AttemptAtDraining; "at a draining engine")]
#[test_case(|attempt| (attempt.is_prefill, attempt.release_pending) = (true, true), Violation::PrefillBeforeRelease; "prefill before a release is confirmed")]
fn attempt_that_breaks_a_rule_is_refused_and_counted(change: fn(&mut ProposedAttempt), violation: Violation) {
    let mut guard = Guard::default();
    assert!(guard.permits(&permitted_attempt(), 1));
    let mut attempt = permitted_attempt();
    change(&mut attempt);
    assert!(!guard.permits(&attempt, 7));
    assert_eq!(guard.counts().get(&violation), Some(&1));
    assert_eq!(guard.take_violations(), vec![(violation, 7)]);
    assert!(guard.take_violations().is_empty());
}

#[test_case(|attempt| (attempt.is_prefill, attempt.since_possible_run_s) = (true, Some(9.0)); "a prefill has no effect")]
#[test_case(|attempt| (attempt.idempotency, attempt.since_possible_run_s) = (KEYED, Some(2.9)); "a retry within the idempotency window")]
#[test_case(|attempt| attempt.release_pending = true; "a decode attempt during a release")]
fn attempt_that_breaks_no_rule_is_permitted(change: fn(&mut ProposedAttempt)) {
    let mut attempt = permitted_attempt();
    change(&mut attempt);
    assert_eq!(attempt.check(), Ok(()));
}
