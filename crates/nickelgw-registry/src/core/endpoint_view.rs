//! View of the endpoints: which endpoints the registry reports, and which of them are used.
//!
//! Drains take effect at once, even while removals are suspected. A report that would remove more than a
//! fraction of the endpoints at once is a suspected removal: each of these endpoints is probed, and removed
//! if it does not answer the probe or if the suspicion times out. An endpoint that repeatedly leaves and
//! returns is suppressed by flap damping. An entry with a known id stands for a new process if it has a later
//! start time, or another address, role, zone or cell.

pub use super::endpoint_view_config::EndpointViewConfig;
use super::flap_damping::FlapPenalty;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use std::collections::{BTreeMap, BTreeSet};

/// Penalty at or below which the penalty of a removed endpoint is dropped.
const NEGLIGIBLE_PENALTY: f64 = 0.1;
/// Interval in seconds at which a suppressed endpoint is checked.
const DAMPING_POLL_S: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Listed,
    /// The registry no longer lists the endpoint. It is used until a probe fails or the suspicion times out.
    SuspectedRemoval {
        since: f64,
    },
}

struct KnownEndpoint {
    entry: EndpointEntry,
    presence: Presence,
    penalty: FlapPenalty,
    suppressed: bool,
}

impl KnownEndpoint {
    fn is_active(&self) -> bool {
        self.entry.state == EngineState::Active
    }

    fn is_suspected(&self) -> bool {
        self.presence != Presence::Listed
    }

    /// Entry as it is used. A suppressed endpoint is draining, so that its open requests finish and no new
    /// ones begin.
    fn effective_entry(&self) -> EndpointEntry {
        let mut entry = self.entry.clone();
        if self.suppressed && self.is_active() {
            entry.state = EngineState::Draining;
        }
        entry
    }
}

/// Totals for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Puts and removals that were processed.
    pub changes: u64,
    /// Removals that were suspected.
    pub suspected: u64,
    /// Suspected removals whose endpoint was listed again.
    pub cleared: u64,
    /// Suspected removals confirmed by a failed probe or a timeout.
    pub confirmed: u64,
    /// Rollbacks of the registry to an older revision.
    pub rolled_back: u64,
    /// Suppressions of an endpoint by flap damping.
    pub flapping: u64,
    /// Entries removed because another entry has the same address.
    pub duplicate_addresses: u64,
    /// Entries refused because the view is full.
    pub refused: u64,
}

/// Event of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEvent {
    /// An entry was written.
    Put(EndpointEntry),
    /// The entry of an id was deleted.
    Delete(String),
}

impl RegistryEvent {
    fn id(&self) -> &str {
        match self {
            RegistryEvent::Put(entry) => &entry.id,
            RegistryEvent::Delete(id) => id,
        }
    }
}

/// View of the endpoints of the fleet.
pub struct EndpointView {
    config: EndpointViewConfig,
    endpoints: BTreeMap<String, KnownEndpoint>,
    /// Id of the endpoint at each address.
    id_by_address: BTreeMap<String, String>,
    /// Penalties of removed endpoints, kept in case they return.
    removed_penalties: BTreeMap<String, FlapPenalty>,
    revision: u64,
    changed: bool,
    /// Ids of endpoints that are to be probed.
    probes: BTreeSet<String>,
    /// Ids whose process was replaced.
    replaced: BTreeSet<String>,
    /// Totals for the metrics.
    pub counters: ViewCounters,
}

impl EndpointView {
    /// Creates an empty view.
    pub fn new(config: EndpointViewConfig) -> EndpointView {
        EndpointView {
            config,
            endpoints: BTreeMap::new(),
            id_by_address: BTreeMap::new(),
            removed_penalties: BTreeMap::new(),
            revision: 0,
            changed: false,
            probes: BTreeSet::new(),
            replaced: BTreeSet::new(),
            counters: ViewCounters::default(),
        }
    }

