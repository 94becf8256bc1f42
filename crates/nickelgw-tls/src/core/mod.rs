//! What is decided about keys, trust, tickets and connections. No I/O: times and facts come in, orders go out.

pub mod generation;
pub mod pool;
pub mod tickets;
