//! Permissions and quotas of tenants: which model routes a tenant may use, and how much of them. [`core`]
//! decides; the caller provides the tenants.

pub mod core;
