//! The list of engines as discovery announces it: the whole list, or the changes since an earlier version.

use nickelgw::interface::EngineRole;
use nickelgw_platform_config::MachineKind;
use nickelgw_protocol::list::{self, EndpointEntry, EndpointList, EngineState, MAX_ENTRIES};
use serde::Deserialize;
use std::collections::BTreeMap;

/// One engine in a response of discovery.
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

/// One response of discovery: the whole list (`reset`), or the changes since an earlier version.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryUpdate {
    /// Version of the list, as counted by the discovery agent that responded.
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

    /// Returns whether this update consists of changes that lead to a list older than that of `generation`.
    pub fn is_older_than(&self, generation: u64) -> bool {
        !self.reset && self.generation < generation
    }

    /// Returns whether this update is the whole list.
    pub fn is_whole_list(&self) -> bool {
        self.reset
    }

    /// Returns whether nothing has changed, as in the response to a watch that has timed out.
    pub fn is_empty(&self) -> bool {
        !self.reset && self.instances.is_empty()
    }
}

/// Engines as discovery announced them last.
pub struct DiscoveredEndpoints {
    machine_kinds: Vec<MachineKind>,
    by_id: BTreeMap<String, EndpointEntry>,
    updates: u64,
}

impl DiscoveredEndpoints {
    /// Creates an empty list. An engine's machine kind determines its role and its memory in tokens.
    pub fn new(machine_kinds: Vec<MachineKind>) -> DiscoveredEndpoints {
        DiscoveredEndpoints { machine_kinds, by_id: BTreeMap::new(), updates: 0 }
    }

    /// Returns the list's entry for an engine; `None` if the settings do not name its machine kind: such an
    /// engine cannot be used and is left out of the list.
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

    /// Applies one response of discovery that may be older than the list: it takes back neither drains nor
    /// removals nor restarts, and adds no engine. What it announces itself counts.
    pub fn apply_possibly_stale(&mut self, update: DiscoveryUpdate) {
        let known = self.by_id.clone();
        self.apply(update);
        self.by_id.retain(|id, entry| {
            let Some(before) = known.get(id) else { return false };
            if before.state == EngineState::Draining {
                entry.state = EngineState::Draining;
            }
            entry.started_at = later(before.started_at, entry.started_at);
            true
        });
    }

    /// Returns whether new attempts may go to the engine, according to the last announcement.
    pub fn is_active(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|entry| entry.state == EngineState::Active)
    }

    /// Returns the whole list as it is now. Its revision is the number of updates applied, not the
    /// generation: another discovery agent may count generations differently.
    pub fn snapshot(&self) -> EndpointList {
        EndpointList { revision: self.updates, engines: self.by_id.values().cloned().collect() }
    }
}

/// Returns the later of two times; `None` means long ago.
fn later(first: Option<f64>, second: Option<f64>) -> Option<f64> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.max(second)),
        (first, second) => first.or(second),
    }
}
