//! What is heard from a directory and what is believed of it. No I/O.

pub mod filter;
pub mod sync;
