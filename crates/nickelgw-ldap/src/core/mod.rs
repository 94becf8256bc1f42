//! Search filters, and the state of content synchronization. No I/O.

pub mod filter;
pub mod sync;
