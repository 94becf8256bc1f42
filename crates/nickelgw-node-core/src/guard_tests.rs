use super::*;
use nickelgw::interface::IdempotencyScope;
use test_case::test_case;

const DEDUPED: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::All, window_s: 3.0 };

fn sound() -> Attempt {
    Attempt {
        prefill: false,
        waiting: true,
        left_s: 1.0,
        another_out: false,
        may_have_run_s: None,
        repeat: Idempotency::NonIdempotent,
        listed: true,
        releasing: false,
    }
}

#[test_case(|a| a.waiting = false, Violation::AttemptAfterEnd; "after its end")]
#[test_case(|a| a.left_s = 0.0, Violation::AttemptAfterDeadline; "after its deadline")]
#[test_case(|a| a.another_out = true, Violation::ConcurrentAttempt; "beside another")]
#[test_case(|a| a.may_have_run_s = Some(0.1), Violation::RepeatedEffect; "again, though it may run once")]
#[test_case(|a| (a.repeat, a.may_have_run_s) = (DEDUPED, Some(3.0)), Violation::RepeatedEffect; "after the memory of repeats")]
#[test_case(|a| a.listed = false, Violation::AttemptAtDraining; "at one that drains")]
#[test_case(|a| (a.prefill, a.releasing) = (true, true), Violation::PrefillBeforeRelease; "before a release is confirmed")]
fn an_attempt_that_breaks_a_rule_is_refused_and_counted(but: fn(&mut Attempt), broken: Violation) {
    let mut guard = Guard::default();
    assert!(guard.permits(&sound(), 1));
    let mut attempt = sound();
    but(&mut attempt);
    assert!(!guard.permits(&attempt, 7));
    assert_eq!(guard.counts().get(&broken), Some(&1));
    assert_eq!(guard.take_news(), vec![(broken, 7)]);
    assert!(guard.take_news().is_empty());
}

#[test_case(|a| (a.prefill, a.may_have_run_s) = (true, Some(9.0)); "a prefill has no effect")]
#[test_case(|a| (a.repeat, a.may_have_run_s) = (DEDUPED, Some(2.9)); "a repeat that is recognized")]
#[test_case(|a| a.releasing = true; "a decode attempt beside a release")]
fn what_breaks_no_rule_passes(but: fn(&mut Attempt)) {
    let mut attempt = sound();
    but(&mut attempt);
    assert_eq!(attempt.check(), Ok(()));
}
