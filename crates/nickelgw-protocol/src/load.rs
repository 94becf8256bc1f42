//! Load reports of engines: ORCA load reports in JSON format, in the header `endpoint-load-metrics`.

use crate::Malformed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Named metric: number of requests that wait for a slot.
pub const QUEUED_REQUESTS_METRIC: &str = "num_requests_waiting";
/// Named metric: number of requests that wait or run.
pub const INFLIGHT_REQUESTS_METRIC: &str = "num_requests_present";
/// Named metric: number of prompt tokens that wait for their prefill.
pub const PENDING_PROMPT_TOKENS_METRIC: &str = "num_prompt_tokens_waiting";

/// Name of the format at the beginning of the header's value.
const JSON_FORMAT: &str = "JSON";

/// Load of an engine. A field is `None` if it was not measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of the memory in use, from 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mem_utilization: Option<f64>,
    /// Share of the slots in use, 0 or more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub application_utilization: Option<f64>,
    /// Further metrics by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

impl LoadReport {
    /// Encodes the report as the value of the header.
    pub fn to_header(&self) -> String {
        // Encoding cannot fail, as the report consists of numbers and texts only.
        let json = serde_json::to_string(self).unwrap_or_else(|_| "{}".into());
        format!("{JSON_FORMAT} {json}")
    }

    /// Decodes the value of the header. Numbers must be finite and not negative.
    pub fn parse(header: &str) -> Result<LoadReport, Malformed> {
        let json = header.trim().strip_prefix(JSON_FORMAT);
        let json = json.ok_or_else(|| Malformed::Load("only the JSON format is supported".into()))?;
        let report: LoadReport =
            serde_json::from_str(json).map_err(|error| Malformed::Load(error.to_string()))?;
        let utilizations = [report.mem_utilization, report.application_utilization];
        let named = report.named_metrics.values().copied();
        let mut values = utilizations.into_iter().flatten().chain(named);
        if values.any(|value| !value.is_finite() || value < 0.0) {
            return Err(Malformed::Load("a value is negative or not finite".into()));
        }
        Ok(report)
    }

    /// Returns a named metric. `None` if it was not reported.
    pub fn named_metric(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied()
    }
}
