//! Parts of a rehearsal that need no processes: [`core`] decides which faults happen when and summarizes the service
//! over time, [`report`] renders it as a page.

pub mod core;
pub mod report;
