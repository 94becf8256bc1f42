//! Fault injection below the store: power loss, torn and reordered writes, a full disk, damaged files. Checks
//! that acknowledged commits survive and that no other data is read.

use nanorand::{Rng, WyRand};
use nickelgw_store::core::write_buffer::Batch;
use nickelgw_store::{open_or_recreate, Opened, Store, StoreError};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::Error as BackendIoError;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// A file in memory. After a power loss, a random subset of the operations since the last sync is applied, in
/// random order, and some of the writes are torn.
#[derive(Debug, Default)]
struct DiskState {
    synced: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Operation>,
    /// Number of calls so far that modify or sync the file.
    calls: usize,
    /// Number of the call at which power is lost.
    power_loss_at: usize,
    /// Maximum size of the file in bytes; 0 means no limit.
    max_len: usize,
}

#[derive(Clone, Debug)]
enum Operation {
    Write { offset: usize, data: Vec<u8> },
    SetLen(usize),
}

const SECTOR_BYTES: usize = 512;
const NEVER: usize = usize::MAX;

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn new(power_loss_at: usize) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState { power_loss_at, ..DiskState::default() })))
    }

    fn holding(content: Vec<u8>) -> Disk {
        let state = DiskState {
            synced: content.clone(),
            current: content,
            power_loss_at: NEVER,
            ..DiskState::default()
        };
        Disk(Arc::new(Mutex::new(state)))
    }
}

fn power_lost() -> BackendIoError {
    std::io::Error::other("simulated power loss")
}

impl DiskState {
    fn count_call(&mut self) -> Result<(), BackendIoError> {
        self.calls += 1;
        if self.calls >= self.power_loss_at {
            return Err(power_lost());
        }
        Ok(())
    }

    /// Content of the disk after the power loss.
    fn after_power_loss(&self, random: &mut WyRand) -> Vec<u8> {
        let mut content = self.synced.clone();
        let mut unsynced = self.unsynced.clone();
        random.shuffle(&mut unsynced);
        for operation in unsynced {
            // Some operations are lost, some writes end after a number of sectors, others are complete.
            let sectors = match random.generate_range(0..3u8) {
                0 => continue,
                1 => 1 + random.generate_range(0..8usize),
                _ => usize::MAX,
            };
            match operation {
                Operation::SetLen(len) => content.resize(len, 0),
                Operation::Write { offset, data } => {
                    let written = data.len().min(sectors.saturating_mul(SECTOR_BYTES));
                    write_at(&mut content, offset, &data[..written]);
                }
            }
        }
        content
    }
}

