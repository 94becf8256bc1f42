//! Subset of HTTP/1.1 that engines and clients of the platform need: messages with a content length, and
//! chunked responses.

use futures_lite::AsyncReadExt;
use smol::net::TcpStream;

/// Size limit of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Number of bytes read with one call.
const READ_BYTES: usize = 4096;
/// End of a message's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Last chunk of a chunked body.
pub(super) const LAST_CHUNK: &str = "0\r\n\r\n";

/// Head of a request or response.
pub(super) struct Message {
    /// Request line or status line.
    pub first_line: String,
    head: String,
}

impl Message {
    /// Returns the value of a header. The case of `name` does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(':'));
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with its body. Bytes after the message stay in the buffer. `None` if the connection ended
/// before the end of the message, or if the message is too large.
pub(super) async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        let head_end = buffer.windows(HEAD_END.len()).position(|window| window == HEAD_END);
        if let Some(end) = head_end {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let first_line = head.lines().next().unwrap_or_default().to_string();
            let message = Message { first_line, head };
            let length = message.header("content-length").and_then(|value| value.parse().ok());
            let message_end = end + HEAD_END.len() + length.unwrap_or(0usize).min(MAX_MESSAGE_BYTES);
            if buffer.len() >= message_end {
                buffer.drain(..message_end);
                return Some(message);
            }
        }
        if buffer.len() > MAX_MESSAGE_BYTES || read_some(stream, buffer).await == 0 {
            return None;
        }
    }
}

/// Reads the next bytes into the end of the buffer and returns their number. 0 if the connection has ended or
/// failed.
pub(super) async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> usize {
    let mut bytes = [0; READ_BYTES];
    let length = stream.read(&mut bytes).await.unwrap_or(0);
    buffer.extend_from_slice(&bytes[..length]);
    length
}

/// Encodes a response with a content length.
pub(super) fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// Encodes one chunk of a chunked body.
pub(super) fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Payload of a chunked body, as far as it has arrived.
pub(super) struct ChunkedPayload {
    pub bytes: Vec<u8>,
    /// Whether the last chunk has arrived.
    pub is_whole: bool,
}

/// Removes the framing of a chunked body. `None` if it is malformed.
pub(super) fn chunked_payload(mut body: &[u8]) -> Option<ChunkedPayload> {
    let mut bytes = Vec::new();
    loop {
        let Some(line_end) = body.windows(2).position(|window| window == b"\r\n") else {
            return Some(ChunkedPayload { bytes, is_whole: false });
        };
        let size = std::str::from_utf8(&body[..line_end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let data = &body[line_end + 2..];
        if data.len() < size + 2 {
            bytes.extend_from_slice(&data[..data.len().min(size)]);
            return Some(ChunkedPayload { bytes, is_whole: false });
        }
        if &data[size..size + 2] != b"\r\n" {
            return None;
        }
        if size == 0 {
            return Some(ChunkedPayload { bytes, is_whole: true });
        }
        bytes.extend_from_slice(&data[..size]);
        body = &data[size + 2..];
    }
}
