//! Load as engines report it: the ORCA load report in its JSON form, in the header `endpoint-load-metrics`.

use crate::Malformed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is left out was not measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of memory held, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mem_utilization: Option<f64>,
    /// Share of slots in use, 0 and up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub application_utilization: Option<f64>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

pub const WAITING: &str = "num_requests_waiting";
pub const PRESENT: &str = "num_requests_present";
pub const UNREAD: &str = "num_prompt_tokens_waiting";

impl LoadReport {
    pub fn header(&self) -> String {
        // Numbers and fixed names only: always JSON.
        format!("JSON {}", serde_json::to_string(self).unwrap_or_else(|_| "{}".into()))
    }

    pub fn parse(header: &str) -> Result<LoadReport, Malformed> {
        let json = header.trim().strip_prefix("JSON").ok_or(Malformed::Load("only JSON is read".into()))?;
        let r: LoadReport = serde_json::from_str(json).map_err(|e| Malformed::Load(e.to_string()))?;
        let values = [r.mem_utilization, r.application_utilization];
        let named = r.named_metrics.values().copied();
        if values.into_iter().flatten().chain(named).any(|v| !v.is_finite() || v < 0.0) {
            return Err(Malformed::Load("a value is negative or not finite".into()));
        }
        Ok(r)
    }

    pub fn named(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_come_back_as_sent_and_nonsense_is_refused() {
        let mut r = LoadReport { mem_utilization: Some(0.5), ..LoadReport::default() };
        r.named_metrics.insert(WAITING.into(), 3.0);
        assert_eq!(LoadReport::parse(&r.header()).unwrap(), r);
        for bad in ["BIN x", "JSON {", "JSON {\"mem_utilization\":-1}", "TEXT mem_utilization=0.3"] {
            assert!(LoadReport::parse(bad).is_err(), "{bad}");
        }
    }
}
