//! The stored form of a record: format version, time of writing, checksum of key, time and value, then the value. What is
//! not exactly what was written is rejected, even where the file layer reports no error.

/// Version of this form, the first byte.
const VERSION: u8 = 1;
const VERSION_BYTES: usize = 1;
const TIME_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 16;
const HEADER_BYTES: usize = VERSION_BYTES + TIME_BYTES + CHECKSUM_BYTES;

/// Why stored bytes are not a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Fewer bytes than a header has.
    #[error("too short to be a record")]
    TooShort,
    /// Another version of the form.
    #[error("of a form that this program does not know: {0}")]
    UnknownVersion(u8),
    /// The checksum does not match.
    #[error("not what was written")]
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

/// The stored form of a value under a key, written at `written_ms` milliseconds since 1970.
pub fn seal(key: &[u8], written_ms: u64, value: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(HEADER_BYTES + value.len());
    sealed.push(VERSION);
    sealed.extend(written_ms.to_le_bytes());
    sealed.extend(checksum(key, written_ms, value));
    sealed.extend(value);
    sealed
}

/// When it was written, in milliseconds since 1970, and the value.
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
