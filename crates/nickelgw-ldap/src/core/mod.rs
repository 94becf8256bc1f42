//! Search filters, and the state machine of content synchronization, without I/O.

pub mod filter;
pub mod sync;
