//! Rules, violations, and the report of an audit.

use crate::RecordEntry;
use serde_json::Value;
use std::collections::BTreeMap;

/// A rule that the system has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no final answer in time, more than one, or an attempt after its end.
    DroppedRequest,
    /// A request that must run at most once may have run twice.
    DuplicateRun,
    /// An attempt went to an engine that drains or has been removed.
    SendToDraining,
    /// An engine in slow start was overloaded.
    SlowStartOverload,
    /// A KV state was held for too long with no attempt that would fetch it.
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

    /// Name of the rule in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::DroppedRequest => "lost",
            Rule::DuplicateRun => "twice",
            Rule::SendToDraining => "drain",
            Rule::SlowStartOverload => "cold",
            Rule::UnattendedReservation => "pinned",
        }
    }

    /// What the rule demands, in the words of reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::DroppedRequest => {
                "each inference gets one final answer in time, and nothing is sent after it"
            }
            Rule::DuplicateRun => "no effect happens twice",
            Rule::SendToDraining => "nothing new goes to a draining or gone engine",
            Rule::SlowStartOverload => "no cold engine is pushed over",
            Rule::UnattendedReservation => "no state is held past its time",
        }
    }
}

/// A violation of a rule, with the entries that prove it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub description: String,
    /// The entries that prove it.
    pub evidence: Vec<Value>,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct AuditReport {
    /// All violations.
    pub violations: Vec<Violation>,
    /// Cases checked, by the rule's name: a rule without cases was not tested.
    pub checked: BTreeMap<&'static str, usize>,
    /// Reservations not judged because their engine could not be reached or their node had died.
    pub excused_reservations: usize,
    /// Attempts to engines that one list removed together with so many others that the node may wait for confirmation.
    pub unconfirmed_removal_attempts: usize,
    /// Highest load of an engine in slow start, as a share of the load that overloads it.
    pub max_slow_start_load: f64,
    /// Seconds for which each reservation had no attempt that would fetch it, sorted; excused ones are not included.
    pub unattended_s: Vec<f64>,
}

impl AuditReport {
    /// Quantile of the time for which reservations were unattended; none without reservations.
    pub fn unattended_quantile(&self, quantile: f64) -> Option<f64> {
        let last = self.unattended_s.len().checked_sub(1)?;
        self.unattended_s.get((quantile * last as f64).round() as usize).copied()
    }

    /// Violations of one rule.
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }

    /// Counts a case to which a rule applied.
    pub(crate) fn count_checked(&mut self, rule: Rule) {
        *self.checked.entry(rule.name()).or_default() += 1;
    }

    /// Adds a violation.
    pub(crate) fn add(&mut self, rule: Rule, description: String, evidence: &[&RecordEntry]) {
        let evidence = evidence.iter().map(|entry| entry.fields.clone()).collect();
        self.violations.push(Violation { rule, description, evidence });
    }
}
