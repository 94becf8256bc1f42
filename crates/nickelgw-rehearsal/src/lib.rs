//! The rehearsal kit around the stage: [`core`] decides what goes wrong when, [`report`] shows what came of it.

pub mod core;
pub mod report;
