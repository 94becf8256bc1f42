//! Judges each finding of a run by the harness's lateness at the time of the finding, and records all
//! findings.
//!
//! A finding counts unless the harness was late during that time, and by enough to explain the finding. A run
//! in which all findings are explained by lateness neither passes nor fails.

use crate::lateness::Lateness;
use nickelgw_test_servers::platform::{ObservedViolation, RuleLimits, Violation};
use serde_json::{json, Value};
use std::io::Write;
use std::time::{Duration, Instant};

/// Lateness below which all findings count: a third of `RuleLimits::deadline_slack` (0.15 s).
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Number of ends of a measured time span: a late harness may be wrong by its lateness at each of them.
const SPAN_ENDS: u32 = 2;
/// A run cannot be judged if the harness was late for more than this share of it, since lateness hides
/// violations as well.
const MAX_LATE_SHARE: f64 = 0.1;
/// At most one run in this number may be inconclusive.
const RUNS_PER_INCONCLUSIVE: usize = 10;

/// A suspected violation of a rule.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Description of what was found.
    pub what: String,
    /// ID of the request. `None` if the finding concerns no single request.
    pub request: Option<String>,
    /// Start of the time span that was judged.
    pub from: Instant,
    /// End of the time span that was judged.
    pub until: Instant,
    /// How much a time limit was exceeded by. `None` if the finding has no time limit, so that lateness
    /// cannot explain it.
    pub excess: Option<Duration>,
}

impl Finding {
    /// Creates the finding for a violation that engines or clients observed.
    pub fn observed(observed: &ObservedViolation, limits: &RuleLimits) -> Finding {
        let excess = match &observed.violation {
            // No answer came before the client stopped waiting: the limit was exceeded by an unknown amount.
            Violation::NoFinalAnswer { outcome, .. } if outcome.starts_with("TimedOut") => {
                Some(Duration::ZERO)
            }
            violation => violation.excess(limits),
        };
        Finding {
            what: format!("{:?}", observed.violation),
            request: Some(observed.violation.request().to_string()),
            from: observed.from,
            until: observed.until,
            excess,
        }
    }
}

/// Judgement on a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The finding is a violation.
    Counts,
    /// The harness was so late at that time that its lateness may explain the finding.
    Inconclusive,
}

/// Judges a finding by the harness's lateness during the finding's time span.
pub fn judge(excess: Option<Duration>, lateness: Duration) -> Judgement {
    let explained = excess.is_some_and(|excess| excess <= lateness * SPAN_ENDS);
    if lateness < MAX_LATENESS || !explained {
        Judgement::Counts
    } else {
        Judgement::Inconclusive
    }
}

/// Verdict on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There are no findings.
    Passed,
    /// At least one finding counts.
    Failed,
    /// The run cannot be judged.
    Inconclusive,
}

impl Verdict {
    /// Returns the verdict by the judgements of all findings and the share of the run in which the harness
    /// was late.
    pub fn new(judgements: &[Judgement], late_share: f64) -> Verdict {
        if judgements.contains(&Judgement::Counts) {
            Verdict::Failed
        } else if !judgements.is_empty() || late_share > MAX_LATE_SHARE {
            Verdict::Inconclusive
        } else {
            Verdict::Passed
        }
    }
}

/// Whether too many of the runs are inconclusive.
pub fn too_many_inconclusive(inconclusive: usize, runs: usize) -> bool {
    inconclusive * RUNS_PER_INCONCLUSIVE > runs
}

/// A run, for the report of its findings.
pub struct RunRecord<'a> {
    pub seed: u64,
    pub run: usize,
    pub started_at: Instant,
    pub lateness: &'a Lateness,
    /// The injected faults, with their times.
    pub faults: &'a [Value],
}

impl RunRecord<'_> {
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Judges all findings, and prints each and writes it to the file, with its judgement and time span.
    pub fn report(&self, findings: &[Finding], file: &mut impl Write) -> Vec<Judgement> {
        let mut judgements = Vec::new();
        for finding in findings {
            let lateness = self.lateness.max_between(finding.from, finding.until);
            let judgement = judge(finding.excess, lateness);
            let line = self.line(finding, lateness, judgement);
            println!("{line}");
            writeln!(file, "{line}").expect("the record must be writable");
            judgements.push(judgement);
        }
        if !findings.is_empty() {
            let faults = json!({"seed": self.seed, "play": self.run, "faults": self.faults});
            writeln!(file, "{faults}").expect("the record must be writable");
        }
        judgements
    }

    fn line(&self, finding: &Finding, lateness: Duration, judgement: Judgement) -> Value {
        json!({
            "seed": self.seed,
            "play": self.run,
            "judgement": format!("{judgement:?}"),
            "request": finding.request,
            "what": finding.what,
            "from_s": self.seconds(finding.from),
            "until_s": self.seconds(finding.until),
            "excess_s": finding.excess.map(|excess| excess.as_secs_f64()),
            "late_s": lateness.as_secs_f64(),
        })
    }

    /// Returns the share of the run in which the harness was late by `MAX_LATENESS` or more.
    pub fn late_share(&self) -> f64 {
        let total = self.lateness.total_of(MAX_LATENESS).as_secs_f64();
        total / self.started_at.elapsed().as_secs_f64()
    }

    /// Returns the verdict by the criterion used before this one: "void" if the harness was late by
    /// `MAX_LATENESS` or more at any time.
    pub fn former_verdict(&self, findings: &[Finding]) -> &'static str {
        if self.lateness.max() >= MAX_LATENESS {
            "void"
        } else if findings.is_empty() {
            "passed"
        } else {
            "failed"
        }
    }
}
