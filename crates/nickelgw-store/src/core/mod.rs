//! What is written when, what is evicted, and which records of an earlier process are still used. No I/O.

pub mod record;
mod record_index;
pub mod retention;
pub mod write_buffer;

/// What a record is about; the number is on disk, so never reused for another kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum RecordKind {
    /// What the router has learned of engines and costs.
    LearnedState = 1,
    /// A non-idempotent request was accepted under a key.
    IdempotencyKey = 2,
    /// The last endpoint list.
    EndpointList = 3,
    /// A deferred request, until the retention of its response ends.
    DeferredRequest = 4,
}

impl RecordKind {
    /// Every kind, in the order of its number.
    pub const ALL: [RecordKind; 4] = [
        RecordKind::LearnedState,
        RecordKind::IdempotencyKey,
        RecordKind::EndpointList,
        RecordKind::DeferredRequest,
    ];

    /// The kind of a number as it is on disk.
    pub fn from_number(number: u8) -> Option<RecordKind> {
        RecordKind::ALL.into_iter().find(|kind| *kind as u8 == number)
    }
}
