//! Messages to and from engines: forwarded requests, and how responses determine an attempt's outcome.

use super::request::RequestHead;
use super::{closes_connection, framing, head_length, names, Framing, MalformedMessage, MAX_HEADERS};
use bytes::Bytes;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_platform_config::read_engine_load;
use nickelgw_protocol::load::{
    LoadReport, INFLIGHT_REQUESTS_METRIC, PENDING_PROMPT_TOKENS_METRIC, QUEUED_REQUESTS_METRIC,
};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::convert::Infallible;

/// Maximum number of values in one load report.
const MAX_REPORT_VALUES: usize = 16;
/// Maximum value in a load report: values are tokens, requests and shares, of which none above this is
/// plausible.
const MAX_REPORT_VALUE: f64 = 1e9;
/// Shortest and longest timeout stated to an engine, in seconds.
const ATTEMPT_TIMEOUT_RANGE_S: (f64, f64) = (0.001, 86_400.0);

/// Maximum length of a body that is written together with its head.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// A client's request in the form in which each of its attempts forwards it.
pub struct ForwardedRequest {
    /// The request's id.
    pub id: String,
    request_line: String,
    headers: Vec<u8>,
    /// The body, unchanged.
    pub body: Bytes,
    /// Number of attempts that were sent, without those that are known not to have run.
    sent_attempts: Cell<u32>,
}

impl ForwardedRequest {
    /// Creates the forwarded form of the request with this head, id and body.
    pub fn new(head: &RequestHead, id: &str, body: Bytes) -> ForwardedRequest {
        let request_line = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        ForwardedRequest {
            id: id.to_string(),
            request_line,
            headers: head.forwarded_headers.clone(),
            body,
            sent_attempts: Cell::new(0),
        }
    }

    /// Notes that an attempt is being sent.
    pub fn attempt_sent(&self) {
        self.sent_attempts.set(self.sent_attempts.get() + 1);
    }

    /// Notes that an attempt that was sent has not run. Returns whether the request has not run at all.
    pub fn attempt_never_ran(&self) -> bool {
        self.sent_attempts.set(self.sent_attempts.get().saturating_sub(1));
        self.sent_attempts.get() == 0
    }

    /// Encodes one attempt at the engine with this address, in the parts that are written one after the other.
    /// `timeout_s` is the time that the attempt has left. A long body is a part of its own: a copy for each attempt
    /// would multiply the memory that a request uses.
    pub fn encode(&self, address: &str, timeout_s: f64) -> Vec<Bytes> {
        let timeout_s = timeout_s.clamp(ATTEMPT_TIMEOUT_RANGE_S.0, ATTEMPT_TIMEOUT_RANGE_S.1);
        let timeout_ms = (timeout_s * 1e3).ceil() as u64;
        let mut bytes = format!("{}host: {address}\r\n", self.request_line).into_bytes();
        bytes.extend_from_slice(&self.headers);
        let attempt_headers = format!(
            "{}: {timeout_ms}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            names::TIMEOUT,
            self.body.len()
        );
        bytes.extend_from_slice(attempt_headers.as_bytes());
        if self.body.len() > MAX_COPIED_BODY_BYTES {
            return vec![bytes.into(), self.body.clone()];
        }
        bytes.extend_from_slice(&self.body);
        vec![bytes.into()]
    }
}

/// Encodes a request without a body.
pub fn encode_bodiless_request(method: &str, target: &str, address: &str) -> Vec<u8> {
    format!("{method} {target} HTTP/1.1\r\nhost: {address}\r\n\r\n").into_bytes()
}

/// Head of an engine's response, as far as it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
    /// Whether the engine states that it rejects the request and has not begun to process it.
    pub rejected: bool,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// The engine's load; `None` if the head has no valid load report.
    pub load: Option<LoadReport>,
}

/// Parses the head of a response at the start of `bytes` and returns it with its length; `None` until all of
/// it has arrived.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, MalformedMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(length) = head_length(response.parse(bytes), bytes.len())? else { return Ok(None) };
    let header = |name: &str| response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    let value =
        |name: &str| header(name).and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim);
    let head = ResponseHead {
        status: response.code.ok_or(MalformedMessage::Head)?,
        framing: framing(response.headers)?,
        closes_connection: response.version != Some(1) || closes_connection(response.headers),
        rejected: value(names::REJECTED) == Some("1"),
        is_event_stream: value("content-type").is_some_and(|text| text.starts_with("text/event-stream")),
        load: value(names::LOAD_REPORT).and_then(parse_load_report),
    };
    Ok(Some((head, length)))
}

/// Parses a load report such as `x0=0.4,x1=2.5`; `None` if it is malformed. A malformed report is ignored,
/// since the response is valid without it.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut values: BTreeMap<&str, f64> = BTreeMap::new();
    for pair in text.split(',').take(MAX_REPORT_VALUES) {
        let (name, value) = pair.trim().split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        if !(0.0..=MAX_REPORT_VALUE).contains(&value) {
            return None;
        }
        values.insert(name.trim(), value);
    }
    let Ok(engine_load) = read_engine_load(|name: &str| Ok::<_, Infallible>(values.get(name).copied()));
    let named = [
        (INFLIGHT_REQUESTS_METRIC, engine_load.inflight),
        (QUEUED_REQUESTS_METRIC, engine_load.queue_len),
        (PENDING_PROMPT_TOKENS_METRIC, engine_load.pending_prompt_tokens),
    ];
    let named = named.into_iter().filter_map(|(name, value)| Some((name.to_string(), value?)));
    Some(LoadReport {
        mem_utilization: engine_load.memory_share,
        application_utilization: engine_load.slot_share,
        named_metrics: named.collect(),
    })
}

/// Returns the load report in a stream's closing comment; `None` if there is no valid one.
pub fn load_report_in_comment(events: &[u8]) -> Option<LoadReport> {
    let comments = events.split(|byte| *byte == b'\n').filter(|line| line.first() == Some(&b':'));
    comments.filter_map(|line| std::str::from_utf8(line).ok()).find_map(|line| {
        let (name, value) = line[1..].trim().split_once(':')?;
        let is_report = name.trim().eq_ignore_ascii_case(names::LOAD_REPORT);
        is_report.then(|| parse_load_report(value.trim()))?
    })
}

/// Returns the outcome of an attempt whose response is not a stream. `is_prefill` states that the attempt was
/// sent to a prefill engine.
pub fn unary_outcome(head: &ResponseHead, is_prefill: bool) -> AttemptOutcome {
    match head.status {
        202 if is_prefill => AttemptOutcome::Prefilled,
        410 if head.rejected && !is_prefill => AttemptOutcome::ReservationNotFound,
        503 | 504 if head.rejected => AttemptOutcome::Rejected,
        200..=299 => AttemptOutcome::Malformed,
        status => AttemptOutcome::ErrorStatus(status),
    }
}

/// Returns the number of prompt tokens that a prefill engine found in its cache, from the body of its
/// response; 0 if the body does not state it.
pub fn cached_tokens(body: &[u8]) -> f64 {
    #[derive(serde::Deserialize)]
    struct PrefillResponse {
        cached_tokens: f64,
    }
    let response = serde_json::from_slice::<PrefillResponse>(body);
    response.map_or(0.0, |response| response.cached_tokens.clamp(0.0, 1e9))
}
