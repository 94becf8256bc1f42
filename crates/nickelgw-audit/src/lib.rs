//! Judges the five rules from what crossed the sockets: the lines that stand-ins and scripted clients recorded.
//! A node's own logs are never read. Each line is in docs/rehearsal.md.

mod judge;
mod service;

pub use judge::judge;
pub use service::{service, Service};

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// One recorded line, with the fields that every line has read out.
#[derive(Clone, Debug)]
pub struct Line {
    pub t: f64,
    pub who: String,
    pub ev: String,
    pub rest: Value,
}

impl Line {
    pub fn of(v: &Value) -> Option<Line> {
        let text = |f: &str| v[f].as_str().map(str::to_string);
        Some(Line { t: v["t"].as_f64()?, who: text("who")?, ev: text("ev")?, rest: v.clone() })
    }

    pub fn text(&self, field: &str) -> &str {
        self.rest[field].as_str().unwrap_or("")
    }

    pub fn num(&self, field: &str) -> f64 {
        self.rest[field].as_f64().unwrap_or(0.0)
    }

    fn has(&self, field: &str, name: &str) -> bool {
        self.rest[field].as_array().is_some_and(|a| a.iter().any(|v| v == name))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Twice,
    Drain,
    Cold,
    Pinned,
}

impl Rule {
    pub const ALL: [Rule; 5] = [Rule::Lost, Rule::Twice, Rule::Drain, Rule::Cold, Rule::Pinned];

    pub fn name(self) -> &'static str {
        ["lost", "twice", "drain", "cold", "pinned"][self as usize]
    }

    pub fn says(self) -> &'static str {
        [
            "each inference gets one final answer in time, and nothing is sent after it",
            "no effect happens twice",
            "nothing new goes to a draining or gone engine",
            "no cold engine is pushed over",
            "no state is held past its time",
        ][self as usize]
    }
}

/// A break, with the lines that show it.
#[derive(Clone, Debug)]
pub struct Break {
    pub rule: Rule,
    pub what: String,
    pub evidence: Vec<Value>,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    /// What was looked at, by rule: a verdict on nothing is none.
    pub judged: BTreeMap<&'static str, usize>,
    /// States whose reader could not be reached, or whose node had died, when their time was up.
    pub excused: usize,
    /// Sends to engines that one word took away together with too many others: it may be doubted for a time.
    pub doubted: usize,
    /// Nearest that a cold engine came to being pushed over, as a part of what it stands.
    pub nearest_cold: f64,
    /// Seconds for which each state waited at its reader with no send out for it, sorted; those excused left out.
    pub held: Vec<f64>,
}

impl Verdict {
    /// Quantile of the waits of held states; none waited: none.
    pub fn held(&self, q: f64) -> Option<f64> {
        let last = self.held.len().checked_sub(1)?;
        self.held.get((q * last as f64).round() as usize).copied()
    }

    pub fn count(&self, rule: Rule) -> usize {
        self.breaks.iter().filter(|b| b.rule == rule).count()
    }
}

/// Reads all records of a folder, in the order of time. A line cut by its process's death is left out.
pub fn read(dir: &Path) -> std::io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    let mut files: Vec<_> = std::fs::read_dir(dir)?.collect::<Result<Vec<_>, _>>()?;
    files.sort_by_key(|f| f.path());
    for f in files.iter().filter(|f| f.path().extension().is_some_and(|e| e == "jsonl")) {
        let text = std::fs::read_to_string(f.path())?;
        lines.extend(text.lines().filter_map(|l| Line::of(&serde_json::from_str(l).ok()?)));
    }
    sort(&mut lines);
    Ok(lines)
}

pub fn sort(lines: &mut [Line]) {
    lines.sort_by(|a, b| a.t.total_cmp(&b.t));
}

#[cfg(test)]
mod tests;
