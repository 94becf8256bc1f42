//! The engines as discovery announces them: the whole list, or what has changed of it.

use nickelgw::interface::EngineRole;
use nickelgw_platform_config::MachineKind;
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

/// One response of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryUpdate {
    /// The list's version, as the answering agent counts.
    pub generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

impl DiscoveryUpdate {
    /// Parses a response's body.
    pub fn parse(bytes: &[u8]) -> Result<DiscoveryUpdate, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Whether these are changes that lead to an older list than the one of this generation.
    pub fn is_older_than(&self, generation: u64) -> bool {
        !self.reset && self.generation < generation
    }

    /// Whether nothing has changed, as after a watch whose time has passed.
    pub fn is_empty(&self) -> bool {
        !self.reset && self.instances.is_empty()
    }
}

/// The engines as last announced.
pub struct DiscoveredEndpoints {
    machine_kinds: Vec<MachineKind>,
    by_id: BTreeMap<String, EndpointEntry>,
    updates: u64,
}

impl DiscoveredEndpoints {
    /// An empty list; engines are of these kinds, with their role and memory in tokens.
    pub fn new(machine_kinds: Vec<MachineKind>) -> DiscoveredEndpoints {
        DiscoveredEndpoints { machine_kinds, by_id: BTreeMap::new(), updates: 0 }
    }

    /// None for a machine kind that the settings do not name: such an engine cannot be used and is left out of the list.
    fn entry(&self, instance: Instance) -> Option<EndpointEntry> {
        let mut kinds = self.machine_kinds.iter();
        let kind = kinds.find(|kind| kind.name == instance.machine_type)?;
        Some(EndpointEntry {
            role: match kind.role {
                EngineRole::Prefill => list::EngineRole::Prefill,
                EngineRole::Decode => list::EngineRole::Decode,
                EngineRole::Unified => list::EngineRole::Unified,
            },
            memory_tokens: kind.memory_tokens.max(1.0),
            state: if instance.lifecycle == "up" { EngineState::Active } else { EngineState::Draining },
            started_at: instance.started_at_ms.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3),
            id: instance.instance_id,
            address: instance.host_port,
            tls_name: None,
            zone: instance.zone,
            cell: instance.cell.unwrap_or(0),
        })
    }

    /// Applies one response of discovery.
    pub fn apply(&mut self, update: DiscoveryUpdate) {
        if update.reset {
            self.by_id.clear();
        }
        for instance in update.instances {
            let id = instance.instance_id.clone();
            let entry = if instance.lifecycle == "removed" { None } else { self.entry(instance) };
            match entry {
                Some(entry) if self.by_id.len() < MAX_ENTRIES || self.by_id.contains_key(&id) => {
                    self.by_id.insert(id, entry);
                }
                _ => drop(self.by_id.remove(&id)),
            }
        }
        self.updates += 1;
    }

    /// Whether new attempts may go to the engine, as last announced.
    pub fn is_active(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|entry| entry.state == EngineState::Active)
    }

    /// The whole list as it is now. Its revision counts the updates applied: another agent may count otherwise.
    pub fn snapshot(&self) -> EndpointList {
        EndpointList { revision: self.updates, engines: self.by_id.values().cloned().collect() }
    }
}
