//! The API of deferred requests: enqueues requests and looks up tickets.

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

/// Field of the request body that defers the request. Its value is the deadline in seconds after the request's
/// arrival.
pub const DEFER_FIELD: &str = "offline_within_s";
/// Path prefix of the tickets.
pub const DEFERRED_PATH: &str = "/v1/parked/";
/// Number of hexadecimal digits of a ticket.
const TICKET_DIGITS: usize = 32;

/// Service that accepts, runs and reports deferred requests.
pub struct DeferredService {
    /// Queue of deferred requests.
    pub requests: Rc<DeferredRequests>,
    /// Submits deferred requests to the event loop like other requests.
    pub submitter: Rc<RequestSubmitter>,
    /// State of the chat listener: whether the node serves or is shutting down.
    pub listener: Rc<ListenerState>,
    /// Executor of the tasks that continue after their client has disconnected.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The node's clock.
    pub clock: Clock,
}

/// Returns the error for a problem with the field that defers a request.
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
        // The response is kept as a whole: no client reads it during the run.
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

    /// Enqueues a request and responds with its ticket once its record is on disk.
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
        // The write runs in its own task, so that it is finished even if the client disconnects meanwhile.
        let (written_sender, written) = bounded(1);
        self.executor.spawn(write_new_record(self.requests.clone(), write, written_sender)).detach();
        match written.recv().await {
            Ok(true) => Ok(accepted_response(&format!("{ticket:032x}"), "parked")),
            _ => Err(self.queue_full()),
        }
    }

    /// Responds with the state of a ticket, or with the response to its request if that has finished. A
    /// ticket that is unknown, expired or another tenant's gets the same error, so that tickets of others
    /// cannot be detected.
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

/// Returns the error for a ticket that is unknown or belongs to another tenant.
pub fn unknown_ticket() -> ApiError {
    ApiError::new(404, "invalid_request_error", "not_found", "there is no such ticket")
}

/// Writes the record of a new request and reports through `written` whether it is on disk.
async fn write_new_record(requests: Rc<DeferredRequests>, write: RecordWrite, written: Sender<bool>) {
    let RecordWrite { ticket, version, bytes } = write;
    let (store_writer, key) = (&requests.store_writer, record_key(ticket));
    let bytes = bytes.unwrap_or_default();
    let is_written = store_writer.put_and_wait(RecordKind::DeferredRequest, &key, &bytes).await;
    requests.queue.borrow_mut().write_finished(ticket, version, is_written);
    if !is_written {
        // The failed write may still reach the disk, and a later process must not run the request.
        store_writer.remove(RecordKind::DeferredRequest, &key);
    }
    requests.wake();
    let _ = written.try_send(is_written);
}
