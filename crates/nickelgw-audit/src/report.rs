//! Rules, violations and the report of an audit.

use crate::RecordEntry;
use serde_json::Value;
use std::collections::BTreeMap;

/// Rule that the system has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No request is dropped: each gets exactly one final answer in time, and no attempt is made after its
    /// end.
    DroppedRequest,
    /// A request that must run at most once does not run twice.
    DuplicateRun,
    /// No attempt is sent to an engine that is draining or has been removed.
    SendToDraining,
    /// No engine in slow start is overloaded.
    SlowStartOverload,
    /// No KV state is held longer than the limit without an attempt that would fetch it.
    UnattendedReservation,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 5] = [
        Rule::DroppedRequest,
        Rule::DuplicateRun,
        Rule::SendToDraining,
        Rule::SlowStartOverload,
        Rule::UnattendedReservation,
    ];

    /// Returns the name of the rule in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::DroppedRequest => "lost",
            Rule::DuplicateRun => "twice",
            Rule::SendToDraining => "drain",
            Rule::SlowStartOverload => "cold",
            Rule::UnattendedReservation => "pinned",
        }
    }

    /// Returns the sentence that describes the rule in reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::DroppedRequest => {
                "each request gets one final answer in time, and no attempt is sent after it"
            }
            Rule::DuplicateRun => "no request that must run at most once runs twice",
            Rule::SendToDraining => "no attempt is sent to a draining or removed engine",
            Rule::SlowStartOverload => "no engine in slow start is overloaded",
            Rule::UnattendedReservation => {
                "no KV state is held past its limit without an attempt that would fetch it"
            }
        }
    }
}

/// Violation of a rule, with the entries that prove it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Sentence that says what happened.
    pub description: String,
    /// Entries that prove the violation.
    pub evidence: Vec<Value>,
}

/// Result of an audit.
#[derive(Clone, Debug, Default)]
pub struct AuditReport {
    /// All violations.
    pub violations: Vec<Violation>,
    /// Number of cases checked, by the rule's name. A rule without cases was not tested.
    pub checked: BTreeMap<&'static str, usize>,
    /// Number of reservations held past the limit that do not count as violations, because their engine was
    /// unreachable or their node had died.
    pub excused_reservations: usize,
    /// Number of attempts sent to engines after the grace period of a removal for which the node may wait for
    /// confirmation, as its list removed many engines at once.
    pub unconfirmed_removal_attempts: usize,
    /// Highest load of an engine in slow start, as a share of the load that overloads it.
    pub max_slow_start_load: f64,
    /// Time in seconds for which each reservation had no attempt that would fetch it, sorted. Excused
    /// reservations are not included.
    pub unattended_s: Vec<f64>,
}

impl AuditReport {
    /// Returns a quantile of [`AuditReport::unattended_s`]. `None` if it is empty.
    pub fn unattended_quantile(&self, quantile: f64) -> Option<f64> {
        let last = self.unattended_s.len().checked_sub(1)?;
        self.unattended_s.get((quantile * last as f64).round() as usize).copied()
    }

    /// Returns the number of violations of one rule.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }

    /// Counts a case to which `rule` applied.
    pub(crate) fn count_checked(&mut self, rule: Rule) {
        *self.checked.entry(rule.name()).or_default() += 1;
    }

    pub(crate) fn add(&mut self, rule: Rule, description: String, evidence: &[&RecordEntry]) {
        let evidence = evidence.iter().map(|entry| entry.fields.clone()).collect();
        self.violations.push(Violation { rule, description, evidence });
    }
}
