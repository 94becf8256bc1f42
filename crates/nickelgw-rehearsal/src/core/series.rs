//! Service over time, computed from the records of clients: the share of the requests of each second that was
//! served in target, the worst ten seconds, and the time that the service takes to recover. A request is
//! served in target if it is completed and its first token arrived within the target time.

use nickelgw_audit::RecordEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Length in seconds of the windows among which the worst is searched for.
pub const WORST_WINDOW_S: usize = 10;
/// Number of seconds over which the service has to be back to its former share to count as recovered.
const RECOVERY_WINDOW_S: usize = 2;

/// Counts of requests in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    /// Number of requests, without their retries.
    pub wanted: u32,
    /// Number of requests that were completed, by the first call or a retry, with the first token in target.
    pub served: u32,
    /// Number of calls, including retries, that were rejected for lack of capacity.
    pub rejected: u32,
    /// Number of calls, including retries, that failed.
    pub failed: u32,
}

impl ServiceCounts {
    /// Returns the share of requests served in target. `None` if there were no requests.
    pub fn served_fraction(&self) -> Option<f64> {
        (self.wanted > 0).then(|| f64::from(self.served) / f64::from(self.wanted))
    }

    pub(crate) fn add(&mut self, other: &ServiceCounts) {
        self.wanted += other.wanted;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// Window with the lowest share of requests served in target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstWindow {
    /// Second of the day at which it begins.
    pub start_s: usize,
    /// Share of its requests served in target.
    pub served_fraction: f64,
}

/// Counts of requests for each second of a day.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Counts for each second of the day, by model route.
    pub routes: BTreeMap<String, Vec<ServiceCounts>>,
    /// Length of the day in seconds.
    pub seconds: usize,
}

/// Call of a client: a request or a retry of one.
struct Call<'a> {
    model: &'a str,
    /// Second of the day at which the first call of the request was intended to start.
    second: usize,
    record: &'a RecordEntry,
}

impl Series {
    /// Counts the requests in `records`. `day_start` is the Unix time in seconds at which the day began. A
    /// request and its retries count in the second at which the first call was intended to start.
    pub fn from_records(records: &[RecordEntry], day_start: f64, length_s: f64) -> Series {
        let seconds = length_s.ceil().max(1.0) as usize;
        let mut series = Series { routes: BTreeMap::new(), seconds };
        let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
        let mut in_target: BTreeSet<&str> = BTreeSet::new();
        let mut served: BTreeSet<&str> = BTreeSet::new();
        for record in records {
            let id = record.text("req");
            if record.event == "ask" {
                let call = series.count_call(&calls, record, day_start);
                calls.insert(id, call);
                continue;
            }
            let Some(call) = calls.get(id) else { continue };
            let first_id = call.record.text("of");
            let first_id = if first_id.is_empty() { id } else { first_id };
            let counts = || (call.model, call.second);
            match (record.event.as_str(), record.text("how")) {
                ("first", _)
                    if record.time_s - call.record.number("intended") <= call.record.number("target_s") =>
                {
                    in_target.insert(id);
                }
                ("final", "completed") if in_target.contains(id) && served.insert(first_id) => {
                    series.counts(counts()).served += 1;
                }
                ("final", "shed") => series.counts(counts()).rejected += 1,
                ("final", "errored") | ("cut", _) => series.counts(counts()).failed += 1,
                _ => {}
            }
        }
        series
    }

    /// Counts the request of a call unless the call is a retry.
    fn count_call<'a>(
        &mut self,
        calls: &BTreeMap<&str, Call>,
        record: &'a RecordEntry,
        day_start: f64,
    ) -> Call<'a> {
        let first_id = record.text("of");
        let second = match calls.get(first_id) {
            Some(first) => first.second,
            None => ((record.number("intended") - day_start).max(0.0) as usize).min(self.seconds - 1),
        };
        let model = record.text("model");
        if first_id.is_empty() {
            self.counts((model, second)).wanted += 1;
        }
        Call { model, second, record }
    }

    fn counts(&mut self, (model, second): (&str, usize)) -> &mut ServiceCounts {
        let seconds = self.seconds;
        let route =
            self.routes.entry(model.into()).or_insert_with(|| vec![ServiceCounts::default(); seconds]);
        &mut route[second]
    }

    /// Returns the counts of all routes together in a range of seconds.
    pub fn total(&self, range: Range<usize>) -> ServiceCounts {
        let mut total = ServiceCounts::default();
        for counts in self.routes.values() {
            let within = &counts[range.start.min(self.seconds)..range.end.min(self.seconds)];
            within.iter().for_each(|second| total.add(second));
        }
        total
    }

    /// Returns the counts of all routes together over the day.
    pub fn whole_day(&self) -> ServiceCounts {
        self.total(0..self.seconds)
    }

    /// Returns the window of [`WORST_WINDOW_S`] seconds with the lowest share served in target, the first of
    /// equals. `None` if the day has no requests.
    pub fn worst_window(&self) -> Option<WorstWindow> {
        let last = self.seconds.saturating_sub(WORST_WINDOW_S);
        let windows = (0..=last).filter_map(|start_s| {
            let served_fraction = self.total(start_s..start_s + WORST_WINDOW_S).served_fraction()?;
            Some(WorstWindow { start_s, served_fraction })
        });
        windows.fold(None, |worst: Option<WorstWindow>, window| match worst {
            Some(worst) if worst.served_fraction <= window.served_fraction => Some(worst),
            _ => Some(window),
        })
    }

    /// Returns the number of seconds from second `at` until the share served in target is back to at least
    /// `share` times what it was in the ten seconds before `at`. `None` if it does not recover until the end
    /// of the day, or if there were no requests before.
    pub fn recovery_s(&self, at: usize, share: f64) -> Option<usize> {
        let before = self.total(at.saturating_sub(WORST_WINDOW_S)..at).served_fraction()?;
        let has_recovered = |start: &usize| {
            let now = self.total(*start..*start + RECOVERY_WINDOW_S).served_fraction();
            now.is_some_and(|now| now >= share * before)
        };
        (at..self.seconds.saturating_sub(1)).find(has_recovered).map(|start| start - at)
    }
}

#[cfg(test)]
mod tests;
