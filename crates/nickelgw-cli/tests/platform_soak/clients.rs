//! A node's clients: they send requests continuously on kept-alive connections, and continue to use open
//! connections while the node shuts down. Some nodes also have a crowd: idle clients that use up the node's
//! file descriptors, and slow clients.

use crate::member::Member;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use nanorand::{Rng, WyRand};
use nickelgw_test_servers::platform::{
    lock, send_on, ClientRequest, Exchange, Outcome, RequestTable, RuleLimits,
};
use smol::net::TcpStream;
use smol::Timer;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time from the sending of a request to its deadline.
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Mean time between the requests of a node's clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// One request in this number is sent on a connection that its client opened up to `MAX_FIRST_DELAY` before.
const REQUESTS_PER_EARLY_CONNECT: u32 = 8;
/// Longest time between a client's connect and its first request.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(300);
/// Number of clients that connect while a node shuts down, in the second half of the time in which new
/// connections are opened.
const SHUTDOWN_CLIENTS: usize = 8;
/// Number of clients of a crowd that connect and send nothing.
const IDLE_CLIENTS: usize = 150;
/// Number of clients of a crowd that send a request byte by byte.
const SLOW_CLIENTS: usize = 10;
/// Time between the bytes of a slow client.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a client of a crowd connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// A request that ended without an answer in a way that is allowed only if the node never read the request.
pub struct UnreadRequest {
    /// ID of the request.
    pub id: String,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the request ended.
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// Whether a node that has not read a request may end it with this outcome. It may close a reused connection,
/// since the client then sends the request again; a crowded node may also close a new connection. No node may
/// let a client time out.
pub(crate) fn may_be_unread(is_new_connection: bool, is_crowded: bool, outcome: &Outcome) -> bool {
    (!is_new_connection || is_crowded) && *outcome == Outcome::ConnectionClosed
}

/// When a client connects while its node shuts down, and how long after that it sends its first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShutdownClient {
    pub connects_after: Duration,
    pub delay: Duration,
}

/// Returns the clients for this seed. `accepts_for` is the time after the shutdown signal in which clients
/// open connections.
pub(crate) fn shutdown_clients(seed: u64, accepts_for: Duration) -> Vec<ShutdownClient> {
    let mut random = WyRand::new_seed(seed);
    let mut client = || ShutdownClient {
        connects_after: accepts_for.mul_f64(0.5 + 0.5 * random.generate::<f64>()),
        delay: MAX_FIRST_DELAY.mul_f64(random.generate()),
    };
    (0..SHUTDOWN_CLIENTS).map(|_| client()).collect()
}

/// Counts of the sends of clients: first sends and retries.
#[derive(Clone, Default)]
pub struct SendCounts {
    /// Number of first sends.
    pub first: usize,
    /// Number of retries by outcome. A client retries once if the node closed a reused connection while it
    /// was sending.
    pub retries: BTreeMap<String, usize>,
}

impl SendCounts {
    /// Adds the sends of another node's clients.
    pub fn add(&mut self, other: &SendCounts) {
        self.first += other.first;
        for (outcome, count) in &other.retries {
            *self.retries.entry(outcome.clone()).or_default() += count;
        }
    }
}

/// State shared by all clients of a node.
pub struct Clients {
    pub member: Arc<Member>,
    pub table: Arc<RequestTable>,
    /// Whether the node also has a crowd.
    pub is_crowded: bool,
    /// Open connections that can carry another request.
    idle: Mutex<Vec<TcpStream>>,
    /// Requests without an answer that the node must not have read.
    pub unread: Mutex<Vec<UnreadRequest>>,
    pub sends: Mutex<SendCounts>,
    /// Number of requests so far of clients that connected while the node was shutting down.
    shutdown_requests: AtomicUsize,
}

/// A client's connection to the node.
struct ClientConnection {
    stream: TcpStream,
    /// When the client began to open the connection. `None` if it has carried a request already. A kill that
    /// ended after this time may have closed the connection.
    opened_at: Option<Instant>,
}

