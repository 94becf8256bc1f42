//! Scripted client of the chat API. It sends one request, reads the response and records what it received.

mod call;
mod raw;

pub use call::call;
pub use raw::{control, response_status, send_raw};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use nickelgw_protocol::REQUEST_ID_HEADER;
use serde_json::{json, Value};

/// Moment at which a client disconnects before the end of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum DisconnectAt {
    /// The client reads the response to its end.
    #[default]
    Never,
    /// The client disconnects after this number of seconds without a response.
    WaitingFor(f64),
    /// The client disconnects after this number of events of a stream.
    EventCount(usize),
}

/// Request of a client, and the behaviour of the client.
#[derive(Clone, Debug, Default)]
pub struct ChatCall {
    /// Id of the request.
    pub request_id: String,
    /// Name of the node, for the records.
    pub node: String,
    /// Address of the node.
    pub address: String,
    /// Requested model.
    pub model: String,
    /// API key. `None` if the client sends none.
    pub api_key: Option<String>,
    /// System message. Empty if there is none.
    pub system: String,
    /// User message.
    pub prompt: String,
    /// Limit of generated tokens. `None` if the request has none.
    pub max_tokens: Option<u32>,
    /// Whether the request asks for a stream.
    pub stream: bool,
    /// Time in seconds within which the first token has to arrive.
    pub timeout_s: f64,
    /// Objective for the time to the first token in seconds.
    pub ttft_target_s: f64,
    /// Unix time in seconds at which the request should have been sent. Latencies are measured from here, so
    /// that the delay of a client that sends late is included.
    pub intended_start: f64,
    /// Moment at which the client disconnects.
    pub disconnect: DisconnectAt,
    /// Id of the first request if this is a retry, otherwise `None`.
    pub retry_of: Option<String>,
    /// Number of retries up to and including this call. 0 for the first request.
    pub retry_count: u32,
    /// Delay in seconds after each event, for a client that reads slowly.
    pub read_delay_s: f64,
}

/// Result of a call, as the client saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResult {
    /// `completed`, `shed`, `errored`, `left` or `cut`, as in the records. Empty if the client stopped
    /// waiting for a response.
    pub outcome: String,
    /// HTTP status. 0 if no response arrived.
    pub status: u16,
    /// Code of the error, if the response is one.
    pub code: Option<String>,
    /// Value of the header `retry-after`.
    pub retry_after: Option<String>,
    /// Value of the header `retry-after-ms`, converted to seconds.
    pub retry_after_s: Option<f64>,
    /// Text of the answer.
    pub text: String,
    /// Number of events of the stream.
    pub events: usize,
    /// Time to the first token in seconds. `None` if there was none.
    pub ttft_s: Option<f64>,
    /// Time in seconds until the call ended.
    pub duration_s: f64,
    /// Token counts of the response, if it has any.
    pub usage: Option<Value>,
}

impl ChatCall {
    /// Returns the body of the request.
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
