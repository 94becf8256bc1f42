//! What a node measures of itself.

use hdrhistogram::Histogram;
use std::time::Duration;

pub struct LatencyMetrics {
    /// From the event's reading at its socket to the end of the core's decision on it.
    pub to_decision: Histogram<u64>,
    /// One call for decisions: the core's part and the module's.
    pub act: Histogram<u64>,
    /// A round of the driver: words heard, decisions, what they ask for begun.
    pub round: Histogram<u64>,
    pub words: u64,
}

impl Default for LatencyMetrics {
    fn default() -> Self {
        let h = Histogram::new_with_bounds(1, 100_000_000_000, 3).expect("a valid range");
        LatencyMetrics { to_decision: h.clone(), act: h.clone(), round: h, words: 0 }
    }
}

impl LatencyMetrics {
    /// Quantiles in microseconds, as JSON.
    pub fn json(&self) -> serde_json::Value {
        let of = |h: &Histogram<u64>| {
            let us = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
            serde_json::json!({"p50_us": us(0.5), "p99_us": us(0.99), "max_us": us(1.0), "count": h.len()})
        };
        serde_json::json!({"words": self.words, "to_decision": of(&self.to_decision), "act": of(&self.act),
            "round": of(&self.round)})
    }

    pub(crate) fn note(h: &mut Histogram<u64>, d: Duration) {
        h.saturating_record(d.as_nanos().min(u64::MAX as u128) as u64);
    }
}
