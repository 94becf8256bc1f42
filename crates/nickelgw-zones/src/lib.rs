//! Zones left and returned to by a fleet of nodes that no leader directs. Only a [`core`]: the node that has it tells it
//! what it and others saw, and passes on the part of the traffic that each zone is to get.

pub mod core;
