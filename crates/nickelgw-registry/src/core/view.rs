//! The view of the fleet: what was heard, and what is believed of it.
//!
//! Drains act at once, whatever else is doubted. A word that would take away more than a share of the engines at once is
//! held in doubt: each of them is probed, and goes when it does not answer, or when the word has stood for long enough.
//! An engine that comes and goes is held out, longer each time. A process under an old id is a new one when it started
//! later, or lives at another address, or has another role, zone or cell.

use nickelgw_protocol::list::{EndpointEntry, EngineState};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Part of the engines in that may go at once without doubt, and how many always may.
    pub doubt_share: f64,
    pub doubt_least: usize,
    /// How long a doubted word must stand to be believed without probes.
    pub doubt_s: f64,
    /// Each coming and going adds one to an engine's penalty, which halves in this time; held out above the first
    /// figure until below the second.
    pub flap_half_s: f64,
    pub flap_out: f64,
    pub flap_in: f64,
    pub most_engines: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            doubt_share: 0.34,
            doubt_least: 2,
            doubt_s: 60.0,
            flap_half_s: 15.0,
            flap_out: 3.5,
            flap_in: 1.5,
            most_engines: 10_000,
        }
    }
}

/// How an engine stands in the view.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stand {
    Listed,
    /// The registry no longer has it, since then; believed in until a probe fails or the doubt's time is over.
    Doubted {
        since: f64,
    },
}

struct Known {
    line: EndpointEntry,
    stand: Stand,
    /// Comings and goings of late, when last reckoned.
    penalty: f64,
    at: f64,
    held_out: bool,
}

/// What a change did, for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    pub changes: u64,
    pub doubted: u64,
    pub cleared: u64,
    pub confirmed: u64,
    pub rolled_back: u64,
    pub flapping: u64,
    pub doubles: u64,
    pub refused: u64,
}

/// One event of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Put(EndpointEntry),
    Gone(String),
}

pub struct EndpointView {
    figures: Figures,
    known: BTreeMap<String, Known>,
    /// Which id lives at an address.
    at: BTreeMap<String, String>,
    /// Penalties of engines that are gone, so that one that comes back is known to flap.
    past: BTreeMap<String, (f64, f64)>,
    revision: u64,
    changed: bool,
    probes: BTreeSet<String>,
    /// Ids under which another process lives than was last told of.
    take_replaced: BTreeSet<String>,
    pub counters: ViewCounters,
}

fn faded(penalty: f64, at: f64, now: f64, half_s: f64) -> f64 {
    penalty * 0.5f64.powf((now - at).max(0.0) / half_s.max(1e-3))
}

