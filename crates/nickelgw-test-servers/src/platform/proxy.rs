//! A proxy in front of an engine that causes network faults: connections fall silent, break, are refused or delayed.

use super::engine::Engine;
use super::http::read_some;
use super::request_table::RequestTable;
use super::{lock, Role};
use futures_lite::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Header with a request's id, at the beginning of its line.
const ID_HEADER: &str = "X-Call-Id: ";

/// One connection through the proxy.
struct Connection {
    /// Bytes are read and dropped, and the engine's end is not passed on.
    silent: AtomicBool,
    node: TcpStream,
    engine: TcpStream,
    /// The node has closed its side.
    node_closed: AtomicBool,
    /// Id of the last request passed on.
    last_request: Mutex<Option<String>>,
    /// Id of a request whose response was dropped: its attempt is open until the node ends it.
    lost_response: Mutex<Option<String>>,
}

impl Connection {
    /// Notes a request that is passed on.
    fn request_passed(&self, bytes: &[u8], table: &RequestTable) {
        let text = String::from_utf8_lossy(bytes);
        let id = text.lines().find_map(|line| line.strip_prefix(ID_HEADER));
        if let Some(id) = id {
            table.attempt_written(id);
            *lock(&self.last_request) = Some(id.to_string());
        }
    }

    /// A response, or the engine's end of the connection, was dropped.
    fn response_dropped(&self, upstream: &Upstream) {
        // An attempt that the node has ended is not open, whatever the engine still sends.
        if self.node_closed.load(Relaxed) {
            return;
        }
        if let Some(id) = lock(&self.last_request).take() {
            upstream.table.response_lost(&id, upstream.role);
            *lock(&self.lost_response) = Some(id);
        }
    }

    /// The node has ended the attempt whose response was dropped.
    fn node_ended(&self, upstream: &Upstream) {
        if let Some(id) = lock(&self.lost_response).take() {
            upstream.table.attempt_ended(&id, upstream.role);
        }
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }

    fn shut_down(&self) {
        let _ = self.node.shutdown(Shutdown::Both);
        let _ = self.engine.shutdown(Shutdown::Both);
    }
}

/// Open connections, and the faults of new ones.
#[derive(Default)]
struct ProxyState {
    connections: Mutex<Vec<Arc<Connection>>>,
    silent: AtomicBool,
    refuses: AtomicBool,
    delay_ms: AtomicU64,
}

/// A proxy in front of one engine.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy on a free port; it runs until the process ends.
    pub async fn start(engine: &Engine, table: Arc<RequestTable>) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy { address: listener.local_addr()?, state: Arc::default() };
        let upstream = Upstream { address: engine.address, role: engine.role, table };
        smol::spawn(accept(listener, upstream, proxy.state.clone())).detach();
        Ok(proxy)
    }

    fn connections(&self) -> Vec<Arc<Connection>> {
        lock(&self.state.connections).clone()
    }

    /// Open connections fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        for connection in self.connections() {
            connection.silent.store(true, Relaxed);
        }
    }

    /// The engine is cut off: open connections fall silent, and new ones are silent from the start.
    pub fn silence(&self, on: bool) {
        self.state.silent.store(on, Relaxed);
        if on {
            self.silence_connections();
        }
    }

    /// Open connections break.
    pub fn break_connections(&self) {
        self.connections().iter().for_each(|connection| connection.shut_down());
    }

    /// New connections are closed at once.
    pub fn refuse(&self, on: bool) {
        self.state.refuses.store(on, Relaxed);
    }

    /// New connections pass bytes on only so long after they were opened.
    pub fn delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Relaxed);
    }

    /// All faults end; silent connections break, as they do when a machine is back.
    pub fn heal(&self) {
        self.silence(false);
        self.refuse(false);
        self.delay(Duration::ZERO);
        let connections = self.connections();
        let silent = connections.iter().filter(|connection| connection.is_silent());
        silent.for_each(|connection| connection.shut_down());
    }
}

/// The engine behind a proxy.
#[derive(Clone)]
struct Upstream {
    address: SocketAddr,
    role: Role,
    table: Arc<RequestTable>,
}

async fn accept(listener: TcpListener, upstream: Upstream, state: Arc<ProxyState>) {
    loop {
        let Ok((node, _)) = listener.accept().await else { continue };
        if !state.refuses.load(Relaxed) {
            smol::spawn(serve(node, upstream.clone(), state.clone())).detach();
        }
    }
}

async fn serve(node: TcpStream, upstream: Upstream, state: Arc<ProxyState>) {
    let Ok(engine) = TcpStream::connect(upstream.address).await else { return };
    let _ = (node.set_nodelay(true), engine.set_nodelay(true));
    let connection = Arc::new(Connection {
        silent: AtomicBool::new(state.silent.load(Relaxed)),
        node,
        engine,
        node_closed: AtomicBool::new(false),
        last_request: Mutex::default(),
        lost_response: Mutex::default(),
    });
    lock(&state.connections).push(connection.clone());
    smol::Timer::after(Duration::from_millis(state.delay_ms.load(Relaxed))).await;
    let requests = async {
        copy_requests(&connection, &upstream.table).await;
        connection.node_ended(&upstream);
    };
    let responses = copy_responses(&connection, &upstream);
    futures_lite::future::zip(requests, responses).await;
    lock(&state.connections).retain(|open| !Arc::ptr_eq(open, &connection));
}

/// Passes bytes from the node on until its end. The end is always passed on, because an attempt that the node has
/// ended is not open any more.
async fn copy_requests(connection: &Connection, table: &RequestTable) {
    let (mut node, mut engine) = (connection.node.clone(), connection.engine.clone());
    let mut buffer = Vec::new();
    while read_some(&mut node, &mut buffer).await > 0 {
        if !connection.is_silent() {
            connection.request_passed(&buffer, table);
            if engine.write_all(&buffer).await.is_err() {
                break;
            }
        }
        buffer.clear();
    }
    connection.node_closed.store(true, Relaxed);
    connection.shut_down();
}

/// Passes bytes from the engine on until its end, which is not passed on when the connection is silent.
async fn copy_responses(connection: &Connection, upstream: &Upstream) {
    let (mut node, mut engine) = (connection.node.clone(), connection.engine.clone());
    let mut buffer = Vec::new();
    while read_some(&mut engine, &mut buffer).await > 0 {
        if connection.is_silent() {
            connection.response_dropped(upstream);
        } else if node.write_all(&buffer).await.is_err() {
            break;
        }
        buffer.clear();
    }
    if connection.is_silent() {
        connection.response_dropped(upstream);
    } else {
        connection.shut_down();
    }
}
