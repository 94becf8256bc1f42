//! Parked, running, ended: which inference is run next, what is on disk before it may run, and what is left of it after a crash.
//! No I/O; times are Unix seconds, since they outlive a process.

pub mod record;

use record::{DeferredAnswer, DeferredRecord, DeferredState};
use std::collections::{BTreeMap, BTreeSet};

/// Names one; given out only when its record is on disk.
pub type Ticket = u128;

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub most_records: usize,
    pub most_bytes: usize,
    /// Of one tenant: records, and so its part of the disk.
    pub most_each: usize,
    pub longest_wait_s: f64,
    /// An answer is kept so long, and no longer one than this.
    pub keep_s: f64,
    pub most_answer: usize,
    /// Runs that failed, where it may run again.
    pub most_tries: u32,
}

/// Whether it may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryPolicy {
    Retriable,
    /// Repeats are dropped by all engines for so long.
    Deduped(f64),
    Never,
}

/// Why one is not taken; nothing of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferredRejection {
    Records,
    Bytes,
    Tenant,
    /// It would wait longer than any may.
    Wait,
}

/// What is to be on disk under the ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub ticket: Ticket,
    /// Rising: of two writes under a ticket the later holds.
    pub version: u64,
    /// None: it goes.
    pub bytes: Option<Vec<u8>>,
}

struct Entry {
    record: DeferredRecord,
    bytes: usize,
    /// Of the write that holds its record as it stands.
    version: u64,
    /// Its record as it stands is on disk: before, nobody is told of it and nothing follows from it.
    on_disk: bool,
}

/// What a client that asks by its ticket is told.
#[derive(Debug, PartialEq)]
pub enum DeferredStatus<'a> {
    Parked,
    Running,
    Ended(&'a DeferredAnswer),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeferredCounters {
    pub parked: u64,
    pub refused: u64,
    pub answered: u64,
    /// Their time passed before they ran.
    pub given_up: u64,
    pub errored: u64,
}

pub struct DeferredQueue {
    figures: Figures,
    all: BTreeMap<Ticket, Entry>,
    bytes: usize,
    /// By tenant: those to be run, oldest first, as bits of when they were parked.
    queues: BTreeMap<String, BTreeSet<(u64, Ticket)>>,
    /// How far each tenant has been served, by its weight; the least goes next.
    served: BTreeMap<String, f64>,
    /// Nothing has had its time before.
    due_at: f64,
    /// Of the last write.
    version: u64,
    pub counters: DeferredCounters,
}

/// A tenant's part of what is run at a node: its weight, by how much of all that waits for it waits here. Parked at five nodes it
/// has no more than parked at one.
pub fn part(weight: f64, here: usize, elsewhere: u64) -> f64 {
    let here = here.max(1) as f64;
    weight * here / (here + elsewhere as f64)
}

