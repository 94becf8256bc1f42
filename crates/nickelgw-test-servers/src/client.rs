//! A scripted client of the chat API: sends one request, reads the response, and records what it saw.

mod call;
mod raw;

pub use call::call;
pub use raw::{control, response_status, send_raw};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use nickelgw_protocol::REQUEST_ID_HEADER;
use serde_json::{json, Value};

/// When a client disconnects before the end of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum DisconnectAt {
    /// It stays until the end.
    #[default]
    Never,
    /// After so many seconds without a response.
    WaitingFor(f64),
    /// After so many events of a stream.
    EventCount(usize),
}

/// A request, and how its client behaves.
#[derive(Clone, Debug, Default)]
pub struct ChatCall {
    /// Id of the request.
    pub request_id: String,
    /// Name of the node, for the record.
    pub node: String,
    /// Address of the node.
    pub address: String,
    /// Model asked for.
    pub model: String,
    /// API key.
    pub api_key: Option<String>,
    /// System message; empty: none.
    pub system: String,
    /// User message.
    pub prompt: String,
    /// Limit of generated tokens.
    pub max_tokens: Option<u32>,
    /// Whether to ask for a stream.
    pub stream: bool,
    /// Time in which the first token must come.
    pub timeout_s: f64,
    /// Objective for the time to the first token.
    pub ttft_target_s: f64,
    /// When the request should have been sent; times count from here, so that a slow client hides no wait.
    pub intended_start: f64,
    /// When the client disconnects.
    pub disconnect: DisconnectAt,
    /// In a retry: id of the first request.
    pub retry_of: Option<String>,
    /// Number of retries before this one, itself included.
    pub retry_count: u32,
    /// Delay after each event, of a client that reads slowly.
    pub read_delay_s: f64,
}

/// What the client saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResult {
    /// `completed`, `shed`, `errored`, `left` or `cut`, as in the record; empty if nothing came in a long time.
    pub outcome: String,
    /// HTTP status.
    pub status: u16,
    /// Code of an error.
    pub code: Option<String>,
    /// Header `retry-after`.
    pub retry_after: Option<String>,
    /// Header `retry-after-ms`, in seconds.
    pub retry_after_s: Option<f64>,
    /// Text of the answer.
    pub text: String,
    /// Events of the stream.
    pub events: usize,
    /// Time to the first token.
    pub ttft_s: Option<f64>,
    /// Time to the end.
    pub duration_s: f64,
    /// Token counts.
    pub usage: Option<Value>,
}

impl ChatCall {
    /// The request's body.
    pub fn body(&self) -> Bytes {
        let mut messages = Vec::new();
        if !self.system.is_empty() {
            messages.push(json!({"role": "system", "content": self.system}));
        }
        messages.push(json!({"role": "user", "content": self.prompt}));
        let mut body = json!({"model": self.model, "messages": messages, "stream": self.stream});
        if let Some(max_tokens) = self.max_tokens {
            body["max_tokens"] = json!(max_tokens);
        }
        Bytes::from(body.to_string())
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header("host", &self.address)
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &self.request_id);
        if let Some(api_key) = &self.api_key {
            builder = builder.header("authorization", format!("Bearer {api_key}"));
        }
        if self.retry_count > 0 {
            builder = builder.header("x-retry-count", self.retry_count);
        }
        builder.body(Full::new(self.body())).ok()
    }
}
