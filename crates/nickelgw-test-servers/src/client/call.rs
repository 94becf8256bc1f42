//! Exchange of one request and its response.

use super::{CallResult, ChatCall, DisconnectAt};
use crate::recorder::{unix_now, Recorder};
use crate::timing::{sleep_s, timeout_s};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::sse::{Event, EventDecoder};
use serde_json::{json, Value};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Time limit for connecting to the node.
const CONNECT_TIMEOUT_S: f64 = 1.0;
/// Time for which a client still waits for the response after its own timeout.
const RESPONSE_SLACK_S: f64 = 10.0;
/// Time for which a client waits for further bytes of a stream.
const STREAM_TIMEOUT_S: f64 = 60.0;
/// Codes of errors that mean that the request has not run.
const REJECTION_CODES: [&str; 6] =
    ["shed", "node_full", "retry_budget", "too_many_open", "fair_share", "node_draining"];

/// Way in which a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Completed,
    Rejected,
    Failed,
    Disconnected,
    ConnectionFailed,
}

impl Outcome {
    /// Returns the name of the outcome in the records.
    fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Rejected => "shed",
            Outcome::Failed => "errored",
            Outcome::Disconnected => "left",
            Outcome::ConnectionFailed => "cut",
        }
    }
}

/// Sends a request and returns the result. `None` if the node could not be reached and nothing was sent.
pub async fn call(call: &ChatCall, recorder: &Recorder) -> Option<CallResult> {
    // A node closes a connection on which no head arrives in time. A long body takes time to build, so the
    // request is built before the connection is opened.
    let request = call.request();
    let stream = timeout_s(CONNECT_TIMEOUT_S, TcpStream::connect(&call.address)).await?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(FuturesIo::new(stream)).await.ok()?;
    let started = unix_now();
    record_call(call, recorder);
    let mut exchange = Exchange { call, recorder, result: CallResult::default() };
    let drive = async {
        let _ = connection.await;
        std::future::pending().await
    };
    let outcome = futures_lite::future::or(exchange.run(sender, request), drive).await;
    let mut result = exchange.result;
    result.duration_s = unix_now() - started;
    if let Some(outcome) = outcome {
        result.outcome = outcome.name().to_string();
        record_outcome(call, recorder, outcome, &result);
    }
    Some(result)
}

fn record_call(call: &ChatCall, recorder: &Recorder) {
    let fields = json!({
        "req": call.request_id,
        "node": call.node,
        "model": call.model,
        "intended": call.intended_start,
        "timeout_s": call.timeout_s,
        "target_s": call.ttft_target_s,
        "of": call.retry_of,
    });
    recorder.record("ask", fields);
}

fn record_outcome(call: &ChatCall, recorder: &Recorder, outcome: Outcome, result: &CallResult) {
    let id = &call.request_id;
    match outcome {
        Outcome::Disconnected | Outcome::ConnectionFailed => {
            recorder.record(outcome.name(), json!({"req": id}));
        }
        Outcome::Completed | Outcome::Rejected | Outcome::Failed => {
            let (how, status, code) = (outcome.name(), result.status, &result.code);
            recorder.record("final", json!({"req": id, "how": how, "status": status, "code": code}));
        }
    }
}

/// Exchange of a request and its response.
struct Exchange<'a> {
    call: &'a ChatCall,
    recorder: &'a Recorder,
    result: CallResult,
}

