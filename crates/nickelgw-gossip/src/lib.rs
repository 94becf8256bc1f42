//! Gossip protocol between the nodes of a fleet. The sans-I/O [`core`] decides which datagrams are sent to
//! which peers; [`run`] connects it to a UDP socket and the clock.

pub mod core;
mod transport;

pub use transport::run;
