use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use test_case::test_case;

fn config() -> IdempotencyConfig {
    IdempotencyConfig {
        max_entries: 4,
        max_bytes: 300,
        max_bytes_per_entry: 100,
        retention_s: 10.0,
        takeover_s: 2.0,
    }
}

fn key(n: u8) -> IdempotencyKey {
    IdempotencyKey::new("t", &n.to_string())
}

fn start(table: &mut IdempotencyTable, now: f64, n: u8, may_repeat: bool) -> EntryId {
    match table.look_up(now, key(n), [n; 32], may_repeat) {
        KeyLookup::New(id) => id,
        other => panic!("{other:?}"),
    }
}

#[test]
fn duplicate_joins_a_running_request_and_gets_a_recorded_answer() {
    let mut table = IdempotencyTable::new(config());
    let id = start(&mut table, 0.0, 1, true);
    assert!(table.record(id, 50));
    assert_eq!(table.look_up(1.0, key(1), [1; 32], true), KeyLookup::Join(id));
    table.response_ended(2.0, id, RunOutcome::Completed);
    assert_eq!(table.look_up(3.0, key(1), [1; 32], true), KeyLookup::Recorded(id));
    assert_eq!(table.look_up(3.0, key(1), [9; 32], true), KeyLookup::Mismatch);
    // The same key text from another tenant is a different key.
    assert!(matches!(table.look_up(3.0, IdempotencyKey::new("u", "1"), [1; 32], true), KeyLookup::New(_)));
    assert!(
        matches!(table.look_up(12.1, key(1), [1; 32], true), KeyLookup::New(_)),
        "the retention time has passed"
    );
}

#[test_case(RunOutcome::Rejected, false, true; "a rejected request has not run")]
#[test_case(RunOutcome::Failed, true, true; "a failed request may run again")]
#[test_case(RunOutcome::Failed, false, false; "a failed request may not run again")]
#[test_case(RunOutcome::Cancelled, true, true; "a cancelled request may run again")]
#[test_case(RunOutcome::Cancelled, false, false; "a cancelled request may not run again")]
fn duplicate_of_a_finished_request_runs_only_where_it_may(outcome: RunOutcome, may_repeat: bool, runs: bool) {
    let mut table = IdempotencyTable::new(config());
    let id = start(&mut table, 0.0, 1, may_repeat);
    table.response_ended(1.0, id, outcome);
    let found = table.look_up(2.0, key(1), [1; 32], may_repeat);
    assert_eq!(matches!(found, KeyLookup::New(_)), runs, "{found:?}");
}

#[test]
fn request_whose_answer_is_too_long_to_record_does_not_run_again() {
    let mut table = IdempotencyTable::new(config());
    let id = start(&mut table, 0.0, 1, false);
    assert!(table.record(id, 90) && !table.record(id, 20));
    assert_eq!((table.bytes(), table.look_up(1.0, key(1), [1; 32], false)), (0, KeyLookup::NotRecorded));
    table.response_ended(2.0, id, RunOutcome::Completed);
    assert_eq!(table.look_up(3.0, key(1), [1; 32], false), KeyLookup::NotRecorded);
}

#[test]
fn request_without_listeners_is_cancelled_unless_a_duplicate_joins_in_time() {
    let mut table = IdempotencyTable::new(config());
    let id = start(&mut table, 0.0, 1, true);
    table.listener_left(1.0, id);
    assert_eq!(table.poll_commands(1.0), (vec![], Some(3.0)));
    assert_eq!(table.look_up(2.0, key(1), [1; 32], true), KeyLookup::Join(id));
    assert_eq!(table.poll_commands(4.0).0, vec![]);
    table.listener_left(5.0, id);
    assert_eq!(table.poll_commands(7.0).0, vec![IdempotencyCommand::Cancel(id)]);
}

