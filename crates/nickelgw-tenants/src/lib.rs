//! Who may use which model route, and how much of it. [`core`] decides; where tenants come from is another's work.

pub mod core;
