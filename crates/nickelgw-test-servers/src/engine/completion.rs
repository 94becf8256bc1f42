//! Completion requests: recording of attempts, and their acceptance or rejection.

use super::model::Rejection;
use super::Engine;
use crate::engine_config::Role;
use crate::http::{error_response, header_text, read_body, ConnectionClosed, HttpResponse};
use crate::recorder::unix_now;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{KvTransfer, ENGINE_DRAINING, ENGINE_FULL};
use nickelgw_protocol::{ATTEMPT_ID_HEADER, NODE_HEADER, REQUEST_ID_HEADER, ZONE_HEADER};
use serde_json::{json, Value};
use std::rc::Rc;

/// Attempt of a node to run a request at this engine.
pub(super) struct Attempt {
    pub request_id: String,
    pub id: String,
    pub node: String,
    pub zone: String,
    pub chat: ChatRequest,
    /// Location of the KV state, in the request to a decode engine.
    pub kv_transfer: Option<KvTransfer>,
}

impl Attempt {
    fn new(headers: &HeaderMap, chat: ChatRequest) -> Attempt {
        let text = |name| header_text(headers, name).to_string();
        let kv_transfer = chat.fields.get("kv_transfer_params");
        let kv_transfer = kv_transfer.and_then(|value| serde_json::from_str(value.get()).ok());
        Attempt {
            request_id: text(REQUEST_ID_HEADER),
            id: text(ATTEMPT_ID_HEADER),
            node: text(NODE_HEADER),
            zone: text(ZONE_HEADER),
            chat,
            kv_transfer,
        }
    }
}

impl Rejection {
    fn response(self) -> (u16, &'static str) {
        match self {
            Rejection::Full => (429, ENGINE_FULL),
            Rejection::Draining => (503, ENGINE_DRAINING),
            Rejection::Overloaded => (500, "fallen"),
        }
    }
}

impl Engine {
    pub(super) async fn complete(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionClosed> {
        let headers = request.headers().clone();
        let bytes = read_body(request).await?;
        let Ok(chat) = ChatRequest::parse(&bytes) else { return Ok(error_response(400, "bad_request")) };
        let attempt = Attempt::new(&headers, chat);
        let work_s = self.model.borrow().work_s(attempt.chat.prompt_tokens);
        self.record_attempt(&attempt, work_s);
        self.wait_until_reachable(&attempt.zone).await;
        if let Some(response) = self.reject(&attempt, work_s) {
            return Ok(response);
        }
        let role = self.model.borrow().config.role;
        match role {
            Role::Prefill => self.prefill(&attempt).await,
            Role::Decode => self.decode(attempt).await,
        }
    }

    /// Records the arrival of an attempt. It is called before the attempt waits for a network fault to end,
    /// so that the recorded time is close to the time at which the node sent it.
    fn record_attempt(&self, attempt: &Attempt, work_s: f64) {
        let role = self.model.borrow().config.role;
        let state = attempt.kv_transfer.as_ref().and_then(|kv| kv.remote_request_id.as_ref());
        let fields = json!({"node": attempt.node, "role": role, "state": state, "work": work_s});
        self.record_event(attempt, "send", fields);
    }

    /// Records an event of an attempt.
    pub(super) fn record_event(&self, attempt: &Attempt, event: &str, mut fields: Value) {
        fields["req"] = json!(attempt.request_id);
        fields["send"] = json!(attempt.id);
        self.recorder.record(event, fields);
    }

    /// Returns the error response if the attempt is rejected or hit by a fault.
    fn reject(&self, attempt: &Attempt, work_s: f64) -> Option<HttpResponse> {
        if self.model.borrow_mut().record_arrival(unix_now(), work_s) {
            self.recorder.record("fell", json!({}));
        }
        let admitted = self.model.borrow().admit(attempt.chat.prompt_tokens);
        let is_fault = self.faults.borrow_mut().take_rejection();
        if let Err(rejection) = if is_fault { Err(Rejection::Full) } else { admitted } {
            let (status, code) = rejection.response();
            self.record_event(attempt, "turned", json!({"code": code}));
            return Some(error_response(status, code));
        }
        let drawn = self.draw();
        if self.faults.borrow().fail.affects(unix_now(), drawn) {
            self.record_event(attempt, "failed", json!({}));
            return Some(error_response(500, "internal"));
        }
        None
    }

    /// Returns whether a fault drops the response to this attempt, and records it.
    pub(super) fn loses_response(&self, attempt: &Attempt) -> bool {
        let drawn = self.draw();
        let is_lost = self.faults.borrow().lose_response.affects(unix_now(), drawn);
        if is_lost {
            self.record_event(attempt, "lost", json!({}));
        }
        is_lost
    }
}
