//! State machines of keys, trust, tickets and connections. No I/O: times and facts come in, commands go out.

pub mod generation;
mod key_check;
pub mod pool;
mod pool_config;
pub mod tickets;