    /// Returns the newest applied revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of endpoints, including those whose removal is suspected.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Number of endpoints whose removal is suspected.
    pub fn suspected(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_suspected()).count()
    }

    /// Reconciles the view with all entries of the registry at a revision. An older revision is ignored
    /// unless `rolled_back`, which means that [`super::registry_watch::RegistryWatch`] has confirmed a
    /// rollback of the registry.
    pub fn replace_all(&mut self, now: f64, revision: u64, entries: Vec<EndpointEntry>, rolled_back: bool) {
        if revision < self.revision && !rolled_back {
            return;
        }
        self.counters.rolled_back += u64::from(revision < self.revision);
        self.revision = revision;
        let listed: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.put(now, entry);
        }
        let removed = self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        self.remove_or_suspect(now, removed);
    }

    /// Applies the events of one revision. Of several events for the same id, the last one counts.
    pub fn apply_events(&mut self, now: f64, revision: u64, events: Vec<RegistryEvent>) {
        if revision <= self.revision {
            // The events were received before, over another connection.
            return;
        }
        self.revision = revision;
        let mut last_events: BTreeMap<String, RegistryEvent> = BTreeMap::new();
        let mut deleted: BTreeSet<String> = BTreeSet::new();
        for event in events {
            let id = event.id().to_string();
            if matches!(event, RegistryEvent::Delete(_)) {
                deleted.insert(id.clone());
            }
            last_events.insert(id, event);
        }
        let mut removed = Vec::new();
        for (id, event) in last_events {
            match event {
                RegistryEvent::Put(entry) => {
                    // An id that is deleted and put in one batch stands for a new process, even if its entry
                    // is the same.
                    if deleted.contains(&id) && self.endpoints.contains_key(&id) {
                        self.replaced.insert(id);
                        self.changed = true;
                    }
                    self.put(now, entry);
                }
                RegistryEvent::Delete(id) => removed.push(id),
            }
        }
        self.remove_or_suspect(now, removed);
    }

    /// Records that nothing has changed up to a revision.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, now: f64, entry: EndpointEntry) {
        // Of two entries with the same address, the newer one is that of the process that listens there.
        let duplicate = self.id_by_address.get(&entry.address).filter(|id| **id != entry.id).cloned();
        if let Some(older) = duplicate {
            self.counters.duplicate_addresses += 1;
            self.remove(now, &older);
        }
        if self.endpoints.contains_key(&entry.id) {
            self.update(now, entry);
        } else if self.endpoints.len() >= self.config.max_endpoints {
            self.counters.refused += 1;
        } else {
            self.add(now, entry);
        }
        self.counters.changes += 1;
    }

    fn add(&mut self, now: f64, entry: EndpointEntry) {
        let damping = self.config.damping();
        self.id_by_address.insert(entry.address.clone(), entry.id.clone());
        let removed_penalty = self.removed_penalties.remove(&entry.id);
        // An endpoint that returns after a removal is a new process. An endpoint that was never seen replaces
        // no process.
        if removed_penalty.is_some() {
            self.replaced.insert(entry.id.clone());
        }
        let penalty = removed_penalty.unwrap_or(FlapPenalty::none(now)).decayed(now, &damping);
        let suppressed = penalty.last_value() > damping.suppress;
        self.counters.flapping += u64::from(suppressed);
        let id = entry.id.clone();
        self.endpoints.insert(id, KnownEndpoint { entry, presence: Presence::Listed, penalty, suppressed });
        self.changed = true;
    }

    fn update(&mut self, now: f64, entry: EndpointEntry) {
        let damping = self.config.damping();
        let Some(known) = self.endpoints.get_mut(&entry.id) else { return };
        let returns = !known.is_active() && entry.state == EngineState::Active;
        if returns || is_other_process(&known.entry, &entry) {
            self.replaced.insert(entry.id.clone());
        }
        if returns {
            known.penalty = known.penalty.increased(now, &damping);
            if known.penalty.last_value() > damping.suppress && !known.suppressed {
                known.suppressed = true;
                self.counters.flapping += 1;
            }
        }
        self.changed |= known.entry != entry || known.is_suspected();
        if known.is_suspected() {
            self.counters.cleared += 1;
            self.probes.remove(&entry.id);
        }
        if known.entry.address != entry.address {
            self.id_by_address.remove(&known.entry.address);
            self.id_by_address.insert(entry.address.clone(), entry.id.clone());
        }
        known.entry = entry;
        known.presence = Presence::Listed;
    }

    fn remove(&mut self, now: f64, id: &str) {
        let Some(removed) = self.endpoints.remove(id) else { return };
        let address = &removed.entry.address;
        if self.id_by_address.get(address).is_some_and(|at_address| at_address == id) {
            self.id_by_address.remove(address);
        }
        let penalty = removed.penalty.increased(now, &self.config.damping());
        if self.removed_penalties.len() >= self.config.max_endpoints {
            self.drop_lowest_penalty();
        }
        self.removed_penalties.insert(id.into(), penalty);
        self.probes.remove(id);
        self.changed = true;
    }

    fn drop_lowest_penalty(&mut self) {
        let by_value = |(_, penalty): &(&String, &FlapPenalty)| penalty.last_value();
        let lowest = self.removed_penalties.iter().min_by(|x, y| by_value(x).total_cmp(&by_value(y)));
        if let Some(id) = lowest.map(|(id, _)| id.clone()) {
            self.removed_penalties.remove(&id);
        }
    }

    /// Handles ids that the registry no longer lists: they are removed, or suspected if there are too many.
    fn remove_or_suspect(&mut self, now: f64, ids: Vec<String>) {
        let is_suspicious = self.is_suspicious_removal(&ids);
        for id in ids {
            let Some(known) = self.endpoints.get_mut(&id) else { continue };
            self.counters.changes += 1;
            // An endpoint that is draining or removed is expected to disappear from the registry.
            let is_leaving = !known.is_active();
            match known.presence {
                Presence::SuspectedRemoval { .. } if !is_leaving => {}
                Presence::Listed if !is_leaving && is_suspicious => {
                    known.presence = Presence::SuspectedRemoval { since: now };
                    self.counters.suspected += 1;
                    self.probes.insert(id);
                }
                _ => self.remove(now, &id),
            }
        }
    }

    fn is_suspicious_removal(&self, ids: &[String]) -> bool {
        let active = self.endpoints.values().filter(|known| known.is_active()).count();
        let is_newly_removed = |known: &KnownEndpoint| known.is_active() && !known.is_suspected();
        let newly_removed = ids.iter().filter(|id| self.endpoints.get(*id).is_some_and(is_newly_removed));
        // Endpoints that are already suspected count too, since a list may also become empty in several
        // parts.
        let removals = newly_removed.count() + self.suspected();
        removals > self.config.max_unsuspected_removals
            && removals as f64 > self.config.max_removal_share * active as f64
    }

    /// Records the result of a probe. A suspected endpoint that answered stays until the suspicion times out.
    pub fn probe_finished(&mut self, now: f64, id: &str, answered: bool) {
        let is_suspected = self.endpoints.get(id).is_some_and(KnownEndpoint::is_suspected);
        if is_suspected && !answered {
            self.counters.confirmed += 1;
            self.remove(now, id);
        }
    }

    /// Takes the endpoints to probe; each one is returned once.
    pub fn take_probes(&mut self) -> Vec<EndpointEntry> {
        let ids = std::mem::take(&mut self.probes);
        ids.iter().filter_map(|id| Some(self.endpoints.get(id)?.entry.clone())).collect()
    }

    /// Applies the timeouts. Returns the time of the next call; `None` if no timeout is pending.
    pub fn tick(&mut self, now: f64) -> Option<f64> {
        self.confirm_timed_out(now);
        let (config, damping) = (self.config, self.config.damping());
        let mut next_tick: Option<f64> = None;
        for known in self.endpoints.values_mut() {
            if let Presence::SuspectedRemoval { since } = known.presence {
                next_tick = earliest(next_tick, since + config.suspicion_timeout_s);
            } else if known.suppressed {
                if known.penalty.at(now, &damping) <= damping.reuse {
                    known.suppressed = false;
                    self.changed = true;
                } else {
                    next_tick = earliest(next_tick, now + DAMPING_POLL_S);
                }
            }
        }
        self.removed_penalties.retain(|_, penalty| penalty.at(now, &damping) > NEGLIGIBLE_PENALTY);
        next_tick
    }

    fn confirm_timed_out(&mut self, now: f64) {
        let timeout_s = self.config.suspicion_timeout_s;
        let is_timed_out = |known: &KnownEndpoint| match known.presence {
            Presence::SuspectedRemoval { since } => now >= since + timeout_s,
            Presence::Listed => false,
        };
        let timed_out: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(_, known)| is_timed_out(known))
            .map(|(id, _)| id.clone())
            .collect();
        for id in timed_out {
            self.counters.confirmed += 1;
            self.remove(now, &id);
        }
    }

    /// Takes the ids whose process was replaced since the last call. State learned about the old process is
    /// invalid.
    pub fn take_replaced(&mut self) -> Vec<String> {
        std::mem::take(&mut self.replaced).into_iter().collect()
    }

    /// Returns the endpoints as they are used if they may have changed since the last call; otherwise `None`.
    pub fn take_changes(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| self.entries())
    }

    /// Returns the endpoints as they are used.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.endpoints.values().map(KnownEndpoint::effective_entry).collect()
    }
}

fn is_other_process(old: &EndpointEntry, new: &EndpointEntry) -> bool {
    old.address != new.address
        || old.role != new.role
        || old.zone != new.zone
        || old.cell != new.cell
        || new.started_at > old.started_at
}

fn earliest(first: Option<f64>, second: f64) -> Option<f64> {
    Some(first.map_or(second, |first| if second < first { second } else { first }))
}

#[cfg(test)]
#[path = "endpoint_view_tests.rs"]
mod tests;
