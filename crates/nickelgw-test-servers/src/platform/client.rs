//! A client of the platform: one request on a connection of its own, judged by what comes back.

use super::http::{chunk, read};
use super::table::Table;
use futures_lite::{future, AsyncWriteExt};
use smol::net::TcpStream;
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream that its engine no longer continues is ended by the node in this time: 5 s, and some for the streams themselves.
const LONGEST_STREAM: Duration = Duration::from_secs(7);

/// What it asks, and how long it stays.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    /// Its class's name, as the settings have it.
    pub class: String,
    /// It may not run twice.
    pub once: bool,
    pub timeout: Duration,
    /// It closes its connection after so long.
    pub leaves_after: Option<Duration>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole stream came.
    Served,
    /// A status other than 200.
    Status(u16),
    /// The stream has begun with these bytes.
    Begun(Vec<u8>),
    /// The stream began and broke.
    Broken,
    /// No connection to the node came up.
    Refused,
    /// It ended before an answer.
    Closed,
    /// Nothing came within the deadline and its slack.
    Silent,
    /// The client left.
    Left,
}

/// Asks a node, tells the table of it, and says what came.
pub async fn request(node: SocketAddr, asked: &Asked, table: &Table, slack: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(node).await else { return Outcome::Refused };
    let body = r#"{"model":"chat","stream":true,"messages":[]}"#;
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Route-Hash: {}\r\n\
         X-Budget-Ms: {}\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=9\r\nContent-Length: {}\r\n\r\n{body}",
        asked.id,
        asked.class,
        asked.id,
        asked.timeout.as_millis(),
        body.len(),
    );
    table.client_sends(&asked.id, asked.timeout, asked.once);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Outcome::Closed;
    }
    let begun = first(&mut stream);
    let late = async {
        Timer::after(asked.timeout + slack).await;
        Outcome::Silent
    };
    let leaves = async {
        match asked.leaves_after {
            Some(after) => drop(Timer::after(after).await),
            None => future::pending().await,
        }
        Outcome::Left
    };
    let outcome = match future::or(begun, future::or(leaves, late)).await {
        // A begun stream has no deadline, but it has to end.
        Outcome::Begun(all) => {
            let ends = async {
                Timer::after(LONGEST_STREAM).await;
                Outcome::Silent
            };
            future::or(rest(&mut stream, all), ends).await
        }
        other => other,
    };
    drop(stream);
    if outcome == Outcome::Left {
        table.client_leaves(&asked.id);
    }
    outcome
}

/// Up to the first event of a stream, or the whole of another answer.
async fn first(stream: &mut TcpStream) -> Outcome {
    let mut all = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&all);
        let status =
            text.split(' ').nth(1).and_then(|s| s.parse().ok()).filter(|_| text.contains("\r\n\r\n"));
        match status {
            Some(200u16) if text.ends_with("0\r\n\r\n") => return Outcome::Served,
            Some(200) if text.contains(&chunk("data: {\"n\":1}\n\n")) => return Outcome::Begun(all.clone()),
            Some(200) | None => {}
            Some(status) => return Outcome::Status(status),
        }
        if read(stream, &mut all).await == 0 {
            return Outcome::Closed;
        }
    }
}

/// A begun stream, to its end: its deadline no longer runs.
async fn rest(stream: &mut TcpStream, mut all: Vec<u8>) -> Outcome {
    while !all.ends_with(b"0\r\n\r\n") {
        if read(stream, &mut all).await == 0 {
            return Outcome::Broken;
        }
    }
    Outcome::Served
}
