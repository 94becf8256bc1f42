//! The API of deferred requests: enqueue one, and look up its ticket.

use super::queue::{record_key, DeferredRequests};
use crate::clock::{unix_now, Clock};
use crate::http_response::{json_response, HttpResponse};
use crate::listener_state::ListenerState;
use crate::submission::RequestSubmitter;
use async_channel::{bounded, Sender};
use bytes::Bytes;
use nickelgw_deferred::core::record::{DeferredRecord, DeferredState};
use nickelgw_deferred::core::{DeferredRejection, DeferredStatus, RecordWrite, Ticket};
use nickelgw_node_core::AdmittedRequest;
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use nickelgw_protocol::Malformed;
use nickelgw_store::core::RecordKind;
use serde_json::json;
use smol::LocalExecutor;
use std::rc::Rc;

/// The field by which a client defers a request, with its deadline in seconds.
pub const DEFER_FIELD: &str = "offline_within_s";
/// Path of the tickets.
pub const DEFERRED_PATH: &str = "/v1/parked/";
/// Hexadecimal digits of a ticket.
const TICKET_DIGITS: usize = 32;

/// Serves deferred requests.
pub struct DeferredService {
    /// The queue.
    pub requests: Rc<DeferredRequests>,
    /// Runs them as other requests are run.
    pub submitter: Rc<RequestSubmitter>,
    /// Whether the node serves, or shuts down.
    pub listener: Rc<ListenerState>,
    /// For tasks that outlive their client.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The node's clock.
    pub clock: Clock,
}

/// An error in the field by which a request is deferred.
pub fn field_error(problem: &'static str) -> ApiError {
    ApiError::invalid_request(&Malformed::field(DEFER_FIELD, problem))
}

fn accepted_response(id: &str, status: &str) -> HttpResponse {
    let body = json!({"id": id, "object": "chat.parked", "status": status});
    json_response(202, body.to_string().into())
}

impl DeferredService {
    fn queue_full(&self) -> ApiError {
        let message = "no place to keep more offline requests";
        let error = ApiError::new(503, "server_error", "parked_full", message);
        error.with_retry_after(self.submitter.limits.retry_after_s)
    }

    fn rejection(&self, rejection: DeferredRejection) -> ApiError {
        match rejection {
            DeferredRejection::TenantLimit => {
                let message = "this tenant has its part of what is kept";
                let error = ApiError::new(429, "server_error", "parked_tenant_full", message);
                error.with_retry_after(self.submitter.limits.retry_after_s)
            }
            DeferredRejection::WaitTooLong => field_error("is longer than any may wait"),
            DeferredRejection::TooManyRecords | DeferredRejection::TooManyBytes => self.queue_full(),
        }
    }

    fn record(&self, mut chat: ChatRequest, admitted: &AdmittedRequest) -> Result<DeferredRecord, ApiError> {
        let deadline = chat.fields.remove(DEFER_FIELD);
        let deadline_s = deadline.and_then(|value| serde_json::from_str::<f64>(value.get()).ok());
        let deadline_s = deadline_s.filter(|s| *s > 0.0);
        let deadline_s = deadline_s.ok_or_else(|| field_error("must be a number of seconds above zero"))?;
        // Nobody reads the response while it runs.
        chat.fields.remove("stream");
        chat.fields.remove("stream_options");
        let body = serde_json::to_vec(&chat.fields).map_err(|_| field_error("cannot be kept"))?;
        let now = unix_now();
        let tenants = &self.submitter.admission.tenants;
        Ok(DeferredRecord {
            tenant: admitted.tenant.map_or(String::new(), |tenant| tenants[tenant].name.clone()),
            model: chat.model.clone(),
            body,
            queued_at: now,
            deadline: now + deadline_s,
            first_attempt_at: None,
            failed_attempts: 0,
            state: DeferredState::Queued,
        })
    }

    /// Enqueues a request; responds with its ticket, once its record is on disk.
    pub async fn enqueue(
        &self,
        chat: ChatRequest,
        admitted: &AdmittedRequest,
    ) -> Result<HttpResponse, ApiError> {
        let record = self.record(chat, admitted)?;
        let ticket = self.requests.new_ticket();
        if self.requests.store_writer.is_released() {
            return Err(self.queue_full());
        }
        let enqueued = self.requests.queue.borrow_mut().enqueue(record.queued_at, ticket, record);
        let write = enqueued.map_err(|rejection| self.rejection(rejection))?;
        // A task of its own: its client may disconnect meanwhile, and the write is finished all the same.
        let (written_sender, written) = bounded(1);
        self.executor.spawn(write_new_record(self.requests.clone(), write, written_sender)).detach();
        match written.recv().await {
            Ok(true) => Ok(accepted_response(&format!("{ticket:032x}"), "parked")),
            _ => Err(self.queue_full()),
        }
    }

    /// The state of a ticket, or its response. Unknown, expired and another tenant's tickets look the same.
    pub fn status(&self, bearer: Option<&str>, ticket: &str) -> Result<HttpResponse, ApiError> {
        let submitter = &self.submitter;
        let tenant = submitter.admission.authenticate(bearer);
        let tenant = tenant.map_err(|reason| reason.error(submitter.limits.retry_after_s))?;
        let tenant = tenant.map_or("", |tenant| &submitter.admission.tenants[tenant].name);
        let id = Some(ticket).filter(|ticket| ticket.len() == TICKET_DIGITS);
        let id = id.and_then(|ticket| Ticket::from_str_radix(ticket, 16).ok());
        let queue = self.requests.queue.borrow();
        match id.and_then(|id| queue.status(id, tenant)).ok_or_else(unknown_ticket)? {
            DeferredStatus::Finished(answer) => {
                Ok(json_response(answer.status, Bytes::from(answer.body.clone())))
            }
            DeferredStatus::Queued => Ok(accepted_response(ticket, "parked")),
            DeferredStatus::Running => Ok(accepted_response(ticket, "running")),
        }
    }
}

/// There is no such ticket, or not for this tenant.
pub fn unknown_ticket() -> ApiError {
    ApiError::new(404, "invalid_request_error", "not_found", "there is no such ticket")
}

async fn write_new_record(requests: Rc<DeferredRequests>, write: RecordWrite, written: Sender<bool>) {
    let RecordWrite { ticket, version, bytes } = write;
    let (store_writer, key) = (&requests.store_writer, record_key(ticket));
    let bytes = bytes.unwrap_or_default();
    let is_written = store_writer.put_and_wait(RecordKind::DeferredRequest, &key, &bytes).await;
    requests.queue.borrow_mut().write_finished(ticket, version, is_written);
    if !is_written {
        // It may get to disk yet, and a later process must not run it.
        store_writer.remove(RecordKind::DeferredRequest, &key);
    }
    requests.wake();
    let _ = written.try_send(is_written);
}
