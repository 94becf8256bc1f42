//! Runs requests with an idempotency key once and sends the response to each client that uses the key.

mod shared_response;

use crate::clock::{within, Clock};
use crate::http_response::{event_stream_response, json_response, HttpResponse};
use crate::persistence::StoreWriter;
use crate::replies::Reply;
use crate::submission::{GuardedReply, PreparedRequest, RequestSubmitter};
use async_channel::Receiver;
use bytes::Bytes;
use nickelgw_chat::core::idempotency::{
    EntryId, IdempotencyCommand, IdempotencyConfig, IdempotencyKey, IdempotencyTable, KeyLookup, RunOutcome,
};
use nickelgw_protocol::chat::ApiError;
use nickelgw_protocol::sse;
use nickelgw_store::core::RecordKind;
use shared_response::{ListenerGuard, ResponseHead, SharedResponse, Subscriber};
use smol::{LocalExecutor, Task};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Longest idempotency key that is accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Service that runs each keyed request once and shares its response between clients.
pub struct ResponseSharing {
    /// Decides which requests are run, joined, rejected and forgotten.
    table: Rc<RefCell<IdempotencyTable>>,
    /// Response of each run that is in progress or recorded.
    responses: RefCell<HashMap<EntryId, Rc<SharedResponse>>>,
    /// Task of each run in progress; dropping it cancels the run.
    runs: RefCell<HashMap<EntryId, Task<()>>>,
    submitter: Rc<RequestSubmitter>,
    store_writer: Rc<StoreWriter>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
}

fn key_error(status: u16, code: &'static str, message: &str) -> ApiError {
    ApiError::new(status, "invalid_request_error", code, message)
}

fn cancelled_error() -> ApiError {
    key_error(409, "already_taken", "this request was called off as its client had gone")
}

impl ResponseSharing {
    /// Creates the service with an empty table.
    pub fn new(
        config: IdempotencyConfig,
        submitter: Rc<RequestSubmitter>,
        store_writer: Rc<StoreWriter>,
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
    ) -> Rc<ResponseSharing> {
        Rc::new(ResponseSharing {
            table: Rc::new(RefCell::new(IdempotencyTable::new(config))),
            responses: RefCell::default(),
            runs: RefCell::default(),
            submitter,
            store_writer,
            executor,
            clock,
        })
    }

    /// Restores the key of a request that an earlier process ran and that may not run again. Ignores a key or
    /// digest of the wrong length.
    pub fn restore(&self, completed_at: f64, key: &[u8], body_digest: &[u8]) {
        if let (Ok(key), Ok(body_digest)) = (key.try_into(), body_digest.try_into()) {
            self.table.borrow_mut().restore(completed_at, IdempotencyKey(key), body_digest);
        }
    }

    /// Runs the table's commands: cancels runs that no client waits for and drops responses whose retention
    /// time is over.
    pub fn run_commands(&self) {
        let now = self.clock.now();
        let (commands, _) = self.table.borrow_mut().poll_commands(now);
        for command in commands {
            match command {
                IdempotencyCommand::Cancel(entry_id) => self.cancel(now, entry_id),
                IdempotencyCommand::Forget(entry_id) => drop(self.responses.borrow_mut().remove(&entry_id)),
            }
        }
    }

    fn cancel(&self, now: f64, entry_id: EntryId) {
        // Dropping the task drops its disconnect guard, which reports to the core that the client has
        // disconnected.
        let run = self.runs.borrow_mut().remove(&entry_id);
        drop(run);
        self.table.borrow_mut().response_ended(now, entry_id, RunOutcome::Cancelled);
        self.responses.borrow_mut().remove(&entry_id);
    }

    fn node_full_error(&self, message: &str) -> ApiError {
        let error = ApiError::new(503, "server_error", "node_full", message);
        error.with_retry_after(self.submitter.limits.retry_after_s)
    }

    /// Serves a request with a key. The first request with a key is run; later ones receive the response to
    /// the first.
    pub async fn serve(
        self: Rc<Self>,
        request: PreparedRequest,
        key: &str,
    ) -> Result<HttpResponse, ApiError> {
        let admission = &self.submitter.admission;
        let tenant = request.admitted.tenant.map_or("", |tenant| &admission.tenants[tenant].name);
        let key = IdempotencyKey::new(tenant, key);
        let is_idempotent = admission.models[request.admitted.route].is_idempotent;
        let now = self.clock.now();
        let found = self.table.borrow_mut().look_up(now, key, request.body_digest, is_idempotent);
        match found {
            KeyLookup::Join(entry_id) | KeyLookup::Recorded(entry_id) => self.subscribe(entry_id).await,
            KeyLookup::New(entry_id) => {
                let persistent_key = (!is_idempotent).then_some(key);
                if let Err(error) = self.start(request, entry_id, persistent_key).await {
                    self.table.borrow_mut().response_ended(now, entry_id, RunOutcome::Rejected);
                    return Err(error);
                }
                self.subscribe(entry_id).await
            }
            KeyLookup::Unrecorded => {
                self.submitter.check_retry_budget(&request)?;
                self.submitter.submit(request).await?.into_response()
            }
            KeyLookup::Mismatch => {
                let message = "this idempotency key was used with another body";
                Err(key_error(422, "idempotency_key_reused", message))
            }
            KeyLookup::NotRecorded => {
                let message =
                    "this request was taken before; its answer is not kept, and it does not run again";
                Err(key_error(409, "already_taken", message))
            }
            KeyLookup::Full => {
                Err(self.node_full_error("no place to remember this request, which may not run twice"))
            }
        }
    }

