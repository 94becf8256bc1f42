//! The chat port: accepts connections, routes requests, and forwards responses while they are produced.

mod accept;
mod chat;
mod connection_monitor;

use crate::deferred::{unknown_ticket, DeferredService, DEFERRED_PATH};
use crate::http_response::{error_response, json_response, HttpResponse};
use crate::idempotency::ResponseSharing;
use crate::listener_state::ListenerState;
use crate::submission::RequestSubmitter;
use connection_monitor::ConnectionMonitor;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, CONNECTION};
use hyper::{HeaderMap, Method, Request};
use nickelgw_protocol::chat::ApiError;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static(nickelgw_protocol::REQUEST_ID_HEADER);
const MODELS_PATH: &str = "/v1/models/";
/// Longest request id that is accepted from a client.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// Number of characters of an unknown path that the error message repeats.
const MAX_ECHOED_PATH_CHARS: usize = 64;

/// Serves the chat API.
pub struct ChatServer {
    /// Submits requests to the event loop.
    pub submitter: Rc<RequestSubmitter>,
    /// Serves requests with an idempotency key.
    pub responses: Rc<ResponseSharing>,
    /// Serves deferred requests; `None` if they are off.
    pub deferred: Option<Rc<DeferredService>>,
    /// Health of the node, and its client connections.
    pub listener: Rc<ListenerState>,
    /// TLS of the port; `None` if it is plain.
    pub tls: Option<Arc<Mutex<nickelgw_tls::Server>>>,
    /// Name of the node, used in the request ids that it generates.
    pub node: String,
    /// Number of request ids generated so far.
    pub generated_ids: Cell<u64>,
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

fn is_valid_request_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed)
}

fn model_object(name: &str) -> Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "nickelgw"})
}

fn unknown_path(path: &str) -> HttpResponse {
    let path = path.chars().take(MAX_ECHOED_PATH_CHARS).collect::<String>();
    let message = format!("no such call: {path}");
    error_response(&ApiError::new(404, "invalid_request_error", "not_found", message))
}

impl ChatServer {
    /// Returns the client's request id if it is valid, or else a new one.
    fn request_id(&self, headers: &HeaderMap) -> Rc<str> {
        let id = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        match id.filter(|id| is_valid_request_id(id)) {
            Some(id) => id.into(),
            None => {
                self.generated_ids.set(self.generated_ids.get() + 1);
                format!("{}-{:x}-{}", self.node, std::process::id(), self.generated_ids.get()).into()
            }
        }
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>, monitor: &ConnectionMonitor) -> HttpResponse {
        let id = self.request_id(request.headers());
        let mut response = self.route(request, id.clone(), monitor).await;
        let id_header = HeaderValue::from_str(&id).ok().map(|value| (REQUEST_ID_HEADER, value));
        response.headers_mut().extend(id_header);
        if self.listener.closing_connections.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        id: Rc<str>,
        monitor: &ConnectionMonitor,
    ) -> HttpResponse {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => {
                let response = self.serve_chat(request, id.clone(), monitor).await;
                response.unwrap_or_else(|error| {
                    tracing::info!(request = %id, status = error.status, code = error.code, "request rejected");
                    error_response(&error)
                })
            }
            (&Method::GET, "/v1/models") => self.list_models(),
            (&Method::GET, path) if path.starts_with(MODELS_PATH) => {
                self.find_model(&path[MODELS_PATH.len()..])
            }
            (&Method::GET, path) if path.starts_with(DEFERRED_PATH) => {
                let token = bearer_token(request.headers());
                let status = self.deferred_status(token, &path[DEFERRED_PATH.len()..]);
                status.unwrap_or_else(|error| error_response(&error))
            }
            (&Method::GET, "/healthz") => self.serve_health(),
            (_, path) => unknown_path(path),
        }
    }

    fn list_models(&self) -> HttpResponse {
        let models = &self.submitter.admission.models;
        let list: Vec<Value> = models.iter().map(|model| model_object(&model.name)).collect();
        json_response(200, json!({"object": "list", "data": list}).to_string().into())
    }

    fn find_model(&self, name: &str) -> HttpResponse {
        match self.submitter.admission.models.iter().find(|model| model.name == name) {
            Some(model) => json_response(200, model_object(&model.name).to_string().into()),
            None => {
                let mut error =
                    ApiError::new(404, "invalid_request_error", "model_not_found", "no such model");
                error.param = Some("model");
                error_response(&error)
            }
        }
    }

    fn deferred_status(&self, token: Option<&str>, ticket: &str) -> Result<HttpResponse, ApiError> {
        match &self.deferred {
            Some(deferred) => deferred.status(token, ticket),
            None => {
                let retry_after_s = self.submitter.limits.retry_after_s;
                let tenant = self.submitter.admission.authenticate(token);
                tenant.map_err(|reason| reason.error(retry_after_s))?;
                Err(unknown_ticket())
            }
        }
    }

    /// Reports the node's health. Without an endpoint list the node is not healthy: a load balancer does
    /// better to wait.
    fn serve_health(&self) -> HttpResponse {
        let listener = &self.listener;
        if !listener.healthy.get() {
            let status = if listener.closing_connections.get() { "leaving" } else { "no list yet" };
            return json_response(503, json!({ "status": status }).to_string().into());
        }
        let connections = listener.connections.get();
        json_response(200, json!({"status": "ok", "connections": connections}).to_string().into())
    }
}
