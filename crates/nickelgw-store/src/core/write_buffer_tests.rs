use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn write_buffer() -> WriteBuffer {
    WriteBuffer::new(WriteBufferConfig { max_records: 50, ..WriteBufferConfig::default() })
}

fn put(buffer: &mut WriteBuffer, now: f64, key: u8, value: &[u8], waiter: Option<u64>) {
    buffer.put(now, 1000.0 + now, (RecordKind::IdempotencyKey, &[key]), value, waiter.map(Waiter));
}

#[test]
fn changes_are_batched_and_waiter_makes_commit_urgent() {
    let mut buffer = write_buffer();
    put(&mut buffer, 0.0, 1, b"a", None);
    assert_eq!(buffer.poll_batch(0.0), (None, Some(1.0)));
    put(&mut buffer, 0.1, 2, b"b", Some(7));
    let (none, poll_at) = buffer.poll_batch(0.1);
    assert!(none.is_none() && poll_at.unwrap() < 0.11);
    let batch = buffer.poll_batch(0.11).0.unwrap();
    assert_eq!(batch.changes.len(), 2);
    // At most one commit is in flight; changes made in the meantime wait for the next one.
    put(&mut buffer, 0.12, 3, b"c", Some(8));
    assert_eq!(buffer.poll_batch(0.5), (None, None));
    assert_eq!(buffer.commit_finished(0.5, batch.number, true), vec![(Waiter(7), true)]);
    let next = buffer.poll_batch(0.5).0.unwrap();
    assert_eq!(buffer.commit_finished(0.6, next.number, true), vec![(Waiter(8), true)]);
    assert!(buffer.is_clean() && buffer.counters.commits == 2);
}

#[test]
fn failed_commit_is_retried_and_waiters_are_notified_in_time() {
    let mut buffer = write_buffer();
    put(&mut buffer, 0.0, 1, b"a", Some(1));
    let (mut now, mut notified, mut attempts) = (0.01, Vec::new(), 0);
    while notified.is_empty() {
        let (batch, poll_at) = buffer.poll_batch(now);
        match batch {
            Some(batch) => {
                attempts += 1;
                notified = buffer.commit_finished(now, batch.number, false);
            }
            None => now = poll_at.unwrap(),
        }
        assert!(now < 3.0);
    }
    assert!(notified == vec![(Waiter(1), false)] && attempts >= 3, "{attempts}");
    // The retry writes a change that is newer than the one that failed.
    put(&mut buffer, now, 1, b"b", None);
    let batch = buffer.poll_batch(now + 20.0).0.unwrap();
    let value = batch.changes[0].1.as_ref().unwrap();
    assert_eq!(unseal(&batch.changes[0].0, value).unwrap().1, b"b");
}

#[test]
fn records_over_limit_are_evicted_and_old_records_expire() {
    let mut buffer = write_buffer();
    buffer.put(0.0, 1000.0, (RecordKind::LearnedState, b""), b"figures", None);
    (0..80).for_each(|n| put(&mut buffer, f64::from(n), n, b"x", None));
    assert_eq!((buffer.len(), buffer.counters.evicted), (50, 31));
    buffer.expire(700.0, 1700.0);
    assert_eq!((buffer.len(), buffer.counters.expired), (0, 50));
}

#[test]
fn damaged_and_expired_records_are_removed_on_restore() {
    let mut buffer = write_buffer();
    let key = |kind: RecordKind, number: u8| vec![kind as u8, number];
    let sealed = |key: &Key, written_ms: u64| seal(key, written_ms, b"v");
    let (recent, old, future_key, future_state) = (
        key(RecordKind::IdempotencyKey, 1),
        key(RecordKind::IdempotencyKey, 2),
        key(RecordKind::IdempotencyKey, 3),
        key(RecordKind::LearnedState, 4),
    );
    let stored = vec![
        (recent.clone(), sealed(&recent, 990_000)),
        (old.clone(), sealed(&old, 1_000)),
        (future_key.clone(), sealed(&future_key, 5_000_000)),
        (future_state.clone(), sealed(&future_state, 5_000_000)),
        (key(RecordKind::IdempotencyKey, 9), b"junk".to_vec()),
        (vec![99, 1], sealed(&vec![99, 1], 990_000)),
    ];
    let restored = buffer.restore(0.0, 1000.0, stored);
    let ages: Vec<_> = restored.iter().map(|record| (record.key[0], record.age_s)).collect();
    // After the clock was set back, idempotency keys are kept and learned state is dropped.
    assert_eq!(ages, vec![(1, Some(10.0)), (3, None)]);
    assert_eq!((buffer.counters.damaged, buffer.counters.expired), (2, 2));
    let changes = buffer.poll_batch(2.0).0.unwrap().changes;
    assert_eq!(changes.iter().filter(|(_, value)| value.is_none()).count(), 4);
}

