//! Errors of the store's file.

use crate::store::FORMAT_VERSION;
use std::io::ErrorKind;

/// Why the store's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process holds the file's lock.
    #[error("another process has it open")]
    Locked,
    /// The file was written by a later release, in a format that this one does not know.
    #[error("of a later form ({0}) than this program knows ({FORMAT_VERSION})")]
    UnsupportedVersion(u64),
    /// The file's content is inconsistent.
    #[error("damaged: {0}")]
    Damaged(String),
    /// The disk or the file system refused: nothing is known of the file's content.
    #[error("cannot be used: {0}")]
    Unusable(String),
}

impl StoreError {
    /// An error that speaks of the file's content.
    pub(crate) fn damaged(error: impl std::fmt::Display) -> StoreError {
        StoreError::Damaged(error.to_string())
    }

    /// Tells errors of the disk from errors of the file's content.
    pub(crate) fn from_redb(error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Io(error) if !is_content_error(error.kind()) => {
                StoreError::Unusable(error.to_string())
            }
            error => StoreError::damaged(error),
        }
    }
}

/// A truncated file ends before its content does: that is damage, not an error of the disk.
fn is_content_error(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}
