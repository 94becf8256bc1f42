//! A proxy in front of an engine that causes what networks do: connections that fall silent, break, are refused or late.

use super::http::read;
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
    pub async fn start(engine: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Proxy { address: listener.local_addr()?, faults: Arc::default() };
        smol::spawn(accept(listener, engine, proxy.faults.clone())).detach();
        Ok(proxy)
    }

    fn open(&self) -> Vec<Arc<Connection>> {
        self.faults.open.lock().unwrap_or_else(PoisonError::into_inner).clone()
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

async fn accept(listener: TcpListener, engine: SocketAddr, faults: Arc<Faults>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        if !faults.refuses.load(Relaxed) {
            smol::spawn(serve(near, engine, faults.clone())).detach();
        }
    }
}

async fn serve(near: TcpStream, engine: SocketAddr, faults: Arc<Faults>) {
    let Ok(far) = TcpStream::connect(engine).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let silent = AtomicBool::new(faults.silent.load(Relaxed));
    let connection = Arc::new(Connection { silent, near: near.clone(), far: far.clone() });
    faults.open.lock().unwrap_or_else(PoisonError::into_inner).push(connection.clone());
    smol::Timer::after(Duration::from_millis(faults.late_ms.load(Relaxed))).await;
    let there = pump(near.clone(), far.clone(), &connection);
    let back = pump(far, near, &connection);
    futures_lite::future::zip(there, back).await;
    let mut open = faults.open.lock().unwrap_or_else(PoisonError::into_inner);
    open.retain(|c| !Arc::ptr_eq(c, &connection));
}

/// Passes bytes on until the end, which is passed on too.
async fn pump(mut from: TcpStream, mut to: TcpStream, connection: &Connection) {
    let mut buf = Vec::new();
    while read(&mut from, &mut buf).await > 0 {
        if !connection.silent.load(Relaxed) && to.write_all(&buf).await.is_err() {
            break;
        }
        buf.clear();
    }
    if !connection.silent.load(Relaxed) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
