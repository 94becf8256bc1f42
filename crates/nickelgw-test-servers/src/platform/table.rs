//! What all engines know together: reservations and attempts by request; and the violations found in it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limits of the platform's rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Longest time in which a reservation stands with no attempt of its request at an engine.
    pub unattended: Duration,
    /// An attempt may arrive so long after its client has closed.
    pub after_leaving: Duration,
    /// The time that an attempt tells may exceed what its client has left by so much.
    pub deadline_slack: Duration,
    /// A final answer may come so long after the client's deadline.
    pub answer_slack: Duration,
}

impl Default for Rules {
    /// The figures of the pages, with `release_s` 0.5.
    fn default() -> Rules {
        Rules {
            unattended: Duration::from_millis(800),
            after_leaving: Duration::from_millis(100),
            deadline_slack: Duration::from_millis(150),
            answer_slack: Duration::from_millis(500),
        }
    }
}

/// A broken rule, with the request's id.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A reservation stood for so long with no attempt at an engine.
    Unattended { id: String, stood: Duration },
    /// A request that may run once was run again.
    RunTwice { id: String },
    /// An attempt arrived so long after its client had closed its connection.
    AfterLeaving { id: String, late: Duration },
    /// An attempt told more time than its client had left, by so much.
    Deadline { id: String, over: Duration },
    /// A client got no final answer in time.
    Unanswered { id: String, outcome: String },
}

#[derive(Default)]
struct Request {
    /// Engines at which something is reserved for it.
    reserved: BTreeSet<usize>,
    /// Release calls so far: a prefill that one of them met leaves nothing.
    releases: u64,
    /// Attempts that have arrived and have not ended, and those of them that claim what is reserved.
    attempts: u32,
    decodes: u32,
    /// Since when something is reserved with no attempt at an engine.
    unattended: Option<Instant>,
    longest: Duration,
    /// Decode attempts that were not turned away.
    runs: u32,
    once: bool,
    /// Its node was killed: the platform frees what it left.
    forgiven: bool,
    deadline: Option<Instant>,
    left: Option<Instant>,
}

impl Request {
    /// Starts or stops the clock of what is reserved.
    fn settle(&mut self, now: Instant) {
        if !self.reserved.is_empty() && self.attempts == 0 {
            self.unattended.get_or_insert(now);
        } else if let Some(since) = self.unattended.take() {
            self.longest = self.longest.max(now - since);
        }
    }
}

/// Requests by their id.
#[derive(Default)]
pub struct Table {
    rules: Rules,
    requests: Mutex<BTreeMap<String, Request>>,
    found: Mutex<Vec<Violation>>,
}

