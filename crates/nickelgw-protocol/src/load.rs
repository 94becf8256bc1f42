//! Load reports of engines: the ORCA load report in its JSON form, in the header `endpoint-load-metrics`.

use crate::Malformed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Named metric: requests that wait for a slot.
pub const QUEUED_REQUESTS_METRIC: &str = "num_requests_waiting";
/// Named metric: requests that wait or run.
pub const INFLIGHT_REQUESTS_METRIC: &str = "num_requests_present";
/// Named metric: prompt tokens that wait for their prefill.
pub const PENDING_PROMPT_TOKENS_METRIC: &str = "num_prompt_tokens_waiting";

/// Format of a load report in its header.
const JSON_FORMAT: &str = "JSON";

/// An engine's load; a field without a value was not measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of memory in use, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mem_utilization: Option<f64>,
    /// Share of slots in use, 0 and up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub application_utilization: Option<f64>,
    /// Further metrics by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

impl LoadReport {
    /// The header's value.
    pub fn to_header(&self) -> String {
        // Encoding cannot fail: the report has only numbers and fixed names.
        let json = serde_json::to_string(self).unwrap_or_else(|_| "{}".into());
        format!("{JSON_FORMAT} {json}")
    }

    /// Decodes a header's value; numbers must be finite and not negative.
    pub fn parse(header: &str) -> Result<LoadReport, Malformed> {
        let json = header.trim().strip_prefix(JSON_FORMAT);
        let json = json.ok_or_else(|| Malformed::Load("only JSON is read".into()))?;
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

    /// A named metric, if it was reported.
    pub fn named_metric(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied()
    }
}
