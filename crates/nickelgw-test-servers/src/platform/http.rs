//! As much of HTTP/1.1 as engines and clients on the platform need: a head, and a body of a told length.

use futures_lite::AsyncReadExt;
use smol::net::TcpStream;

/// Longest message that is read.
const MOST: usize = 1 << 20;

/// A request, or the head of an answer, with its body.
pub struct Message {
    /// Its first line.
    pub line: String,
    head: String,
}

impl Message {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |line: &&str| line.split(':').next().is_some_and(|n| n.eq_ignore_ascii_case(name));
        self.head.lines().find(named).and_then(|l| l.split_once(':')).map(|(_, value)| value.trim())
    }

    /// The second word of its first line: a request's target, an answer's status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a whole message; what follows it stays in the buffer. None: the connection ended before.
pub async fn message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_string();
            let line = head.lines().next().unwrap_or_default().to_string();
            let message = Message { line, head };
            let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0usize);
            let whole = end + 4 + length.min(MOST);
            if buf.len() >= whole {
                buf.drain(..whole);
                return Some(message);
            }
        }
        if buf.len() > MOST || read(stream, buf).await == 0 {
            return None;
        }
    }
}

/// Reads what comes next onto the buffer; 0: the connection has ended or broken.
pub async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> usize {
    let mut some = [0; 4096];
    let n = stream.read(&mut some).await.unwrap_or(0);
    buf.extend_from_slice(&some[..n]);
    n
}

/// An answer with a body of a told length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// One chunk of an answer in chunks.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