fn write_at(content: &mut Vec<u8>, offset: usize, data: &[u8]) {
    let end = offset + data.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(data);
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, BackendIoError> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendIoError> {
        let state = self.0.lock().unwrap();
        let offset = offset as usize;
        let content = state.current.get(offset..offset + out.len()).ok_or_else(power_lost)?;
        out.copy_from_slice(content);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), BackendIoError> {
        let mut state = self.0.lock().unwrap();
        state.count_call()?;
        let len = len as usize;
        if state.max_len > 0 && len > state.max_len {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        state.current.resize(len, 0);
        state.unsynced.push(Operation::SetLen(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), BackendIoError> {
        let mut state = self.0.lock().unwrap();
        state.count_call()?;
        state.synced = state.current.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendIoError> {
        let mut state = self.0.lock().unwrap();
        let offset = offset as usize;
        // The write at which power is lost may still reach the disk in part.
        let powered = state.count_call();
        state.unsynced.push(Operation::Write { offset, data: data.to_vec() });
        powered?;
        write_at(&mut state.current, offset, data);
        Ok(())
    }
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

/// Commits batches until the disk fails. Returns the acknowledged records, and the records as they would be
/// after the batch that failed.
fn commit_until_failure(disk: &Disk, random: &mut WyRand) -> (Model, Model) {
    let (mut acknowledged, mut next) = (Model::new(), Model::new());
    let Ok((store, stored)) = Store::open_on(disk.clone()) else { return (acknowledged, next) };
    acknowledged.extend(stored);
    for number in 0..12 {
        let mut batch = Batch { number, ..Batch::default() };
        next = acknowledged.clone();
        for _ in 0..1 + random.generate_range(0..4u8) {
            let key = vec![2, random.generate_range(0..6u8)];
            let value = (random.generate_range(0..4u8) > 0)
                .then(|| vec![random.generate::<u8>(); random.generate_range(1..3000usize)]);
            match &value {
                Some(value) => drop(next.insert(key.clone(), value.clone())),
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
fn acknowledged_commits_survive_a_power_loss_at_any_write() {
    let mut random = WyRand::new_seed(5);
    let intact_disk = Disk::new(NEVER);
    commit_until_failure(&intact_disk, &mut WyRand::new_seed(9));
    let calls = intact_disk.0.lock().unwrap().calls;
    assert!(calls > 60, "only {calls} calls to the disk");
    let (mut before, mut after) = (0, 0);
    for power_loss_at in 1..calls {
        let disk = Disk::new(power_loss_at);
        let (acknowledged, next) = commit_until_failure(&disk, &mut WyRand::new_seed(9));
        for _ in 0..3 {
            let content = disk.0.lock().unwrap().after_power_loss(&mut random);
            match Store::open_on(Disk::holding(content)) {
                Ok((_, stored)) => {
                    let stored: Model = stored.into_iter().collect();
                    // The commit in flight may have been applied completely, but not in part.
                    assert!(stored == acknowledged || stored == next, "power lost at call {power_loss_at}");
                    if stored == acknowledged {
                        before += 1
                    } else {
                        after += 1
                    }
                }
                // There may be no valid file before the first commit was acknowledged.
                Err(error) => {
                    assert!(acknowledged.is_empty(), "power lost at call {power_loss_at}: {error}")
                }
            }
        }
    }
    assert!(before > 0 && after > 0, "commit in flight was lost in {before} cases and applied in {after}");
}

#[test]
fn commit_on_full_disk_fails_and_loses_no_record() {
    let disk = Disk::new(NEVER);
    let (store, _) = Store::open_on(disk.clone()).unwrap();
    let put = |n: u8, size: usize| {
        store.commit(&Batch { number: 0, changes: vec![(vec![2, n], Some(vec![n; size]))], bytes: size })
    };
    put(1, 100).unwrap();
    let len = disk.0.lock().unwrap().current.len();
    disk.0.lock().unwrap().max_len = len;
    assert!(matches!(put(2, 8 << 20), Err(StoreError::Unusable(_))));
    drop(store);
    let content = disk.0.lock().unwrap().current.clone();
    let (_, stored) = Store::open_on(Disk::holding(content)).unwrap();
    assert_eq!(stored, vec![(vec![2, 1], vec![1; 100])]);
}

/// Creates a folder for a test; returns it and the path of a store in it.
fn new_folder(name: &str) -> (PathBuf, PathBuf) {
    let folder = std::env::temp_dir().join(format!("nickelgw-store{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("node.store");
    (folder, path)
}

fn put_one(number: u8) -> Batch {
    Batch { number: 1, changes: vec![(vec![2, number], Some(b"v".to_vec()))], bytes: 3 }
}

/// Truncates the content, flips many bytes, or flips one bit near the start.
fn damage(content: &[u8], n: usize, random: &mut WyRand) -> Vec<u8> {
    let mut damaged = content.to_vec();
    match n % 3 {
        0 => damaged.truncate(random.generate_range(0..content.len())),
        1 => (0..200).for_each(|_| damaged[random.generate_range(0..content.len())] ^= 0xff),
        _ => damaged[random.generate_range(0..4096)] ^= 1,
    }
    damaged
}

#[test]
fn damaged_file_is_moved_aside_and_locked_file_is_left_intact() {
    let (folder, path) = new_folder("");
    let Opened { store, records, error } = open_or_recreate(&path);
    assert!(records.is_empty() && error.is_none());
    store.as_ref().unwrap().commit(&put_one(1)).unwrap();
    // If two processes use one file, the second one persists nothing and leaves the file intact.
    let second = open_or_recreate(&path);
    assert!(second.store.is_none() && matches!(second.error, Some(StoreError::Locked)));
    drop(store);
    assert_eq!(open_or_recreate(&path).records.len(), 1);
    // A file that is damaged at a random place is either replaced by a new one or read as it was written.
    let intact = std::fs::read(&path).unwrap();
    let mut random = WyRand::new_seed(3);
    let mut recreated = 0;
    for n in 0..60 {
        let content = damage(&intact, n, &mut random);
        std::fs::write(&path, &content).unwrap();
        let Opened { store, records, error } = open_or_recreate(&path);
        recreated += usize::from(error.is_some());
        assert!(error.is_some() || n % 3 > 0 || content.is_empty(), "truncated file was accepted");
        assert!(records.len() <= 1);
        if let Some(store) = store {
            store.commit(&put_one(2)).unwrap();
        }
    }
    assert!(recreated > 10, "only {recreated} of 60 damaged files were replaced");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn file_of_later_version_is_not_modified_and_file_without_version_is_initialized() {
    let (folder, path) = new_folder("-form");
    let metadata: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("about");
    let write_version = |version: u64| {
        let database = redb::Database::create(&path).unwrap();
        let transaction = database.begin_write().unwrap();
        transaction.open_table(metadata).unwrap().insert("form", version).unwrap();
        transaction.commit().unwrap();
    };
    write_version(9);
    let before = std::fs::read(&path).unwrap();
    let Opened { store, records, error } = open_or_recreate(&path);
    assert!(store.is_none() && records.is_empty());
    assert!(matches!(error, Some(StoreError::UnsupportedVersion(9))));
    assert!(std::fs::read(&path).unwrap().len() == before.len() && path.exists());
    std::fs::remove_file(&path).unwrap();
    // A process that died at its first write may leave a file without a version.
    drop(redb::Database::create(&path).unwrap());
    let Opened { store, records, error } = open_or_recreate(&path);
    assert!(store.is_some() && records.is_empty() && error.is_none());
    std::fs::remove_dir_all(&folder).unwrap();
}
