//! The list of engines as discovery tells it: whole, or what has changed of it.

use nickelgw::interface::EngineRole;
use nickelgw_protocol::list::{self, EndpointEntry, EndpointList, EngineState, MAX_ENTRIES};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: Option<u32>,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

/// One answer of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct News {
    pub generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

impl News {
    pub fn parse(bytes: &[u8]) -> Result<News, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string())
    }

    /// Changes that lead to an older list than this one.
    pub fn goes_back(&self, from: u64) -> bool {
        !self.reset && self.generation < from
    }

    /// A watch whose time passed brings none.
    pub fn is_none(&self) -> bool {
        !self.reset && self.instances.is_empty()
    }
}

/// The engines as last told.
pub struct Roll {
    kinds: Vec<(String, EngineRole, f64)>,
    by_id: BTreeMap<String, EndpointEntry>,
    told: u64,
}

impl Roll {
    pub fn new(kinds: Vec<(String, EngineRole, f64)>) -> Roll {
        Roll { kinds, by_id: BTreeMap::new(), told: 0 }
    }

    /// An entry of a kind that the settings do not name cannot be used: it is as one that is not there.
    fn line(&self, i: Instance) -> Option<EndpointEntry> {
        let (_, role, memory_tokens) = self.kinds.iter().find(|k| k.0 == i.machine_type)?;
        Some(EndpointEntry {
            role: match role {
                EngineRole::Prefill => list::EngineRole::Prefill,
                EngineRole::Decode => list::EngineRole::Decode,
                EngineRole::Unified => list::EngineRole::Unified,
            },
            memory_tokens: memory_tokens.max(1.0),
            state: if i.lifecycle == "up" { EngineState::Active } else { EngineState::Draining },
            started_at: i.started_at_ms.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3),
            id: i.instance_id,
            address: i.host_port,
            tls_name: None,
            zone: i.zone,
            cell: i.cell.unwrap_or(0),
        })
    }

    pub fn hear(&mut self, news: News) {
        if news.reset {
            self.by_id.clear();
        }
        for i in news.instances {
            let id = i.instance_id.clone();
            let line = if i.lifecycle == "removed" { None } else { self.line(i) };
            match line {
                Some(line) if self.by_id.len() < MAX_ENTRIES || self.by_id.contains_key(&id) => {
                    self.by_id.insert(id, line);
                }
                _ => drop(self.by_id.remove(&id)),
            }
        }
        self.told += 1;
    }

    /// Whether something new may be sent to it, as last told.
    pub fn is_in(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|l| l.state == EngineState::Active)
    }

    /// The whole list as it is now. Its revision counts what was heard: another agent may count otherwise.
    pub fn list(&self) -> EndpointList {
        EndpointList { revision: self.told, engines: self.by_id.values().cloned().collect() }
    }
}
