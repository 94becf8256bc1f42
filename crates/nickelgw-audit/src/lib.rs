//! Checks a run of the system against its five rules. The input is the records in which the test engines, the
//! endpoint list server and the scripted clients logged what crossed their sockets; a node's own logs are
//! never read. The format of the records is described in docs/rehearsal.md.

mod record;
mod report;
mod route_stats;
mod rules;

#[cfg(test)]
mod tests;

pub use record::{read_records, sort_by_time, RecordEntry};
pub use report::{AuditReport, Rule, Violation};
pub use route_stats::{route_stats, RouteStats};
pub use rules::audit;
