//! State machines of keys, trust, session tickets and connections, without I/O: times and facts are passed
//! in, commands are returned.

pub mod generation;
mod key_check;
pub mod pool;
mod pool_config;
pub mod tickets;
