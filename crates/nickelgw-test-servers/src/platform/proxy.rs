//! Proxy in front of an engine that causes network faults: connections can become silent, break, be refused
//! or be delayed. On a silent connection, bytes are read and dropped.

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

/// Beginning of the header line with the id of a request.
const ID_HEADER: &str = "X-Call-Id: ";

/// Connection through the proxy.
struct Connection {
    /// Whether bytes are read and dropped, and the close of the engine's side is not passed on.
    silent: AtomicBool,
    node: TcpStream,
    engine: TcpStream,
    /// Whether the node has closed its side.
    node_closed: AtomicBool,
    /// Id of the last request passed on to the engine.
    last_request: Mutex<Option<String>>,
    /// Id of a request whose response was dropped. Its attempt is open until the node ends it.
    lost_response: Mutex<Option<String>>,
}

impl Connection {
    /// Records a request that is passed on to the engine.
    fn request_passed(&self, bytes: &[u8], table: &RequestTable) {
        let text = String::from_utf8_lossy(bytes);
        let id = text.lines().find_map(|line| line.strip_prefix(ID_HEADER));
        if let Some(id) = id {
            table.attempt_written(id);
            *lock(&self.last_request) = Some(id.to_string());
        }
    }

    /// Records that a response, or the close of the engine's side, was dropped.
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

    /// Records that the node has ended the attempt whose response was dropped.
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

/// Open connections, and the faults that apply to new ones.
#[derive(Default)]
struct ProxyState {
    connections: Mutex<Vec<Arc<Connection>>>,
    silent: AtomicBool,
    refuses: AtomicBool,
    delay_ms: AtomicU64,
}

/// Proxy in front of one engine.
#[derive(Clone)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy on a free port. It runs until the process ends.
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

    /// Makes all open connections silent permanently. New connections work.
    pub fn silence_connections(&self) {
        for connection in self.connections() {
            connection.silent.store(true, Relaxed);
        }
    }

    /// Cuts the engine off while `on` is set: open connections become silent permanently, and new ones are
    /// silent from the start.
    pub fn silence(&self, on: bool) {
        self.state.silent.store(on, Relaxed);
        if on {
            self.silence_connections();
        }
    }

    /// Breaks all open connections.
    pub fn break_connections(&self) {
        self.connections().iter().for_each(|connection| connection.shut_down());
    }

    /// Closes new connections immediately while `on` is set.
    pub fn refuse(&self, on: bool) {
        self.state.refuses.store(on, Relaxed);
    }

    /// Sets the time after which a new connection begins to pass bytes on.
    pub fn delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Relaxed);
    }

    /// Ends all faults. Silent connections break, as they do when a machine comes back.
    pub fn heal(&self) {
        self.silence(false);
        self.refuse(false);
        self.delay(Duration::ZERO);
        let connections = self.connections();
        let silent = connections.iter().filter(|connection| connection.is_silent());
        silent.for_each(|connection| connection.shut_down());
    }
}

/// Engine behind a proxy.
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

/// Copies bytes from the node to the engine until the node closes the connection. The close is always passed
/// on, because an attempt that the node has ended is no longer open.
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

/// Copies bytes from the engine to the node until the engine closes the connection. The close is not passed
/// on if the connection is silent.
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
