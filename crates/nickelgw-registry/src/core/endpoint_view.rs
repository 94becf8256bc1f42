//! The view of the fleet: what the registry reports of the endpoints, and which of them are used.
//!
//! Drains act at once, whatever else is suspected. A report that would remove more than a share of the endpoints at once
//! is a suspected removal: each endpoint is probed, and removed when it does not answer, or when the report has stood
//! for long enough. An endpoint that leaves and returns often is held out by flap damping. A process under an old id is a
//! new one when it started later, or has another address, role, zone or cell.

pub use super::endpoint_view_config::EndpointViewConfig;
use super::flap_damping::FlapPenalty;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use std::collections::{BTreeMap, BTreeSet};

/// Penalties at or below this are forgotten.
const NEGLIGIBLE_PENALTY: f64 = 0.1;
/// How often an endpoint that is held out is looked at.
const DAMPING_POLL_S: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Listed,
    /// The registry no longer has it; used until a probe fails or the suspicion times out.
    SuspectedRemoval {
        since: f64,
    },
}

struct KnownEndpoint {
    entry: EndpointEntry,
    presence: Presence,
    penalty: FlapPenalty,
    held_out: bool,
}

impl KnownEndpoint {
    fn is_active(&self) -> bool {
        self.entry.state == EngineState::Active
    }

    fn is_suspected(&self) -> bool {
        self.presence != Presence::Listed
    }

    /// The entry as it is used: an endpoint held out drains, so that its open requests end and no new ones begin.
    fn effective_entry(&self) -> EndpointEntry {
        let mut entry = self.entry.clone();
        if self.held_out && self.is_active() {
            entry.state = EngineState::Draining;
        }
        entry
    }
}

/// Totals for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    /// Puts and removals that were applied.
    pub changes: u64,
    /// Removals that were suspected.
    pub suspected: u64,
    /// Suspected removals whose endpoint was listed again.
    pub cleared: u64,
    /// Suspected removals confirmed by a probe or by time.
    pub confirmed: u64,
    /// Times that the registry itself went back to an older revision.
    pub rolled_back: u64,
    /// Times that an endpoint was held out.
    pub flapping: u64,
    /// Entries replaced as another entry has their address.
    pub duplicate_addresses: u64,
    /// Entries refused as the view is full.
    pub refused: u64,
}

/// One event of the registry.
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

/// The endpoints of the fleet as they are used.
pub struct EndpointView {
    config: EndpointViewConfig,
    endpoints: BTreeMap<String, KnownEndpoint>,
    /// The id of the endpoint at an address.
    id_by_address: BTreeMap<String, String>,
    /// Penalties of removed endpoints, for when they return.
    removed_penalties: BTreeMap<String, FlapPenalty>,
    revision: u64,
    changed: bool,
    probes: BTreeSet<String>,
    replaced: BTreeSet<String>,
    /// Totals for the metrics.
    pub counters: ViewCounters,
}

impl EndpointView {
    /// An empty view.
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

    /// The newest revision applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of endpoints, suspected ones included.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Number of endpoints whose removal is suspected.
    pub fn suspected(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_suspected()).count()
    }

    /// Reconciles the view with all that the registry holds at a revision. `rolled_back`: the registry itself has gone
    /// back, which [`super::registry_watch::RegistryWatch`] has confirmed.
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

    /// Applies the events of one revision, in their order: of several for one id the last counts.
    pub fn apply_events(&mut self, now: f64, revision: u64, events: Vec<RegistryEvent>) {
        if revision <= self.revision {
            // Received before, over another connection.
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
                    // Deleted and put in one batch: another process, even if its entry is the same.
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

    /// Nothing has changed up to this revision.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, now: f64, entry: EndpointEntry) {
        // Of two entries with one address the newer is the process that listens there.
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
        // One that was removed and is back is another process; of one never seen nothing is known.
        if removed_penalty.is_some() {
            self.replaced.insert(entry.id.clone());
        }
        let penalty = removed_penalty.unwrap_or(FlapPenalty::none(now)).decayed(now, &damping);
        let held_out = penalty.last_value() > damping.suppress;
        self.counters.flapping += u64::from(held_out);
        let id = entry.id.clone();
        self.endpoints.insert(id, KnownEndpoint { entry, presence: Presence::Listed, penalty, held_out });
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
            if known.penalty.last_value() > damping.suppress && !known.held_out {
                known.held_out = true;
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

    /// The registry no longer has these: they are removed, or suspected if they are too many.
    fn remove_or_suspect(&mut self, now: f64, ids: Vec<String>) {
        let is_suspicious = self.is_suspicious_removal(&ids);
        for id in ids {
            let Some(known) = self.endpoints.get_mut(&id) else { continue };
            self.counters.changes += 1;
            // A draining one was about to leave.
            let must_leave = !known.is_active();
            match known.presence {
                Presence::SuspectedRemoval { .. } if !must_leave => {}
                Presence::Listed if !must_leave && is_suspicious => {
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
        // Those suspected already count too: a list emptied piece by piece is emptied all the same.
        let removals = newly_removed.count() + self.suspected();
        removals > self.config.max_unsuspected_removals
            && removals as f64 > self.config.max_removal_share * active as f64
    }

    /// A probe of a suspected endpoint ended. One that answers stays until the suspicion times out.
    pub fn probe_finished(&mut self, now: f64, id: &str, answered: bool) {
        let is_suspected = self.endpoints.get(id).is_some_and(KnownEndpoint::is_suspected);
        if is_suspected && !answered {
            self.counters.confirmed += 1;
            self.remove(now, id);
        }
    }

    /// Endpoints to probe, each given once.
    pub fn take_probes(&mut self) -> Vec<EndpointEntry> {
        let ids = std::mem::take(&mut self.probes);
        ids.iter().filter_map(|id| Some(self.endpoints.get(id)?.entry.clone())).collect()
    }

    /// Applies the timeouts; gives when to call again, if any is running.
    pub fn tick(&mut self, now: f64) -> Option<f64> {
        self.confirm_timed_out(now);
        let (config, damping) = (self.config, self.config.damping());
        let mut next_tick: Option<f64> = None;
        for known in self.endpoints.values_mut() {
            if let Presence::SuspectedRemoval { since } = known.presence {
                next_tick = earliest(next_tick, since + config.suspicion_timeout_s);
            } else if known.held_out {
                if known.penalty.at(now, &damping) <= damping.reuse {
                    known.held_out = false;
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

    /// Ids whose process was replaced since the last call: what was learned of the old one is void.
    pub fn take_replaced(&mut self) -> Vec<String> {
        std::mem::take(&mut self.replaced).into_iter().collect()
    }

    /// The endpoints as they are used, if that has changed since the last call.
    pub fn take_changes(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| self.entries())
    }

    /// The endpoints as they are used.
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
