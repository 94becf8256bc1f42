//! Prefill or decode engine of the platform, whose work times and faults are set by a test.

use super::client::stream_events;
use super::http::{chunk, read_message, read_some, response, Message, LAST_CHUNK};
use super::request_table::RequestTable;
use super::{lock, Role};
use futures_lite::{future, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Path prefix of release calls; the id of the request follows.
const RELEASE_PATH: &str = "/internal/reservations/";
/// Time between checks of [`Behaviour::hangs`].
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Default of [`Behaviour::work_ms`] and [`Behaviour::stream_ms`].
const DEFAULT_TIME_MS: u64 = 10;
/// Header of responses to attempts that were rejected and have not run.
const REJECTED_HEADER: &str = "X-Rejected: 1\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Behaviour of an engine. A test may change it at any time.
#[derive(Default)]
pub struct Behaviour {
    /// Duration of a prefill, or time until a decode attempt claims its reservation.
    pub work_ms: AtomicU64,
    /// Time from the first event of a stream to its last.
    pub stream_ms: AtomicU64,
    /// Whether attempts get no response. They continue when it is cleared.
    pub hangs: AtomicBool,
    /// Whether the connection is closed without a response after the work is done.
    pub loses_responses: AtomicBool,
    /// Whether some streams fall short, in forms that follow from the ids of their requests.
    pub falls_short: AtomicBool,
    /// Whether attempts are rejected.
    pub is_full: AtomicBool,
    /// Time of the work that each new connection costs the engine. Connections are worked on one at a time,
    /// and the work is completed even if the node no longer waits.
    pub connection_work_ms: AtomicU64,
    /// Time since which discovery announces the engine as draining. `None` if the engine is not draining.
    pub draining_since: Mutex<Option<Instant>>,
    /// Number of release calls that have arrived.
    pub release_calls: AtomicU64,
    /// Number of attempts that have arrived.
    pub attempts: AtomicU64,
}

/// Engine that runs until the process ends.
#[derive(Clone)]
pub struct Engine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Phase of a request that the engine runs.
    pub role: Role,
    /// Behaviour, shared with the test.
    pub behaviour: Arc<Behaviour>,
    table: Arc<RequestTable>,
    index: usize,
    connection_work: Arc<smol::lock::Mutex<()>>,
}

