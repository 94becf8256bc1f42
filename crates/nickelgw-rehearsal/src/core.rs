//! What a rehearsed day consists of. No I/O: the same day and seed give the same script.

pub mod script;
pub mod series;
pub mod simulator_day;
