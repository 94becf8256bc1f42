//! Rule: no engine in slow start is overloaded. A test engine records an overload itself, as the event
//! `fell`.

use super::AuditInput;
use crate::{AuditReport, RecordEntry, Rule};
use std::collections::BTreeMap;

/// Lower bound of the capacity by which work is divided; it prevents a division by zero.
const MIN_CAPACITY: f64 = 1e-9;

/// Arrival of an attempt at an engine, with the work that it brings.
struct Arrival {
    time_s: f64,
    work: f64,
}

/// State of an engine that started cold.
struct SlowStart<'a> {
    /// Entry of the engine's start, with its slow-start parameters.
    start: &'a RecordEntry,
    /// Arrivals within the engine's overload window.
    arrivals: Vec<Arrival>,
}

impl SlowStart<'_> {
    /// Adds an attempt and returns the resulting load, as a share of the load that overloads the engine.
    /// `None` if the engine has warmed up.
    fn load_with(&mut self, attempt: &RecordEntry) -> Option<f64> {
        let start = self.start;
        let (age_s, window_s) = (attempt.time_s - start.time_s, start.number("tip_window_s"));
        if age_s > start.number("warm_s") {
            return None;
        }
        self.arrivals.push(Arrival { time_s: attempt.time_s, work: attempt.number("work") });
        self.arrivals.retain(|arrival| arrival.time_s >= attempt.time_s - window_s);
        let cold_speed = start.number("cold_from");
        let speed = (cold_speed + (1.0 - cold_speed) * age_s / start.number("warm_s")).min(1.0);
        let capacity = start.number("tip_multiple") * start.number("slots") * speed * window_s;
        let work: f64 = self.arrivals.iter().map(|arrival| arrival.work).sum();
        Some(work / capacity.max(MIN_CAPACITY))
    }
}

pub(super) fn check(report: &mut AuditReport, input: &AuditInput) {
    let mut engines: BTreeMap<&str, SlowStart> = BTreeMap::new();
    for entry in input.entries {
        let engine = entry.source.as_str();
        match entry.event.as_str() {
            "start" if entry.fields["cold"] == true => {
                engines.insert(engine, SlowStart { start: entry, arrivals: Vec::new() });
                report.count_checked(Rule::SlowStartOverload);
            }
            "send" => {
                let load = engines.get_mut(engine).and_then(|slow_start| slow_start.load_with(entry));
                report.max_slow_start_load = report.max_slow_start_load.max(load.unwrap_or(0.0));
            }
            "fell" => {
                let start = engines.get(engine).map(|slow_start| slow_start.start);
                let evidence: Vec<&RecordEntry> = start.into_iter().chain([entry]).collect();
                let description = format!("engine {engine} was overloaded during slow start");
                report.add(Rule::SlowStartOverload, description, &evidence);
            }
            _ => {}
        }
    }
}