impl Exchange<'_> {
    /// Sends the request, reads the response and returns the outcome. Returns `None` if the client stopped
    /// waiting because no data arrived in time. In this case no end is recorded, and the audit reports the
    /// request.
    async fn run(
        &mut self,
        mut sender: SendRequest<Full<Bytes>>,
        request: Option<Request<Full<Bytes>>>,
    ) -> Option<Outcome> {
        let response_timeout_s = match self.call.disconnect {
            DisconnectAt::WaitingFor(seconds) => seconds,
            _ => self.call.timeout_s + RESPONSE_SLACK_S,
        };
        let response = match timeout_s(response_timeout_s, sender.send_request(request?)).await {
            None if self.call.disconnect == DisconnectAt::Never => return None,
            None => return Some(Outcome::Disconnected),
            Some(Err(_)) => return Some(Outcome::ConnectionFailed),
            Some(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        self.result.status = head.status.as_u16();
        self.result.retry_after = header(&head.headers, "retry-after");
        let retry_after_ms = header(&head.headers, "retry-after-ms");
        self.result.retry_after_s =
            retry_after_ms.and_then(|value| value.parse::<f64>().ok()).map(|ms| ms / 1e3);
        let content_type = header(&head.headers, "content-type").unwrap_or_default();
        if content_type.starts_with("text/event-stream") {
            self.read_stream(body).await
        } else {
            Some(self.read_unary(body).await)
        }
    }

    async fn read_unary(&mut self, body: Incoming) -> Outcome {
        let Ok(body) = body.collect().await else { return Outcome::ConnectionFailed };
        let body = body.to_bytes();
        self.result.code = error_code(&body);
        if self.result.status != 200 {
            let is_rejection =
                self.result.code.as_deref().is_some_and(|code| REJECTION_CODES.contains(&code));
            return if is_rejection { Outcome::Rejected } else { Outcome::Failed };
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        self.result.text = body["choices"][0]["message"]["content"].as_str().unwrap_or("").into();
        self.result.usage = Some(body["usage"].clone());
        self.record_first_token();
        Outcome::Completed
    }

    async fn read_stream(&mut self, mut body: Incoming) -> Option<Outcome> {
        let mut decoder = EventDecoder::default();
        let mut end = None;
        loop {
            loop {
                match decoder.next_event() {
                    Err(_) => return Some(Outcome::ConnectionFailed),
                    Ok(None) => break,
                    Ok(Some(_)) if end.is_some() => self.record_event_after_end(),
                    Ok(Some(event)) => end = self.handle_event(event).await,
                }
                if end == Some(Outcome::Disconnected) {
                    return end;
                }
            }
            match timeout_s(STREAM_TIMEOUT_S, body.frame()).await {
                None => return None,
                Some(Some(Ok(frame))) => frame.data_ref().into_iter().for_each(|data| decoder.push(data)),
                Some(None | Some(Err(_))) => return end.or(Some(Outcome::ConnectionFailed)),
            }
        }
    }

    /// Handles an event of a stream. Returns the outcome if the event ends the stream or the client
    /// disconnects after it.
    async fn handle_event(&mut self, event: Event) -> Option<Outcome> {
        let Event::Data { data, .. } = event else { return Some(Outcome::Completed) };
        let chunk: Value = serde_json::from_slice(&data).unwrap_or_default();
        if chunk["error"].is_object() {
            self.result.code = chunk["error"]["code"].as_str().map(str::to_string);
            return Some(Outcome::Failed);
        }
        if self.result.ttft_s.is_none() {
            self.record_first_token();
        }
        self.result.events += 1;
        if self.call.read_delay_s > 0.0 {
            sleep_s(self.call.read_delay_s).await;
        }
        self.result.text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        if chunk["usage"].is_object() {
            self.result.usage = Some(chunk["usage"].clone());
        }
        let disconnects = self.call.disconnect == DisconnectAt::EventCount(self.result.events);
        disconnects.then_some(Outcome::Disconnected)
    }

    fn record_first_token(&mut self) {
        self.result.ttft_s = Some(unix_now() - self.call.intended_start);
        self.recorder.record("first", json!({"req": self.call.request_id}));
    }

    /// Records an event after the end of the stream, which the audit counts as a second final answer.
    fn record_event_after_end(&self) {
        self.recorder.record("final", json!({"req": self.call.request_id, "how": "again"}));
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
}
