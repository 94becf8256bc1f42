//! A usual client: one request on a new connection.

use crate::engine::events_for;
use crate::http::Reader;
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request with the budget that its client waits for the first token.
pub struct Request {
    pub id: String,
    pub budget: Duration,
    pub body_bytes: usize,
}

/// What a client got.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code)]
pub enum Outcome {
    /// The whole stream of the engine for this request.
    Served,
    /// A stream that is not the engine's for this request, or that stopped short.
    Broken,
    /// Another final answer, with this status.
    Status(u16),
    /// The connection was not established in time, or refused.
    NotConnected,
    /// The node closed the connection without an answer.
    Closed,
    /// Nothing, for as long as the client waited.
    Nothing,
}

/// Outcome of a request and the time from its last byte to the first of its answer, in seconds.
pub struct Exchange {
    pub outcome: Outcome,
    pub answered_after_s: Option<f64>,
}

impl Request {
    fn encode(&self) -> Vec<u8> {
        let prefix =
            r#"{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":""#;
        let suffix = r#""}]}"#;
        let text = self.body_bytes.saturating_sub(prefix.len() + suffix.len());
        let (id, budget_ms, prompt_len) = (&self.id, self.budget.as_millis(), text / 4);
        let mut bytes = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: round-query\r\n\
             X-Route-Hash: {id}\r\nX-Budget-Ms: {budget_ms}\r\n\
             X-Call-Info: prompt_len={prompt_len},prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n",
            prefix.len() + text + suffix.len()
        )
        .into_bytes();
        bytes.extend_from_slice(prefix.as_bytes());
        bytes.resize(bytes.len() + text, b'x');
        bytes.extend_from_slice(suffix.as_bytes());
        bytes
    }

    /// Sends the request on a new connection and waits for its answer, for `patience` after its last byte.
    pub fn send(&self, node: SocketAddr, patience: Duration, record: &Record) -> Exchange {
        let exchange = self.exchange(node, patience, record);
        let after = exchange.answered_after_s.map_or("-".to_string(), |s| format!("{s:.3} s"));
        record.line(&format!("client {}: {:?} after {after}", self.id, exchange.outcome));
        exchange
    }

    fn exchange(&self, node: SocketAddr, patience: Duration, record: &Record) -> Exchange {
        let without_answer = |outcome| Exchange { outcome, answered_after_s: None };
        let Ok(mut stream) = TcpStream::connect_timeout(&node, self.budget) else {
            return without_answer(Outcome::NotConnected);
        };
        if stream.write_all(&self.encode()).is_err() {
            return without_answer(Outcome::Closed);
        }
        let sent_at = Instant::now();
        record.line(&format!("client {}: sent, budget {:?}", self.id, self.budget));
        let until = Some(sent_at + patience);
        let mut reader = Reader::new(stream);
        let Some(head) = reader.head(until) else {
            let is_over = Instant::now() >= sent_at + patience - Duration::from_millis(1);
            return without_answer(if is_over { Outcome::Nothing } else { Outcome::Closed });
        };
        let answered_after_s = Some(sent_at.elapsed().as_secs_f64());
        let outcome = match head.status() {
            Some(200) => match reader.chunked(Some(Instant::now() + Duration::from_secs(5))) {
                Some(body) if body == events_for(&self.id).into_bytes() => Outcome::Served,
                _ => Outcome::Broken,
            },
            Some(status) => Outcome::Status(status),
            None => Outcome::Broken,
        };
        Exchange { outcome, answered_after_s }
    }
}
