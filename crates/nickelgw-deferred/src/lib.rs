//! Deferred requests: kept on disk until there is room, run in the background, and finished exactly once. Only a [`core`]
//! without I/O: the node carries out the writes that it gives out, and runs the requests.

pub mod core;
