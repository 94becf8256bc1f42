//! Deferred requests: stored on disk until capacity is free, run in the background, and finished exactly
//! once. Contains only a sans-I/O [`core`]: the node performs the writes that the core returns, and runs the
//! requests.

pub mod core;
