//! Stored form of a record: format version, time of writing, checksum of key, time and value, then the value.
//! Bytes that differ from what was written are rejected, even if the file layer reports no error.

/// Version of the record format, stored as the first byte.
const VERSION: u8 = 1;
const VERSION_BYTES: usize = 1;
const TIME_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 16;
const HEADER_BYTES: usize = VERSION_BYTES + TIME_BYTES + CHECKSUM_BYTES;

/// Reason why stored bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The bytes are shorter than the header of a record.
    #[error("stored record is shorter than its header of {HEADER_BYTES} bytes")]
    TooShort,
    /// The record has a format version that this release does not support.
    #[error("stored record has the unsupported format version {0}")]
    UnknownVersion(u8),
    /// The checksum does not match.
    #[error("checksum of the stored record does not match its content")]
    ChecksumMismatch,
}

fn checksum(key: &[u8], written_ms: u64, value: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(&written_ms.to_le_bytes());
    hasher.update(value);
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// Encodes the stored form of a value under a key. `written_ms` is the time of writing in milliseconds since
/// 1970.
pub fn seal(key: &[u8], written_ms: u64, value: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(HEADER_BYTES + value.len());
    sealed.push(VERSION);
    sealed.extend(written_ms.to_le_bytes());
    sealed.extend(checksum(key, written_ms, value));
    sealed.extend(value);
    sealed
}

/// Verifies and decodes a stored record. Returns the time of writing, in milliseconds since 1970, and the
/// value.
pub fn unseal<'a>(key: &[u8], sealed: &'a [u8]) -> Result<(u64, &'a [u8]), RecordError> {
    let Some((header, value)) = sealed.split_at_checked(HEADER_BYTES) else {
        return Err(RecordError::TooShort);
    };
    if header[0] != VERSION {
        return Err(RecordError::UnknownVersion(header[0]));
    }
    let (time, stored_checksum) = header[VERSION_BYTES..].split_at(TIME_BYTES);
    let written_ms = time.iter().rev().fold(0u64, |number, byte| number << 8 | u64::from(*byte));
    if *stored_checksum != checksum(key, written_ms, value) {
        return Err(RecordError::ChecksumMismatch);
    }
    Ok((written_ms, value))
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
