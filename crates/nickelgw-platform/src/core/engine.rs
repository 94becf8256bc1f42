//! Towards engines: the request as it is passed on, and what their answers mean.

use super::request::Head;
use super::{closes, framing, head_length, names, Framing, Spoilt, MOST_HEADERS};
use bytes::Bytes;
use nickelgw_node_core::AttemptOutcome;
use nickelgw_platform_config::load;
use nickelgw_protocol::load::{
    LoadReport, INFLIGHT_REQUESTS_METRIC, PENDING_PROMPT_TOKENS_METRIC, QUEUED_REQUESTS_METRIC,
};
use std::collections::BTreeMap;
use std::convert::Infallible;

/// A client's request, to be passed on as often as it is sent.
pub struct Passed {
    pub id: String,
    line: String,
    headers: Vec<u8>,
    pub body: Bytes,
}

impl Passed {
    pub fn new(head: &Head, id: &str, body: Bytes) -> Passed {
        let line = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        Passed { id: id.to_string(), line, headers: head.passed.clone(), body }
    }

    /// The bytes of one send, for which so long is waited.
    pub fn bytes(&self, address: &str, patience_s: f64) -> Vec<u8> {
        let ms = (patience_s.clamp(0.001, 86_400.0) * 1e3).ceil() as u64;
        let mut out = format!("{}host: {address}\r\n", self.line).into_bytes();
        out.extend_from_slice(&self.headers);
        let own = format!(
            "{}: {ms}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            names::BUDGET,
            self.body.len()
        );
        out.extend_from_slice(own.as_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

/// A call without a body.
pub fn short(method: &str, target: &str, address: &str) -> Vec<u8> {
    format!("{method} {target} HTTP/1.1\r\nhost: {address}\r\n\r\n").into_bytes()
}

/// The head of an engine's answer, as far as it counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub framing: Framing,
    pub close: bool,
    pub rejected: bool,
    pub events: bool,
    pub report: Option<LoadReport>,
}

/// Takes an answer's head off the front of the bytes, with its length; none until it is whole.
pub fn answer(bytes: &[u8]) -> Result<Option<(Answer, usize)>, Spoilt> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Response::new(&mut headers);
    let Some(n) = head_length(r.parse(bytes), bytes.len())? else { return Ok(None) };
    let named = |name: &str| r.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    let told = |name: &str| named(name).and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim);
    let answer = Answer {
        status: r.code.ok_or(Spoilt::Head)?,
        framing: framing(r.headers)?,
        close: r.version != Some(1) || closes(r.headers),
        rejected: told(names::REJECTED) == Some("1"),
        events: told("content-type").is_some_and(|t| t.starts_with("text/event-stream")),
        report: told(names::REPORT).and_then(report),
    };
    Ok(Some((answer, n)))
}

/// `x0=0.4,x1=2.5`. One that cannot be read is as none: it rides on an answer that counts without it.
pub fn report(text: &str) -> Option<LoadReport> {
    let mut values: BTreeMap<&str, f64> = BTreeMap::new();
    for pair in text.split(',').take(16) {
        let (name, value) = pair.trim().split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        // Values are tokens, requests and shares: nothing sound is past this.
        if !(0.0..=1e9).contains(&value) {
            return None;
        }
        values.insert(name.trim(), value);
    }
    let Ok(l) = load(|name: &str| Ok::<_, Infallible>(values.get(name).copied()));
    let named = [
        (INFLIGHT_REQUESTS_METRIC, l.inflight),
        (QUEUED_REQUESTS_METRIC, l.queue_len),
        (PENDING_PROMPT_TOKENS_METRIC, l.pending_prompt_tokens),
    ];
    let named = named.into_iter().filter_map(|(name, v)| Some((name.to_string(), v?)));
    Some(LoadReport {
        mem_utilization: l.memory_share,
        application_utilization: l.slot_share,
        named_metrics: named.collect(),
    })
}

/// The report that a stream's closing comment carries.
pub fn comment(data: &[u8]) -> Option<LoadReport> {
    let lines = data.split(|b| *b == b'\n').filter(|l| l.first() == Some(&b':'));
    lines.filter_map(|l| std::str::from_utf8(l).ok()).find_map(|l| {
        let (name, value) = l[1..].trim().split_once(':')?;
        name.trim().eq_ignore_ascii_case(names::REPORT).then(|| report(value.trim()))?
    })
}

/// What an answer that is no stream means for a send.
pub fn cause(a: &Answer, read: bool) -> AttemptOutcome {
    match a.status {
        202 if read => AttemptOutcome::Prefilled,
        410 if a.rejected && !read => AttemptOutcome::ReservationNotFound,
        503 | 504 if a.rejected => AttemptOutcome::Rejected,
        200..=299 => AttemptOutcome::Malformed,
        status => AttemptOutcome::ErrorStatus(status),
    }
}

/// Prompt tokens that a reader found kept.
pub fn kept(body: &[u8]) -> f64 {
    #[derive(serde::Deserialize)]
    struct Read {
        cached_tokens: f64,
    }
    serde_json::from_slice::<Read>(body).map_or(0.0, |r| r.cached_tokens.clamp(0.0, 1e9))
}
