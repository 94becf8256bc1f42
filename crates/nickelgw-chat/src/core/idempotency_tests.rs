use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use test_case::test_case;

fn figures() -> IdempotencyConfig {
    IdempotencyConfig {
        most_entries: 4,
        most_bytes: 300,
        most_bytes_each: 100,
        keep_s: 10.0,
        takeover_s: 2.0,
    }
}

fn key(n: u8) -> Key {
    Key::of("t", &n.to_string())
}

fn new(r: &mut IdempotencyTable, now: f64, n: u8, may_repeat: bool) -> Serial {
    match r.look_up(now, key(n), [n; 32], may_repeat) {
        KeyLookup::New(s) => s,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_repeat_joins_what_runs_and_hears_what_was_recorded() {
    let mut r = IdempotencyTable::new(figures());
    let s = new(&mut r, 0.0, 1, true);
    assert!(r.record(s, 50));
    assert_eq!(r.look_up(1.0, key(1), [1; 32], true), KeyLookup::Join(s));
    r.response_ended(2.0, s, Ended::Completed);
    assert_eq!(r.look_up(3.0, key(1), [1; 32], true), KeyLookup::Recorded(s));
    assert_eq!(r.look_up(3.0, key(1), [9; 32], true), KeyLookup::Mismatch);
    // Another tenant's key of the same text is another key.
    assert!(matches!(r.look_up(3.0, Key::of("u", "1"), [1; 32], true), KeyLookup::New(_)));
    assert!(matches!(r.look_up(12.1, key(1), [1; 32], true), KeyLookup::New(_)), "its time is up");
}

#[test_case(Ended::Rejected, false, true; "shed, it has not run")]
#[test_case(Ended::Failed, true, true; "errored, it may run again")]
#[test_case(Ended::Failed, false, false; "errored, it may not")]
#[test_case(Ended::Cancelled, true, true; "called off, it may run again")]
#[test_case(Ended::Cancelled, false, false; "called off, it may not")]
fn a_repeat_after_the_end_runs_anew_only_where_that_is_harmless(how: Ended, may_repeat: bool, anew: bool) {
    let mut r = IdempotencyTable::new(figures());
    let s = new(&mut r, 0.0, 1, may_repeat);
    r.response_ended(1.0, s, how);
    let again = r.look_up(2.0, key(1), [1; 32], may_repeat);
    assert_eq!(matches!(again, KeyLookup::New(_)), anew, "{again:?}");
}

#[test]
fn an_answer_too_long_to_keep_is_no_reason_for_a_second_effect() {
    let mut r = IdempotencyTable::new(figures());
    let s = new(&mut r, 0.0, 1, false);
    assert!(r.record(s, 90) && !r.record(s, 20));
    assert_eq!((r.bytes(), r.look_up(1.0, key(1), [1; 32], false)), (0, KeyLookup::NotKept));
    r.response_ended(2.0, s, Ended::Completed);
    assert_eq!(r.look_up(3.0, key(1), [1; 32], false), KeyLookup::NotKept);
}

#[test]
fn what_nobody_hears_is_called_off_unless_a_repeat_comes_in_time() {
    let mut r = IdempotencyTable::new(figures());
    let s = new(&mut r, 0.0, 1, true);
    r.listener_left(1.0, s);
    assert_eq!(r.due(1.0), (vec![], Some(3.0)));
    assert_eq!(r.look_up(2.0, key(1), [1; 32], true), KeyLookup::Join(s));
    assert_eq!(r.due(4.0).0, vec![]);
    r.listener_left(5.0, s);
    assert_eq!(r.due(7.0).0, vec![Do::CallOff(s)]);
}

#[test]
fn a_full_table_forgets_only_what_is_harmless() {
    let mut r = IdempotencyTable::new(figures());
    let all: Vec<Serial> = (0..4).map(|n| new(&mut r, 0.0, n, n % 2 == 0)).collect();
    assert_eq!(r.look_up(1.0, key(9), [9; 32], true), KeyLookup::Unrecorded);
    assert_eq!(r.look_up(1.0, key(9), [9; 32], false), KeyLookup::Full);
    all.iter().for_each(|&s| r.response_ended(2.0, s, Ended::Completed));
    assert!(matches!(r.look_up(3.0, key(9), [9; 32], false), KeyLookup::New(_)));
    assert!(matches!(r.look_up(3.0, key(8), [8; 32], false), KeyLookup::New(_)));
    // What is left may not repeat.
    assert_eq!(r.look_up(3.0, key(7), [7; 32], false), KeyLookup::Full);
    assert_eq!(r.look_up(3.0, key(1), [1; 32], false), KeyLookup::Recorded(all[1]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn nothing_that_may_not_repeat_runs_twice_within_its_time(
        steps in prop::collection::vec((0u8..6, 0u8..7, 0.0..1.5f64), 1..150),
    ) {
        let f = figures();
        let mut r = IdempotencyTable::new(f.clone());
        let mut now = 0.0;
        // By key: when a run began that may have had an effect, and still counts.
        let mut ran: std::collections::BTreeMap<u8, (Serial, Option<f64>)> = Default::default();
        let mut running: Vec<(u8, Serial)> = Vec::new();
        let mut known: BTreeSet<Serial> = BTreeSet::new();
        for (what, n, dt) in steps {
            now += dt;
            let may_repeat = n % 2 == 0;
            match what {
                0..=2 => if let KeyLookup::New(s) = r.look_up(now, key(n), [n; 32], may_repeat) {
                    prop_assert!(known.insert(s));
                    if !may_repeat {
                        if let Some((_, ended)) = ran.get(&n) {
                            prop_assert!(ended.is_some_and(|at| now - at >= f.keep_s), "run twice");
                        }
                        ran.insert(n, (s, None));
                    }
                    running.push((n, s));
                },
                3 if !running.is_empty() => {
                    let (n, s) = running.remove(n as usize % running.len());
                    let how = [Ended::Completed, Ended::Failed, Ended::Cancelled][(now * 10.0) as usize % 3];
                    r.response_ended(now, s, how);
                    if let Some(x) = ran.get_mut(&n).filter(|x| x.0 == s) {
                        x.1 = Some(now);
                    }
                }
                4 if !running.is_empty() => {
                    let s = running[n as usize % running.len()].1;
                    r.record(s, 10 * n as usize);
                }
                5 if !running.is_empty() => r.listener_left(now, running[n as usize % running.len()].1),
                _ => drop(r.due(now)),
            }
            prop_assert!(r.len() <= f.most_entries && r.bytes() <= f.most_bytes);
        }
        running.iter().for_each(|(_, s)| r.response_ended(now, *s, Ended::Failed));
        r.due(now + f.keep_s + 1.0);
        prop_assert_eq!((r.len(), r.bytes()), (0, 0));
    }
}

#[test]
fn what_an_earlier_process_took_is_known_and_does_not_run() {
    let mut r = IdempotencyTable::new(IdempotencyConfig::default());
    r.restore(-20.0, Key::of("t", "k"), [1; 32]);
    assert_eq!(r.look_up(0.0, Key::of("t", "k"), [1; 32], false), KeyLookup::NotKept);
    assert_eq!(r.look_up(0.0, Key::of("t", "k"), [2; 32], false), KeyLookup::Mismatch);
    // Its time counts from when it was taken.
    assert!(matches!(r.look_up(41.0, Key::of("t", "k"), [1; 32], false), KeyLookup::New(_)));
}
