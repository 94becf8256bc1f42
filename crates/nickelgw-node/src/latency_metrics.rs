//! Latencies of the node's own event loop.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::time::Duration;

/// Longest latency that the histograms distinguish, in nanoseconds; longer ones are recorded as this value.
const MAX_LATENCY_NS: u64 = 100_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histograms of the event loop's latencies, in nanoseconds.
pub struct LatencyMetrics {
    /// Time from reading an event from its socket to the end of the core's decision on it.
    pub to_decision: Histogram<u64>,
    /// Duration of one call that gets the core's commands, including its decisions.
    pub poll_commands: Histogram<u64>,
    /// Duration of one iteration of the event loop: handling events, deciding and starting commands.
    pub iteration: Histogram<u64>,
    /// Number of events handled.
    pub events: u64,
}

impl Default for LatencyMetrics {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
        let histogram = histogram.expect("constant bounds are valid");
        LatencyMetrics {
            to_decision: histogram.clone(),
            poll_commands: histogram.clone(),
            iteration: histogram,
            events: 0,
        }
    }
}

impl LatencyMetrics {
    /// Returns the number of events and the latency quantiles in microseconds, as JSON.
    pub fn json(&self) -> Value {
        json!({
            "words": self.events,
            "to_decision": quantiles(&self.to_decision),
            "act": quantiles(&self.poll_commands),
            "round": quantiles(&self.iteration),
        })
    }

    pub(crate) fn record(histogram: &mut Histogram<u64>, latency: Duration) {
        histogram.saturating_record(latency.as_nanos().min(u64::MAX as u128) as u64);
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let microseconds = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    json!({
        "p50_us": microseconds(0.5),
        "p99_us": microseconds(0.99),
        "max_us": microseconds(1.0),
        "count": histogram.len(),
    })
}
