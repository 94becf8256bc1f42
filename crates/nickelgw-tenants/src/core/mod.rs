//! Rights and limits of tenants. No I/O.

pub mod buckets;
pub mod fair;
pub mod parts;
pub mod rights;
