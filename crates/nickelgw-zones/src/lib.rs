//! Zone failover for a fleet of nodes without a leader: when a node stops sending to a zone, and in what steps it
//! returns. Only a [`core`] without I/O: the node passes in what it and its peers observed, and applies the weights
//! that come out.

pub mod core;
