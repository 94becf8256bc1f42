//! Endpoint lists, membership in a fleet, and state restored from earlier processes.

use crate::commands::{Endpoint, Reservation};
use crate::node_core::{NodeCore, RestoredState};
use crate::warm_state;
use crate::zone_failover::{ZoneFailover, ZoneRound};
use nickelgw::interface::{EngineEntry, EngineRole, Lifecycle};
use nickelgw_gossip::core::PeerRecord;
use nickelgw_protocol::list::{self, EndpointEntry, EndpointList};
use nickelgw_zones::core::ZoneConfig;
use std::collections::BTreeSet;
use std::rc::Rc;

fn engine_role(role: list::EngineRole) -> EngineRole {
    match role {
        list::EngineRole::Prefill => EngineRole::Prefill,
        list::EngineRole::Decode => EngineRole::Decode,
        list::EngineRole::Unified => EngineRole::Unified,
    }
}

fn lifecycle(state: list::EngineState) -> Lifecycle {
    match state {
        list::EngineState::Active => Lifecycle::Active,
        list::EngineState::Draining => Lifecycle::Draining,
        list::EngineState::Removed => Lifecycle::Removed,
    }
}

/// Returns an entry that marks the engine as removed.
fn removed_engine(id: &str) -> EngineEntry {
    EngineEntry {
        id: id.to_string(),
        zone: 0,
        cell: 0,
        role: EngineRole::Prefill,
        memory_tokens: 1.0,
        lifecycle: Lifecycle::Removed,
        started_at: None,
    }
}

impl NodeCore {
    /// Discards what is known of the engines with these ids, because other processes now run under them. The
    /// next endpoint list adds them again.
    pub fn engines_replaced(&mut self, now: f64, ids: &[String]) {
        let removed: Vec<EngineEntry> = ids.iter().map(|id| removed_engine(id)).collect();
        self.router.update_endpoints(now, &removed, false);
    }

    /// Applies an endpoint list. A list with an older revision than the list in use arrived late and is
    /// ignored.
    pub fn update_endpoints(&mut self, now: f64, list: &EndpointList) {
        if self.revision.is_some_and(|revision| list.revision < revision) {
            return;
        }
        self.revision = Some(list.revision);
        let draining = list.engines.iter().filter(|entry| entry.state != list::EngineState::Active);
        self.draining = draining.map(|entry| entry.id.clone()).collect();
        let entries: Vec<EngineEntry> =
            list.engines.iter().filter_map(|entry| self.update_endpoint(entry)).collect();
        self.remove_unlisted(now, &entries);
        let holds_reservations = |role: EngineRole| role != EngineRole::Decode;
        let prefill_engines = self.endpoints.values().filter(|known| holds_reservations(known.1));
        self.orphan_cleanup.update_endpoints(now, prefill_engines.map(|known| known.0.clone()));
        self.router.update_endpoints(now, &entries, true);
        if let Some(restored) = self.restored_state.take_if(|_| !entries.is_empty()) {
            self.router.restore_learned_state(now, &restored.learned, restored.confidence);
        }
    }

    /// Sets the node's position in its fleet: its number and the number of nodes; `None` if it has no
    /// position.
    pub fn set_fleet_position(&mut self, now: f64, position: Option<(u32, u32)>) {
        self.router.set_fleet_size(now, position.map(|(_, node_count)| node_count));
    }

    /// Joins a fleet under this name. `round_s`: seconds between two rounds of zone updates.
    pub fn join_fleet(&mut self, name: &str, config: ZoneConfig, round_s: f64, seed: u64) {
        let zones = self.config.zones.clone();
        self.zone_failover = Some(ZoneFailover::new(zones, name, config, round_s, seed));
    }

    /// Updates the states of zones from the gossip records of other nodes. Returns what to publish to these
    /// nodes; `None` if the node is not in a fleet.
    pub fn zone_round(&mut self, now: f64, peers: &[PeerRecord]) -> Option<ZoneRound> {
        Some(self.zone_failover.as_mut()?.update(now, &mut self.router, peers))
    }

    /// Restores the learned state of an earlier process of this node; returns `false` if the record cannot be
    /// decoded. `confidence`: weight of the restored state, from 0 to 1.
    pub fn restore_state(&mut self, record: &[u8], confidence: f64) -> bool {
        let learned = warm_state::decode(record, self.config.started_at_unix_s);
        self.restored_state = learned.map(|learned| RestoredState { learned, confidence });
        self.restored_state.is_some()
    }

    /// Returns the record of what this process has learned, for the node's next process.
    pub fn learned_state(&self, now: f64) -> Vec<u8> {
        warm_state::encode(&self.router.learned_state(now), self.config.started_at_unix_s)
    }

    /// Applies the last endpoint list of an earlier process. The first list from a source replaces it,
    /// whatever its revision.
    pub fn restore_endpoints(&mut self, now: f64, list: &EndpointList) {
        self.update_endpoints(now, list);
        self.revision = None;
    }

    /// Records that the endpoint list could not be fetched.
    pub fn endpoint_poll_failed(&mut self, now: f64) {
        self.router.endpoint_poll_failed(now);
    }

    /// Updates one listed endpoint. Returns `None` for an engine in a zone that is not in the settings, which
    /// is treated as removed.
    fn update_endpoint(&mut self, entry: &EndpointEntry) -> Option<EngineEntry> {
        let zone = self.config.zones.iter().position(|zone| *zone == entry.zone)?;
        let role = engine_role(entry.role);
        let is_unchanged =
            |known: &Endpoint| known.address == entry.address && known.tls_name == entry.tls_name;
        let known = self.endpoints.get(&entry.id).map(|known| known.0.clone());
        let endpoint = known.filter(|known| is_unchanged(known)).unwrap_or_else(|| {
            Rc::new(Endpoint {
                id: entry.id.clone(),
                address: entry.address.clone(),
                tls_name: entry.tls_name.clone(),
            })
        });
        self.endpoints.insert(entry.id.clone(), (endpoint, role));
        Some(EngineEntry {
            id: entry.id.clone(),
            zone: zone as u32,
            cell: entry.cell,
            role,
            memory_tokens: entry.memory_tokens,
            lifecycle: lifecycle(entry.state),
            started_at: entry.started_at.map(|at| at - self.config.started_at_unix_s),
        })
    }

    /// Removes endpoints that are not listed. The process of an engine that is not listed any more, or is
    /// listed at another address, counts as ended, and its reservations as lost.
    fn remove_unlisted(&mut self, now: f64, entries: &[EngineEntry]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.id).collect();
        let endpoints = &mut self.endpoints;
        endpoints.retain(|id, _| listed.contains(id.as_str()));
        let has_ended = |reservation: &Reservation| {
            let engine = &reservation.prefill_engine;
            endpoints.get(&engine.id).is_none_or(|known| known.0.address != engine.address)
        };
        self.ledger.engines_gone(now, has_ended);
    }
}