/// Records on a simulated disk.
type Disk = BTreeMap<Key, Vec<u8>>;

fn apply(disk: &mut Disk, batch: &Batch) {
    for (key, value) in &batch.changes {
        match value {
            Some(value) => drop(disk.insert(key.clone(), value.clone())),
            None => drop(disk.remove(key)),
        }
    }
}

fn idempotency_key(number: u8) -> Key {
    vec![RecordKind::IdempotencyKey as u8, number]
}

fn value_on_disk(disk: &Disk, key: &Key) -> Option<u8> {
    disk.get(key).map(|sealed| unseal(key, sealed).unwrap().1[0])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(52), failure_persistence: None, ..ProptestConfig::default() })]
    /// Commits fail at random. Once the buffer is clean, the disk holds exactly what was put. At any time, a
    /// change whose waiter was notified of success is on disk unless the record was changed again.
    #[test]
    fn acknowledged_changes_are_on_disk(steps in prop::collection::vec((0u8..6, 0u8..8, 0.0..0.4f64, any::<bool>()), 1..150)) {
        let mut buffer = WriteBuffer::new(WriteBufferConfig { max_batch_bytes: 60, ..WriteBufferConfig::default() });
        let (mut disk, mut model): (Disk, BTreeMap<Key, u8>) = Default::default();
        let (mut now, mut waiters, mut n) = (0.0, BTreeMap::new(), 0u64);
        let mut in_flight: Option<Batch> = None;
        for (action, number, pause_s, succeeds) in steps {
            now += pause_s;
            n += 1;
            match action {
                0 | 1 => {
                    let waiter = (action == 1).then_some(Waiter(n));
                    buffer.put(now, 1000.0 + now, (RecordKind::IdempotencyKey, &[number]), &[n as u8], waiter);
                    model.insert(idempotency_key(number), n as u8);
                    waiters.retain(|_, waited_for: &mut u8| *waited_for != number);
                    waiters.extend(waiter.map(|waiter| (waiter, number)));
                }
                2 => {
                    buffer.remove(now, RecordKind::IdempotencyKey, &[number]);
                    model.remove(&idempotency_key(number));
                    waiters.retain(|_, waited_for| *waited_for != number);
                }
                3 | 4 => if let Some(batch) = in_flight.take() {
                    if succeeds { apply(&mut disk, &batch) }
                    for (waiter, is_on_disk) in buffer.commit_finished(now, batch.number, succeeds) {
                        if let Some(number) = waiters.remove(&waiter).filter(|_| is_on_disk) {
                            let key = idempotency_key(number);
                            prop_assert_eq!(value_on_disk(&disk, &key), model.get(&key).copied());
                        }
                    }
                }
                _ => {}
            }
            if in_flight.is_none() { in_flight = buffer.poll_batch(now).0; }
        }
        for _ in 0..60 {
            now += 6.0;
            if let Some(batch) = in_flight.take() {
                apply(&mut disk, &batch);
                buffer.commit_finished(now, batch.number, true);
            }
            in_flight = buffer.poll_batch(now).0;
        }
        prop_assert!(buffer.is_clean());
        let on_disk: BTreeMap<Key, u8> =
            disk.keys().map(|key| (key.clone(), value_on_disk(&disk, key).unwrap())).collect();
        prop_assert_eq!(on_disk, model);
        prop_assert_eq!(buffer.len(), disk.len());
    }
}
