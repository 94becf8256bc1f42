//! Requests with an idempotency key: one run, whose response each client with the key receives.

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

/// Longest idempotency key that is accepted.
pub const MAX_KEY_BYTES: usize = 255;

/// Runs keyed requests once each and shares their responses.
pub struct ResponseSharing {
    table: Rc<RefCell<IdempotencyTable>>,
    responses: RefCell<HashMap<EntryId, Rc<SharedResponse>>>,
    runs: RefCell<HashMap<EntryId, Task<()>>>,
    submitter: Rc<RequestSubmitter>,
    store_writer: Rc<StoreWriter>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
}

fn conflict(status: u16, code: &'static str, message: &str) -> ApiError {
    ApiError::new(status, "invalid_request_error", code, message)
}

fn cancelled_error() -> ApiError {
    conflict(409, "already_taken", "this request was called off as its client had gone")
}

impl ResponseSharing {
    /// With an empty table.
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

    /// Restores the key of a request that an earlier process ran and that may not run again.
    pub fn restore(&self, completed_at: f64, key: &[u8], body_digest: &[u8]) {
        if let (Ok(key), Ok(body_digest)) = (key.try_into(), body_digest.try_into()) {
            self.table.borrow_mut().restore(completed_at, IdempotencyKey(key), body_digest);
        }
    }

    /// Cancels runs without a client, and drops responses past their retention.
    pub fn run_commands(&self) {
        let now = self.clock.now();
        let (commands, _) = self.table.borrow_mut().poll_commands(now);
        for command in commands {
            match command {
                IdempotencyCommand::Cancel(serial) => self.cancel(now, serial),
                IdempotencyCommand::Forget(serial) => drop(self.responses.borrow_mut().remove(&serial)),
            }
        }
    }

    fn cancel(&self, now: f64, serial: EntryId) {
        // Dropping the run tells the core that the client has disconnected.
        let run = self.runs.borrow_mut().remove(&serial);
        drop(run);
        self.table.borrow_mut().response_ended(now, serial, RunOutcome::Cancelled);
        self.responses.borrow_mut().remove(&serial);
    }

    fn full(&self, message: &str) -> ApiError {
        let error = ApiError::new(503, "server_error", "node_full", message);
        error.with_retry_after(self.submitter.limits.retry_after_s)
    }

    /// Serves a request with a key: runs it if it is the first, else responds with the first one's response.
    pub async fn serve(
        self: Rc<Self>,
        request: PreparedRequest,
        key: &str,
    ) -> Result<HttpResponse, ApiError> {
        let admission = &self.submitter.admission;
        let tenant = request.admitted.tenant.map_or("", |tenant| &admission.tenants[tenant].name);
        let key = IdempotencyKey::new(tenant, key);
        let may_repeat = admission.models[request.admitted.route].is_idempotent;
        let now = self.clock.now();
        let found = self.table.borrow_mut().look_up(now, key, request.body_digest, may_repeat);
        match found {
            KeyLookup::Join(serial) | KeyLookup::Recorded(serial) => self.subscribe(serial).await,
            KeyLookup::New(serial) => {
                let persistent_key = (!may_repeat).then_some(key);
                if let Err(error) = self.start(request, serial, persistent_key).await {
                    self.table.borrow_mut().response_ended(now, serial, RunOutcome::Rejected);
                    return Err(error);
                }
                self.subscribe(serial).await
            }
            KeyLookup::Unrecorded => {
                self.submitter.check_retry_budget(&request)?;
                self.submitter.submit(request).await?.into_response()
            }
            KeyLookup::Mismatch => {
                let message = "this idempotency key was used with another body";
                Err(conflict(422, "idempotency_key_reused", message))
            }
            KeyLookup::NotRecorded => {
                let message =
                    "this request was taken before; its answer is not kept, and it does not run again";
                Err(conflict(409, "already_taken", message))
            }
            KeyLookup::Full => Err(self.full("no place to remember this request, which may not run twice")),
        }
    }