impl Table {
    /// A table that judges by these limits.
    pub fn new(rules: Rules) -> Table {
        Table { rules, ..Table::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Request>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, violation: Violation) {
        self.found.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    fn change<T>(&self, id: &str, change: impl FnOnce(&mut Request) -> T) -> T {
        let mut all = self.lock();
        let request = all.entry(id.to_string()).or_default();
        let done = change(request);
        request.settle(Instant::now());
        done
    }

    /// A client sends a request that has so long; `once`: it may not run twice.
    pub fn client_sends(&self, id: &str, timeout: Duration, once: bool) {
        let deadline = Some(Instant::now() + timeout);
        self.change(id, |r| (r.deadline, r.once) = (deadline, once));
    }

    /// The client has closed its connection.
    pub fn client_leaves(&self, id: &str) {
        self.change(id, |r| r.left = Some(Instant::now()));
    }

    /// A client was left without a final answer.
    pub fn unanswered(&self, id: &str, outcome: String) {
        self.report(Violation::Unanswered { id: id.to_string(), outcome });
    }

    /// An attempt's last byte has arrived, with the time that it tells.
    pub fn attempt_arrives(&self, id: &str, told: Option<Duration>, decode: bool) {
        let now = Instant::now();
        let (left, deadline) = self.change(id, |r| {
            r.attempts += 1;
            r.decodes += u32::from(decode);
            (r.left, r.deadline)
        });
        if let Some(late) = left.map(|at| now - at).filter(|late| *late > self.rules.after_leaving) {
            self.report(Violation::AfterLeaving { id: id.to_string(), late });
        }
        if let (Some(told), Some(deadline)) = (told, deadline) {
            let over = told.saturating_sub(deadline.saturating_duration_since(now));
            if over > self.rules.deadline_slack {
                self.report(Violation::Deadline { id: id.to_string(), over });
            }
        }
    }

    /// An answer was given that the node does not hear: the attempt has arrived and is out until the node ends it.
    pub fn answer_unheard(&self, id: &str, decode: bool) {
        self.change(id, |r| {
            r.attempts += 1;
            r.decodes += u32::from(decode);
        });
    }

    /// An attempt has ended: answered, or its connection has closed.
    pub fn attempt_ends(&self, id: &str, decode: bool) {
        self.change(id, |r| {
            r.attempts = r.attempts.saturating_sub(1);
            r.decodes = r.decodes.saturating_sub(u32::from(decode));
        });
    }

    /// A prefill begins; it is given the number of release calls so far.
    pub fn prefill_begins(&self, id: &str) -> u64 {
        self.change(id, |r| r.releases)
    }

    /// A prefill is done. Its reservation stands unless a release call has met it.
    pub fn prefill_done(&self, id: &str, engine: usize, releases: u64) {
        self.change(id, |r| {
            if r.releases == releases && !r.forgiven {
                r.reserved.insert(engine);
            }
        });
    }

    /// A decode attempt claims what is reserved; false: there is nothing.
    pub fn claim(&self, id: &str) -> bool {
        let (found, twice) = self.change(id, |r| {
            let found = !r.reserved.is_empty();
            r.reserved.clear();
            r.runs += u32::from(found);
            (found, r.once && r.runs > 1)
        });
        if twice {
            self.report(Violation::RunTwice { id: id.to_string() });
        }
        found
    }

    /// A release call: what no decode attempt at an engine waits for goes, and a prefill that is on its way leaves nothing.
    pub fn release(&self, id: &str) {
        self.change(id, |r| {
            r.releases += 1;
            if r.decodes == 0 {
                r.reserved.clear();
            }
        });
    }

    /// The longest time that anything of the request stood unattended, up to now.
    pub fn unattended(&self, id: &str) -> Duration {
        let all = self.lock();
        all.get(id)
            .map_or(Duration::ZERO, |r| r.longest.max(r.unattended.map_or(Duration::ZERO, |s| s.elapsed())))
    }

    /// Whether anything is reserved for the request.
    pub fn is_reserved(&self, id: &str) -> bool {
        self.lock().get(id).is_some_and(|r| !r.reserved.is_empty())
    }

    /// Requests for which something is reserved, with their attempts that are out.
    pub fn reserved(&self) -> Vec<(String, u32)> {
        let all = self.lock();
        let reserved = all.iter().filter(|(_, r)| !r.reserved.is_empty());
        reserved.map(|(id, r)| (id.clone(), r.attempts)).collect()
    }

    /// Whether anything is reserved for any request.
    pub fn is_any_reserved(&self) -> bool {
        !self.reserved().is_empty()
    }

    /// Requests known.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests with ids that begin like this were a killed node's: the platform frees what it left.
    pub fn forgive_all(&self, beginning: &str) {
        for (_, r) in self.lock().iter_mut().filter(|(id, _)| id.starts_with(beginning)) {
            r.reserved.clear();
            r.unattended = None;
            r.forgiven = true;
        }
    }

    /// All violations up to now.
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let ids: Vec<String> = self.lock().keys().cloned().collect();
        for id in ids {
            let stood = self.unattended(&id);
            if stood > self.rules.unattended {
                found.push(Violation::Unattended { id, stood });
            }
        }
        found
    }
}
