//! What a node keeps over its restarts: [`core`] decides, a file of redb holds it. Blocking: calls belong on a thread
//! that may wait.

pub mod core;

use crate::core::write_buffer::{Batch, Key};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError, TableDefinition,
};
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// Form of the file's tables. One of a later form is left alone.
const FORM: u64 = 1;

#[derive(Debug, thiserror::Error)]
pub enum Problem {
    #[error("another process has it open")]
    Locked,
    #[error("of a later form ({0}) than this program knows ({FORM})")]
    Newer(u64),
    #[error("damaged: {0}")]
    Damaged(String),
    #[error("cannot be used: {0}")]
    Unusable(String),
}

pub struct Store {
    db: Database,
}

pub type Records = Vec<(Key, Vec<u8>)>;

fn damaged(e: impl std::fmt::Display) -> Problem {
    Problem::Damaged(e.to_string())
}

/// Errors of the disk are not the file's.
fn problem(e: impl Into<redb::Error>) -> Problem {
    match e.into() {
        redb::Error::DatabaseAlreadyOpen => Problem::Locked,
        // A file cut short ends where it should go on: that is the file's.
        redb::Error::Io(e) if !matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
            Problem::Unusable(e.to_string())
        }
        e => damaged(e),
    }
}

impl Store {
    /// Opens or makes the file, and reads all of it.
    pub fn open(path: &Path) -> Result<(Store, Records), Problem> {
        Self::guarded(|| Database::create(path))
    }

    pub fn open_on(backend: impl StorageBackend) -> Result<(Store, Records), Problem> {
        Self::guarded(|| Database::builder().create_with_backend(backend))
    }

    /// A file damaged in a way that the library did not foresee makes it panic; that is damage, not a crash.
    fn guarded(open: impl FnOnce() -> Result<Database, DatabaseError>) -> Result<(Store, Records), Problem> {
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let db = open().map_err(|e| match e {
                DatabaseError::Storage(StorageError::Corrupted(why)) => Problem::Damaged(why),
                e => problem(e),
            })?;
            let records = Self::prepare(&db)?;
            Ok((Store { db }, records))
        }));
        opened.unwrap_or_else(|_| Err(Problem::Damaged("its inner structure does not hold together".into())))
    }

    fn prepare(db: &Database) -> Result<Records, Problem> {
        let read = db.begin_read().map_err(problem)?;
        let form = match read.open_table(ABOUT) {
            Ok(t) => t.get("form").map_err(problem)?.map(|v| v.value()),
            Err(redb::TableError::TableDoesNotExist(_)) => None,
            Err(e) => return Err(damaged(e)),
        };
        match form {
            Some(f) if f > FORM => return Err(Problem::Newer(f)),
            Some(_) => {}
            None => {
                let write = db.begin_write().map_err(problem)?;
                write.open_table(ABOUT).map_err(problem)?.insert("form", FORM).map_err(problem)?;
                drop(write.open_table(RECORDS).map_err(problem)?);
                write.commit().map_err(problem)?;
                return Ok(Vec::new());
            }
        }
        let table = match read.open_table(RECORDS) {
            Ok(t) => t,
            Err(e) => return Err(damaged(e)),
        };
        let mut out = Records::new();
        for pair in table.iter().map_err(problem)? {
            let (key, value) = pair.map_err(problem)?;
            out.push((key.value().to_vec(), value.value().to_vec()));
        }
        Ok(out)
    }

    /// Writes all of a batch or nothing of it; on disk when it returns.
    pub fn commit(&self, batch: &Batch) -> Result<(), Problem> {
        let done = catch_unwind(AssertUnwindSafe(|| {
            let write = self.db.begin_write().map_err(problem)?;
            {
                let mut table = write.open_table(RECORDS).map_err(problem)?;
                for (key, value) in &batch.changes {
                    match value {
                        Some(v) => drop(table.insert(&key[..], &v[..]).map_err(problem)?),
                        None => drop(table.remove(&key[..]).map_err(problem)?),
                    }
                }
            }
            write.commit().map_err(problem)
        }));
        done.unwrap_or_else(|_| Err(Problem::Damaged("its inner structure does not hold together".into())))
    }

    /// Gives back what removed records took.
    pub fn compact(&mut self) -> Result<bool, Problem> {
        self.db.compact().map_err(problem)
    }
}

/// Opens a node's file whatever is there: a damaged one is put aside and begun anew; one that another process holds,
/// or of a later form, is left alone and nothing is kept. Never fails to let a node start.
pub fn open_or_begin(path: &Path) -> (Option<Store>, Records, Option<Problem>) {
    match Store::open(path) {
        Ok((store, records)) => (Some(store), records, None),
        Err(p @ Problem::Damaged(_)) => {
            let mut aside = path.as_os_str().to_owned();
            aside.push(".damaged");
            let moved = std::fs::rename(path, PathBuf::from(aside));
            let anew = moved.ok().and_then(|()| Store::open(path).ok());
            (anew.map(|a| a.0), Vec::new(), Some(p))
        }
        Err(p) => (None, Vec::new(), Some(p)),
    }
}