impl Clients {
    pub fn new(member: Arc<Member>, table: Arc<RequestTable>, is_crowded: bool) -> Arc<Clients> {
        let (idle, unread, sends) = (Mutex::default(), Mutex::default(), Mutex::default());
        let shutdown_requests = AtomicUsize::new(0);
        Arc::new(Clients { member, table, is_crowded, idle, unread, sends, shutdown_requests })
    }

    /// Sends requests while `running` is set. Returns their outcomes.
    pub fn send_requests(self: &Arc<Self>, node: usize, seed: u64, running: &AtomicBool) -> Vec<Outcome> {
        let mut random = WyRand::new_seed(seed ^ ((node as u64 + 1) << 32));
        let mut pending = Vec::new();
        let mut number = 0;
        while running.load(Relaxed) {
            sleep(REQUEST_INTERVAL.mul_f64(0.5 + random.generate::<f64>()));
            number += 1;
            let at_most_once = random.generate_range(0..4u32) == 0;
            let disconnects = random.generate_range(0..8u32) == 0;
            let request = ClientRequest {
                id: format!("s{node}x{number}"),
                class: if at_most_once { "pay" } else { "chat" }.into(),
                at_most_once,
                timeout: TIMEOUT,
                disconnect_after: disconnects
                    .then(|| Duration::from_millis(random.generate_range(0..600u64))),
            };
            let connects_early = random.generate_range(0..REQUESTS_PER_EARLY_CONNECT) == 0;
            let delay = connects_early.then(|| MAX_FIRST_DELAY.mul_f64(random.generate()));
            let clients = self.clone();
            pending.push(smol::spawn(async move { clients.send_after(request, delay).await }));
        }
        pending.into_iter().filter_map(smol::block_on).collect()
    }

    /// Sends a request. With a delay, the client opens a new connection and sends the request on it after the
    /// delay.
    async fn send_after(&self, request: ClientRequest, delay: Option<Duration>) -> Option<Outcome> {
        if let (Some(delay), true) = (delay, self.member.accepts_connections()) {
            let connection = self.connect(&request).await?;
            Timer::after(delay).await;
            lock(&self.sends).first += 1;
            return Some(self.exchange(connection, &request).await);
        }
        self.send(request).await
    }

    /// Starts clients that connect while the node shuts down and send their first request after a delay.
    pub fn start_shutdown_clients(self: &Arc<Self>, seed: u64, accepts_for: Duration) {
        for ShutdownClient { connects_after, delay } in shutdown_clients(seed, accepts_for) {
            let number = self.shutdown_requests.fetch_add(1, Relaxed);
            let request = ClientRequest {
                id: format!("{}d{number}", self.member.request_prefix),
                class: "chat".into(),
                at_most_once: false,
                timeout: TIMEOUT,
                disconnect_after: None,
            };
            let clients = self.clone();
            smol::spawn(async move {
                Timer::after(connects_after).await;
                clients.send_after(request, Some(delay)).await
            })
            .detach();
        }
    }

    /// Sends a request, and once more if the node closed a reused connection meanwhile. Returns `None` if the
    /// node accepts no new connections.
    async fn send(&self, mut request: ClientRequest) -> Option<Outcome> {
        let first = self.connection(&request).await?;
        lock(&self.sends).first += 1;
        let is_reused = first.opened_at.is_none();
        let outcome = self.exchange(first, &request).await;
        if outcome != Outcome::ConnectionClosed || !is_reused || !self.member.accepts_connections() {
            return Some(outcome);
        }
        request.id.push('r');
        let retried = match self.connect(&request).await {
            Some(connection) => self.exchange(connection, &request).await,
            None => Outcome::ConnectionRefused,
        };
        *lock(&self.sends).retries.entry(format!("{retried:?}")).or_default() += 1;
        Some(retried)
    }