impl DeferredQueue {
    pub fn new(figures: Figures) -> DeferredQueue {
        DeferredQueue {
            figures,
            all: BTreeMap::new(),
            bytes: 0,
            queues: BTreeMap::new(),
            served: BTreeMap::new(),
            due_at: f64::INFINITY,
            version: 0,
            counters: DeferredCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Those that wait to be run, by tenant.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.iter().map(|(t, q)| (t.as_str(), q.len())).filter(|w| w.1 > 0)
    }

    /// What an earlier process left. What may have run and may not again ends here, before anybody asks.
    pub fn restore(
        &mut self,
        now: f64,
        found: impl Iterator<Item = (Ticket, Vec<u8>)>,
        repeat: impl Fn(&DeferredRecord) -> Option<RetryPolicy>,
    ) -> Vec<Write> {
        let mut writes = Vec::new();
        for (ticket, bytes) in found {
            let Some(record) = DeferredRecord::read(&bytes) else {
                writes.push(self.remove(ticket));
                continue;
            };
            self.bytes += bytes.len();
            let (running, repeat) = (record.state == DeferredState::Running, repeat(&record));
            let waits = !matches!(record.state, DeferredState::Ended { .. });
            // Looked over once; from then on it is known when the next is due.
            self.due_at = now;
            self.all.insert(ticket, Entry { record, bytes: bytes.len(), version: 0, on_disk: true });
            match repeat {
                // Its tenant or model is no more: nobody may ask for it.
                None if waits => writes.push(self.end(
                    now,
                    ticket,
                    DeferredAnswer::error(410, "gone", "its tenant or model is no more"),
                )),
                Some(r) if running && !self.may_run(now, ticket, r) => writes.push(self.lost(now, ticket)),
                _ if running => writes.push(self.put_back(ticket)),
                _ if waits => self.queue(ticket),
                _ => {}
            }
        }
        writes
    }

    fn lost(&mut self, now: f64, ticket: Ticket) -> Write {
        self.counters.errored += 1;
        self.end(
            now,
            ticket,
            DeferredAnswer::error(502, "may_have_run", "it may have run, and does not run again"),
        )
    }

    fn may_run(&self, now: f64, ticket: Ticket, repeat: RetryPolicy) -> bool {
        let Some(e) = self.all.get(&ticket) else { return false };
        match (repeat, e.record.first_run) {
            (RetryPolicy::Retriable, _) | (_, None) => true,
            (RetryPolicy::Never, Some(_)) => false,
            // Half of the span is left for the run itself.
            (RetryPolicy::Deduped(memory_s), Some(first)) => now < first + memory_s / 2.0 && now >= first,
        }
    }

    /// Takes one in; the record is to be on disk before its client hears of it.
    pub fn enqueue(
        &mut self,
        now: f64,
        ticket: Ticket,
        r: DeferredRecord,
    ) -> Result<Write, DeferredRejection> {
        let bytes = r.bytes();
        let of_tenant = self.all.values().filter(|e| e.record.tenant == r.tenant).count();
        let why = if r.until - now > self.figures.longest_wait_s {
            Some(DeferredRejection::Wait)
        } else if self.all.len() >= self.figures.most_records {
            Some(DeferredRejection::Records)
        } else if self.bytes + bytes.len() > self.figures.most_bytes {
            Some(DeferredRejection::Bytes)
        } else if of_tenant >= self.figures.most_each {
            Some(DeferredRejection::Tenant)
        } else {
            None
        };
        if let Some(why) = why {
            self.counters.refused += 1;
            return Err(why);
        }
        self.bytes += bytes.len();
        self.version += 1;
        let version = self.version;
        self.all.insert(ticket, Entry { record: r, bytes: bytes.len(), version, on_disk: false });
        Ok(Write { ticket, version, bytes: Some(bytes) })
    }

    /// Whether nothing newer is to be on disk under its ticket: one that failed is tried again only then, or it would take the
    /// place of a newer.
    pub fn is_latest(&self, ticket: Ticket, version: u64) -> bool {
        self.all.get(&ticket).is_some_and(|e| e.version == version)
    }

    /// The write is on disk, or could not be: what was being taken in is then as if it never came. One that has been overtaken
    /// says nothing of the record as it stands.
    pub fn write_finished(&mut self, ticket: Ticket, version: u64, done: bool) {
        let Some(e) = self.all.get_mut(&ticket).filter(|e| e.version == version) else { return };
        if done {
            let new = !e.on_disk && e.record.state == DeferredState::Parked;
            e.on_disk = true;
            if new {
                self.counters.parked += 1;
                self.queue(ticket);
            }
        } else if e.record.state == DeferredState::Parked {
            self.forget(ticket);
        }
    }

    fn queue(&mut self, ticket: Ticket) {
        let Some(e) = self.all.get(&ticket) else { return };
        let (tenant, at) = (e.record.tenant.clone(), e.record.parked_at.max(0.0).to_bits());
        self.due_at = self.due_at.min(e.record.until);
        if self.queues.get(&tenant).is_none_or(|q| q.is_empty()) {
            // One that comes new, or again, begins where the others are.
            let others = self.queues.iter().filter(|q| !q.1.is_empty()).filter_map(|q| self.served.get(q.0));
            let least = others.copied().reduce(f64::min).unwrap_or(0.0);
            let own = self.served.entry(tenant.clone()).or_insert(least);
            *own = own.max(least);
        }
        self.queues.entry(tenant).or_default().insert((at, ticket));
    }

    fn unqueue(&mut self, ticket: Ticket) {
        let Some(e) = self.all.get(&ticket) else { return };
        if let Some(q) = self.queues.get_mut(&e.record.tenant) {
            q.remove(&(e.record.parked_at.max(0.0).to_bits(), ticket));
        }
    }

    fn forget(&mut self, ticket: Ticket) {
        self.unqueue(ticket);
        if let Some(e) = self.all.remove(&ticket) {
            self.bytes -= e.bytes;
        }
    }

    /// The next to be run: of the tenant that has had least for its weight, the oldest. `weight`: its part of what is
    /// run here. It may have run from the write on, which is to be on disk before it is sent where that matters.
    pub fn next_runnable(
        &mut self,
        now: f64,
        weight: impl Fn(&str) -> f64,
        repeat: impl Fn(&DeferredRecord) -> Option<RetryPolicy>,
    ) -> Option<Write> {
        loop {
            let ready = self.queues.iter().filter(|q| !q.1.is_empty());
            let of = |t: &str| self.served.get(t).copied().unwrap_or(0.0);
            let tenant = ready.min_by(|a, b| of(a.0).total_cmp(&of(b.0))).map(|q| q.0.clone())?;
            let ticket = self.queues.get(&tenant)?.first()?.1;
            self.unqueue(ticket);
            let known = self.all.get(&ticket).and_then(|e| repeat(&e.record));
            if !known.is_some_and(|r| self.may_run(now, ticket, r)) {
                // Its span is over while it waited: nobody may know whether it ran.
                return Some(self.lost(now, ticket));
            }
            let e = self.all.get_mut(&ticket)?;
            if now >= e.record.until {
                continue;
            }
            *self.served.entry(tenant.clone()).or_insert(0.0) += 1.0 / weight(&tenant).max(1e-6);
            e.record.state = DeferredState::Running;
            e.record.first_run = e.record.first_run.or(Some(now));
            return Some(self.rewrite(ticket));
        }
    }

    pub fn record(&self, ticket: Ticket) -> Option<&DeferredRecord> {
        self.all.get(&ticket).map(|e| &e.record)
    }

    fn rewrite(&mut self, ticket: Ticket) -> Write {
        let Some(e) = self.all.get_mut(&ticket) else { return self.remove(ticket) };
        let bytes = e.record.bytes();
        self.bytes = self.bytes - e.bytes + bytes.len();
        e.bytes = bytes.len();
        e.on_disk = false;
        self.version += 1;
        e.version = self.version;
        Write { ticket, version: e.version, bytes: Some(bytes) }
    }

    fn remove(&mut self, ticket: Ticket) -> Write {
        self.version += 1;
        Write { ticket, version: self.version, bytes: None }
    }

    fn put_back(&mut self, ticket: Ticket) -> Write {
        if let Some(e) = self.all.get_mut(&ticket) {
            e.record.state = DeferredState::Parked;
        }
        let write = self.rewrite(ticket);
        if let Some(e) = self.all.get_mut(&ticket) {
            // What is on disk says no less: that it may have run.
            e.on_disk = true;
        }
        self.queue(ticket);
        write
    }

    /// Given out, it came back without an answer: `ran` nothing of it where it was turned away. It waits for its next turn,
    /// or ends.
    pub fn attempt_failed(&mut self, now: f64, ticket: Ticket, ran: bool, repeat: RetryPolicy) -> Write {
        let most = self.figures.most_tries;
        let Some(e) = self.all.get_mut(&ticket) else { return self.remove(ticket) };
        if !ran && repeat == RetryPolicy::Never {
            e.record.first_run = None;
        }
        e.record.tries += u32::from(ran);
        let tries = e.record.tries;
        if ran && (tries >= most || !self.may_run(now, ticket, repeat)) {
            return self.lost(now, ticket);
        }
        self.put_back(ticket)
    }

    /// It has its answer, which is to be on disk before its client sees it.
    pub fn complete(&mut self, now: f64, ticket: Ticket, answer: DeferredAnswer) -> Write {
        self.counters.answered += 1;
        let long = answer.body.len() > self.figures.most_answer;
        let word = "the answer is longer than is kept";
        self.end(now, ticket, if long { DeferredAnswer::error(507, "answer_too_long", word) } else { answer })
    }

    fn end(&mut self, now: f64, ticket: Ticket, answer: DeferredAnswer) -> Write {
        self.unqueue(ticket);
        let Some(e) = self.all.get_mut(&ticket) else { return self.remove(ticket) };
        if matches!(e.record.state, DeferredState::Ended { .. }) {
            // What was told stays told: the same write once more.
            return Write { ticket, version: e.version, bytes: Some(e.record.bytes()) };
        }
        self.due_at = self.due_at.min(now + self.figures.keep_s);
        e.record.state = DeferredState::Ended { at: now, answer };
        // The question is not asked any more.
        e.record.body = Vec::new();
        self.rewrite(ticket)
    }

    /// What has had its time: parked ones are given up, answers kept long enough go.
    pub fn poll_expired(&mut self, now: f64) -> Vec<Write> {
        // All are looked over only when one has had its time.
        if now < self.due_at {
            return Vec::new();
        }
        let (mut given_up, mut gone) = (Vec::new(), Vec::new());
        self.due_at = f64::INFINITY;
        for (&ticket, e) in &self.all {
            let (at, of) = match e.record.state {
                // Not on disk yet it waits for that first; then it is queued, and looked at again.
                DeferredState::Parked if e.on_disk => (e.record.until, &mut given_up),
                DeferredState::Ended { at, .. } => (at + self.figures.keep_s, &mut gone),
                _ => continue,
            };
            if now >= at {
                of.push(ticket);
            } else {
                self.due_at = self.due_at.min(at);
            }
        }
        gone.iter().for_each(|t| self.forget(*t));
        let mut writes: Vec<Write> = gone.into_iter().map(|t| self.remove(t)).collect();
        for t in given_up {
            self.counters.given_up += 1;
            writes.push(self.end(
                now,
                t,
                DeferredAnswer::error(504, "timeout", "its time passed before there was room"),
            ));
        }
        writes
    }

    /// What the client of this tenant is told; none: there is no such ticket, for it.
    pub fn status(&self, ticket: Ticket, tenant: &str) -> Option<DeferredStatus<'_>> {
        let e = self.all.get(&ticket).filter(|e| e.record.tenant == tenant)?;
        Some(match &e.record.state {
            DeferredState::Ended { answer, .. } if e.on_disk => DeferredStatus::Ended(answer),
            DeferredState::Parked => DeferredStatus::Parked,
            _ => DeferredStatus::Running,
        })
    }
}

#[cfg(test)]
mod tests;
