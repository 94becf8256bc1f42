//! A client's socket: whether it has gone, what it has sent ahead of its answer, and how it is closed.

use crate::core::{MOST_BODY, MOST_HEAD};
use crate::wire::{read, read_now};
use bytes::BytesMut;
use nickelgw_node::within;
use smol::Async;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// Bytes taken from a client that does not wait for its answer: as many as one request may have. One that sends more
/// ahead is refused, since what is not read hides whether it has gone.
const MOST_AHEAD: usize = MOST_BODY + MOST_HEAD;
/// Bytes that each connection may hold, whatever the others hold.
const FREE: usize = 16 * 1024;
/// After its last answer a connection is read on for so long, and for so many bytes: closed over unread ones it would be
/// reset, and the answer lost with it.
const LINGER_S: f64 = 0.5;
const LINGER_BYTES: usize = MOST_BODY;

/// Bytes of requests that all connections together may hold.
pub struct Memory {
    most: usize,
    held: Cell<usize>,
}

impl Memory {
    pub fn new(most: usize) -> Rc<Memory> {
        Rc::new(Memory { most, held: Cell::new(0) })
    }
}

/// What one connection holds of it.
pub struct Part {
    of: Rc<Memory>,
    held: Cell<usize>,
}

impl Part {
    pub fn new(of: &Rc<Memory>) -> Part {
        Part { of: of.clone(), held: Cell::new(0) }
    }

    /// It holds so many bytes now. False: there is no room for them.
    pub fn holds(&self, bytes: usize) -> bool {
        let all = self.of.held.get() - self.held.replace(bytes) + bytes;
        self.of.held.set(all);
        bytes <= FREE || all <= self.of.most
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.holds(0);
    }
}

/// Why an answer is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Off {
    /// The client has closed its connection, or its sending on it.
    Gone,
    /// It sends on and on before its answer.
    Floods,
}

pub struct Socket {
    pub stream: Async<TcpStream>,
    /// What came while an answer was awaited.
    ahead: RefCell<BytesMut>,
    off: Cell<Option<Off>>,
    pub part: Part,
    /// Bytes of the request that is open.
    open: Cell<usize>,
}

impl Socket {
    pub fn new(stream: Async<TcpStream>, memory: &Rc<Memory>) -> Rc<Socket> {
        let _ = stream.get_ref().set_nodelay(true);
        let part = Part::new(memory);
        Rc::new(Socket { stream, ahead: RefCell::default(), off: Cell::new(None), part, open: Cell::new(0) })
    }

    /// A request of so many bytes is open; the rest of what has come waits for it.
    pub fn begin(&self, bytes: usize, rest: BytesMut) {
        self.ahead.replace(rest);
        self.open.set(bytes);
    }

    /// Its answer is out: what came meanwhile is the next one's.
    pub fn end(&self) -> BytesMut {
        self.open.set(0);
        self.ahead.take()
    }

    /// Takes what is there without waiting: the end of the connection stands behind whatever was sent before it.
    pub fn off(&self) -> Option<Off> {
        while self.off.get().is_none() {
            let mut ahead = self.ahead.borrow_mut();
            match read_now(self.stream.get_ref(), &mut ahead) {
                Ok(0) => self.off.set(Some(Off::Gone)),
                Ok(_) => {
                    let room = self.part.holds(self.open.get() + ahead.len());
                    if ahead.len() > MOST_AHEAD || !room {
                        self.off.set(Some(Off::Floods));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.off.set(Some(Off::Gone)),
            }
        }
        self.off.get()
    }

    /// The future's result, while the client stays for it.
    pub async fn stays<T>(&self, f: impl Future<Output = T>) -> Result<T, Off> {
        let off = async {
            loop {
                if let Some(off) = self.off() {
                    return Err(off);
                }
                if self.stream.readable().await.is_err() {
                    return Err(Off::Gone);
                }
            }
        };
        futures_lite::future::or(async { Ok(f.await) }, off).await
    }

    /// What came in the very moment in which the connection was to be closed: a request that counts as taken.
    pub fn take_now(&self, buf: &mut BytesMut) -> bool {
        matches!(read_now(self.stream.get_ref(), buf), Ok(n) if n > 0)
    }

    /// Closes so that the last answer arrives. What comes after this is read and left alone.
    pub async fn close(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let rest = async {
            let (mut buf, mut all) = (BytesMut::new(), 0);
            while all < LINGER_BYTES {
                match read(&self.stream, &mut buf).await {
                    Ok(n) if n > 0 => all += n,
                    _ => return,
                }
                buf.clear();
            }
        };
        within(LINGER_S, rest).await;
    }
}
