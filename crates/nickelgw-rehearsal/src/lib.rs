//! Parts of a rehearsal that start no processes. A rehearsal runs a day, which is a configured sequence of
//! traffic and troubles, on test servers of one machine. [`core`] decides which faults happen when and
//! summarizes the service over time; [`report`] renders the result as an HTML page.

pub mod core;
pub mod report;