    /// Opens a new connection. It is a violation if a node that should accept connections refuses one.
    async fn connect(&self, request: &ClientRequest) -> Option<ClientConnection> {
        let opened_at = Some(Instant::now());
        let connected = TcpStream::connect(self.member.address).await;
        if let (Err(error), true) = (&connected, self.member.accepts_connections()) {
            self.table.no_final_answer(
                &request.id,
                format!("connect failed at a node that accepts connections: {error}"),
            );
        }
        connected.ok().map(|stream| ClientConnection { stream, opened_at })
    }

    async fn connection(&self, request: &ClientRequest) -> Option<ClientConnection> {
        if let Some(stream) = lock(&self.idle).pop() {
            return Some(ClientConnection { stream, opened_at: None });
        }
        if !self.member.accepts_connections() {
            return None;
        }
        self.connect(request).await
    }

    async fn exchange(&self, connection: ClientConnection, request: &ClientRequest) -> Outcome {
        let sent_at = Instant::now();
        let slack = RuleLimits::default().answer_slack;
        let Exchange { outcome, connection: kept } =
            send_on(connection.stream, request, &self.table, slack).await;
        lock(&self.idle).extend(kept);
        self.judge(request, sent_at, connection.opened_at, &outcome);
        outcome
    }

    /// Reports an outcome that the platform's rules do not allow.
    fn judge(
        &self,
        request: &ClientRequest,
        sent_at: Instant,
        opened_at: Option<Instant>,
        outcome: &Outcome,
    ) {
        let is_lost = match outcome {
            Outcome::WrongContent(content) => {
                self.table.wrong_content(&request.id, content.clone());
                false
            }
            Outcome::ConnectionClosed | Outcome::TimedOut => true,
            // A broken stream is caused by an engine's fault, unless the node was killed while it was open.
            Outcome::StreamBroken => self.member.was_cut_without_excuse(sent_at),
            Outcome::Completed | Outcome::Status(_) => false,
            Outcome::ConnectionRefused | Outcome::Disconnected => false,
        };
        // A kill also closes a connection that waits for its first request.
        if !is_lost || self.member.excuses(opened_at.unwrap_or(sent_at)) {
            return;
        }
        if may_be_unread(opened_at.is_some(), self.is_crowded, outcome) {
            // Allowed if the node has not read the request; its log shows that at the end of the run.
            let (id, ended_at, outcome) = (request.id.clone(), Instant::now(), outcome.clone());
            let unread = UnreadRequest { id, sent_at, ended_at, outcome };
            lock(&self.unread).push(unread);
        } else {
            let after = sent_at.elapsed();
            self.table.no_final_answer(&request.id, format!("{outcome:?} after {after:?}"));
        }
    }

    /// Starts idle and slow clients, which reconnect while `running` is set.
    pub fn start_crowd(&self, running: &Arc<AtomicBool>) {
        for client in 0..IDLE_CLIENTS + SLOW_CLIENTS {
            let (member, running) = (self.member.clone(), running.clone());
            let is_slow = client >= IDLE_CLIENTS;
            smol::spawn(async move {
                while running.load(Relaxed) {
                    if let Ok(stream) = TcpStream::connect(member.address).await {
                        occupy(stream, is_slow, &running).await;
                    }
                    Timer::after(RECONNECT_DELAY).await;
                }
            })
            .detach();
        }
    }
}

/// Occupies a connection until the node closes it. A slow client sends a request head that never ends.
async fn occupy(mut stream: TcpStream, is_slow: bool, running: &AtomicBool) {
    let mut bytes = b"POST /v1/chat/completions HTTP/1.1\r\nX-Slow: ".iter().chain(std::iter::repeat(&b'x'));
    while running.load(Relaxed) {
        if is_slow {
            let byte = bytes.next().copied().unwrap_or(b'x');
            if stream.write_all(&[byte]).await.is_err() {
                return;
            }
        }
        let mut answer = [0; 64];
        let ended = async { stream.read(&mut answer).await.unwrap_or(0) == 0 };
        let pause = async {
            Timer::after(SLOW_BYTE_INTERVAL).await;
            false
        };
        if futures_lite::future::or(ended, pause).await {
            return;
        }
    }
}
