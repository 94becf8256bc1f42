//! The queue of deferred requests: which one runs next, what must be on disk before it may run, and what becomes of each
//! after a crash. No I/O; times are Unix seconds, since they outlive a process.

mod limits;
pub mod record;
mod restore;
mod retry;
mod tenant_queues;

pub use limits::DeferredLimits;
pub use retry::RetryPolicy;
pub use tenant_queues::local_weight;

use record::{DeferredAnswer, DeferredRecord, DeferredState};
use std::collections::BTreeMap;
use tenant_queues::TenantQueues;

/// Identifies a deferred request; its client gets it once the record is on disk.
pub type Ticket = u128;

/// Why a request is not queued; nothing of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeferredRejection {
    /// There are [`DeferredLimits::max_records`] records.
    #[error("too many records")]
    TooManyRecords,
    /// It does not fit into [`DeferredLimits::max_bytes`].
    #[error("too many bytes")]
    TooManyBytes,
    /// Its tenant has [`DeferredLimits::max_records_per_tenant`] records.
    #[error("too many records of the tenant")]
    TenantLimit,
    /// It would wait longer than [`DeferredLimits::max_wait_s`].
    #[error("its deadline is too far away")]
    WaitTooLong,
}

/// What is to be on disk under the ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// Key of the record.
    pub ticket: Ticket,
    /// Of two writes under a ticket the one with the higher version is valid.
    pub version: u64,
    /// The record; none: it is removed.
    pub bytes: Option<Vec<u8>>,
}

struct Entry {
    record: DeferredRecord,
    /// Bytes of the record as it was last encoded.
    encoded_len: usize,
    /// Of the write that holds the record in its present state.
    version: u64,
    /// The record is on disk in its present state. Before, nothing is reported of the state and nothing follows from it.
    on_disk: bool,
}

/// What the owner of a ticket is told.
#[derive(Debug, PartialEq)]
pub enum DeferredStatus<'a> {
    /// It waits to run.
    Queued,
    /// It runs, or its answer is not on disk yet.
    Running,
    /// It has its answer.
    Finished(&'a DeferredAnswer),
}

/// Deferred requests counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeferredCounters {
    /// Queued, with their records on disk.
    pub accepted: u64,
    /// Rejected by a limit.
    pub rejected: u64,
    /// Finished with an answer.
    pub completed: u64,
    /// Finished at their deadline, before they ran.
    pub expired: u64,
    /// Finished since they may have run and may not run again.
    pub failed: u64,
}

/// All deferred requests of a node.
pub struct DeferredQueue {
    limits: DeferredLimits,
    entries: BTreeMap<Ticket, Entry>,
    /// Bytes of all records.
    bytes: usize,
    queues: TenantQueues,
    /// No deadline or end of retention is earlier than this.
    next_expiry_at: f64,
    /// Of the last write.
    version: u64,
    /// Counted since the process started.
    pub counters: DeferredCounters,
}

impl DeferredQueue {
    /// An empty queue.
    pub fn new(limits: DeferredLimits) -> DeferredQueue {
        DeferredQueue {
            limits,
            entries: BTreeMap::new(),
            bytes: 0,
            queues: TenantQueues::default(),
            next_expiry_at: f64::INFINITY,
            version: 0,
            counters: DeferredCounters::default(),
        }
    }