#[test]
fn full_table_evicts_only_requests_that_may_run_again() {
    let mut table = IdempotencyTable::new(config());
    let all: Vec<EntryId> = (0..4).map(|n| start(&mut table, 0.0, n, n % 2 == 0)).collect();
    assert_eq!(table.look_up(1.0, key(9), [9; 32], true), KeyLookup::Unrecorded);
    assert_eq!(table.look_up(1.0, key(9), [9; 32], false), KeyLookup::Full);
    all.iter().for_each(|&id| table.response_ended(2.0, id, RunOutcome::Completed));
    assert!(matches!(table.look_up(3.0, key(9), [9; 32], false), KeyLookup::New(_)));
    assert!(matches!(table.look_up(3.0, key(8), [8; 32], false), KeyLookup::New(_)));
    // The remaining requests may not run again, so their entries are not evicted.
    assert_eq!(table.look_up(3.0, key(7), [7; 32], false), KeyLookup::Full);
    assert_eq!(table.look_up(3.0, key(1), [1; 32], false), KeyLookup::Recorded(all[1]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn request_that_may_not_repeat_runs_once_within_its_retention(
        steps in prop::collection::vec((0u8..6, 0u8..7, 0.0..1.5f64), 1..150),
    ) {
        let config = config();
        let mut table = IdempotencyTable::new(config.clone());
        let mut now = 0.0;
        // For each key: the run that may have had an effect, and when it ended.
        let mut ran: std::collections::BTreeMap<u8, (EntryId, Option<f64>)> = Default::default();
        let mut running: Vec<(u8, EntryId)> = Vec::new();
        let mut known: BTreeSet<EntryId> = BTreeSet::new();
        for (step, n, elapsed_s) in steps {
            now += elapsed_s;
            let may_repeat = n % 2 == 0;
            match step {
                0..=2 => if let KeyLookup::New(id) = table.look_up(now, key(n), [n; 32], may_repeat) {
                    prop_assert!(known.insert(id));
                    if !may_repeat {
                        if let Some((_, ended)) = ran.get(&n) {
                            prop_assert!(ended.is_some_and(|at| now - at >= config.retention_s), "run twice");
                        }
                        ran.insert(n, (id, None));
                    }
                    running.push((n, id));
                },
                3 if !running.is_empty() => {
                    let (n, id) = running.remove(n as usize % running.len());
                    let outcome = [RunOutcome::Completed, RunOutcome::Failed, RunOutcome::Cancelled][(now * 10.0) as usize % 3];
                    table.response_ended(now, id, outcome);
                    if let Some(run) = ran.get_mut(&n).filter(|run| run.0 == id) {
                        run.1 = Some(now);
                    }
                }
                4 if !running.is_empty() => {
                    let id = running[n as usize % running.len()].1;
                    table.record(id, 10 * n as usize);
                }
                5 if !running.is_empty() => table.listener_left(now, running[n as usize % running.len()].1),
                _ => drop(table.poll_commands(now)),
            }
            prop_assert!(table.len() <= config.max_entries && table.bytes() <= config.max_bytes);
        }
        running.iter().for_each(|(_, id)| table.response_ended(now, *id, RunOutcome::Failed));
        table.poll_commands(now + config.retention_s + 1.0);
        prop_assert_eq!((table.len(), table.bytes()), (0, 0));
    }
}

#[test]
fn request_of_an_earlier_process_is_known_and_does_not_run_again() {
    let mut table = IdempotencyTable::new(IdempotencyConfig::default());
    table.restore(-20.0, IdempotencyKey::new("t", "k"), [1; 32]);
    assert_eq!(table.look_up(0.0, IdempotencyKey::new("t", "k"), [1; 32], false), KeyLookup::NotRecorded);
    assert_eq!(table.look_up(0.0, IdempotencyKey::new("t", "k"), [2; 32], false), KeyLookup::Mismatch);
    // The retention time counts from when the request was accepted.
    assert!(matches!(table.look_up(41.0, IdempotencyKey::new("t", "k"), [1; 32], false), KeyLookup::New(_)));
}

/// Keys are stored on disk while a node is upgraded, so both releases must hash them alike.
#[test]
fn keys_are_hashed_as_by_earlier_releases() {
    let digits: String = IdempotencyKey::new("t", "k").0.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(digits, "65192b58672d3ff70e93548c483528ef98e42f1a10646b8bd70bf6d15bd5e41f");
}
