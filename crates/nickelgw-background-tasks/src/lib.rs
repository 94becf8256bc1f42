//! Scheduling of work that no request waits for. The caller runs what [`core::Scheduler`] names.

pub mod core;
