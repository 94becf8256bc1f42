//! Rights and limits of tenants. No I/O.

pub mod fair_share;
pub mod permissions;
pub mod token_buckets;
pub mod weights;
