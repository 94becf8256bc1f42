//! Submits requests to the event loop and waits for their replies.

use crate::clock::Clock;
use crate::events::{Event, TimedEvent};
use crate::http_response::{event_stream_response, json_response, HttpResponse};
use crate::limits::Limits;
use crate::replies::{ClientRequest, Reply};
use async_channel::{bounded, Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream;
use nickelgw_chat::core::retry_budget::{RetryBudget, RetryVerdict};
use nickelgw_node_core::{Admission, AdmittedRequest, RejectReason, RequestId};
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// A request that has passed admission.
pub struct PreparedRequest {
    /// The request as the core decides on it.
    pub admitted: AdmittedRequest,
    /// The request id, as in the `x-request-id` header.
    pub id: Rc<str>,
    /// The parsed body.
    pub chat: Rc<ChatRequest>,
    /// When the request's head was read.
    pub received_at: Instant,
    /// Digest of the body, by which repeated requests are recognized.
    pub body_digest: [u8; 32],
    /// Number of retries as counted by the client; `None` if the client does not send it.
    pub retry_count: Option<u32>,
}

/// Reports that the client has disconnected if it is dropped before the response is complete.
pub struct DisconnectGuard {
    /// The request; `None` if dropping the guard is to report nothing.
    request: Option<RequestId>,
    disconnects: Sender<RequestId>,
}

impl DisconnectGuard {
    /// Marks the response as complete: dropping the guard reports nothing from now on.
    pub fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let _ = self.disconnects.try_send(request);
        }
    }
}

/// A reply, and the disconnect guard of its client.
pub struct GuardedReply {
    /// The reply, or the beginning of it.
    pub reply: Reply,
    /// Guard to be disarmed once the response is complete.
    pub guard: DisconnectGuard,
}

impl GuardedReply {
    /// Builds the HTTP response of a reply that is not shared between clients.
    pub fn into_response(mut self) -> Result<HttpResponse, ApiError> {
        match self.reply {
            Reply::Stream(events) => {
                Ok(event_stream_response(GuardedStream { events: Box::pin(events), guard: self.guard }))
            }
            Reply::Unary(body) => {
                self.guard.disarm();
                Ok(json_response(200, body))
            }
            Reply::Error(error) => {
                self.guard.disarm();
                Err(error)
            }
        }
    }
}

/// A client's event stream, which disarms its guard at the end.
struct GuardedStream {
    events: Pin<Box<Receiver<Bytes>>>,
    guard: DisconnectGuard,
}

impl Stream for GuardedStream {
    type Item = Bytes;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let next = self.events.as_mut().poll_next(cx);
        if matches!(next, Poll::Ready(None)) {
            self.guard.disarm();
        }
        next
    }
}

/// Submits the requests of client connections to the event loop.
pub struct RequestSubmitter {
    /// Admission rules: which tenant may send what.
    pub admission: Rc<Admission>,
    /// Limits of the node's sockets.
    pub limits: Rc<Limits>,
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// Sends the event loop the ids of requests whose client has disconnected.
    pub disconnects: Sender<RequestId>,
    /// Number of requests that wait in the event loop's queue.
    pub queued: Rc<Cell<usize>>,
    /// The node's clock.
    pub clock: Clock,
    /// Limits the retries of clients.
    pub retry_budget: RefCell<RetryBudget>,
}

impl RequestSubmitter {
    /// Rejects a retry that exceeds the retry budget.
    pub fn check_retry_budget(&self, request: &PreparedRequest) -> Result<(), ApiError> {
        let mut digest = [0; 16];
        digest.copy_from_slice(&request.body_digest[..16]);
        let tenant = request.admitted.tenant.unwrap_or(usize::MAX);
        let route = request.admitted.route;
        let mut budget = self.retry_budget.borrow_mut();
        match budget.admit(self.clock.now(), tenant, route, request.retry_count, digest) {
            RetryVerdict::FirstAttempt | RetryVerdict::Retry => Ok(()),
            RetryVerdict::Rejected { retry_after_s } => {
                let message = "too many retries of late; come back later";
                Err(ApiError::new(429, "rate_limit_error", "retry_budget", message)
                    .with_retry_after(retry_after_s))
            }
        }
    }

    fn queue_full(&self) -> ApiError {
        RejectReason::QueueFull.error(self.limits.retry_after_s)
    }

    /// Submits the request and waits for its reply, or for the beginning of a streamed reply.
    pub async fn submit(&self, request: PreparedRequest) -> Result<GuardedReply, ApiError> {
        if self.queued.get() >= self.limits.max_queued {
            return Err(self.queue_full());
        }
        let (tenant, route) = (request.admitted.tenant.unwrap_or(usize::MAX), request.admitted.route);
        let (reply, replied) = bounded(1);
        let (accepted, accepted_id) = bounded(1);
        let client = ClientRequest {
            id: request.id,
            chat: request.chat,
            reply,
            received_at: request.received_at,
            stream: None,
        };
        self.queued.set(self.queued.get() + 1);
        let event = Event::Accept { request: request.admitted, client, accepted };
        if self.events.try_send(TimedEvent::new(event)).is_err() {
            self.queued.set(self.queued.get() - 1);
            return Err(self.queue_full());
        }
        // If the client disconnects from here on, this future is dropped and with it the guard, which informs
        // the core.
        let mut guard = DisconnectGuard { request: None, disconnects: self.disconnects.clone() };
        guard.request = accepted_id.recv().await.ok();
        let stopped = |_| ApiError::new(500, "server_error", "node_stopping", "the node is stopping");
        let reply = replied.recv().await.map_err(stopped)?;
        if !matches!(reply, Reply::Error(_)) {
            self.retry_budget.borrow_mut().response_started(tenant, route);
        }
        Ok(GuardedReply { reply, guard })
    }
}
