//! What is written when, what is dropped, and what is believed of what is read. No I/O.

pub mod record;
pub mod retention;
pub mod write_buffer;

/// What a record is of; the number is on disk, so never given to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum RecordKind {
    /// What the module has learnt of engines and costs.
    LearnedState = 1,
    /// A request that may not run twice was taken under a key.
    IdempotencyKey = 2,
    /// The last list of engines.
    EndpointList = 3,
    /// An offline inference, until its answer is kept no longer.
    DeferredRequest = 4,
}

impl RecordKind {
    pub const ALL: [RecordKind; 4] = [
        RecordKind::LearnedState,
        RecordKind::IdempotencyKey,
        RecordKind::EndpointList,
        RecordKind::DeferredRequest,
    ];

    pub fn of(number: u8) -> Option<RecordKind> {
        RecordKind::ALL.into_iter().find(|k| *k as u8 == number)
    }
}
