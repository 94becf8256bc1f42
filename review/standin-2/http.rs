//! Reads HTTP/1.1 messages from a socket.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns `false` at the end of the connection, on an error, or if nothing arrives up
    /// to `until`.
    fn fill(&mut self, until: Option<Instant>) -> bool {
        let timeout = until.map(|until| until.saturating_duration_since(Instant::now()));
        if timeout.is_some_and(|timeout| timeout < Duration::from_micros(100)) {
            return false;
        }
        let _ = self.stream.set_read_timeout(timeout);
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(length) => {
                    self.buffer.extend_from_slice(&bytes[..length]);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Waits for the first byte of a message.
    pub fn wait(&mut self) -> bool {
        !self.buffer.is_empty() || self.fill(None)
    }

    /// Reads a head, in lower case. `None` if the connection ends or `until` passes before its end.
    pub fn head(&mut self, until: Option<Instant>) -> Option<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Some(Head(String::from_utf8_lossy(&head).into_owned()));
            }
            if !self.fill(until) {
                return None;
            }
        }
    }

    pub fn exactly(&mut self, length: usize, until: Option<Instant>) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(until) {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    /// Reads a chunked body to its last chunk.
    pub fn chunked(&mut self, until: Option<Instant>) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break at;
                }
                if !self.fill(until) {
                    return None;
                }
            };
            let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
            let size = usize::from_str_radix(String::from_utf8_lossy(&line[..line_end]).trim(), 16).ok()?;
            let chunk = self.exactly(size + 2, until)?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

pub struct Head(pub String);

impl Head {
    pub fn first_line(&self) -> &str {
        self.0.lines().next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line().split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> Option<u16> {
        self.first_line().split(' ').nth(1)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.0.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.trim().eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns a number in the query.
    pub fn parameter(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }
}

/// Returns a response with a body of this type.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
