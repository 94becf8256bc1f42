//! What a node decides about duplicate requests, retries, and grants for KV cache states. Only a [`core`] without I/O.

pub mod core;
