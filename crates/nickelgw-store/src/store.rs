//! Store file: a redb database with two tables, one for the records and one for the format version of the
//! file.

use crate::core::write_buffer::{Batch, Key};
use crate::error::StoreError;
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, StorageError,
    TableDefinition, TableError,
};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
const FORMAT_VERSION_KEY: &str = "form";
/// Format version of the tables. A file with a later version is not modified.
pub(crate) const FORMAT_VERSION: u64 = 1;
/// Suffix appended to the name of a damaged file when it is moved aside.
const DAMAGED_SUFFIX: &str = ".damaged";

/// An open store file. Dropping it releases the lock on the file.
pub struct Store {
    database: Database,
}

/// Keys and sealed values as stored in the file.
pub type Records = Vec<(Key, Vec<u8>)>;

impl Store {
    /// Opens or creates the file, and reads all records.
    pub fn open(path: &Path) -> Result<(Store, Records), StoreError> {
        Self::open_guarded(|| Database::create(path))
    }

    /// Opens a store as [`Store::open`] does, but on the given storage backend. Tests use it to inject
    /// faults.
    pub fn open_on(backend: impl StorageBackend) -> Result<(Store, Records), StoreError> {
        Self::open_guarded(|| Database::builder().create_with_backend(backend))
    }

    fn open_guarded(
        open: impl FnOnce() -> Result<Database, DatabaseError>,
    ) -> Result<(Store, Records), StoreError> {
        panic_as_damage(|| {
            let database = open().map_err(|error| match error {
                DatabaseError::Storage(StorageError::Corrupted(reason)) => StoreError::Damaged(reason),
                error => StoreError::from_redb(error),
            })?;
            let records = Self::read_or_initialize(&database)?;
            Ok((Store { database }, records))
        })
    }

    fn read_or_initialize(database: &Database) -> Result<Records, StoreError> {
        let transaction = database.begin_read().map_err(StoreError::from_redb)?;
        match read_format_version(&transaction)? {
            Some(version) if version > FORMAT_VERSION => Err(StoreError::UnsupportedVersion(version)),
            Some(_) => read_records(&transaction),
            None => {
                create_tables(database)?;
                Ok(Records::new())
            }
        }
    }

    /// Writes a batch atomically. The batch is on disk when this returns `Ok`.
    pub fn commit(&self, batch: &Batch) -> Result<(), StoreError> {
        panic_as_damage(|| {
            let transaction = self.database.begin_write().map_err(StoreError::from_redb)?;
            {
                let mut table = transaction.open_table(RECORDS).map_err(StoreError::from_redb)?;
                for (key, value) in &batch.changes {
                    match value {
                        Some(value) => {
                            drop(table.insert(&key[..], &value[..]).map_err(StoreError::from_redb)?)
                        }
                        None => drop(table.remove(&key[..]).map_err(StoreError::from_redb)?),
                    }
                }
            }
            transaction.commit().map_err(StoreError::from_redb)
        })
    }

    /// Returns the space of removed records to the file system. The result is false if there was nothing to
    /// compact.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.database.compact().map_err(StoreError::from_redb)
    }
}

/// Runs an operation of redb and reports a panic as damage. redb panics on some kinds of damage to the file,
/// which must not crash the node.
fn panic_as_damage<T>(operation: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let inconsistent =
        || Err(StoreError::Damaged("the database library panicked on inconsistent content".into()));
    catch_unwind(AssertUnwindSafe(operation)).unwrap_or_else(|_| inconsistent())
}

/// Reads the format version; `None` if the file is new, or if its writer stopped before the first commit.
fn read_format_version(transaction: &ReadTransaction) -> Result<Option<u64>, StoreError> {
    match transaction.open_table(METADATA) {
        Ok(table) => {
            let version = table.get(FORMAT_VERSION_KEY).map_err(StoreError::from_redb)?;
            Ok(version.map(|version| version.value()))
        }
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(StoreError::damaged(error)),
    }
}

fn create_tables(database: &Database) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::from_redb)?;
    let mut metadata = transaction.open_table(METADATA).map_err(StoreError::from_redb)?;
    metadata.insert(FORMAT_VERSION_KEY, FORMAT_VERSION).map_err(StoreError::from_redb)?;
    drop(metadata);
    drop(transaction.open_table(RECORDS).map_err(StoreError::from_redb)?);
    transaction.commit().map_err(StoreError::from_redb)
}

fn read_records(transaction: &ReadTransaction) -> Result<Records, StoreError> {
    let table = transaction.open_table(RECORDS).map_err(StoreError::damaged)?;
    let mut records = Records::new();
    for entry in table.iter().map_err(StoreError::from_redb)? {
        let (key, value) = entry.map_err(StoreError::from_redb)?;
        records.push((key.value().to_vec(), value.value().to_vec()));
    }
    Ok(records)
}

/// Result of [`open_or_recreate`].
#[derive(Default)]
pub struct Opened {
    /// The open store; `None` if nothing can be persisted.
    pub store: Option<Store>,
    /// Records that an earlier process left in the file.
    pub records: Records,
    /// Reason why the file was not used as it was found; `None` if it was.
    pub error: Option<StoreError>,
}

/// Opens the store file of a node in a way that lets the node start whatever the state of the file. A damaged
/// file is moved aside and replaced by a new one. A file that is locked by another process, has a later
/// format version or cannot be accessed is left as it is, and nothing is persisted.
pub fn open_or_recreate(path: &Path) -> Opened {
    match Store::open(path) {
        Ok((store, records)) => Opened { store: Some(store), records, error: None },
        Err(error @ StoreError::Damaged(_)) => {
            let moved = std::fs::rename(path, damaged_path(path));
            let recreated = moved.ok().and_then(|()| Store::open(path).ok());
            Opened { store: recreated.map(|(store, _)| store), records: Records::new(), error: Some(error) }
        }
        Err(error) => Opened { error: Some(error), ..Opened::default() },
    }
}

fn damaged_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(DAMAGED_SUFFIX);
    PathBuf::from(name)
}
