//! What a node decides about repeated requests, retries and grants of held states. No I/O.

pub mod core;