    /// Starts the run of a key. `persistent_key` is the key if it has to be on disk before the run, `None` if
    /// not.
    async fn start(
        self: &Rc<Self>,
        request: PreparedRequest,
        entry_id: EntryId,
        persistent_key: Option<IdempotencyKey>,
    ) -> Result<(), ApiError> {
        self.submitter.check_retry_budget(&request)?;
        // The key is on disk before the request can have an effect, so that a repeat does not run after a
        // crash.
        if let Some(key) = &persistent_key {
            if !self.persist_key(key, &request.body_digest).await {
                let message = "this request may not run twice, and cannot be remembered now";
                return Err(self.node_full_error(message));
            }
        }
        let response = SharedResponse::new();
        self.responses.borrow_mut().insert(entry_id, response.clone());
        let run = self.clone().run(request, entry_id, response, persistent_key);
        let run = self.executor.spawn(run);
        self.runs.borrow_mut().insert(entry_id, run);
        Ok(())
    }

    /// Writes a key to the store. Returns false if it is not on disk.
    async fn persist_key(&self, key: &IdempotencyKey, body_digest: &[u8; 32]) -> bool {
        !self.store_writer.is_released()
            && self.store_writer.put_and_wait(RecordKind::IdempotencyKey, &key.0, body_digest).await
    }

    /// Subscribes a client to the response of a run and responds with it.
    async fn subscribe(&self, entry_id: EntryId) -> Result<HttpResponse, ApiError> {
        let response = self.responses.borrow().get(&entry_id).cloned().ok_or_else(cancelled_error)?;
        let listener = ListenerGuard { table: self.table.clone(), clock: self.clock, entry_id };
        let subscriber = Subscriber::new(response, listener);
        match subscriber.head().await.ok_or_else(cancelled_error)? {
            ResponseHead::Stream => Ok(event_stream_response(subscriber)),
            ResponseHead::Unary(body) => Ok(json_response(200, body)),
            ResponseHead::Error(error) => Err(error),
        }
    }

    /// Runs the request and publishes its response to all subscribers.
    async fn run(
        self: Rc<Self>,
        request: PreparedRequest,
        entry_id: EntryId,
        response: Rc<SharedResponse>,
        persistent_key: Option<IdempotencyKey>,
    ) {
        let outcome = match self.submitter.submit(request).await {
            Err(error) => publish_error(&response, error),
            Ok(reply) => self.publish(entry_id, &response, reply).await,
        };
        response.finish();
        self.table.borrow_mut().response_ended(self.clock.now(), entry_id, outcome);
        // No part of the request has run, so that its key may be used again.
        if let Some(key) = persistent_key.filter(|_| outcome == RunOutcome::Rejected) {
            self.store_writer.remove(RecordKind::IdempotencyKey, &key.0);
        }
        // This task is about to end. Dropping its own handle would cancel it, so the handle is detached.
        if let Some(run) = self.runs.borrow_mut().remove(&entry_id) {
            run.detach();
        }
    }

    /// Publishes a reply to the subscribers; returns the outcome of the run.
    async fn publish(&self, entry_id: EntryId, response: &SharedResponse, reply: GuardedReply) -> RunOutcome {
        let GuardedReply { reply, mut guard } = reply;
        match reply {
            // The disconnect guard stays armed for an error: the core ignores requests that are closed
            // already.
            Reply::Error(error) => publish_error(response, error),
            Reply::Unary(body) => {
                guard.disarm();
                self.table.borrow_mut().record(entry_id, body.len());
                response.set_head(ResponseHead::Unary(body));
                RunOutcome::Completed
            }
            Reply::Stream(events) => {
                response.set_head(ResponseHead::Stream);
                response.wake_subscribers();
                let is_complete = self.publish_events(entry_id, response, &events).await;
                // A closed channel means that the core has sent its final response and dropped the sender.
                if events.is_closed() {
                    guard.disarm();
                }
                match is_complete {
                    true => RunOutcome::Completed,
                    false => RunOutcome::Failed,
                }
            }
        }
    }

    /// Publishes events until the stream ends or a subscriber stalls. Returns whether the last event was
    /// `[DONE]`.
    async fn publish_events(
        &self,
        entry_id: EntryId,
        response: &SharedResponse,
        events: &Receiver<Bytes>,
    ) -> bool {
        let mut is_complete = false;
        while let Ok(event) = events.recv().await {
            is_complete = event == sse::done_event();
            if !self.publish_event(entry_id, response, event).await {
                break;
            }
        }
        is_complete
    }

    /// Publishes one event. Returns false if the response is no longer recorded and its slowest subscriber
    /// stalls.
    async fn publish_event(&self, entry_id: EntryId, response: &SharedResponse, event: Bytes) -> bool {
        let is_recorded = self.table.borrow_mut().record(entry_id, event.len());
        response.push(event, is_recorded);
        response.wake_subscribers();
        loop {
            response.drop_consumed();
            if response.has_capacity() {
                return true;
            }
            let stall_timeout_s = self.submitter.limits.client_stall_timeout_s;
            if within(stall_timeout_s, response.consumed()).await.is_none() {
                return false;
            }
        }
    }
}

/// Publishes an error to the subscribers; returns the outcome of the run. A request that was rejected or shed
/// has not run, so that its key may be used again.
fn publish_error(response: &SharedResponse, error: ApiError) -> RunOutcome {
    let has_not_run = matches!(error.code, "shed" | "node_full" | "node_stopping");
    response.set_head(ResponseHead::Error(error));
    match has_not_run {
        true => RunOutcome::Rejected,
        false => RunOutcome::Failed,
    }
}
