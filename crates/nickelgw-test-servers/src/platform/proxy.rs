//! A proxy in front of an engine that causes what networks do: connections that fall silent, break, are refused or late.

use super::engine::{Engine, Role};
use super::http::read;
use super::table::Table;
use futures_lite::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// One connection through the proxy.
struct Connection {
    /// Bytes are taken and go nowhere; no end is told.
    silent: AtomicBool,
    near: TcpStream,
    far: TcpStream,
    /// The node has closed its side.
    node_ended: AtomicBool,
    /// Id of the last request passed on.
    last: Mutex<Option<String>>,
    /// Id of a request whose answer nobody heard: its attempt is out until the node ends it.
    unheard: Mutex<Option<String>>,
}

impl Connection {
    /// Remembers the id of a request that is passed on.
    fn passes(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let id = text.lines().find_map(|l| l.strip_prefix("X-Call-Id: "));
        if let Some(id) = id {
            *lock(&self.last) = Some(id.to_string());
        }
    }

    /// An answer is swallowed, or the engine's end of the connection.
    fn swallows(&self, engine: &Behind) {
        // What the node has ended is not out any more, whatever its engine still says.
        if self.node_ended.load(Relaxed) {
            return;
        }
        if let Some(id) = lock(&self.last).take() {
            engine.table.answer_unheard(&id, engine.decode);
            *lock(&self.unheard) = Some(id);
        }
    }

    /// The node has ended it.
    fn ends(&self, engine: &Behind) {
        if let Some(id) = lock(&self.unheard).take() {
            engine.table.attempt_ends(&id, engine.decode);
        }
    }
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Faults {
    open: Mutex<Vec<Arc<Connection>>>,
    silent: AtomicBool,
    refuses: AtomicBool,
    late_ms: AtomicU64,
}

/// Passes connections on to one engine.
#[derive(Clone)]
pub struct Proxy {
    /// Where it takes them.
    pub address: SocketAddr,
    faults: Arc<Faults>,
}

impl Proxy {
    /// A proxy that takes connections on a port of its own until the process ends.
    pub async fn start(engine: &Engine, table: Arc<Table>) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy { address: listener.local_addr()?, faults: Arc::default() };
        let behind = Behind { address: engine.address, decode: engine.role == Role::Decode, table };
        smol::spawn(accept(listener, behind, proxy.faults.clone())).detach();
        Ok(proxy)
    }

    fn open(&self) -> Vec<Arc<Connection>> {
        lock(&self.faults.open).clone()
    }

    /// Connections that are open fall silent, for good; new ones work.
    pub fn silence_open(&self) {
        self.open().iter().for_each(|c| c.silent.store(true, Relaxed));
    }

    /// The engine's machine is cut off: open connections fall silent, and new ones are from the start.
    pub fn silence(&self, on: bool) {
        self.faults.silent.store(on, Relaxed);
        if on {
            self.silence_open();
        }
    }

    /// Open connections break.
    pub fn break_open(&self) {
        for c in self.open() {
            let _ = c.near.shutdown(Shutdown::Both);
            let _ = c.far.shutdown(Shutdown::Both);
        }
    }

    /// New connections are closed as they come.
    pub fn refuse(&self, on: bool) {
        self.faults.refuses.store(on, Relaxed);
    }

    /// What is sent on new connections is passed on only so long after they were opened.
    pub fn delay(&self, by: Duration) {
        self.faults.late_ms.store(by.as_millis() as u64, Relaxed);
    }

    /// All faults end; what has fallen silent breaks, as it does when a machine is back.
    pub fn heal(&self) {
        self.silence(false);
        self.refuse(false);
        self.delay(Duration::ZERO);
        for c in self.open().iter().filter(|c| c.silent.load(Relaxed)) {
            let _ = c.near.shutdown(Shutdown::Both);
            let _ = c.far.shutdown(Shutdown::Both);
        }
    }
}

/// The engine behind a proxy.
#[derive(Clone)]
struct Behind {
    address: SocketAddr,
    decode: bool,
    table: Arc<Table>,
}

async fn accept(listener: TcpListener, engine: Behind, faults: Arc<Faults>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        if !faults.refuses.load(Relaxed) {
            smol::spawn(serve(near, engine.clone(), faults.clone())).detach();
        }
    }
}

async fn serve(near: TcpStream, engine: Behind, faults: Arc<Faults>) {
    let Ok(far) = TcpStream::connect(engine.address).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let silent = AtomicBool::new(faults.silent.load(Relaxed));
    let connection = Arc::new(Connection {
        silent,
        near: near.clone(),
        far: far.clone(),
        node_ended: AtomicBool::new(false),
        last: Mutex::default(),
        unheard: Mutex::default(),
    });
    lock(&faults.open).push(connection.clone());
    smol::Timer::after(Duration::from_millis(faults.late_ms.load(Relaxed))).await;
    let there = async {
        pump(near.clone(), far.clone(), &connection, &engine, true).await;
        connection.ends(&engine);
    };
    let back = async {
        pump(far.clone(), near.clone(), &connection, &engine, false).await;
        // The engine's end of a silent connection is not heard either.
        if connection.silent.load(Relaxed) {
            connection.swallows(&engine);
        }
    };
    futures_lite::future::zip(there, back).await;
    let mut open = lock(&faults.open);
    open.retain(|c| !Arc::ptr_eq(c, &connection));
}

/// Passes bytes on until the end. A node's end is always passed on, as what it has given up is not out any more; an engine's is not when the
/// connection is silent.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: &Connection,
    engine: &Behind,
    from_node: bool,
) {
    let mut buf = Vec::new();
    while read(&mut from, &mut buf).await > 0 {
        let silent = connection.silent.load(Relaxed);
        match (silent, from_node) {
            (false, true) => connection.passes(&buf),
            (true, false) => connection.swallows(engine),
            _ => {}
        }
        if !silent && to.write_all(&buf).await.is_err() {
            break;
        }
        buf.clear();
    }
    if from_node {
        connection.node_ended.store(true, Relaxed);
    }
    if from_node || !connection.silent.load(Relaxed) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
