//! Permissions, quotas and fair admission of tenants, without I/O.

pub mod concurrency_limit;
pub mod fair_share;
pub mod permissions;
pub mod token_buckets;
pub mod weights;
