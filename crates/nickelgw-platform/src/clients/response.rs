//! Responses that the node itself generates, and writing to a client's socket.

use super::socket::ClientSocket;
use futures_lite::AsyncWriteExt;
use nickelgw_node::within;
use std::borrow::Cow;
use std::io::ErrorKind;

/// Time without an accepted byte after which a client counts as disconnected.
const WRITE_STALL_TIMEOUT_S: f64 = 5.0;

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The connection waits for the next request.
    KeepAlive,
    /// The response was the connection's last, and the connection is closed.
    Close,
    /// The same, and others wait for the connection's place: its client is not waited for.
    CloseAtOnce,
    /// The client has disconnected.
    Disconnected,
}

impl NextStep {
    /// Returns the next step after a response. `written` states whether the response could be written, and
    /// `close` whether the connection closes after it.
    pub fn after_response(written: bool, close: bool) -> NextStep {
        match (written, close) {
            (false, _) => NextStep::Disconnected,
            (true, true) => NextStep::Close,
            (true, false) => NextStep::KeepAlive,
        }
    }
}

/// A response that the node itself generates.
pub struct NodeResponse {
    /// The status code.
    pub status: u16,
    /// Message in the body.
    pub message: Cow<'static, str>,
    /// Time in seconds after which a retry is welcome; `None` if the response states none.
    pub retry_after_s: Option<f64>,
    /// Whether the connection closes after the response.
    pub close: bool,
}

impl NodeResponse {
    /// Creates a response that states no time for a retry.
    pub fn new(status: u16, message: impl Into<Cow<'static, str>>, close: bool) -> NodeResponse {
        NodeResponse { status, message: message.into(), retry_after_s: None, close }
    }

    fn encode(&self) -> Vec<u8> {
        let NodeResponse { status, message, retry_after_s, close } = self;
        let body = format!("{{\"message\":\"{message}\"}}");
        let retry_after = retry_after_s.map_or(String::new(), |s| format!("retry-after: {s:.3}\r\n"));
        let connection = connection_header(*close);
        let reason = reason_phrase(*status);
        let length = body.len();
        format!("HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n{retry_after}{connection}content-length: {length}\r\n\r\n{body}")
            .into_bytes()
    }

    /// Writes the response.
    pub async fn write(&self, socket: &ClientSocket) -> NextStep {
        NextStep::after_response(write_all(socket, &self.encode()).await, self.close)
    }
}

/// Returns the header line that announces the close of the connection; empty if the connection stays open.
pub fn connection_header(close: bool) -> &'static str {
    if close {
        "connection: close\r\n"
    } else {
        ""
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Writes all bytes and returns whether that succeeded. A slow client does not count as disconnected: each
/// part that it accepts restarts the timeout.
pub async fn write_all(socket: &ClientSocket, mut bytes: &[u8]) -> bool {
    let mut stream = &socket.stream;
    while !bytes.is_empty() {
        match within(WRITE_STALL_TIMEOUT_S, stream.write(bytes)).await {
            Some(Ok(length)) if length > 0 => bytes = bytes.get(length..).unwrap_or_default(),
            Some(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            _ => return false,
        }
    }
    true
}