    /// Records kept, finished ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tenants that have requests waiting to run, with their number.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.waiting()
    }

    /// The record of a ticket.
    pub fn record(&self, ticket: Ticket) -> Option<&DeferredRecord> {
        self.entries.get(&ticket).map(|entry| &entry.record)
    }

    /// What this tenant is told of a ticket. None: there is no such ticket of the tenant.
    pub fn status(&self, ticket: Ticket, tenant: &str) -> Option<DeferredStatus<'_>> {
        let entry = self.entries.get(&ticket).filter(|entry| entry.record.tenant == tenant)?;
        Some(match &entry.record.state {
            DeferredState::Finished { answer, .. } if entry.on_disk => DeferredStatus::Finished(answer),
            DeferredState::Queued => DeferredStatus::Queued,
            DeferredState::Running | DeferredState::Finished { .. } => DeferredStatus::Running,
        })
    }

    /// Accepts a request; the record is to be on disk before its client gets the ticket.
    pub fn enqueue(
        &mut self,
        now: f64,
        ticket: Ticket,
        record: DeferredRecord,
    ) -> Result<RecordWrite, DeferredRejection> {
        let bytes = record.encode();
        if let Err(rejection) = self.check_limits(now, &record, bytes.len()) {
            self.counters.rejected += 1;
            return Err(rejection);
        }
        let encoded_len = bytes.len();
        self.bytes += encoded_len;
        self.version += 1;
        let version = self.version;
        self.entries.insert(ticket, Entry { record, encoded_len, version, on_disk: false });
        Ok(RecordWrite { ticket, version, bytes: Some(bytes) })
    }

    fn check_limits(
        &self,
        now: f64,
        record: &DeferredRecord,
        encoded_len: usize,
    ) -> Result<(), DeferredRejection> {
        let of_tenant = || self.entries.values().filter(|entry| entry.record.tenant == record.tenant);
        if record.deadline - now > self.limits.max_wait_s {
            Err(DeferredRejection::WaitTooLong)
        } else if self.entries.len() >= self.limits.max_records {
            Err(DeferredRejection::TooManyRecords)
        } else if self.bytes + encoded_len > self.limits.max_bytes {
            Err(DeferredRejection::TooManyBytes)
        } else if of_tenant().count() >= self.limits.max_records_per_tenant {
            Err(DeferredRejection::TenantLimit)
        } else {
            Ok(())
        }
    }

    /// Whether this is the latest write of its ticket. A write that failed may be tried again only then, or it would replace
    /// a newer one.
    pub fn is_latest(&self, ticket: Ticket, version: u64) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.version == version)
    }

    /// A write has succeeded or failed. A request whose first write fails was never accepted. A write that is not the latest
    /// changes nothing.
    pub fn write_finished(&mut self, ticket: Ticket, version: u64, succeeded: bool) {
        let latest = self.entries.get_mut(&ticket).filter(|entry| entry.version == version);
        let Some(entry) = latest else { return };
        let is_queued = entry.record.state == DeferredState::Queued;
        if succeeded {
            let is_new = !entry.on_disk && is_queued;
            entry.on_disk = true;
            if is_new {
                self.counters.accepted += 1;
                self.push_to_queue(ticket);
            }
        } else if is_queued {
            self.forget(ticket);
        }
    }

    /// The next request to run: the oldest of the tenant that has been served least for its weight. Where the request may
    /// not run twice, the write is to be on disk before it is sent. A request that may not run any more finishes instead.
    pub fn next_runnable(
        &mut self,
        now: f64,
        weight: impl Fn(&str) -> f64,
        retry_policy: impl Fn(&DeferredRecord) -> Option<RetryPolicy>,
    ) -> Option<RecordWrite> {
        loop {
            let (tenant, ticket) = self.queues.pop()?;
            let policy = self.record(ticket).and_then(&retry_policy);
            if !policy.is_some_and(|policy| self.may_run(now, ticket, policy)) {
                return Some(self.finish_lost(now, ticket));
            }
            let entry = self.entries.get_mut(&ticket)?;
            if now >= entry.record.deadline {
                continue;
            }
            self.queues.charge(tenant.clone(), weight(&tenant));
            entry.record.state = DeferredState::Running;
            entry.record.first_attempt_at = entry.record.first_attempt_at.or(Some(now));
            return Some(self.rewrite(ticket));
        }
    }

    /// An attempt ended without an answer; `ran`: it may have run, and was not rejected before. It is queued again, or
    /// finishes.
    pub fn attempt_failed(
        &mut self,
        now: f64,
        ticket: Ticket,
        ran: bool,
        retry_policy: RetryPolicy,
    ) -> RecordWrite {
        let max_attempts = self.limits.max_attempts;
        let Some(entry) = self.entries.get_mut(&ticket) else { return self.remove(ticket) };
        if !ran && retry_policy == RetryPolicy::Never {
            entry.record.first_attempt_at = None;
        }
        entry.record.failed_attempts += u32::from(ran);
        let exhausted = entry.record.failed_attempts >= max_attempts;
        if ran && (exhausted || !self.may_run(now, ticket, retry_policy)) {
            return self.finish_lost(now, ticket);
        }
        self.requeue(ticket)
    }

    /// A request has its answer, which is to be on disk before its client gets it.
    pub fn complete(&mut self, now: f64, ticket: Ticket, answer: DeferredAnswer) -> RecordWrite {
        self.counters.completed += 1;
        let is_too_long = answer.body.len() > self.limits.max_answer_bytes;
        let kept = if is_too_long { DeferredAnswer::too_long() } else { answer };
        self.finish(now, ticket, kept)
    }

    /// Finishes requests whose deadline has passed, and removes answers that were kept long enough.
    pub fn poll_expired(&mut self, now: f64) -> Vec<RecordWrite> {
        if now < self.next_expiry_at {
            return Vec::new();
        }
        let Expired { requests, answers } = self.collect_expired(now);
        answers.iter().for_each(|ticket| self.forget(*ticket));
        let mut writes: Vec<RecordWrite> = answers.into_iter().map(|ticket| self.remove(ticket)).collect();
        for ticket in requests {
            self.counters.expired += 1;
            writes.push(self.finish(now, ticket, DeferredAnswer::timed_out()));
        }
        writes
    }

    fn collect_expired(&mut self, now: f64) -> Expired {
        let mut expired = Expired::default();
        self.next_expiry_at = f64::INFINITY;
        for (&ticket, entry) in &self.entries {
            let (expires_at, tickets) = match entry.record.state {
                // One that is not on disk yet is queued, and then seen here, once it is.
                DeferredState::Queued if entry.on_disk => (entry.record.deadline, &mut expired.requests),
                DeferredState::Finished { at, .. } => (at + self.limits.retention_s, &mut expired.answers),
                DeferredState::Queued | DeferredState::Running => continue,
            };
            if now >= expires_at {
                tickets.push(ticket);
            } else {
                self.next_expiry_at = self.next_expiry_at.min(expires_at);
            }
        }
        expired
    }

    fn may_run(&self, now: f64, ticket: Ticket, retry_policy: RetryPolicy) -> bool {
        self.record(ticket).is_some_and(|record| retry_policy.allows_attempt(now, record.first_attempt_at))
    }

    fn push_to_queue(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        self.next_expiry_at = self.next_expiry_at.min(entry.record.deadline);
        self.queues.push(&entry.record.tenant, entry.record.queued_at, ticket);
    }

    fn remove_from_queue(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        self.queues.remove(&entry.record.tenant, entry.record.queued_at, ticket);
    }

    fn requeue(&mut self, ticket: Ticket) -> RecordWrite {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.record.state = DeferredState::Queued;
        }
        let write = self.rewrite(ticket);
        if let Some(entry) = self.entries.get_mut(&ticket) {
            // The record on disk says that it runs: after a crash that leads to the same.
            entry.on_disk = true;
        }
        self.push_to_queue(ticket);
        write
    }

    fn finish_lost(&mut self, now: f64, ticket: Ticket) -> RecordWrite {
        self.counters.failed += 1;
        self.finish(now, ticket, DeferredAnswer::may_have_run())
    }

    fn finish(&mut self, now: f64, ticket: Ticket, answer: DeferredAnswer) -> RecordWrite {
        self.remove_from_queue(ticket);
        let Some(entry) = self.entries.get_mut(&ticket) else { return self.remove(ticket) };
        if entry.record.is_finished() {
            // Its client may have the first answer already: the same write once more.
            let bytes = Some(entry.record.encode());
            return RecordWrite { ticket, version: entry.version, bytes };
        }
        self.next_expiry_at = self.next_expiry_at.min(now + self.limits.retention_s);
        entry.record.state = DeferredState::Finished { at: now, answer };
        entry.record.body = Vec::new();
        self.rewrite(ticket)
    }

    fn rewrite(&mut self, ticket: Ticket) -> RecordWrite {
        let Some(entry) = self.entries.get_mut(&ticket) else { return self.remove(ticket) };
        let bytes = entry.record.encode();
        self.bytes = self.bytes - entry.encoded_len + bytes.len();
        entry.encoded_len = bytes.len();
        entry.on_disk = false;
        self.version += 1;
        entry.version = self.version;
        RecordWrite { ticket, version: entry.version, bytes: Some(bytes) }
    }

    fn remove(&mut self, ticket: Ticket) -> RecordWrite {
        self.version += 1;
        RecordWrite { ticket, version: self.version, bytes: None }
    }

    fn forget(&mut self, ticket: Ticket) {
        self.remove_from_queue(ticket);
        if let Some(entry) = self.entries.remove(&ticket) {
            self.bytes -= entry.encoded_len;
        }
    }
}

/// Tickets whose time has passed.
#[derive(Default)]
struct Expired {
    /// Past their deadline.
    requests: Vec<Ticket>,
    /// Past their retention.
    answers: Vec<Ticket>,
}

#[cfg(test)]
mod crash_tests;
#[cfg(test)]
mod tests;
