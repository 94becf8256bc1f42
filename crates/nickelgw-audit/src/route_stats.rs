//! Results of requests by model route, as the clients recorded them.

use crate::RecordEntry;
use std::collections::{BTreeMap, BTreeSet};

/// Results of the requests of one model route.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// Number of requests sent, including retries by clients.
    pub requests: u64,
    /// Number of requests with a complete answer.
    pub completed: u64,
    /// Number of requests rejected for lack of capacity.
    pub rejected: u64,
    /// Number of requests answered with any other error.
    pub failed: u64,
    /// Number of requests whose client disconnected.
    pub client_disconnects: u64,
    /// Number of requests whose connection broke before an answer, as it does when the node dies.
    pub connection_failures: u64,
    /// Number of completed requests whose first token arrived within the target time.
    pub completed_in_target: u64,
    /// Number of requests without the retries by clients.
    pub distinct_requests: u64,
    /// Number of [`RouteStats::distinct_requests`] that were completed, at any try, with the first token
    /// within the target.
    pub distinct_in_target: u64,
    /// Times to the first token in seconds, sorted.
    pub ttft_s: Vec<f64>,
}

impl RouteStats {
    /// Returns a quantile of [`RouteStats::ttft_s`]. `None` if it is empty.
    pub fn ttft_quantile(&self, quantile: f64) -> Option<f64> {
        let last = self.ttft_s.len().checked_sub(1)?;
        self.ttft_s.get((quantile * last as f64).round() as usize).copied()
    }
}

/// Request of which the call has been read.
struct OpenRequest<'a> {
    call: &'a RecordEntry,
    in_target: bool,
}

/// Returns the results by model. The time to the first token counts from the intended start of the request.
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
