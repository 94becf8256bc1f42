//! Queue of deferred requests: decides which request runs next, what must be on disk before it may run, and
//! how each request continues after a crash. Does no I/O. Times are Unix seconds, since they are stored and
//! read by later processes.

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

/// Identifies a deferred request. The client receives it once the record is on disk.
pub type Ticket = u128;

/// Reason why a request was not queued. Nothing of a rejected request is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeferredRejection {
    /// The queue already holds [`DeferredLimits::max_records`] records.
    #[error("deferred queue already holds its maximum number of records")]
    TooManyRecords,
    /// The record would take the queue over [`DeferredLimits::max_bytes`].
    #[error("record would exceed the maximum total size of the deferred queue")]
    TooManyBytes,
    /// The tenant already has [`DeferredLimits::max_records_per_tenant`] records.
    #[error("tenant already has its maximum number of deferred records")]
    TenantLimit,
    /// The deadline is more than [`DeferredLimits::max_wait_s`] away.
    #[error("deadline of the deferred request is further away than the maximum wait")]
    WaitTooLong,
}

/// Write to the stored record of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// Key of the record.
    pub ticket: Ticket,
    /// Version of the record. Of two writes for the same ticket, the one with the higher version is valid.
    pub version: u64,
    /// Encoded record; `None` if the record is to be removed.
    pub bytes: Option<Vec<u8>>,
}

struct Entry {
    record: DeferredRecord,
    /// Size of the record in bytes as it was last encoded.
    encoded_len: usize,
    /// Version of the write that holds the record in its present state.
    version: u64,
    /// Whether the record is on disk in its present state. Until then, the state is neither reported nor
    /// acted on.
    on_disk: bool,
}

/// Status of a request as it is reported to the owner of its ticket.
#[derive(Debug, PartialEq)]
pub enum DeferredStatus<'a> {
    /// The request waits to run.
    Queued,
    /// The request is running, or its answer is not on disk yet.
    Running,
    /// The request has its final answer.
    Finished(&'a DeferredAnswer),
}

/// Numbers of deferred requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeferredCounters {
    /// Requests that were queued and whose records were written to disk.
    pub accepted: u64,
    /// Requests rejected because of a limit.
    pub rejected: u64,
    /// Requests that finished with an answer.
    pub completed: u64,
    /// Requests whose deadline passed while they were queued.
    pub expired: u64,
    /// Requests that finished without an answer because they may have run and must not run again.
    pub failed: u64,
}

/// All deferred requests of a node.
pub struct DeferredQueue {
    limits: DeferredLimits,
    entries: BTreeMap<Ticket, Entry>,
    /// Total size of all encoded records.
    bytes: usize,
    queues: TenantQueues,
    /// Lower bound of all deadlines and ends of retention, in Unix seconds.
    next_expiry_at: f64,
    /// Version of the last write.
    version: u64,
    /// Totals since the process started.
    pub counters: DeferredCounters,
}

impl DeferredQueue {
    /// Creates an empty queue.
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

    /// Number of records kept, including finished ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tenants with requests waiting to run, and the number of these requests.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.waiting()
    }

    /// Returns the record of a ticket.
    pub fn record(&self, ticket: Ticket) -> Option<&DeferredRecord> {
        self.entries.get(&ticket).map(|entry| &entry.record)
    }

    /// Status of a ticket as it is reported to `tenant`; `None` if the tenant has no such ticket.
    pub fn status(&self, ticket: Ticket, tenant: &str) -> Option<DeferredStatus<'_>> {
        let entry = self.entries.get(&ticket).filter(|entry| entry.record.tenant == tenant)?;
        Some(match &entry.record.state {
            DeferredState::Finished { answer, .. } if entry.on_disk => DeferredStatus::Finished(answer),
            DeferredState::Queued => DeferredStatus::Queued,
            DeferredState::Running | DeferredState::Finished { .. } => DeferredStatus::Running,
        })
    }

    /// Accepts a request. The returned write must be on disk before the client receives the ticket.
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

    /// Returns whether `version` is the latest write of the ticket. Only the latest write may be retried
    /// after a failure: an older one would replace a newer record.
    pub fn is_latest(&self, ticket: Ticket, version: u64) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.version == version)
    }

    /// Records that a write succeeded or failed. A request whose first write fails is dropped, as it was
    /// never accepted. The result of a write that is not the latest of its ticket has no effect.
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

    /// Takes the next request to run: the oldest one of the tenant that has been served least relative to its
    /// weight. The returned write must be on disk before a request that may not run twice is sent. A request
    /// that may not run any more is finished instead. `retry_policy` returns `None` if the tenant or the
    /// model is no longer served.
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

    /// Records that an attempt ended without an answer. `ran` is false if the attempt was rejected before it
    /// could run. The request is queued again, or finished if it may not run again.
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

    /// Finishes a request with its answer, which must be on disk before the client receives it.
    pub fn complete(&mut self, now: f64, ticket: Ticket, answer: DeferredAnswer) -> RecordWrite {
        self.counters.completed += 1;
        let is_too_long = answer.body.len() > self.limits.max_answer_bytes;
        let kept = if is_too_long { DeferredAnswer::too_long() } else { answer };
        self.finish(now, ticket, kept)
    }

    /// Finishes queued requests whose deadline has passed, and removes answers whose retention has ended.
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
                // A record whose first write is pending joins the queue, and is seen here, once it is on
                // disk.
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
            // The record on disk is still in state `Running`, which a restart resolves as well: the request is
            // then queued again or finished.
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
            // The client may already have the first answer, so the same record is written again.
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

/// Tickets that have expired.
#[derive(Default)]
struct Expired {
    /// Queued requests past their deadline.
    requests: Vec<Ticket>,
    /// Answers past their retention.
    answers: Vec<Ticket>,
}

#[cfg(test)]
mod crash_tests;
#[cfg(test)]
mod tests;
