//! Zone failover for a fleet of nodes without a leader: decides when a node stops sending traffic to a zone,
//! and in which steps the traffic returns. Contains only a sans-I/O [`core`]: the node passes in what it and
//! its peers observed, and applies the resulting weights.

pub mod core;
