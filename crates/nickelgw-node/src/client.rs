//! HTTP/1.1 towards engines and the list: connections kept for the next call, and what a failure proves.

use crate::core::Cause;
use crate::{seconds, within};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// A connection; dropped in the middle of a call it closes, by which the peer knows that nobody waits.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: Task<()>,
}

struct Idle {
    conn: Connection,
    since: Instant,
}

pub struct Pool {
    ex: Rc<LocalExecutor<'static>>,
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    connect_s: f64,
    most_idle: usize,
    idle_s: f64,
}

/// Bytes read at once from an engine.
const READ_BUFFER: usize = 4096;
/// Bodies that are read whole from peers: errors, read answers, lists.
pub const LONGEST_BODY: usize = 4 << 20;

impl Pool {
    pub fn new(ex: Rc<LocalExecutor<'static>>, connect_s: f64, most_idle: usize, idle_s: f64) -> Pool {
        Pool { ex, idle: RefCell::default(), connect_s, most_idle, idle_s }
    }

    fn kept(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(address)?;
        let found = loop {
            let i = list.pop()?;
            if !i.conn.sender.is_closed() && i.since.elapsed() < seconds(self.idle_s) {
                break i.conn;
            }
        };
        Some(found)
    }

    /// A connection whose last answer was read to its end waits for the next call.
    pub fn give_back(&self, address: &str, conn: Connection) {
        if conn.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address.to_string()).or_default();
        list.retain(|i| !i.conn.sender.is_closed() && i.since.elapsed() < seconds(self.idle_s));
        if list.len() < self.most_idle {
            list.push(Idle { conn, since: Instant::now() });
        }
    }

    /// Addresses that are no longer listed keep nothing open.
    pub fn forget_others(&self, wanted: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|address, _| wanted(address));
    }

    async fn open(&self, address: &str) -> Option<Connection> {
        let stream = within(self.connect_s, smol::net::TcpStream::connect(address)).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        // Buffers that fit a few events: thousands of streams hold one each.
        let mut http = Builder::new();
        http.read_buf_exact_size(Some(READ_BUFFER));
        let (sender, conn) = http.handshake(FuturesIo::new(stream)).await.ok()?;
        let task = self.ex.spawn(async move {
            // What went wrong is told to the call that waits on it.
            let _ = conn.await;
        });
        Some(Connection { sender, _task: task })
    }

    /// Makes the call; the answer's head, and the connection to give back once the body is read.
    pub async fn call(
        &self,
        address: &str,
        request: &Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Cause> {
        loop {
            let kept = self.kept(address);
            let reused = kept.is_some();
            let mut conn = match kept {
                Some(c) => c,
                None => self.open(address).await.ok_or(Cause::NoConnection)?,
            };
            if conn.sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Err(Cause::NoConnection);
            }
            match conn.sender.send_request(request.clone()).await {
                Ok(response) => return Ok((response, conn)),
                // Closed before a byte went out: proven not to have run, another connection may carry it.
                Err(e) if e.is_canceled() && reused => continue,
                Err(e) if e.is_canceled() => return Err(Cause::NoConnection),
                Err(e) if e.is_parse() => return Err(Cause::Garbled),
                Err(_) => return Err(Cause::Lost),
            }
        }
    }

    /// Makes the call and reads the answer whole: its status, head and body.
    pub async fn fetch(
        &self,
        address: &str,
        request: &Request<Full<Bytes>>,
    ) -> Result<(u16, hyper::HeaderMap, Bytes), Cause> {
        let (response, conn) = self.call(address, request).await?;
        let (head, body) = response.into_parts();
        let body = whole(body).await?;
        self.give_back(address, conn);
        Ok((head.status.as_u16(), head.headers, body))
    }
}

pub async fn whole(body: Incoming) -> Result<Bytes, Cause> {
    match Limited::new(body, LONGEST_BODY).collect().await {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Cause::Garbled),
        Err(_) => Err(Cause::Lost),
    }
}
