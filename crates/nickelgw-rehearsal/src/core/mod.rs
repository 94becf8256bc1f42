//! What a rehearsed day is made of. No I/O: the same day and seed give the same script.

pub mod bench_day;
pub mod script;
pub mod series;
