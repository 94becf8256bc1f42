//! A scripted client of the chat API: asks once, reads what comes, and records what it saw.

use crate::record::{unix_now, Record};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request};
use nickelgw_protocol::chat::error_code;
use nickelgw_protocol::sse::{Event, EventDecoder};
use nickelgw_protocol::REQUEST_ID_HEADER;
use serde_json::{json, Value};
use smol::net::TcpStream;
use smol::Timer;
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Leave {
    #[default]
    Never,
    /// Gives up after so many seconds without an answer.
    Waiting(f64),
    /// Goes after so many events.
    Streaming(usize),
}

#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub req: String,
    pub node: String,
    pub address: String,
    pub model: String,
    pub key: Option<String>,
    pub system: String,
    pub prompt: String,
    pub max_tokens: Option<u32>,
    pub stream: bool,
    pub timeout_s: f64,
    pub target_s: f64,
    /// When it should have been asked: a client that is behind hides no wait.
    pub intended: f64,
    pub leave: Leave,
    /// Asked again: after which request, and how often before.
    pub of: Option<String>,
    pub again: u32,
    /// Rests so long at each event.
    pub slow_s: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub how: String,
    pub status: u16,
    pub code: Option<String>,
    pub retry_after: Option<String>,
    pub come_back_s: Option<f64>,
    pub text: String,
    pub events: usize,
    pub first_s: Option<f64>,
    pub whole_s: f64,
    pub usage: Option<Value>,
}

async fn within<T>(s: f64, f: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(f.await) }, async {
        Timer::after(Duration::from_secs_f64(s.clamp(0.0, 3600.0))).await;
        None
    })
    .await
}

impl Ask {
    pub fn body(&self) -> Bytes {
        let mut messages = Vec::new();
        if !self.system.is_empty() {
            messages.push(json!({"role": "system", "content": self.system}));
        }
        messages.push(json!({"role": "user", "content": self.prompt}));
        let mut v = json!({"model": self.model, "messages": messages, "stream": self.stream});
        if let Some(m) = self.max_tokens {
            v["max_tokens"] = json!(m);
        }
        Bytes::from(v.to_string())
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let mut b = Request::builder().method(Method::POST).uri("/v1/chat/completions");
        b = b.header("host", &self.address).header("content-type", "application/json");
        b = b.header(REQUEST_ID_HEADER, &self.req);
        if let Some(key) = &self.key {
            b = b.header("authorization", format!("Bearer {key}"));
        }
        if self.again > 0 {
            b = b.header("x-retry-count", self.again);
        }
        b.body(Full::new(self.body())).ok()
    }
}

