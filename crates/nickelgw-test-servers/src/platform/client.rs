//! Client of the platform. It sends requests on connections that can be reused and returns the outcome of
//! each.

use super::http::{chunked_payload, read_some};
use super::request_table::RequestTable;
use futures_lite::{future, AsyncWriteExt};
use smol::net::TcpStream;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for a stream. A node ends a stream within 5 s after its engine stops sending; the rest is the
/// time of the stream itself.
const MAX_STREAM: Duration = Duration::from_secs(7);
const BODY: &str = r#"{"model":"chat","stream":true,"messages":[]}"#;

/// Request, and the time for which its client stays connected.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Id of the request.
    pub id: String,
    /// Name of the class of the request in the configuration.
    pub class: String,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Time within which the first event has to arrive.
    pub timeout: Duration,
    /// Time after which the client disconnects. `None` if it stays until the end.
    pub disconnect_after: Option<Duration>,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole stream arrived.
    Completed,
    /// A response with a status other than 200 arrived.
    Status(u16),
    /// The stream began, and the connection ended before its end.
    StreamBroken,
    /// The content that arrived, which differs from the stream that an engine generates for this request.
    WrongContent(String),
    /// The node could not be reached.
    ConnectionRefused,
    /// The connection ended without a response.
    ConnectionClosed,
    /// No first event and no other response arrived within the timeout and its slack, or the stream took too
    /// long.
    TimedOut,
    /// The client disconnected.
    Disconnected,
}

/// Result of an exchange on a connection.
#[derive(Debug)]
pub struct Exchange {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Connection, if it can carry a further request.
    pub connection: Option<TcpStream>,
}

/// Returns the events of the stream that a decode engine generates for a request.
pub fn stream_events(id: &str) -> [String; 3] {
    [
        format!("data: {{\"id\":\"{id}\",\"n\":1}}\n\n"),
        format!("data: {{\"id\":\"{id}\",\"n\":2}}\n\n"),
        "data: [DONE]\n\n".into(),
    ]
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

/// Sends a request to a node on a new connection, enters it in the table and returns its outcome.
pub async fn send_request(
    node: SocketAddr,
    request: &ClientRequest,
    table: &RequestTable,
    answer_slack: Duration,
) -> Outcome {
    let Ok(stream) = TcpStream::connect(node).await else { return Outcome::ConnectionRefused };
    send_on(stream, request, table, answer_slack).await.outcome
}

/// Sends a request on an open connection, enters it in the table and returns its outcome and the connection.
pub async fn send_on(
    mut stream: TcpStream,
    request: &ClientRequest,
    table: &RequestTable,
    answer_slack: Duration,
) -> Exchange {
    table.request_sent(&request.id, request.timeout, request.at_most_once);
    if stream.write_all(request.encode().as_bytes()).await.is_err() {
        return Exchange { outcome: Outcome::ConnectionClosed, connection: None };
    }
    let mut response = Response::new(&request.id);
    let timeout = outcome_after(Some(request.timeout + answer_slack), Outcome::TimedOut);
    let disconnect = outcome_after(request.disconnect_after, Outcome::Disconnected);
    let limits = future::or(disconnect, timeout);
    let begun = async { response.read_beginning(&mut stream).await };
    let mut outcome = future::or(begun, async { Some(limits.await) }).await;
    if outcome.is_none() {
        // The deadline does not apply to a stream that has begun, but the stream has to end.
        let end = async { response.read_to_end(&mut stream).await };
        outcome = Some(future::or(end, outcome_after(Some(MAX_STREAM), Outcome::TimedOut)).await);
    }
    let outcome = outcome.unwrap_or(Outcome::TimedOut);
    let is_reusable = response.is_whole() && !response.closes_connection();
    let connection = is_reusable.then_some(stream);
    if outcome == Outcome::Disconnected {
        table.client_disconnected(&request.id);
    }
    Exchange { outcome, connection }
}

/// Returns the outcome after a time. If `time` is `None`, it never returns.
async fn outcome_after(time: Option<Duration>, outcome: Outcome) -> Outcome {
    match time {
        Some(time) => drop(Timer::after(time).await),
        None => future::pending().await,
    }
    outcome
}

/// Response of which a part has arrived.
struct Response {
    received: Vec<u8>,
    first_event: String,
    expected: String,
}

impl Response {
    fn new(id: &str) -> Response {
        let events = stream_events(id);
        Response { received: Vec::new(), expected: events.concat(), first_event: events[0].clone() }
    }

    /// Returns the head and the body received so far. `None` if the head is not complete.
    fn parts(&self) -> Option<(String, &[u8])> {
        let head_end = self.received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.received[..head_end]).to_ascii_lowercase();
        Some((head, &self.received[head_end..]))
    }

    fn status(&self) -> Option<u16> {
        let (head, _) = self.parts()?;
        head.split(' ').nth(1).and_then(|status| status.parse().ok())
    }

    fn closes_connection(&self) -> bool {
        self.parts().is_none_or(|(head, _)| head.contains("connection: close"))
    }

    fn is_whole(&self) -> bool {
        let Some((head, body)) = self.parts() else { return false };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        match length {
            Some(length) => body.len() >= length,
            None => chunked_payload(body).is_some_and(|payload| payload.is_whole),
        }
    }

    /// Returns the payload of the stream so far, or an error if it differs from the expected stream.
    fn checked_payload(&self) -> Result<String, Outcome> {
        let Some((_, body)) = self.parts() else { return Ok(String::new()) };
        let wrong = |payload: &str| Err(Outcome::WrongContent(payload.to_string()));
        let Some(payload) = chunked_payload(body) else {
            return wrong(&String::from_utf8_lossy(body));
        };
        let text = String::from_utf8_lossy(&payload.bytes).to_string();
        let is_cut_short = payload.is_whole && text.len() < self.expected.len();
        if self.expected.starts_with(&text) && !is_cut_short {
            Ok(text)
        } else {
            wrong(&text)
        }
    }

    /// Reads up to the first event of a stream, or the whole of another response. Returns `None` if a stream
    /// has begun, otherwise the outcome.
    async fn read_beginning(&mut self, stream: &mut TcpStream) -> Option<Outcome> {
        loop {
            match self.status() {
                Some(200) => match self.checked_payload() {
                    Err(wrong) => return Some(wrong),
                    Ok(payload) if payload.len() >= self.first_event.len() => return None,
                    Ok(_) => {}
                },
                Some(status) if self.is_whole() => return Some(Outcome::Status(status)),
                _ => {}
            }
            if read_some(stream, &mut self.received).await == 0 {
                // A final answer with an error status counts even if the connection ends within its body.
                let status = self.status().filter(|status| *status != 200);
                return Some(status.map_or(Outcome::ConnectionClosed, Outcome::Status));
            }
        }
    }

    /// Reads a stream that has begun to its end.
    async fn read_to_end(&mut self, stream: &mut TcpStream) -> Outcome {
        loop {
            if let Err(wrong) = self.checked_payload() {
                return wrong;
            }
            if self.is_whole() {
                return Outcome::Completed;
            }
            if read_some(stream, &mut self.received).await == 0 {
                return Outcome::StreamBroken;
            }
        }
    }
}
