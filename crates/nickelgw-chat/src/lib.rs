//! Decisions of a node about duplicate requests, retries, and grants for KV cache states. The crate consists
//! of a [`core`] without I/O.

pub mod core;
