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

/// Maximum number of removed engines that are remembered.
const MAX_REMOVED: usize = 4096;

/// Engine that was removed from the list.
#[derive(Clone, Copy, Debug)]
struct RemovedEngine {
    started_at: Option<f64>,
    /// Number of the update that removed it.
    removed_in: u64,
}

/// Engines as discovery announced them last.
pub struct DiscoveredEndpoints {
    machine_kinds: Vec<MachineKind>,
    by_id: BTreeMap<String, EndpointEntry>,
    removed: BTreeMap<String, RemovedEngine>,
    updates: u64,
}

impl DiscoveredEndpoints {
    /// Creates an empty list. An engine's machine kind determines its role and its memory in tokens.
    pub fn new(machine_kinds: Vec<MachineKind>) -> DiscoveredEndpoints {
        DiscoveredEndpoints { machine_kinds, by_id: BTreeMap::new(), removed: BTreeMap::new(), updates: 0 }
    }

    /// Applies one response of discovery.
    pub fn apply(&mut self, update: DiscoveryUpdate) {
        if update.reset {
            let engines = self.engines_after(update);
            return self.replace(engines);
        }
        let before = |instance: &Instance| {
            (instance.instance_id.clone(), self.by_id.get(&instance.instance_id).cloned())
        };
        let changed: Vec<_> = update.instances.iter().map(before).collect();
        apply_changes(&self.machine_kinds, &mut self.by_id, update.instances);
        self.updates += 1;
        for (id, before) in changed {
            self.note_change(id, before);
        }
        self.forget_oldest_removed();
    }

    /// Applies one response of discovery that may be older than the list: it takes back neither drains nor
    /// removals nor restarts, and adds no engine. What it announces itself counts.
    pub fn apply_possibly_stale(&mut self, update: DiscoveryUpdate) {
        self.apply_older(update, false);
    }

    /// Applies one response of a discovery agent that has been behind for long, or counts versions in another way.
    /// Like [`DiscoveredEndpoints::apply_possibly_stale`], but engines that were never in the list are added.
    pub fn apply_behind(&mut self, update: DiscoveryUpdate) {
        self.apply_older(update, true);
    }

    fn apply_older(&mut self, update: DiscoveryUpdate, adds_engines: bool) {
        // A removed engine is added only if it has started again since.
        let may_add = |id: &str, entry: &EndpointEntry| {
            let removed = self.removed.get(id);
            adds_engines && removed.is_none_or(|removed| is_later(entry.started_at, removed.started_at))
        };
        let mut engines = self.engines_after(update);
        engines.retain(|id, entry| {
            let Some(before) = self.by_id.get(id) else { return may_add(id, entry) };
            // An engine that has started again since its drain was announced is active again.
            if before.state == EngineState::Draining && !is_later(entry.started_at, before.started_at) {
                entry.state = EngineState::Draining;
            }
            if is_later(before.started_at, entry.started_at) {
                entry.started_at = before.started_at;
            }
            true
        });
        self.replace(engines);
    }

    /// Returns the engines of the list to which this response leads.
    fn engines_after(&self, update: DiscoveryUpdate) -> BTreeMap<String, EndpointEntry> {
        let mut engines = if update.reset { BTreeMap::new() } else { self.by_id.clone() };
        apply_changes(&self.machine_kinds, &mut engines, update.instances);
        engines
    }

    /// Replaces the list, and remembers the engines that are no longer in it.
    fn replace(&mut self, engines: BTreeMap<String, EndpointEntry>) {
        self.updates += 1;
        let before = std::mem::replace(&mut self.by_id, engines);
        self.removed.retain(|id, _| !self.by_id.contains_key(id));
        for (id, entry) in before {
            self.note_change(id, Some(entry));
        }
        self.forget_oldest_removed();
    }

    /// Remembers an engine that is no longer in the list, and forgets the removal of one that is in it.
    fn note_change(&mut self, id: String, before: Option<EndpointEntry>) {
        if self.by_id.contains_key(&id) {
            self.removed.remove(&id);
        } else if let Some(before) = before {
            let removed = RemovedEngine { started_at: before.started_at, removed_in: self.updates };
            self.removed.insert(id, removed);
        }
    }

    fn forget_oldest_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.removed_in);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            self.removed.remove(&id);
        }
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

/// Applies the changes of one response to a list of engines.
fn apply_changes(
    machine_kinds: &[MachineKind],
    engines: &mut BTreeMap<String, EndpointEntry>,
    instances: Vec<Instance>,
) {
    for instance in instances {
        let id = instance.instance_id.clone();
        let entry = if instance.lifecycle == "removed" { None } else { entry(machine_kinds, instance) };
        match entry {
            Some(entry) if engines.len() < MAX_ENTRIES || engines.contains_key(&id) => {
                engines.insert(id, entry);
            }
            _ => drop(engines.remove(&id)),
        }
    }
}

/// Returns the list's entry for an engine; `None` if the settings do not name its machine kind: such an
/// engine cannot be used and is left out of the list.
fn entry(machine_kinds: &[MachineKind], instance: Instance) -> Option<EndpointEntry> {
    let mut kinds = machine_kinds.iter();
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

/// Returns whether a start is later than another; `None` means long ago.
fn is_later(first: Option<f64>, second: Option<f64>) -> bool {
    first.unwrap_or(f64::NEG_INFINITY) > second.unwrap_or(f64::NEG_INFINITY)
}
