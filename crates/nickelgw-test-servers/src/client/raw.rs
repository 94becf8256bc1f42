//! Exchange of raw bytes, and control calls.

use crate::timing::{sleep_s, timeout_s};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use smol::net::TcpStream;

/// Time for which a control call waits for its response.
const CONTROL_TIMEOUT_S: f64 = 2.0;
/// Number of bytes at the beginning of a response within which the status is searched for.
const STATUS_LINE_BYTES: usize = 64;
/// Size of the read buffer.
const BUFFER_BYTES: usize = 4096;

/// Sends raw bytes, in pieces with a pause between them, and returns the response. The response ends when no
/// more bytes arrive for `timeout` seconds. It is empty if the server could not be reached.
pub async fn send_raw(address: &str, pieces: &[&[u8]], pause_s: f64, timeout: f64) -> Vec<u8> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        for (index, piece) in pieces.iter().enumerate() {
            if index > 0 {
                sleep_s(pause_s).await;
            }
            // A server may respond and close before it has read everything.
            if stream.write_all(piece).await.is_err() {
                break;
            }
        }
        let mut response = Vec::new();
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            match timeout_s(timeout, stream.read(&mut buffer)).await {
                Some(Ok(length)) if length > 0 => response.extend_from_slice(&buffer[..length]),
                _ => return Ok::<_, std::io::Error>(response),
            }
        }
    };
    exchange.await.unwrap_or_default()
}

/// Returns the status of a raw response, or 0 if there is none.
pub fn response_status(response: &[u8]) -> u16 {
    let begin = &response[..response.len().min(STATUS_LINE_BYTES)];
    let text = String::from_utf8_lossy(begin);
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Sends a control call to a test server and returns the body of the response. `None` if there is no valid
/// response.
pub async fn control(address: &str, command: &Value) -> Option<Value> {
    let body = command.to_string();
    let request = format!(
        "POST /control HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = send_raw(address, &[request.as_bytes()], 0.0, CONTROL_TIMEOUT_S).await;
    let text = String::from_utf8_lossy(&response);
    let (_, body) = text.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}
