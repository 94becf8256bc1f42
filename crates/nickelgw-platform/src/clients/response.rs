//! Responses to clients that this node makes itself, and writing to a client's socket.

use super::socket::ClientSocket;
use futures_lite::AsyncWriteExt;
use nickelgw_node::within;
use std::borrow::Cow;
use std::io::ErrorKind;

/// A client that accepts no byte for so long has disconnected.
const WRITE_STALL_TIMEOUT_S: f64 = 5.0;

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It carries the next request.
    KeepAlive,
    /// That was its last response.
    Close,
    /// Its client has disconnected.
    Disconnected,
}

impl NextStep {
    /// After a response that was written, or could not be.
    pub fn after_response(written: bool, close: bool) -> NextStep {
        match (written, close) {
            (false, _) => NextStep::Disconnected,
            (true, true) => NextStep::Close,
            (true, false) => NextStep::KeepAlive,
        }
    }
}

/// A response of the node's own.
pub struct NodeResponse {
    /// The status code.
    pub status: u16,
    /// The message in the body.
    pub message: Cow<'static, str>,
    /// A retry is welcome after so long.
    pub retry_after_s: Option<f64>,
    /// The connection closes afterwards.
    pub close: bool,
}

impl NodeResponse {
    /// A response without a time for a retry.
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

/// The header of a connection that closes after the response.
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

/// Whether all bytes were written. A slow client is not a disconnected one: each part that it accepts restarts the timeout.
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
