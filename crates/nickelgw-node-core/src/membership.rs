//! What is told of engines, of other nodes and of what earlier processes learnt.

use super::*;

impl NodeCore {
    /// Under these ids other processes live than before: what was known of the old ones is void with the next list.
    pub fn engines_replaced(&mut self, now: f64, ids: &[String]) {
        let gone = |id: &String| EngineEntry {
            id: id.clone(),
            zone: 0,
            cell: 0,
            role: EngineRole::Prefill,
            memory_tokens: 1.0,
            lifecycle: Lifecycle::Removed,
            started_at: None,
        };
        let lines: Vec<EngineEntry> = ids.iter().map(gone).collect();
        self.router.update_endpoints(now, &lines, false);
    }

    /// A list from the same source never goes back: an older one is an answer that was overtaken.
    pub fn update_endpoints(&mut self, now: f64, list: &EndpointList) {
        if self.revision.is_some_and(|r| list.revision < r) {
            return;
        }
        self.revision = Some(list.revision);
        let mut lines = Vec::with_capacity(list.engines.len());
        let draining = list.engines.iter().filter(|l| l.state != list::EngineState::Active);
        self.draining = draining.map(|l| l.id.clone()).collect();
        for l in &list.engines {
            // A zone not in the settings cannot be weighed; the engine is left out, as if gone.
            let Some(zone) = self.figures.zones.iter().position(|z| *z == l.zone) else { continue };
            let role = match l.role {
                list::EngineRole::Prefill => EngineRole::Prefill,
                list::EngineRole::Decode => EngineRole::Decode,
                list::EngineRole::Unified => EngineRole::Unified,
            };
            let standing = match l.state {
                list::EngineState::Active => Lifecycle::Active,
                list::EngineState::Draining => Lifecycle::Draining,
                list::EngineState::Removed => Lifecycle::Removed,
            };
            let known =
                self.places.get(&l.id).filter(|(p, _)| p.address == l.address && p.tls_name == l.tls_name);
            let place = known.map_or_else(
                || {
                    Rc::new(Endpoint {
                        id: l.id.clone(),
                        address: l.address.clone(),
                        tls_name: l.tls_name.clone(),
                    })
                },
                |(p, _)| p.clone(),
            );
            self.places.insert(l.id.clone(), (place, role));
            lines.push(EngineEntry {
                id: l.id.clone(),
                zone: zone as u32,
                cell: l.cell,
                role,
                memory_tokens: l.memory_tokens,
                lifecycle: standing,
                started_at: l.started_at.map(|at| at - self.figures.started_at_unix_s),
            });
        }
        let (places, listed): (_, BTreeSet<&str>) =
            (&mut self.places, lines.iter().map(|l| &*l.id).collect());
        places.retain(|id, _| listed.contains(id.as_str()));
        // Out of the list, or listed at another address: a process that has ended.
        let ended = |s: &Reservation| {
            places.get(&s.prefill_engine.id).is_none_or(|p| p.0.address != s.prefill_engine.address)
        };
        self.ledger.engines_gone(now, ended);
        let readers = places.values().filter(|p| p.1 != EngineRole::Decode).map(|p| p.0.clone());
        self.sweep.update_endpoints(now, readers);
        self.router.update_endpoints(now, &lines, true);
        if let Some((learnt, trust)) = self.recall.take_if(|_| !lines.is_empty()) {
            self.router.restore_learned_state(now, &learnt, trust);
        }
    }

    /// What part of the whole is this node's has changed.
    pub fn set_fleet_position(&mut self, now: f64, place: Option<(u32, u32)>) {
        self.router.set_fleet_size(now, place.map(|(_, of)| of));
    }

    /// From now on it is one of a fleet, under this name.
    pub fn join_fleet(
        &mut self,
        name: &str,
        figures: nickelgw_zones::core::ZoneConfig,
        round_s: f64,
        seed: u64,
    ) {
        self.zone_failover =
            Some(ZoneFailover::new(self.figures.zones.clone(), name, figures, round_s, seed));
    }

    /// What other nodes of the fleet have told: turns the ways to zones. What is to be told to them comes back.
    pub fn zone_round(&mut self, now: f64, others: &[PeerRecord]) -> Option<ZoneRound> {
        Some(self.zone_failover.as_mut()?.update(now, &mut self.router, others))
    }

    /// What an earlier process of this node had learnt, as it was kept; false: it cannot be read.
    pub fn restore_state(&mut self, kept: &[u8], trust: f64) -> bool {
        self.recall = warm_state::read(kept, self.figures.started_at_unix_s).map(|l| (l, trust));
        self.recall.is_some()
    }

    /// What is to be kept for the next one.
    pub fn learned_state(&self, now: f64) -> Vec<u8> {
        warm_state::write(&self.router.learned_state(now), self.figures.started_at_unix_s)
    }

    pub fn orphan_cleanup_finished(&mut self, now: f64, address: &str, done: bool) {
        self.sweep.release_finished(now, address, done);
    }

    /// The last list of an earlier process: used until a source speaks, whose first word counts at any revision.
    pub fn restore_endpoints(&mut self, now: f64, list: &EndpointList) {
        self.update_endpoints(now, list);
        self.revision = None;
    }

    pub fn endpoint_poll_failed(&mut self, now: f64) {
        self.router.endpoint_poll_failed(now);
    }
}
