//! The file: two redb tables, one of records and one of the file's own format version.

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
/// Version of the file's tables. A file of a later version is not touched.
pub(crate) const FORMAT_VERSION: u64 = 1;
/// What is appended to the name of a damaged file when it is moved aside.
const DAMAGED_SUFFIX: &str = ".damaged";

/// An open store file. The lock on the file is released when this is dropped.
pub struct Store {
    database: Database,
}

/// Keys and sealed values as the file holds them.
pub type Records = Vec<(Key, Vec<u8>)>;

impl Store {
    /// Opens or creates the file, and reads all of it.
    pub fn open(path: &Path) -> Result<(Store, Records), StoreError> {
        Self::open_guarded(|| Database::create(path))
    }

    /// As [`Store::open`], on another storage than a file: tests inject faults by it.
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

    /// Writes a batch atomically; it is on disk when this returns.
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

    /// Returns the space of removed records to the file system; false if there was none.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.database.compact().map_err(StoreError::from_redb)
    }
}

/// redb panics on some kinds of damage that it did not foresee: reported as damage, not as a crash of the node.
fn panic_as_damage<T>(operation: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let inconsistent = || Err(StoreError::Damaged("its inner structure does not hold together".into()));
    catch_unwind(AssertUnwindSafe(operation)).unwrap_or_else(|_| inconsistent())
}

/// None: the file is new, or its writer died before the first commit.
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

/// What [`open_or_recreate`] came to.
#[derive(Default)]
pub struct Opened {
    /// None: nothing is persisted.
    pub store: Option<Store>,
    /// What an earlier process left.
    pub records: Records,
    /// Why the file, as it was found, was not used.
    pub error: Option<StoreError>,
}

/// Opens a node's file whatever its state, so that a node always starts: a damaged file is moved aside and created
/// anew; one that another process holds, or of a later format version, is left alone and nothing is persisted.
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
