//! A client of the platform: one request on a connection of its own, and what became of it.

use super::http::{chunk, read_some, LAST_CHUNK};
use super::request_table::RequestTable;
use futures_lite::{future, AsyncWriteExt};
use smol::net::TcpStream;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// A node ends a stream that its engine no longer continues within 5 s; the rest is for the stream itself.
const MAX_STREAM: Duration = Duration::from_secs(7);
/// First event of every stream.
const FIRST_EVENT: &str = "data: {\"n\":1}\n\n";
const BODY: &str = r#"{"model":"chat","stream":true,"messages":[]}"#;

/// A request, and how long its client stays.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Id of the request.
    pub id: String,
    /// Name of its class in the configuration.
    pub class: String,
    /// Whether it must not run twice.
    pub at_most_once: bool,
    /// Time for the first event.
    pub timeout: Duration,
    /// The client disconnects after so long.
    pub disconnect_after: Option<Duration>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole stream came.
    Completed,
    /// A status other than 200 came.
    Status(u16),
    /// The stream has begun with these bytes.
    Streaming(Vec<u8>),
    /// The stream began and broke.
    StreamBroken,
    /// The node could not be reached.
    ConnectionRefused,
    /// The connection ended without a response.
    ConnectionClosed,
    /// Nothing came within the deadline and its slack.
    TimedOut,
    /// The client disconnected.
    Disconnected,
}

impl ClientRequest {
    fn encode(&self) -> String {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Route-Hash: {id}\r\nX-Budget-Ms: {budget_ms}\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=9\r\n\
             Content-Length: {length}\r\n\r\n{BODY}",
            id = self.id,
            class = self.class,
            budget_ms = self.timeout.as_millis(),
            length = BODY.len(),
        )
    }
}

/// Sends a request to a node, enters it in the table, and returns what became of it.
pub async fn send_request(
    node: SocketAddr,
    request: &ClientRequest,
    table: &RequestTable,
    answer_slack: Duration,
) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(node).await else { return Outcome::ConnectionRefused };
    table.request_sent(&request.id, request.timeout, request.at_most_once);
    if stream.write_all(request.encode().as_bytes()).await.is_err() {
        return Outcome::ConnectionClosed;
    }
    let timeout = outcome_after(Some(request.timeout + answer_slack), Outcome::TimedOut);
    let disconnect = outcome_after(request.disconnect_after, Outcome::Disconnected);
    let limits = future::or(disconnect, timeout);
    let outcome = match future::or(read_first_event(&mut stream), limits).await {
        // A stream that has begun has no deadline, but it has to end.
        Outcome::Streaming(received) => {
            let end = read_to_end(&mut stream, received);
            future::or(end, outcome_after(Some(MAX_STREAM), Outcome::TimedOut)).await
        }
        other => other,
    };
    drop(stream);
    if outcome == Outcome::Disconnected {
        table.client_disconnected(&request.id);
    }
    outcome
}

/// The outcome after a time; never without one.
async fn outcome_after(time: Option<Duration>, outcome: Outcome) -> Outcome {
    match time {
        Some(time) => drop(Timer::after(time).await),
        None => future::pending().await,
    }
    outcome
}

/// Reads up to the first event of a stream, or the whole of another response.
async fn read_first_event(stream: &mut TcpStream) -> Outcome {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received);
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
        match status.filter(|_| text.contains("\r\n\r\n")) {
            Some(200u16) if text.ends_with(LAST_CHUNK) => return Outcome::Completed,
            Some(200) if text.contains(&chunk(FIRST_EVENT)) => return Outcome::Streaming(received.clone()),
            Some(200) | None => {}
            Some(status) => return Outcome::Status(status),
        }
        if read_some(stream, &mut received).await == 0 {
            return Outcome::ConnectionClosed;
        }
    }
}

/// Reads a stream that has begun to its end.
async fn read_to_end(stream: &mut TcpStream, mut received: Vec<u8>) -> Outcome {
    while !received.ends_with(LAST_CHUNK.as_bytes()) {
        if read_some(stream, &mut received).await == 0 {
            return Outcome::StreamBroken;
        }
    }
    Outcome::Completed
}