/// Asks; none where the node cannot be reached, so that nothing was asked.
pub async fn ask(ask: &Ask, record: &Record) -> Option<Seen> {
    let stream = within(1.0, TcpStream::connect(&ask.address)).await?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, conn) = handshake(FuturesIo::new(stream)).await.ok()?;
    let begun = unix_now();
    record.note(
        "ask",
        json!({"req": ask.req, "node": ask.node, "model": ask.model, "intended": ask.intended,
        "timeout_s": ask.timeout_s, "target_s": ask.target_s, "of": ask.of}),
    );
    let mut seen = Seen::default();
    let talk = async {
        let patience = match ask.leave {
            Leave::Waiting(s) => s,
            _ => ask.timeout_s + 10.0,
        };
        let request = ask.request()?;
        let response = match within(patience, sender.send_request(request)).await {
            // Waited far beyond its time: what it says is the judge's to say.
            None if ask.leave == Leave::Never => return None,
            None => return Some("left"),
            Some(Err(_)) => return Some("cut"),
            Some(Ok(r)) => r,
        };
        let (head, mut body) = response.into_parts();
        seen.status = head.status.as_u16();
        let header = |n: &str| head.headers.get(n).and_then(|v| v.to_str().ok()).map(str::to_string);
        seen.retry_after = header("retry-after");
        seen.come_back_s = header("retry-after-ms").and_then(|v| v.parse::<f64>().ok()).map(|ms| ms / 1e3);
        if !header("content-type").unwrap_or_default().starts_with("text/event-stream") {
            let Ok(b) = body.collect().await else { return Some("cut") };
            let b = b.to_bytes();
            seen.code = error_code(&b);
            if seen.status != 200 {
                let harmless = matches!(
                    seen.code.as_deref(),
                    Some(
                        "shed"
                            | "node_full"
                            | "retry_budget"
                            | "too_many_open"
                            | "fair_share"
                            | "node_draining"
                    )
                );
                return Some(if harmless { "shed" } else { "errored" });
            }
            let v: Value = serde_json::from_slice(&b).unwrap_or_default();
            seen.text = v["choices"][0]["message"]["content"].as_str().unwrap_or("").into();
            seen.usage = Some(v["usage"].clone());
            seen.first_s = Some(unix_now() - ask.intended);
            record.note("first", json!({"req": ask.req}));
            return Some("completed");
        }
        let mut events = EventDecoder::default();
        let mut over = None;
        loop {
            loop {
                match events.next_event() {
                    Err(_) => return Some("cut"),
                    Ok(None) => break,
                    // Whatever comes after the end is another end.
                    Ok(Some(_)) if over.is_some() => {
                        record.note("final", json!({"req": ask.req, "how": "again"}));
                    }
                    Ok(Some(Event::Done)) => over = Some("completed"),
                    Ok(Some(Event::Data { data, .. })) => {
                        let v: Value = serde_json::from_slice(&data).unwrap_or_default();
                        if v["error"].is_object() {
                            seen.code = v["error"]["code"].as_str().map(str::to_string);
                            over = Some("errored");
                            continue;
                        }
                        if seen.first_s.is_none() {
                            seen.first_s = Some(unix_now() - ask.intended);
                            record.note("first", json!({"req": ask.req}));
                        }
                        seen.events += 1;
                        if ask.slow_s > 0.0 {
                            Timer::after(Duration::from_secs_f64(ask.slow_s)).await;
                        }
                        seen.text.push_str(v["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
                        if v["usage"].is_object() {
                            seen.usage = Some(v["usage"].clone());
                        }
                        if ask.leave == Leave::Streaming(seen.events) {
                            return Some("left");
                        }
                    }
                }
            }
            match within(60.0, body.frame()).await {
                None => return None,
                Some(None) if over.is_some() => return over,
                Some(None) | Some(Some(Err(_))) => return over.or(Some("cut")),
                Some(Some(Ok(f))) => f.data_ref().into_iter().for_each(|d| events.push(d)),
            }
        }
    };
    let drive = async {
        let _ = conn.await;
        std::future::pending::<()>().await;
        None
    };
    let how = futures_lite::future::or(talk, drive).await;
    seen.whole_s = unix_now() - begun;
    if let Some(how) = how {
        seen.how = how.to_string();
        let fields = json!({"req": ask.req, "how": how, "status": seen.status, "code": seen.code});
        match how {
            "left" | "cut" => record.note(how, json!({"req": ask.req})),
            _ => record.note("final", fields),
        }
    }
    Some(seen)
}

/// Sends bytes as they are, in pieces with rests between, and gives what came back.
pub async fn raw(address: &str, pieces: &[&[u8]], rest_s: f64, patience_s: f64) -> Vec<u8> {
    let talk = async {
        let mut s = TcpStream::connect(address).await?;
        for (n, p) in pieces.iter().enumerate() {
            if n > 0 {
                Timer::after(Duration::from_secs_f64(rest_s)).await;
            }
            // A peer that has answered and closed early is no failure.
            if s.write_all(p).await.is_err() {
                break;
            }
        }
        let mut out = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match within(patience_s, s.read(&mut buffer)).await {
                Some(Ok(n)) if n > 0 => out.extend_from_slice(&buffer[..n]),
                _ => return Ok::<_, std::io::Error>(out),
            }
        }
    };
    talk.await.unwrap_or_default()
}

/// Status of a raw answer; 0 for none.
pub fn status(raw: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(&raw[..raw.len().min(64)]).to_string();
    text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// A control call to a stand-in.
pub async fn control(address: &str, order: &Value) -> Option<Value> {
    let body = order.to_string();
    let head = format!(
        "POST /control HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = raw(address, &[head.as_bytes()], 0.0, 2.0).await;
    let text = String::from_utf8_lossy(&answer).to_string();
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}
