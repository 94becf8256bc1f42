//! Script and results of a rehearsed day, without I/O. The same day and seed give the same script.

pub mod script;
pub mod series;
pub mod simulator_day;
