//! nickelgw pairs prompt readers with answer writers: the decision module and its plain types.

pub mod decide;
pub mod interface;
mod kept;
mod state;
