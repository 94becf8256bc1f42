//! Results by model route, as the clients recorded them.

use crate::RecordEntry;
use std::collections::{BTreeMap, BTreeSet};

/// Results of one model route.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// Requests sent, retries by clients included.
    pub requests: u64,
    /// Requests with a complete answer.
    pub completed: u64,
    /// Requests rejected for want of capacity.
    pub rejected: u64,
    /// Requests answered with another error.
    pub failed: u64,
    /// Requests whose client disconnected.
    pub client_disconnects: u64,
    /// Requests whose connection broke without an answer: their node died.
    pub connection_failures: u64,
    /// Completed requests with their first token in target.
    pub completed_in_target: u64,
    /// Requests, each counted once however often its client retried.
    pub distinct_requests: u64,
    /// Of these, the requests completed with their first token in target.
    pub distinct_in_target: u64,
    /// Seconds to the first token, sorted.
    pub ttft_s: Vec<f64>,
}

impl RouteStats {
    /// Quantile of the time to the first token; none without one.
    pub fn ttft_quantile(&self, quantile: f64) -> Option<f64> {
        let last = self.ttft_s.len().checked_sub(1)?;
        self.ttft_s.get((quantile * last as f64).round() as usize).copied()
    }
}

/// A request whose end is not recorded yet.
struct OpenRequest<'a> {
    call: &'a RecordEntry,
    in_target: bool,
}

/// Results by model. The time to the first token counts from the request's intended start.
pub fn route_stats(entries: &[RecordEntry]) -> BTreeMap<String, RouteStats> {
    let mut routes: BTreeMap<String, RouteStats> = BTreeMap::new();
    let mut requests: BTreeMap<&str, OpenRequest> = BTreeMap::new();
    let mut served: BTreeSet<&str> = BTreeSet::new();
    for entry in entries {
        let id = entry.text("req");
        if entry.event == "ask" {
            requests.insert(id, OpenRequest { call: entry, in_target: false });
            let stats = routes.entry(entry.text("model").into()).or_default();
            stats.requests += 1;
            stats.distinct_requests += u64::from(entry.text("of").is_empty());
            continue;
        }
        let Some(request) = requests.get_mut(id) else { continue };
        let stats = routes.entry(request.call.text("model").into()).or_default();
        match entry.event.as_str() {
            "first" => {
                let ttft_s = entry.time_s - request.call.number("intended");
                stats.ttft_s.push(ttft_s);
                request.in_target = ttft_s <= request.call.number("target_s");
            }
            "final" => stats.count_answer(entry, request, &mut served),
            "left" => stats.client_disconnects += 1,
            "cut" => stats.connection_failures += 1,
            _ => {}
        }
    }
    routes.values_mut().for_each(|stats| stats.ttft_s.sort_by(f64::total_cmp));
    routes
}

impl RouteStats {
    fn count_answer<'a>(
        &mut self,
        answer: &'a RecordEntry,
        request: &OpenRequest<'a>,
        served: &mut BTreeSet<&'a str>,
    ) {
        match answer.text("how") {
            "completed" => {
                self.completed += 1;
                self.completed_in_target += u64::from(request.in_target);
                let retried = request.call.text("of");
                let origin = if retried.is_empty() { answer.text("req") } else { retried };
                self.distinct_in_target += u64::from(request.in_target && served.insert(origin));
            }
            "shed" => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}
