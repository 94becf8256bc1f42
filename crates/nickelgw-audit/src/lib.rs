//! Audits a run of the system against its five rules, from the records that test engines and scripted clients wrote of
//! what crossed the sockets. A node's own logs are never read. The records' format is in docs/rehearsal.md.

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
