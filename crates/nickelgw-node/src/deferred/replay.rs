//! Runs deferred requests while there is spare capacity.

use super::queue::record_key;
use super::service::DeferredService;
use crate::clock::{unix_now, within};
use crate::replies::Reply;
use crate::submission::PreparedRequest;
use nickelgw_deferred::core::record::{DeferredAnswer, DeferredRecord, DeferredState};
use nickelgw_deferred::core::{RecordWrite, RetryPolicy, Ticket};
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use nickelgw_store::core::RecordKind;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Longest sleep between two polls of the queue.
const POLL_S: f64 = 0.05;

/// Error returned when a run gave no response that can be kept for the client.
struct FailedRun {
    /// Whether an engine may have run the request.
    may_have_run: bool,
}

impl DeferredService {
    /// Runs deferred requests until dropped.
    pub async fn replay(self: Rc<Self>) {
        let requests = self.requests.clone();
        loop {
            let expired = requests.queue.borrow_mut().poll_expired(unix_now());
            for write in expired {
                let requests = requests.clone();
                self.executor.spawn(async move { requests.write(write).await }).detach();
            }
            while self.has_capacity() {
                let Some(write) = self.next_runnable() else { break };
                requests.concurrency.run_started();
                self.executor.spawn(self.clone().run_deferred(write)).detach();
            }
            requests.publish_waiting();
            within(POLL_S, requests.wakeup.1.recv()).await;
        }
    }

    fn has_capacity(&self) -> bool {
        let is_serving = self.listener.healthy.get() && !self.listener.closing_connections.get();
        is_serving
            && !self.requests.store_writer.is_released()
            && self.requests.all_zones_active.get()
            && self.requests.concurrency.has_capacity(self.clock.now())
    }

    fn next_runnable(&self) -> Option<RecordWrite> {
        let tenants = &self.submitter.admission.tenants;
        let waiting: Vec<String> =
            self.requests.queue.borrow().waiting().map(|(tenant, _)| tenant.to_string()).collect();
        let shares: HashMap<String, f64> = waiting
            .into_iter()
            .map(|tenant| {
                let share = self.requests.share(tenants, &tenant);
                (tenant, share)
            })
            .collect();
        let share_of = |tenant: &str| shares.get(tenant).copied().unwrap_or(1.0);
        let policy_of = |record: &DeferredRecord| self.retry_policy(record);
        self.requests.queue.borrow_mut().next_runnable(unix_now(), share_of, policy_of)
    }

    fn retry_policy(&self, record: &DeferredRecord) -> Option<RetryPolicy> {
        let models = &self.submitter.admission.models;
        let route = models.iter().position(|model| model.name == record.model)?;
        self.requests.retry_policy(route)
    }

    async fn run_deferred(self: Rc<Self>, write: RecordWrite) {
        let requests = &self.requests;
        let ticket = write.ticket;
        let record = requests.queue.borrow().record(ticket).cloned();
        let running = record.filter(|record| record.state == DeferredState::Running);
        let running = running.and_then(|record| {
            let policy = self.retry_policy(&record)?;
            Some((record, policy))
        });
        let Some((record, policy)) = running else {
            // The queue has ended the request instead of starting it, for example because it may not run
            // again.
            requests.write(write).await;
            requests.concurrency.run_ended();
            return;
        };
        let result = match self.persist_run(policy, write).await {
            false => Err(FailedRun { may_have_run: false }),
            true => {
                let remaining_s = record.deadline - unix_now();
                // At the deadline the future is dropped, which cancels the run.
                let run = within(remaining_s, self.run_once(ticket, &record, remaining_s)).await;
                run.unwrap_or(Err(FailedRun { may_have_run: true }))
            }
        };
        let now = unix_now();
        let write = match result {
            Ok(answer) => {
                requests.concurrency.record_success();
                requests.queue.borrow_mut().complete(now, ticket, answer)
            }
            Err(FailedRun { may_have_run }) => {
                requests.concurrency.record_rejection(self.clock.now());
                requests.queue.borrow_mut().attempt_failed(now, ticket, may_have_run, policy)
            }
        };
        requests.concurrency.run_ended();
        requests.write(write).await;
        requests.wake();
    }

    /// Writes the record of a run before the run starts, unless the request may be repeated without limit.
    /// Returns false if the record is not on disk, so that the run must not start.
    async fn persist_run(&self, policy: RetryPolicy, write: RecordWrite) -> bool {
        let requests = &self.requests;
        // If the request may always be repeated, a later process need not know whether an earlier one ran it.
        let is_written = policy == RetryPolicy::Always || {
            let (key, bytes) = (record_key(write.ticket), write.bytes.unwrap_or_default());
            requests.store_writer.put_and_wait(RecordKind::DeferredRequest, &key, &bytes).await
        };
        requests.queue.borrow_mut().write_finished(write.ticket, write.version, is_written);
        is_written
    }

    /// Builds the request from its record. Fails with the response to keep for the client if the request
    /// cannot run any more.
    fn prepare(
        &self,
        ticket: Ticket,
        record: &DeferredRecord,
        remaining_s: f64,
    ) -> Result<PreparedRequest, DeferredAnswer> {
        let gone = |status, message: &str| DeferredAnswer::error(status, "gone", message);
        let chat = ChatRequest::parse(&record.body).map_err(|_| gone(400, "it cannot be read any more"))?;
        let admission = &self.submitter.admission;
        let tenant = admission.tenants.iter().find(|tenant| tenant.name == record.tenant);
        let admitted = admission.admit(&chat, tenant.map(|tenant| tenant.key.as_str()), None);
        let mut admitted = admitted.map_err(|_| gone(410, "it is not served any more"))?;
        admitted.is_background = true;
        admitted.timeout_s = admitted.timeout_s.min(remaining_s);
        admitted.unary_timeout_s = admitted.unary_timeout_s.map(|s| s.min(remaining_s));
        Ok(PreparedRequest {
            admitted,
            // The same id for each run, by which engines recognize a repeat.
            id: format!("parked-{ticket:032x}").into(),
            chat: Rc::new(chat),
            received_at: Instant::now(),
            body_digest: *blake3::hash(&record.body).as_bytes(),
            retry_count: None,
        })
    }

    async fn run_once(
        &self,
        ticket: Ticket,
        record: &DeferredRecord,
        remaining_s: f64,
    ) -> Result<DeferredAnswer, FailedRun> {
        let request = match self.prepare(ticket, record, remaining_s) {
            Ok(request) => request,
            Err(answer) => return Ok(answer),
        };
        let Ok(mut replied) = self.submitter.submit(request).await else {
            return Err(FailedRun { may_have_run: false });
        };
        match replied.reply {
            Reply::Unary(body) => {
                replied.guard.disarm();
                Ok(DeferredAnswer { status: 200, body: body.to_vec() })
            }
            Reply::Error(error) => {
                replied.guard.disarm();
                Err(FailedRun { may_have_run: may_have_run(&error) })
            }
            Reply::Stream(_) => Err(FailedRun { may_have_run: true }),
        }
    }
}

/// Returns whether the request may have run on an engine: a rejected or shed request has not, or may run
/// again.
fn may_have_run(error: &ApiError) -> bool {
    !matches!(error.code, "shed" | "node_full" | "node_draining" | "too_many_open" | "fair_share")
}
