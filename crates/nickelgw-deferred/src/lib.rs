//! Offline inferences: parked on disk, run when there is room, ended once. Only a [`core`]: the node writes what it says, and
//! runs what it gives out.

pub mod core;
