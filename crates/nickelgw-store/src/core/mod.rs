//! What is written when, what is dropped, and what is believed of what is read. No I/O.

pub mod belief;
pub mod record;
pub mod shelf;

/// What a record is of; the number is on disk, so never given to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// What the module has learnt of engines and costs.
    Learnt = 1,
    /// A request that may not run twice was taken under a key.
    Repeat = 2,
    /// The last list of engines.
    List = 3,
    /// An offline inference, until its answer is kept no longer.
    Parked = 4,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Learnt, Kind::Repeat, Kind::List, Kind::Parked];

    pub fn of(number: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| *k as u8 == number)
    }
}
