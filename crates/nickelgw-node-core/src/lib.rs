//! State machine of a node: the life cycle of requests around the decision module, without I/O.
//!
//! Events are method calls of [`NodeCore`] that say what happened and when; [`NodeCore::poll_commands`]
//! returns the commands to carry out. This package has no clock, socket or task, and equal calls give equal
//! commands. The shells in `nickelgw-node` and `nickelgw-platform` carry the commands out.

pub mod admission;
mod apply_decisions;
pub mod attempt_outcome;
mod attempts;
mod backoff;
mod commands;
mod config;
mod counters;
mod dispatch;
mod endings;
pub mod guard;
pub mod ledger;
mod membership;
mod node_core;
pub mod orphan_cleanup;
mod release_scheduler;
mod request_admission;
mod request_table;
pub mod shutdown;
pub mod trace;
mod unary_deadlines;
pub mod warm_state;
pub mod zone_failover;

pub use admission::{Admission, AdmittedRequest, RejectReason};
pub use attempt_outcome::AttemptOutcome;
pub use commands::*;
pub use config::{CoreConfig, FairShareConfig, GrantConfig};
pub use counters::RequestCounters;
pub use node_core::NodeCore;

#[cfg(test)]
mod tests;
