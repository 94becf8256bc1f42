//! `POST /v1/chat/completions`: reads, parses and admits a request, then submits it, shares a response or
//! defers it.

use super::connection_monitor::ConnectionMonitor;
use super::{bearer_token, ChatServer};
use crate::clock::within;
use crate::deferred::{field_error, DEFER_FIELD};
use crate::http_response::HttpResponse;
use crate::idempotency::MAX_KEY_BYTES;
use crate::submission::PreparedRequest;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Request};
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use nickelgw_protocol::Malformed;
use std::rc::Rc;
use std::time::Instant;

const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Headers with a client's own count of its retries. OpenAI's libraries send the first.
const RETRY_COUNT_HEADERS: [&str; 2] = ["x-stainless-retry-count", "x-retry-count"];

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn retry_count(headers: &HeaderMap) -> Option<u32> {
    let count = RETRY_COUNT_HEADERS.iter().find_map(|name| header(headers, name));
    count.and_then(|count| count.parse().ok())
}

fn timeout_s(headers: &HeaderMap) -> Option<f64> {
    let milliseconds = header(headers, TIMEOUT_HEADER)?.parse::<f64>().ok()?;
    Some(milliseconds / 1e3)
}

fn body_error(status: u16, code: &'static str, message: String) -> ApiError {
    ApiError::new(status, "invalid_request_error", code, message)
}

fn body_too_large(max_bytes: usize) -> ApiError {
    body_error(413, "body_too_large", format!("the body is over {max_bytes} bytes"))
}

impl ChatServer {
    pub(super) async fn serve_chat(
        &self,
        request: Request<Incoming>,
        id: Rc<str>,
        monitor: &ConnectionMonitor,
    ) -> Result<HttpResponse, ApiError> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let headers = &head.headers;
        let body = self.read_body(body).await?;
        let arrived_at = monitor.last_arrival();
        let chat = ChatRequest::parse(&body).map_err(|malformed| ApiError::invalid_request(&malformed))?;
        let submitter = &self.submitter;
        let admitted = submitter.admission.admit(&chat, bearer_token(headers), timeout_s(headers));
        let mut admitted = admitted.map_err(|reason| reason.error(submitter.limits.retry_after_s))?;
        admitted.arrived_at = Some(submitter.clock.seconds_at(arrived_at));
        if chat.fields.contains_key(DEFER_FIELD) {
            let deferred = self.deferred.as_ref().ok_or_else(|| field_error("is not served here"))?;
            return deferred.enqueue(chat, &admitted).await;
        }
        let request = PreparedRequest {
            admitted,
            id,
            chat: Rc::new(chat),
            received_at,
            body_digest: *blake3::hash(&body).as_bytes(),
            retry_count: retry_count(headers),
        };
        self.run_request(request, header(headers, IDEMPOTENCY_KEY_HEADER)).await
    }

    async fn run_request(
        &self,
        request: PreparedRequest,
        key: Option<&str>,
    ) -> Result<HttpResponse, ApiError> {
        match key {
            None => {
                self.submitter.check_retry_budget(&request)?;
                self.submitter.submit(request).await?.into_response()
            }
            Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
                let malformed = Malformed::field("idempotency-key", "must have 1 to 255 characters");
                Err(ApiError::invalid_request(&malformed))
            }
            Some(key) => self.responses.clone().serve(request, key).await,
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ApiError> {
        let limits = &self.submitter.limits;
        let max_bytes = limits.max_body_bytes;
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(body_too_large(max_bytes));
        }
        match within(limits.body_timeout_s, Limited::new(body, max_bytes).collect()).await {
            None => Err(body_error(408, "body_too_slow", "the body did not come in time".into())),
            Some(Ok(body)) => Ok(body.to_bytes()),
            Some(Err(error)) if error.is::<LengthLimitError>() => Err(body_too_large(max_bytes)),
            Some(Err(_)) => Err(body_error(400, "body_cut", "the body ended early".into())),
        }
    }
}
