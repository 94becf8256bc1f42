//! Errors of the store file.

use crate::store::FORMAT_VERSION;
use std::io::ErrorKind;

/// Error returned when the store file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process holds the lock of the file.
    #[error("store file is locked by another process")]
    Locked,
    /// The file was written by a later release, in a format version that this release does not support.
    #[error("store file has format version {0}; this release supports versions up to {FORMAT_VERSION}")]
    UnsupportedVersion(u64),
    /// The content of the file is inconsistent.
    #[error("store file is damaged: {0}")]
    Damaged(String),
    /// The disk or the file system returned an error, which says nothing about the content of the file.
    #[error("store file cannot be accessed: {0}")]
    Unusable(String),
}

impl StoreError {
    /// Creates an error about the content of the file.
    pub(crate) fn damaged(error: impl std::fmt::Display) -> StoreError {
        StoreError::Damaged(error.to_string())
    }

    /// Converts an error of redb, distinguishing errors of the disk from errors in the content of the file.
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

/// Returns whether an I/O error is caused by the content of the file. An unexpected end of file means that
/// the file was truncated, which is damage and not an error of the disk.
fn is_content_error(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}
