//! Judges each finding of a play by the time in which it arose, and keeps all of them.
//!
//! A finding counts unless the harness was late in that very time, and by so much that it may explain the finding. A play
//! with findings that are explained so, and no other, is neither passed nor failed.

use crate::lateness::Lateness;
use nickelgw_test_servers::platform::{ObservedViolation, RuleLimits, Violation};
use serde_json::{json, Value};
use std::io::Write;
use std::time::{Duration, Instant};

/// Lateness up to which all findings count: a third of the tightest limit that is judged by (0.15 s).
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// A time that is measured between two events of a late harness is wrong by its lateness at either end.
const LATE_ENDS: u32 = 2;
/// A play of which the harness was late for more than this part cannot be judged: lateness hides violations as well.
const MAX_LATE_SHARE: f64 = 0.1;
/// Of all plays so many may be without a verdict: one in this number.
const PLAYS_PER_INCONCLUSIVE: usize = 10;

/// Something that was found wrong.
#[derive(Clone, Debug)]
pub struct Finding {
    /// What was found, for people.
    pub what: String,
    /// The request, where it concerns one.
    pub request: Option<String>,
    /// When the time that was judged began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
    /// By how much a limit of time was exceeded; none: lateness explains nothing of it.
    pub excess: Option<Duration>,
}

impl Finding {
    /// What engines and clients have observed.
    pub fn observed(observed: &ObservedViolation, limits: &RuleLimits) -> Finding {
        let excess = match &observed.violation {
            // Nothing came up to the end of the wait: the limit was reached, and it is not known by how much exceeded.
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

/// Whether a finding counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It is a violation.
    Counts,
    /// The harness was late by as much in that time.
    Inconclusive,
}

/// Judges a finding by the harness's lateness in its own time.
pub fn judge(excess: Option<Duration>, lateness: Duration) -> Judgement {
    let explained = excess.is_some_and(|excess| excess <= lateness * LATE_ENDS);
    if lateness < MAX_LATENESS || !explained {
        Judgement::Counts
    } else {
        Judgement::Inconclusive
    }
}

/// The verdict on a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing was found.
    Passed,
    /// A finding counts.
    Failed,
    /// It cannot be judged.
    Inconclusive,
}

impl Verdict {
    /// The verdict by the judgements of all findings, and the part of the play in which the harness was late.
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

/// Whether so many plays without a verdict are too many.
pub fn too_many_inconclusive(inconclusive: usize, plays: usize) -> bool {
    inconclusive * PLAYS_PER_INCONCLUSIVE > plays
}

/// A play, as its findings are reported.
pub struct PlayRecord<'a> {
    pub seed: u64,
    pub play: usize,
    pub started_at: Instant,
    pub lateness: &'a Lateness,
    /// The faults, with their times.
    pub faults: &'a [Value],
}

impl PlayRecord<'_> {
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Judges all findings, and prints and writes each with what is known of it.
    pub fn report(&self, findings: &[Finding], file: &mut impl Write) -> Vec<Judgement> {
        let mut judgements = Vec::new();
        for finding in findings {
            let lateness = self.lateness.max_between(finding.from, finding.until);
            let judgement = judge(finding.excess, lateness);
            let line = self.line(finding, lateness, judgement);
            println!("{line}");
            writeln!(file, "{line}").expect("the record can be written");
            judgements.push(judgement);
        }
        if !findings.is_empty() {
            let faults = json!({"seed": self.seed, "play": self.play, "faults": self.faults});
            writeln!(file, "{faults}").expect("the record can be written");
        }
        judgements
    }

    fn line(&self, finding: &Finding, lateness: Duration, judgement: Judgement) -> Value {
        json!({
            "seed": self.seed,
            "play": self.play,
            "judgement": format!("{judgement:?}"),
            "request": finding.request,
            "what": finding.what,
            "from_s": self.seconds(finding.from),
            "until_s": self.seconds(finding.until),
            "excess_s": finding.excess.map(|excess| excess.as_secs_f64()),
            "late_s": lateness.as_secs_f64(),
        })
    }

    /// The part of the play in which the harness was late.
    pub fn late_share(&self) -> f64 {
        let total = self.lateness.total_of(MAX_LATENESS).as_secs_f64();
        total / self.started_at.elapsed().as_secs_f64()
    }

    /// What the judge before this one said of a play: void if the harness was late at any moment.
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