/// Returns the result of `work`, or `false` if the node closes the connection before it is ready.
async fn unless_closed(
    work: impl Future<Output = bool>,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> bool {
    let closed = async {
        while read_some(stream, buffer).await > 0 {}
        false
    };
    future::or(work, closed).await
}

impl Engine {
    /// Starts an engine on a free port.
    pub async fn start(index: usize, role: Role, table: Arc<RequestTable>) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let behaviour = Arc::new(Behaviour {
            work_ms: DEFAULT_TIME_MS.into(),
            stream_ms: DEFAULT_TIME_MS.into(),
            ..Behaviour::default()
        });
        let address = listener.local_addr()?;
        let engine = Engine { address, role, behaviour, table, index, connection_work: Arc::default() };
        smol::spawn(engine.clone().accept(listener)).detach();
        Ok(engine)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                smol::spawn(self.clone().serve(stream)).detach();
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut is_new = true;
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let response = self.respond(&request, is_new, &mut stream, &mut buffer).await;
            is_new = false;
            let Some(response) = response else { return };
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Waits for the work that a new connection costs. It is completed even if this future is dropped.
    async fn open_connection(&self, is_new: bool) {
        let work_ms = self.behaviour.connection_work_ms.load(Relaxed);
        if is_new && work_ms > 0 {
            let connection_work = self.connection_work.clone();
            let (done, finished) = async_channel::bounded::<()>(1);
            smol::spawn(async move {
                let _one_at_a_time = connection_work.lock().await;
                Timer::after(Duration::from_millis(work_ms)).await;
                drop(done);
            })
            .detach();
            let _ = finished.recv().await;
        }
    }

    /// Handles a request and returns the response, or its last part if the beginning has already been
    /// written. `None` if the connection is to be closed.
    async fn respond(
        &self,
        request: &Message,
        is_new: bool,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> Option<String> {
        if let Some(id) = request.path().strip_prefix(RELEASE_PATH) {
            self.behaviour.release_calls.fetch_add(1, Relaxed);
            self.table.release(id);
            self.open_connection(is_new).await;
            return Some(response("204 No Content", "", ""));
        }
        if request.first_line.starts_with("GET") {
            self.open_connection(is_new).await;
            return Some(response("200 OK", "", "x0=0.1,x1=0"));
        }
        let id = request.header("x-call-id")?.to_string();
        let budget_ms = request.header("x-budget-ms").and_then(|value| value.parse().ok());
        self.behaviour.attempts.fetch_add(1, Relaxed);
        if let Some(since) = *lock(&self.behaviour.draining_since) {
            self.table.attempt_at_draining(&id, since);
        }
        let attempt = OpenAttempt::new(self, id, budget_ms.map(Duration::from_millis));
        // An attempt ends when its node closes the connection, even if the engine has not begun to work on
        // it.
        let opened = async {
            self.open_connection(is_new).await;
            true
        };
        if !unless_closed(opened, stream, buffer).await {
            return None;
        }
        if self.behaviour.is_full.load(Relaxed) {
            return Some(response("503 Service Unavailable", REJECTED_HEADER, ""));
        }
        match self.role {
            Role::Prefill => self.prefill(&attempt.id, stream, buffer).await,
            Role::Decode => self.decode(&attempt.id, stream, buffer).await,
        }
    }

    /// Waits for the duration of the work, and longer while the engine hangs. Returns `false` if the node
    /// closes the connection before.
    async fn work(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
        let done = async {
            Timer::after(Duration::from_millis(self.behaviour.work_ms.load(Relaxed))).await;
            while self.behaviour.hangs.load(Relaxed) {
                Timer::after(POLL_INTERVAL).await;
            }
            true
        };
        unless_closed(done, stream, buffer).await
    }

    async fn prefill(&self, id: &str, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
        let releases = self.table.prefill_started(id);
        if !self.work(stream, buffer).await {
            return None;
        }
        self.table.prefill_finished(id, self.index, releases);
        let responds = !self.behaviour.loses_responses.load(Relaxed);
        responds.then(|| response("202 Accepted", "", r#"{"cached_tokens":4}"#))
    }

    async fn decode(&self, id: &str, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
        if !self.work(stream, buffer).await || self.behaviour.loses_responses.load(Relaxed) {
            return None;
        }
        if !self.table.claim_reservations(id) {
            return Some(response("410 Gone", REJECTED_HEADER, ""));
        }
        let form = ShortForm::of(id).filter(|_| self.behaviour.falls_short.load(Relaxed));
        let [first, second, last] = stream_events(id);
        let begin = format!("{STREAM_HEAD}{}", chunk(&first));
        stream.write_all(begin.as_bytes()).await.ok()?;
        let half = Duration::from_millis(self.behaviour.stream_ms.load(Relaxed)) / 2;
        Timer::after(half).await;
        match form {
            None => stream.write_all(chunk(&second).as_bytes()).await.ok()?,
            Some(ShortForm::NoDone) => return Some(format!("{}{LAST_CHUNK}", chunk(&second))),
            Some(ShortForm::InsideEvent) => return Some(format!("{}{LAST_CHUNK}", chunk(&second[..9]))),
            Some(ShortForm::EmptyChunk) => {
                return Some(format!("0\r\n{second}\r\n{}{LAST_CHUNK}", chunk(&last)))
            }
            Some(ShortForm::Closes) => return None,
        }
        Timer::after(half).await;
        Some(format!("{}{LAST_CHUNK}", chunk(&last)))
    }
}

/// How a stream falls short.
#[derive(Clone, Copy)]
enum ShortForm {
    /// It ends without its final event.
    NoDone,
    /// It ends inside an event.
    InsideEvent,
    /// The size of a chunk is stated as 0.
    EmptyChunk,
    /// The connection is closed.
    Closes,
}

impl ShortForm {
    /// Returns the form for this request; `None` for most of them.
    fn of(id: &str) -> Option<ShortForm> {
        let sum: u32 = id.bytes().map(u32::from).sum();
        match sum % 16 {
            0 => Some(ShortForm::NoDone),
            1 => Some(ShortForm::InsideEvent),
            2 => Some(ShortForm::EmptyChunk),
            3 => Some(ShortForm::Closes),
            _ => None,
        }
    }
}

/// Attempt at an engine. Dropping it records the end of the attempt.
struct OpenAttempt {
    table: Arc<RequestTable>,
    id: String,
    role: Role,
}

impl OpenAttempt {
    fn new(engine: &Engine, id: String, budget: Option<Duration>) -> OpenAttempt {
        engine.table.attempt_arrived(&id, budget, engine.role);
        OpenAttempt { table: engine.table.clone(), id, role: engine.role }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.table.attempt_ended(&self.id, self.role);
    }
}
