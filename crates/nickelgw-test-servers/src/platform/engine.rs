//! An engine of the platform: a reader (prefill) or a writer (decode), with times and failures as a test sets them.

use super::http::{answer, chunk, message, read, Message};
use super::table::Table;
use futures_lite::{future, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Path of the calls that release what is held for a request.
const RELEASE: &str = "/internal/reservations/";

/// What an engine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
}

/// How it works, changed at any time.
#[derive(Default)]
pub struct Behaviour {
    /// Time for a prefill, or until a decode attempt claims its reservation.
    pub work_ms: AtomicU64,
    /// Time from a stream's first event to its last.
    pub stream_ms: AtomicU64,
    /// Attempts are taken and get no answer, until this ends.
    pub hangs: AtomicBool,
    /// Its work is done, and then the connection breaks in place of an answer.
    pub loses_answers: AtomicBool,
    /// Attempts are turned away.
    pub full: AtomicBool,
    /// Release calls that it has answered.
    pub releases: AtomicU64,
    /// Attempts that have arrived.
    pub attempts: AtomicU64,
}

/// An engine that serves until the process ends.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub role: Role,
    pub behaviour: Arc<Behaviour>,
    table: Arc<Table>,
    number: usize,
}

impl Engine {
    /// Starts an engine on a port of its own.
    pub async fn start(number: usize, role: Role, table: Arc<Table>) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let behaviour =
            Arc::new(Behaviour { work_ms: 10.into(), stream_ms: 10.into(), ..Behaviour::default() });
        let engine = Engine { address: listener.local_addr()?, role, behaviour, table, number };
        let serving = engine.clone();
        smol::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    smol::spawn(serving.clone().connection(stream)).detach();
                }
            }
        })
        .detach();
        Ok(engine)
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(asked) = message(&mut stream, &mut buf).await {
            let Some(bytes) = self.respond(&asked, &mut stream, &mut buf).await else { return };
            if stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// The last bytes of the answer; none: the connection ends.
    async fn respond(&self, asked: &Message, stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
        if let Some(id) = asked.second().strip_prefix(RELEASE) {
            self.table.release(id);
            self.behaviour.releases.fetch_add(1, Relaxed);
            return Some(answer("204 No Content", "", ""));
        }
        if asked.line.starts_with("GET") {
            return Some(answer("200 OK", "", "x0=0.1,x1=0"));
        }
        let id = asked.header("x-call-id")?.to_string();
        let told = asked.header("x-budget-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        self.behaviour.attempts.fetch_add(1, Relaxed);
        let decode = self.role == Role::Decode;
        self.table.attempt_arrives(&id, told, decode);
        let _out = Arrived { table: self.table.clone(), id: id.clone(), decode };
        match self.role {
            Role::Prefill => self.prefill(&id, stream, buf).await,
            Role::Decode => self.decode(&id, stream, buf).await,
        }
    }

    fn turned_away(&self) -> Option<String> {
        let full = self.behaviour.full.load(Relaxed);
        full.then(|| answer("503 Service Unavailable", "X-Rejected: 1\r\n", ""))
    }

    /// Works for its time; false: the far side closed before.
    async fn work(&self, stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
        let done = async {
            Timer::after(Duration::from_millis(self.behaviour.work_ms.load(Relaxed))).await;
            while self.behaviour.hangs.load(Relaxed) {
                Timer::after(Duration::from_millis(10)).await;
            }
            true
        };
        let closed = async {
            while read(stream, buf).await > 0 {}
            false
        };
        future::or(done, closed).await
    }

    async fn prefill(&self, id: &str, stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
        if let Some(rejected) = self.turned_away() {
            return Some(rejected);
        }
        let releases = self.table.prefill_begins(id);
        if !self.work(stream, buf).await {
            return None;
        }
        self.table.prefill_done(id, self.number, releases);
        let answered = !self.behaviour.loses_answers.load(Relaxed);
        answered.then(|| answer("202 Accepted", "", r#"{"cached_tokens":4}"#))
    }

    async fn decode(&self, id: &str, stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
        if let Some(rejected) = self.turned_away() {
            return Some(rejected);
        }
        if !self.work(stream, buf).await || self.behaviour.loses_answers.load(Relaxed) {
            return None;
        }
        if !self.table.claim(id) {
            return Some(answer("410 Gone", "X-Rejected: 1\r\n", ""));
        }
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let first = format!("{head}{}", chunk("data: {\"n\":1}\n\n"));
        stream.write_all(first.as_bytes()).await.ok()?;
        Timer::after(Duration::from_millis(self.behaviour.stream_ms.load(Relaxed))).await;
        Some(format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n")))
    }
}

/// An attempt at an engine; dropped, it has ended.
struct Arrived {
    table: Arc<Table>,
    id: String,
    decode: bool,
}

impl Drop for Arrived {
    fn drop(&mut self) {
        self.table.attempt_ends(&self.id, self.decode);
    }
}
