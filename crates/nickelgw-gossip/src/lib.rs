//! Gossip between the nodes of a fleet. [`core`] decides which datagrams go to which peer, without I/O; [`run`] is the
//! UDP socket and the clock around it.

pub mod core;
mod transport;

pub use transport::run;