    /// Starts the one run of a key. `persistent_key`: the key, where it must be on disk first.
    async fn start(
        self: &Rc<Self>,
        request: PreparedRequest,
        serial: EntryId,
        persistent_key: Option<IdempotencyKey>,
    ) -> Result<(), ApiError> {
        self.submitter.check_retry_budget(&request)?;
        // Known to the next process before it can have an effect: a crash must not let a repeat run.
        if let Some(key) = &persistent_key {
            if !self.persist_key(key, &request.body_digest).await {
                let message = "this request may not run twice, and cannot be remembered now";
                return Err(self.full(message));
            }
        }
        let response = SharedResponse::new();
        self.responses.borrow_mut().insert(serial, response.clone());
        let run = self.clone().run(request, serial, response, persistent_key);
        let run = self.executor.spawn(run);
        self.runs.borrow_mut().insert(serial, run);
        Ok(())
    }

    async fn persist_key(&self, key: &IdempotencyKey, body_digest: &[u8; 32]) -> bool {
        !self.store_writer.is_released()
            && self.store_writer.put_and_wait(RecordKind::IdempotencyKey, &key.0, body_digest).await
    }

    /// The response of a run to one more client.
    async fn subscribe(&self, serial: EntryId) -> Result<HttpResponse, ApiError> {
        let response = self.responses.borrow().get(&serial).cloned().ok_or_else(cancelled_error)?;
        let listener = ListenerGuard { table: self.table.clone(), clock: self.clock, serial };
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
        serial: EntryId,
        response: Rc<SharedResponse>,
        persistent_key: Option<IdempotencyKey>,
    ) {
        let ended = match self.submitter.submit(request).await {
            Err(error) => publish_error(&response, error),
            Ok(reply) => self.publish(serial, &response, reply).await,
        };
        response.finish();
        self.table.borrow_mut().response_ended(self.clock.now(), serial, ended);
        // Nothing of it has run: its key is free again.
        if let Some(key) = persistent_key.filter(|_| ended == RunOutcome::Rejected) {
            self.store_writer.remove(RecordKind::IdempotencyKey, &key.0);
        }
        // This task is at its end: its own handle has nothing to cancel.
        if let Some(run) = self.runs.borrow_mut().remove(&serial) {
            run.detach();
        }
    }

    async fn publish(&self, serial: EntryId, response: &SharedResponse, reply: GuardedReply) -> RunOutcome {
        let GuardedReply { reply, mut guard } = reply;
        match reply {
            // The guard of an error stays armed: the core ignores ids that are closed already.
            Reply::Error(error) => publish_error(response, error),
            Reply::Unary(body) => {
                guard.disarm();
                self.table.borrow_mut().record(serial, body.len());
                response.set_head(ResponseHead::Unary(body));
                RunOutcome::Completed
            }
            Reply::Stream(events) => {
                response.set_head(ResponseHead::Stream);
                response.wake_subscribers();
                let is_complete = self.publish_events(serial, response, &events).await;
                // The sender is dropped: the core has given its final answer.
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

    /// Publishes events until the stream ends or a subscriber stalls; whether the last was `[DONE]`.
    async fn publish_events(
        &self,
        serial: EntryId,
        response: &SharedResponse,
        events: &Receiver<Bytes>,
    ) -> bool {
        let mut is_complete = false;
        while let Ok(event) = events.recv().await {
            is_complete = event == sse::done_event();
            if !self.publish_event(serial, response, event).await {
                break;
            }
        }
        is_complete
    }

    /// Publishes one event; false when the slowest subscriber stalls where the response is not recorded.
    async fn publish_event(&self, serial: EntryId, response: &SharedResponse, event: Bytes) -> bool {
        let is_recorded = self.table.borrow_mut().record(serial, event.len());
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

/// A request that was rejected or shed has not run, so that its key is free again.
fn publish_error(response: &SharedResponse, error: ApiError) -> RunOutcome {
    let has_not_run = matches!(error.code, "shed" | "node_full" | "node_stopping");
    response.set_head(ResponseHead::Error(error));
    match has_not_run {
        true => RunOutcome::Rejected,
        false => RunOutcome::Failed,
    }
}
