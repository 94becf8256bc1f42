//! Restores the records that an earlier process left on disk.

use super::record::{DeferredAnswer, DeferredRecord, DeferredState};
use super::{DeferredQueue, Entry, RecordWrite, RetryPolicy, Ticket};

impl DeferredQueue {
    /// Restores the records of an earlier process. A request that may have run and may not run again is
    /// finished here, before its client can ask for the status. `retry_policy` returns `None` if the tenant
    /// or the model is no longer served.
    pub fn restore(
        &mut self,
        now: f64,
        found: impl Iterator<Item = (Ticket, Vec<u8>)>,
        retry_policy: impl Fn(&DeferredRecord) -> Option<RetryPolicy>,
    ) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        for (ticket, bytes) in found {
            let Some(record) = DeferredRecord::decode(&bytes) else {
                writes.push(self.remove(ticket));
                continue;
            };
            let policy = retry_policy(&record);
            writes.extend(self.restore_record(now, ticket, record, bytes.len(), policy));
        }
        writes
    }

    fn restore_record(
        &mut self,
        now: f64,
        ticket: Ticket,
        record: DeferredRecord,
        encoded_len: usize,
        retry_policy: Option<RetryPolicy>,
    ) -> Option<RecordWrite> {
        self.bytes += encoded_len;
        // Makes the first poll check all records, which determines the next expiry.
        self.next_expiry_at = now;
        let is_finished = record.is_finished();
        let may_have_run = record.state == DeferredState::Running;
        self.entries.insert(ticket, Entry { record, encoded_len, version: 0, on_disk: true });
        if is_finished {
            return None;
        }
        let Some(policy) = retry_policy else {
            return Some(self.finish(now, ticket, DeferredAnswer::no_longer_served()));
        };
        if !may_have_run {
            self.push_to_queue(ticket);
            None
        } else if self.may_run(now, ticket, policy) {
            Some(self.requeue(ticket))
        } else {
            Some(self.finish_lost(now, ticket))
        }
    }
}
