//! Decides what is written when, which records are evicted, and which records of an earlier process are still
//! used. Does no I/O.

pub mod record;
mod record_index;
pub mod retention;
pub mod write_buffer;

/// Kind of a record. The numbers are stored on disk, so a number is never reused for another kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum RecordKind {
    /// State that the router has learned about engines and costs.
    LearnedState = 1,
    /// Idempotency key under which a non-idempotent request was accepted.
    IdempotencyKey = 2,
    /// Last endpoint list.
    EndpointList = 3,
    /// Deferred request, kept until the retention of its response ends.
    DeferredRequest = 4,
}

impl RecordKind {
    /// All kinds in the order of their numbers.
    pub const ALL: [RecordKind; 4] = [
        RecordKind::LearnedState,
        RecordKind::IdempotencyKey,
        RecordKind::EndpointList,
        RecordKind::DeferredRequest,
    ];

    /// Returns the kind with a number as stored on disk; `None` if there is no such kind.
    pub fn from_number(number: u8) -> Option<RecordKind> {
        RecordKind::ALL.into_iter().find(|kind| *kind as u8 == number)
    }
}