impl EndpointView {
    pub fn new(figures: Figures) -> EndpointView {
        EndpointView {
            figures,
            known: BTreeMap::new(),
            at: BTreeMap::new(),
            past: BTreeMap::new(),
            revision: 0,
            changed: false,
            probes: BTreeSet::new(),
            take_replaced: BTreeSet::new(),
            counters: ViewCounters::default(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub fn doubted(&self) -> usize {
        self.known.values().filter(|k| k.stand != Stand::Listed).count()
    }

    /// All that the registry holds, at a revision. Reconciled: nothing is lost, doubled or brought back to life.
    /// `rolled_back`: the registry itself has gone back, which the follower has made sure of.
    pub fn replace_all(&mut self, now: f64, revision: u64, lines: Vec<EndpointEntry>, rolled_back: bool) {
        if revision < self.revision && !rolled_back {
            return;
        }
        self.counters.rolled_back += u64::from(revision < self.revision);
        self.revision = revision;
        let listed: BTreeSet<String> = lines.iter().map(|l| l.id.clone()).collect();
        for l in lines {
            self.put(now, l);
        }
        let gone: Vec<String> = self.known.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        self.take_away(now, gone);
    }

    /// Events of one revision, in their order: of one key the last counts.
    pub fn apply_events(&mut self, now: f64, revision: u64, events: Vec<Event>) {
        if revision <= self.revision {
            // Heard before, over another connection.
            return;
        }
        self.revision = revision;
        let mut last: BTreeMap<String, Event> = BTreeMap::new();
        let mut deleted: BTreeSet<String> = BTreeSet::new();
        for e in events {
            let id = match &e {
                Event::Put(l) => l.id.clone(),
                Event::Gone(id) => id.clone(),
            };
            if matches!(e, Event::Gone(_)) {
                deleted.insert(id.clone());
            }
            last.insert(id, e);
        }
        let mut gone = Vec::new();
        for (id, e) in last {
            match e {
                Event::Put(l) => {
                    // Deleted and put in one batch: another process, whatever its line says.
                    if deleted.contains(&id) && self.known.contains_key(&id) {
                        self.take_replaced.insert(id);
                        self.changed = true;
                    }
                    self.put(now, l);
                }
                Event::Gone(id) => gone.push(id),
            }
        }
        self.take_away(now, gone);
    }

    /// Nothing has changed up to this revision.
    pub fn progress(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn put(&mut self, now: f64, line: EndpointEntry) {
        let f = self.figures;
        // Two records of one address: the one heard last is the process that lives there.
        let double = self.at.get(&line.address).filter(|id| **id != line.id).cloned();
        if let Some(old) = double {
            self.counters.doubles += 1;
            self.forget(now, &old);
        }
        let full = self.known.len() >= f.most_engines;
        match self.known.get_mut(&line.id) {
            None if full => self.counters.refused += 1,
            None => {
                self.at.insert(line.address.clone(), line.id.clone());
                let past = self.past.remove(&line.id);
                // One that was gone and is back is another process; of one never seen nobody knows.
                if past.is_some() {
                    self.take_replaced.insert(line.id.clone());
                }
                let (past, at) = past.unwrap_or((0.0, now));
                let penalty = faded(past, at, now, f.flap_half_s);
                let held_out = penalty > f.flap_out;
                self.counters.flapping += u64::from(held_out);
                let known = Known { line, stand: Stand::Listed, penalty, at: now, held_out };
                self.known.insert(known.line.id.clone(), known);
                self.changed = true;
            }
            Some(k) => {
                let (old, new) = (&k.line, &line);
                let other = old.address != new.address
                    || old.role != new.role
                    || old.zone != new.zone
                    || old.cell != new.cell
                    || new.started_at > old.started_at;
                let back = old.state != EngineState::Active && new.state == EngineState::Active;
                if other || back {
                    self.take_replaced.insert(line.id.clone());
                }
                if back {
                    k.penalty = faded(k.penalty, k.at, now, f.flap_half_s) + 1.0;
                    k.at = now;
                    if k.penalty > f.flap_out && !k.held_out {
                        k.held_out = true;
                        self.counters.flapping += 1;
                    }
                }
                self.changed |= *old != line || k.stand != Stand::Listed;
                if k.stand != Stand::Listed {
                    self.counters.cleared += 1;
                    self.probes.remove(&line.id);
                }
                if k.line.address != line.address {
                    self.at.remove(&k.line.address);
                    self.at.insert(line.address.clone(), line.id.clone());
                }
                (k.line, k.stand) = (line, Stand::Listed);
            }
        }
        self.counters.changes += 1;
    }

    fn forget(&mut self, now: f64, id: &str) {
        if let Some(k) = self.known.remove(id) {
            if self.at.get(&k.line.address).is_some_and(|at| at == id) {
                self.at.remove(&k.line.address);
            }
            let penalty = faded(k.penalty, k.at, now, self.figures.flap_half_s) + 1.0;
            // Bounded: the faintest goes.
            if self.past.len() >= self.figures.most_engines {
                let faintest = self.past.iter().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
                if let Some(id) = faintest.map(|p| p.0.clone()) {
                    self.past.remove(&id);
                }
            }
            self.past.insert(id.into(), (penalty, now));
            self.probes.remove(id);
            self.changed = true;
        }
    }

    /// The registry no longer has these.
    fn take_away(&mut self, now: f64, gone: Vec<String>) {
        let f = self.figures;
        let inside = |k: &Known| k.line.state == EngineState::Active;
        let total = self.known.values().filter(|k| inside(k)).count();
        let fresh = |id: &&String| self.known.get(*id).is_some_and(|k| inside(k) && k.stand == Stand::Listed);
        // Those doubted already count too: a list emptied piece by piece is emptied all the same.
        let wanted = gone.iter().filter(fresh).count() + self.doubted();
        let doubt = wanted > f.doubt_least && wanted as f64 > f.doubt_share * total as f64;
        for id in gone {
            let Some(k) = self.known.get_mut(&id) else { continue };
            self.counters.changes += 1;
            match k.stand {
                // A draining one was on its way out.
                _ if !inside(k) => self.forget(now, &id),
                Stand::Doubted { .. } => {}
                Stand::Listed if doubt => {
                    k.stand = Stand::Doubted { since: now };
                    self.counters.doubted += 1;
                    self.probes.insert(id);
                }
                Stand::Listed => self.forget(now, &id),
            }
        }
    }

    /// What a probe of a doubted engine said. One that answers stays, until the word has stood for its time.
    pub fn probed(&mut self, now: f64, id: &str, answers: bool) {
        let doubted = self.known.get(id).is_some_and(|k| k.stand != Stand::Listed);
        if doubted && !answers {
            self.counters.confirmed += 1;
            self.forget(now, id);
        }
    }

    /// Engines to probe, once each.
    pub fn to_probe(&mut self) -> Vec<EndpointEntry> {
        let ids = std::mem::take(&mut self.probes);
        ids.iter().filter_map(|id| Some(self.known.get(id)?.line.clone())).collect()
    }

    /// Lets time act; gives when to look again.
    pub fn tick(&mut self, now: f64) -> Option<f64> {
        let f = self.figures;
        let over = |k: &Known| matches!(k.stand, Stand::Doubted { since } if now >= since + f.doubt_s);
        let stale: Vec<String> =
            self.known.iter().filter(|(_, k)| over(k)).map(|(id, _)| id.clone()).collect();
        for id in stale {
            self.counters.confirmed += 1;
            self.forget(now, &id);
        }
        let mut wake: Option<f64> = None;
        for k in self.known.values_mut() {
            let at = match k.stand {
                Stand::Doubted { since } => Some(since + f.doubt_s),
                Stand::Listed if k.held_out => {
                    if faded(k.penalty, k.at, now, f.flap_half_s) <= f.flap_in {
                        k.held_out = false;
                        self.changed = true;
                        None
                    } else {
                        Some(now + 1.0)
                    }
                }
                Stand::Listed => None,
            };
            wake = [wake, at].into_iter().flatten().min_by(f64::total_cmp);
        }
        self.past.retain(|_, p| faded(p.0, p.1, now, f.flap_half_s) > 0.1);
        wake
    }

    /// Ids under which another process lives now than when last asked: what was known of the old one is void.
    pub fn renewed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.take_replaced).into_iter().collect()
    }

    /// The engines as they are believed in, if that has changed since last asked.
    pub fn take_changes(&mut self) -> Option<Vec<EndpointEntry>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(self.lines())
    }

    pub fn lines(&self) -> Vec<EndpointEntry> {
        let believed = |k: &Known| {
            let mut l = k.line.clone();
            // One that flaps is not sent to; it drains, so that what is there ends.
            if k.held_out && l.state == EngineState::Active {
                l.state = EngineState::Draining;
            }
            l
        };
        self.known.values().map(believed).collect()
    }
}

#[cfg(test)]
#[path = "view_tests.rs"]
mod tests;
