//! Scheduling of background tasks, for which no request waits. Only a [`core`] without I/O: the caller runs the tasks that
//! [`core::Scheduler`] names.

pub mod core;
