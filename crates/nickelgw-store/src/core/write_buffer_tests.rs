use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn shelf() -> WriteBuffer {
    WriteBuffer::new(Figures { most_records: 50, ..Figures::default() })
}

fn put(s: &mut WriteBuffer, now: f64, n: u8, value: &[u8], w: Option<u64>) {
    s.put(now, 1000.0 + now, (RecordKind::IdempotencyKey, &[n]), value, w.map(Waiter));
}

#[test]
fn changes_gather_and_who_waits_makes_haste() {
    let mut s = shelf();
    put(&mut s, 0.0, 1, b"a", None);
    assert_eq!(s.poll_batch(0.0), (None, Some(1.0)));
    put(&mut s, 0.1, 2, b"b", Some(7));
    let (none, at) = s.poll_batch(0.1);
    assert!(none.is_none() && at.unwrap() < 0.11);
    let batch = s.poll_batch(0.11).0.unwrap();
    assert_eq!(batch.changes.len(), 2);
    // One at a time; what comes meanwhile waits for the next.
    put(&mut s, 0.12, 3, b"c", Some(8));
    assert_eq!(s.poll_batch(0.5), (None, None));
    assert_eq!(s.commit_finished(0.5, batch.number, true), vec![(Waiter(7), true)]);
    let next = s.poll_batch(0.5).0.unwrap();
    assert_eq!(s.commit_finished(0.6, next.number, true), vec![(Waiter(8), true)]);
    assert!(s.is_clean() && s.counters.commits == 2);
}

#[test]
fn a_failed_commit_is_tried_again_and_waiters_are_told_in_time() {
    let mut s = shelf();
    put(&mut s, 0.0, 1, b"a", Some(1));
    let (mut now, mut told, mut tries) = (0.01, Vec::new(), 0);
    while told.is_empty() {
        let (batch, at) = s.poll_batch(now);
        match batch {
            Some(b) => {
                tries += 1;
                told = s.commit_finished(now, b.number, false);
            }
            None => now = at.unwrap(),
        }
        assert!(now < 3.0);
    }
    assert!(told == vec![(Waiter(1), false)] && tries >= 3, "{tries}");
    // Newer than what failed, it is what is written at last.
    put(&mut s, now, 1, b"b", None);
    let batch = s.poll_batch(now + 20.0).0.unwrap();
    let value = batch.changes[0].1.as_ref().unwrap();
    assert_eq!(unseal(&batch.changes[0].0, value).unwrap().1, b"b");
}

#[test]
fn it_is_bounded_and_what_is_old_or_unsound_goes() {
    let mut s = shelf();
    s.put(0.0, 1000.0, (RecordKind::LearnedState, b""), b"figures", None);
    (0..80).for_each(|n| put(&mut s, f64::from(n), n, b"x", None));
    assert_eq!((s.len(), s.counters.evicted), (50, 31));
    s.expire(700.0, 1700.0);
    assert_eq!((s.len(), s.counters.expired), (0, 50));
    let mut s = shelf();
    let key = |k: RecordKind, n: u8| vec![k as u8, n];
    let sealed = |k: &Key, at: u64| seal(k, at, b"v");
    let (fresh, old, ahead, ahead_too) = (
        key(RecordKind::IdempotencyKey, 1),
        key(RecordKind::IdempotencyKey, 2),
        key(RecordKind::IdempotencyKey, 3),
        key(RecordKind::LearnedState, 4),
    );
    let found = vec![
        (fresh.clone(), sealed(&fresh, 990_000)),
        (old.clone(), sealed(&old, 1_000)),
        (ahead.clone(), sealed(&ahead, 5_000_000)),
        (ahead_too.clone(), sealed(&ahead_too, 5_000_000)),
        (key(RecordKind::IdempotencyKey, 9), b"junk".to_vec()),
        (vec![99, 1], sealed(&vec![99, 1], 990_000)),
    ];
    let kept = s.restore(0.0, 1000.0, found);
    let ages: Vec<_> = kept.iter().map(|f| (f.key[0], f.age_s)).collect();
    // What binds stays though the clock was set back; what informs does not.
    assert_eq!(ages, vec![(1, Some(10.0)), (3, None)]);
    assert_eq!((s.counters.damaged, s.counters.expired), (2, 2));
    assert_eq!(s.poll_batch(2.0).0.unwrap().changes.iter().filter(|c| c.1.is_none()).count(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(52), failure_persistence: None, ..ProptestConfig::default() })]
    /// A disk that sometimes refuses holds, once it is clean, exactly what was put; at every moment what was
    /// acknowledged is there unless it was changed since.
    #[test]
    fn what_is_acknowledged_is_on_disk(steps in prop::collection::vec((0u8..6, 0u8..8, 0.0..0.4f64, any::<bool>()), 1..150)) {
        let mut s = WriteBuffer::new(Figures { most_batch_bytes: 60, ..Figures::default() });
        let (mut disk, mut model): (BTreeMap<Key, Vec<u8>>, BTreeMap<Key, u8>) = Default::default();
        let (mut now, mut waits, mut n) = (0.0, BTreeMap::new(), 0u64);
        let mut out: Option<Batch> = None;
        let apply = |disk: &mut BTreeMap<Key, Vec<u8>>, b: &Batch| b.changes.iter().for_each(|(k, v)| match v {
            Some(v) => drop(disk.insert(k.clone(), v.clone())),
            None => drop(disk.remove(k)),
        });
        for (what, k, dt, ok) in steps {
            now += dt;
            n += 1;
            match what {
                0 | 1 => {
                    let waiter = (what == 1).then_some(Waiter(n));
                    s.put(now, 1000.0 + now, (RecordKind::IdempotencyKey, &[k]), &[n as u8], waiter);
                    model.insert(vec![RecordKind::IdempotencyKey as u8, k], n as u8);
                    waits.retain(|_, key: &mut u8| *key != k);
                    waits.extend(waiter.map(|w| (w, k)));
                }
                2 => { s.remove(now, RecordKind::IdempotencyKey, &[k]); model.remove(&vec![RecordKind::IdempotencyKey as u8, k]); waits.retain(|_, key| *key != k); }
                3 | 4 => if let Some(b) = out.take() {
                    if ok { apply(&mut disk, &b) }
                    for (w, done) in s.commit_finished(now, b.number, ok) {
                        if let Some(key) = waits.remove(&w).filter(|_| done) {
                            let key = vec![RecordKind::IdempotencyKey as u8, key];
                            let there = disk.get(&key).map(|v| unseal(&key, v).unwrap().1[0]);
                            prop_assert_eq!(there, model.get(&key).copied());
                        }
                    }
                }
                _ => {}
            }
            if out.is_none() { out = s.poll_batch(now).0; }
        }
        for _ in 0..60 {
            now += 6.0;
            if let Some(b) = out.take() { apply(&mut disk, &b); s.commit_finished(now, b.number, true); }
            out = s.poll_batch(now).0;
        }
        prop_assert!(s.is_clean());
        let on_disk: BTreeMap<Key, u8> = disk.iter().map(|(k, v)| (k.clone(), unseal(k, v).unwrap().1[0])).collect();
        prop_assert_eq!(on_disk, model);
        prop_assert_eq!(s.len(), disk.len());
    }
}
