use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn id(n: u8) -> Uuid {
    Uuid([n; 16])
}

fn entry(value: u8) -> Attributes {
    [("cn".to_string(), vec![vec![value]])].into()
}

fn full_refresh(sync: &mut ContentSync, now: f64, numbers: impl Iterator<Item = u8>) -> RefreshOutcome {
    sync.begin_refresh();
    numbers.for_each(|n| sync.message(SyncMessage::Put(id(n), entry(n))));
    sync.refresh_finished(now, RefreshResult::Complete { names_deleted: false }, Some(vec![1]))
}

#[test]
fn aborted_refresh_removes_no_entry() {
    let mut sync = ContentSync::new(SyncConfig::default());
    assert_eq!(full_refresh(&mut sync, 0.0, 0..100), RefreshOutcome::Applied { changed: 100, removed: 0 });
    sync.begin_refresh();
    (0..50).for_each(|n| sync.message(SyncMessage::Put(id(n), entry(n + 1))));
    sync.update_cookie(vec![9]);
    assert_eq!(sync.refresh_finished(1.0, RefreshResult::Aborted, None), RefreshOutcome::Discarded);
    assert_eq!(
        (sync.entries().len(), sync.entries()[&id(3)] == entry(3), sync.cookie()),
        (100, true, Some(&[1][..]))
    );
    // If the cookie is refused, all entries are read again, and the known entries are kept meanwhile.
    sync.begin_refresh();
    assert_eq!(sync.refresh_finished(2.0, RefreshResult::RefreshRequired, None), RefreshOutcome::Discarded);
    assert_eq!((sync.entries().len(), sync.cookie()), (100, None));
}

#[test]
fn large_removal_must_be_confirmed_and_a_small_one_applies_at_once() {
    let mut sync = ContentSync::new(SyncConfig::default());
    full_refresh(&mut sync, 0.0, 0..100);
    assert_eq!(full_refresh(&mut sync, 10.0, 4..100), RefreshOutcome::Applied { changed: 0, removed: 4 });
    // No entry is reported, as after a wrong search base or a loss of access rights.
    assert_eq!(full_refresh(&mut sync, 20.0, 0..0), RefreshOutcome::Suspected { removed: 96 });
    assert_eq!(full_refresh(&mut sync, 50.0, 0..0), RefreshOutcome::Suspected { removed: 96 });
    assert_eq!(full_refresh(&mut sync, 60.0, 4..100), RefreshOutcome::Applied { changed: 0, removed: 0 });
    assert_eq!(full_refresh(&mut sync, 100.0, 0..0), RefreshOutcome::Suspected { removed: 96 });
    assert_eq!(
        (sync.entries().len(), full_refresh(&mut sync, 161.0, 0..0)),
        (96, RefreshOutcome::Applied { changed: 0, removed: 96 })
    );
}

#[test]
fn named_deletes_and_live_changes_are_applied() {
    let mut sync = ContentSync::new(SyncConfig::default());
    full_refresh(&mut sync, 0.0, 0..10);
    sync.begin_refresh();
    sync.message(SyncMessage::IdSet { deleted: true, ids: vec![id(1), id(2), id(77)] });
    sync.message(SyncMessage::Put(id(20), entry(20)));
    assert_eq!(
        sync.refresh_finished(1.0, RefreshResult::Complete { names_deleted: true }, Some(vec![2])),
        RefreshOutcome::Applied { changed: 1, removed: 2 }
    );
    let version = sync.version;
    sync.message(SyncMessage::Delete(id(3)));
    sync.message(SyncMessage::Put(id(4), entry(99)));
    sync.message(SyncMessage::Put(id(4), entry(99)));
    sync.update_cookie(vec![3]);
    assert_eq!((sync.entries().len(), sync.version, sync.cookie()), (8, version + 2, Some(&[3][..])));
    // An entry that becomes too large keeps its last accepted version.
    sync.message(SyncMessage::Put(id(4), [("cn".to_string(), vec![vec![0; 5000]])].into()));
    assert_eq!((sync.entries()[&id(4)] == entry(99), sync.oversized), (true, 1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(131), failure_persistence: None, ..ProptestConfig::default() })]
    /// The directory changes, and refreshes are interrupted at arbitrary points. Interrupted refreshes remove
    /// no entry, and after two complete refreshes the known entries equal the directory.
    #[test]
    fn entries_equal_the_directory_after_a_complete_refresh(
        steps in prop::collection::vec((0u8..5, 0u8..20, any::<u8>(), any::<bool>()), 1..60),
    ) {
        let mut sync = ContentSync::new(SyncConfig { confirmation_interval_s: 1.0, ..SyncConfig::default() });
        let (mut directory, mut now) = (BTreeMap::<Uuid, Attributes>::new(), 0.0);
        for (action, n, value, is_complete) in steps {
            now += 0.4;
            match action {
                0 | 1 => drop(directory.insert(id(n), entry(value))),
                2 => drop(directory.remove(&id(n))),
                _ => {
                    let before: Vec<Uuid> = sync.entries().keys().copied().collect();
                    sync.begin_refresh();
                    let sent = if is_complete { directory.len() } else { usize::from(n) % (directory.len() + 1) };
                    for (n, (id, attributes)) in directory.iter().take(sent).enumerate() {
                        sync.message(if n % 2 == 0 || sync.entries().get(id) != Some(attributes) { SyncMessage::Put(*id, attributes.clone()) } else { SyncMessage::Present(*id) });
                    }
                    let verdict = sync.refresh_finished(now, if is_complete { RefreshResult::Complete { names_deleted: false } } else { RefreshResult::Aborted }, None);
                    if !is_complete {
                        prop_assert!(before.iter().all(|id| sync.entries().contains_key(id)));
                    } else if matches!(verdict, RefreshOutcome::Applied { .. }) {
                        prop_assert_eq!(sync.entries(), &directory);
                    }
                }
            }
        }
        for _ in 0..2 {
            now += 2.0;
            sync.begin_refresh();
            directory.iter().for_each(|(id, attributes)| sync.message(SyncMessage::Put(*id, attributes.clone())));
            sync.refresh_finished(now, RefreshResult::Complete { names_deleted: false }, None);
        }
        prop_assert_eq!(sync.entries(), &directory);
    }
}
