//! The file under a disk that cuts, tears, reorders and runs full: what was acknowledged is there, nothing else.

use nanorand::{Rng, WyRand};
use nickelgw_store::core::write_buffer::Batch;
use nickelgw_store::{open_or_begin, Problem, Store};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::Error as BackendIoError;
use std::sync::{Arc, Mutex};

/// A disk in memory. Writes since the last sync are kept apart: a crash keeps any part of them, in any order, torn.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Since the last sync: where, and what; none: the length changed.
    pending: Vec<(usize, Option<Vec<u8>>)>,
    /// Calls that change anything, and at which one the power goes.
    calls: usize,
    dies_at: usize,
    /// Largest that the file may grow.
    room: usize,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

fn gone() -> BackendIoError {
    std::io::Error::other("the power is gone")
}

impl Platter {
    fn call(&mut self) -> Result<(), BackendIoError> {
        self.calls += 1;
        if self.calls >= self.dies_at {
            return Err(gone());
        }
        Ok(())
    }

    /// What a reader finds after the crash.
    fn crash(&self, chance: &mut WyRand) -> Vec<u8> {
        let mut file = self.synced.clone();
        let mut pending = self.pending.clone();
        chance.shuffle(&mut pending);
        for (at, bytes) in pending {
            // Some never got there, some in part, by sectors.
            let sectors = match chance.generate_range(0..3u8) {
                0 => continue,
                1 => 1 + chance.generate_range(0..8usize),
                _ => usize::MAX,
            };
            match bytes {
                None => file.resize(at, 0),
                Some(bytes) => {
                    let n = bytes.len().min(sectors.saturating_mul(512));
                    if file.len() < at + n {
                        file.resize(at + n, 0);
                    }
                    file[at..at + n].copy_from_slice(&bytes[..n]);
                }
            }
        }
        file
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, BackendIoError> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendIoError> {
        let p = self.0.lock().unwrap();
        let at = offset as usize;
        let there = p.now.get(at..at + out.len()).ok_or_else(gone)?;
        out.copy_from_slice(there);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), BackendIoError> {
        let mut p = self.0.lock().unwrap();
        p.call()?;
        if p.room > 0 && len as usize > p.room {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        p.now.resize(len as usize, 0);
        p.pending.push((len as usize, None));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), BackendIoError> {
        let mut p = self.0.lock().unwrap();
        p.call()?;
        p.synced = p.now.clone();
        p.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendIoError> {
        let mut p = self.0.lock().unwrap();
        let at = offset as usize;
        // The last call may get through in part.
        let whole = p.call().is_ok();
        p.pending.push((at, Some(data.to_vec())));
        if !whole {
            return Err(gone());
        }
        if p.now.len() < at + data.len() {
            p.now.resize(at + data.len(), 0);
        }
        p.now[at..at + data.len()].copy_from_slice(data);
        Ok(())
    }
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

/// Commits batches until the disk fails; gives what was acknowledged, and what the next batch would have made of it.
fn work(disk: &Disk, chance: &mut WyRand) -> (Model, Model) {
    let (mut acknowledged, mut next) = (Model::new(), Model::new());
    let Ok((store, found)) = Store::open_on(disk.clone()) else { return (acknowledged, next) };
    acknowledged.extend(found);
    for number in 0..12 {
        let mut batch = Batch { number, ..Batch::default() };
        next = acknowledged.clone();
        for _ in 0..1 + chance.generate_range(0..4u8) {
            let key = vec![2, chance.generate_range(0..6u8)];
            let value = (chance.generate_range(0..4u8) > 0)
                .then(|| vec![chance.generate::<u8>(); chance.generate_range(1..3000usize)]);
            match &value {
                Some(v) => drop(next.insert(key.clone(), v.clone())),
                None => drop(next.remove(&key)),
            }
            batch.changes.push((key, value));
        }
        if store.commit(&batch).is_err() {
            return (acknowledged, next);
        }
        acknowledged = next.clone();
    }
    (acknowledged.clone(), acknowledged)
}

#[test]
fn after_a_crash_at_any_write_what_was_acknowledged_is_there() {
    let mut chance = WyRand::new_seed(5);
    let whole = Disk(Arc::new(Mutex::new(Platter { dies_at: usize::MAX, ..Platter::default() })));
    work(&whole, &mut WyRand::new_seed(9));
    let calls = whole.0.lock().unwrap().calls;
    assert!(calls > 60, "{calls}");
    let (mut before, mut after) = (0, 0);
    for dies_at in 1..calls {
        let disk = Disk(Arc::new(Mutex::new(Platter { dies_at, ..Platter::default() })));
        let (acknowledged, next) = work(&disk, &mut WyRand::new_seed(9));
        for _ in 0..3 {
            let left = disk.0.lock().unwrap().crash(&mut chance);
            let again =
                Platter { synced: left.clone(), now: left, dies_at: usize::MAX, ..Platter::default() };
            match Store::open_on(Disk(Arc::new(Mutex::new(again)))) {
                Ok((_, found)) => {
                    let found: Model = found.into_iter().collect();
                    // The commit under way may have come through whole, never in part.
                    assert!(found == acknowledged || found == next, "power gone at call {dies_at}");
                    if found == acknowledged {
                        before += 1
                    } else {
                        after += 1
                    }
                }
                // Before anything was acknowledged there may be no file yet.
                Err(p) => assert!(acknowledged.is_empty(), "power gone at call {dies_at}: {p}"),
            }
        }
    }
    assert!(before > 0 && after > 0, "{before} {after}");
}

#[test]
fn a_full_disk_refuses_and_loses_nothing() {
    let disk = Disk(Arc::new(Mutex::new(Platter { dies_at: usize::MAX, ..Platter::default() })));
    let (store, _) = Store::open_on(disk.clone()).unwrap();
    let put = |n: u8, size: usize| {
        store.commit(&Batch { number: 0, changes: vec![(vec![2, n], Some(vec![n; size]))], bytes: size })
    };
    put(1, 100).unwrap();
    let size = disk.0.lock().unwrap().now.len();
    disk.0.lock().unwrap().room = size;
    assert!(matches!(put(2, 8 << 20), Err(Problem::Unusable(_))));
    drop(store);
    let now = disk.0.lock().unwrap().now.clone();
    let again = Platter { synced: now.clone(), now, dies_at: usize::MAX, ..Platter::default() };
    let (_, found) = Store::open_on(Disk(Arc::new(Mutex::new(again)))).unwrap();
    assert_eq!(found, vec![(vec![2, 1], vec![1; 100])]);
}

#[test]
fn a_damaged_file_is_put_aside_and_others_are_left_alone() {
    let dir = std::env::temp_dir().join(format!("nickelgw-store-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("node.store");
    let change = |k: u8| Batch { number: 1, changes: vec![(vec![2, k], Some(b"v".to_vec()))], bytes: 3 };
    let (store, records, none) = open_or_begin(&path);
    assert!(records.is_empty() && none.is_none());
    store.as_ref().unwrap().commit(&change(1)).unwrap();
    // Two processes with one file: the second keeps nothing, and harms nothing.
    assert!(matches!(open_or_begin(&path), (None, _, Some(Problem::Locked))));
    drop(store);
    assert_eq!(open_or_begin(&path).1.len(), 1);
    // Damage at each of many places: begun anew, or what is there is what was written.
    let sound = std::fs::read(&path).unwrap();
    let mut chance = WyRand::new_seed(3);
    let mut anew = 0;
    for n in 0..60 {
        let mut bytes = sound.clone();
        match n % 3 {
            0 => bytes.truncate(chance.generate_range(0..sound.len())),
            1 => (0..200).for_each(|_| bytes[chance.generate_range(0..sound.len())] ^= 0xff),
            _ => bytes[chance.generate_range(0..4096)] ^= 1,
        }
        std::fs::write(&path, &bytes).unwrap();
        let (store, records, problem) = open_or_begin(&path);
        anew += usize::from(problem.is_some());
        assert!(problem.is_some() || n % 3 > 0 || bytes.is_empty(), "a cut file was taken for whole");
        assert!(records.len() <= 1);
        if let Some(s) = store {
            s.commit(&change(2)).unwrap();
        }
    }
    assert!(anew > 10, "{anew}");
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_file_of_a_later_form_is_left_as_it_is_and_one_without_a_form_is_begun() {
    let dir = std::env::temp_dir().join(format!("nickelgw-store-form-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("node.store");
    let about: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("about");
    let write = |form: u64| {
        let db = redb::Database::create(&path).unwrap();
        let w = db.begin_write().unwrap();
        w.open_table(about).unwrap().insert("form", form).unwrap();
        w.commit().unwrap();
    };
    write(9);
    let before = std::fs::read(&path).unwrap();
    let (store, records, problem) = open_or_begin(&path);
    assert!(store.is_none() && records.is_empty() && matches!(problem, Some(Problem::Newer(9))));
    assert!(std::fs::read(&path).unwrap().len() == before.len() && path.exists());
    std::fs::remove_file(&path).unwrap();
    // As an older program, or one that died at its first write, may leave it.
    drop(redb::Database::create(&path).unwrap());
    let (store, records, problem) = open_or_begin(&path);
    assert!(store.is_some() && records.is_empty() && problem.is_none());
    std::fs::remove_dir_all(&dir).unwrap();
}
