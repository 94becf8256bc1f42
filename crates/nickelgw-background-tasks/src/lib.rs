//! Scheduling of background tasks, which no request waits for. Contains only a sans-I/O [`core`]: the caller
//! runs the tasks that [`core::Scheduler`] selects.

pub mod core;
