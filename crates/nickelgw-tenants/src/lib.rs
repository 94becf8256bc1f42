//! Which tenant may use which model route, and how much of it. [`core`] decides; where tenants come from is for the caller.

pub mod core;
