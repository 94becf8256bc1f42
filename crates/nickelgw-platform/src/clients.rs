//! Clients' connections: requests read within limits, one at a time, and answered as the core says.

use crate::core::chunks::Piece;
use crate::core::engine::Passed;
use crate::core::request::{self, Head, Names, CHAT, READY};
use crate::core::{Spoilt, MOST_BODY};
use crate::node::{Node, Reply};
use crate::wire::{body, next, read, Broken};
use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::AsyncWriteExt;
use nickelgw_node::{seconds, within};
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A connection that has not brought a whole request for so long is closed; so is one that stands unused, sooner
/// where others need its place.
const WHOLE_S: f64 = 2.4;
const IDLE_S: f64 = 30.0;
const IDLE_LEAST_S: f64 = 2.0;
/// A usual client's request follows at once on its connection.
const SILENT_S: f64 = 0.5;
/// How often it is looked for room.
const ROOM_S: f64 = 0.002;
/// A client that takes nothing for so long has left.
const STALL_S: f64 = 5.0;
/// Bytes taken from a client that does not wait for its answer.
const AHEAD: usize = 32 * 1024;

/// A connection as the table has it.
struct Standing {
    /// Unused since then; none: a request is open on it.
    unused: Cell<Option<f64>>,
    /// It has brought a whole request.
    asked: Cell<bool>,
    close: Sender<()>,
}

pub struct Clients {
    pub node: Rc<Node>,
    pub names: Names,
    /// Connections at once.
    pub most: usize,
    standing: RefCell<BTreeMap<u64, Rc<Standing>>>,
    next: Cell<u64>,
    /// Each answer is the last of its connection.
    parting: Cell<bool>,
}

struct Entry {
    of: Rc<Clients>,
    number: u64,
    me: Rc<Standing>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.of.standing.borrow_mut().remove(&self.number);
    }
}

/// Why no request came.
enum No {
    /// The connection ended, or is to.
    Ended,
    Refused(u16, &'static str),
}

impl From<Broken> for No {
    fn from(b: Broken) -> No {
        match b {
            Broken::Ended => No::Ended,
            Broken::Spoilt(Spoilt::Long) => No::Refused(413, "longer than allowed"),
            Broken::Spoilt(Spoilt::Length) => No::Refused(400, "a length that cannot be used"),
            Broken::Spoilt(_) => No::Refused(400, "a request that cannot be read"),
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// A whole answer.
fn plain(status: u16, word: &str, come_back_s: Option<f64>, close: bool) -> Vec<u8> {
    let body = format!("{{\"message\":\"{word}\"}}");
    let back = come_back_s.map_or(String::new(), |s| format!("retry-after: {s:.3}\r\n"));
    let close = if close { "connection: close\r\n" } else { "" };
    let reason = reason(status);
    let length = body.len();
    format!("HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n{back}{close}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

impl Clients {
    pub fn new(node: Rc<Node>, names: Names, most: usize) -> Rc<Clients> {
        Rc::new(Clients {
            node,
            names,
            most,
            standing: RefCell::default(),
            next: Cell::new(0),
            parting: Cell::new(false),
        })
    }

    /// Accepts until dropped. While the table is full a new connection waits unaccepted: closed unserved, its first
    /// request would have failed.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            while !self.make_room() {
                tracing::debug!(at = self.node.now(), "the table is full");
                Timer::after(seconds(ROOM_S)).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.get_ref().set_nodelay(true);
                    let serving = self.clone().connection(stream);
                    self.node.ex.spawn(serving).detach();
                }
                // Out of descriptors, or the peer went while it waited: the next may do.
                Err(_) => drop(Timer::after(seconds(ROOM_S)).await),
            }
        }
    }

    /// Whether one more connection may stand. Those that have stood unused the longest make room for it.
    fn make_room(&self) -> bool {
        let standing = self.standing.borrow();
        if standing.len() < self.most {
            return true;
        }
        let now = self.node.now();
        let eligible = |s: &&Rc<Standing>| {
            let least_s = if s.asked.get() { IDLE_LEAST_S } else { SILENT_S };
            s.unused.get().is_some_and(|since| since + least_s <= now)
        };
        let mut unused: Vec<&Rc<Standing>> = standing.values().filter(eligible).collect();
        // Those that have asked before those that never did: theirs may still be on its way.
        unused.sort_by(|x, y| {
            y.asked.cmp(&x.asked).then(x.unused.get().partial_cmp(&y.unused.get()).unwrap_or(Equal))
        });
        // Many at a time: one for one, a rush of silent connections kept usual clients out for seconds.
        for s in unused.iter().take(self.most / 8 + 1) {
            s.unused.set(None);
            s.close.close();
        }
        // Their places are free once their tasks have ended.
        false
    }

    /// From now on each answer is the last of its connection.
    pub fn part(&self) {
        self.parting.set(true);
    }

    /// Connections without an open request are closed.
    pub fn close_unused(&self) {
        for s in self.standing.borrow().values().filter(|s| s.unused.get().is_some()) {
            s.close.close();
        }
    }

    pub fn len(&self) -> usize {
        self.standing.borrow().len()
    }

    async fn connection(self: Rc<Self>, mut stream: Async<TcpStream>) {
        let (close, closing) = async_channel::bounded(1);
        let me =
            Rc::new(Standing { unused: Cell::new(Some(self.node.now())), asked: Cell::new(false), close });
        let number = self.next.replace(self.next.get() + 1);
        self.standing.borrow_mut().insert(number, me.clone());
        let entry = Entry { of: self.clone(), number, me };
        let mut buf = BytesMut::new();
        let mut idle_s = WHOLE_S;
        loop {
            entry.me.unused.set(Some(self.node.now()));
            let waited = self.request(&mut stream, &mut buf, idle_s, &closing).await;
            entry.me.unused.set(None);
            let again = match waited {
                Err(No::Ended) => return,
                Err(No::Refused(status, word)) => {
                    tracing::debug!(at = self.node.now(), status, word, "refused");
                    say(&mut stream, status, word, None, true).await
                }
                Ok((head, body)) => {
                    entry.me.asked.set(true);
                    let close = head.close || self.parting.get();
                    self.serve(&mut stream, &mut buf, head, body, close).await
                }
            };
            if !again {
                return;
            }
            if buf.is_empty() {
                // Hundreds stand unused for long: none keeps a buffer.
                buf = BytesMut::new();
            }
            idle_s = IDLE_S;
        }
    }

    /// The next request, whole.
    async fn request(
        &self,
        stream: &mut Async<TcpStream>,
        buf: &mut BytesMut,
        idle_s: f64,
        closing: &Receiver<()>,
    ) -> Result<(Head, Bytes), No> {
        let wanted = async {
            if buf.is_empty() && !matches!(within(idle_s, read(stream, buf)).await, Some(Ok(n)) if n > 0) {
                return Err(No::Ended);
            }
            let whole = within(WHOLE_S, whole(stream, buf)).await;
            whole.map_or(Err(No::Refused(408, "a request that does not end")), |w| w.map_err(No::from))
        };
        let closed = async {
            let _ = closing.recv().await;
            Err(No::Ended)
        };
        futures_lite::future::or(wanted, closed).await
    }

    /// Answers a request. False: the connection cannot be used any more.
    async fn serve(
        self: &Rc<Self>,
        stream: &mut Async<TcpStream>,
        buf: &mut BytesMut,
        head: Head,
        body: Bytes,
        close: bool,
    ) -> bool {
        let (status, word, close) = match (head.method.as_str(), head.path()) {
            ("GET", READY) if self.parting.get() => (503, "leaving", true),
            // Its connection has no further use: hundreds that asked this and stayed filled the table within 2 s.
            ("GET", READY) => (200, "ready", true),
            ("POST", CHAT) => match head.ask(&self.names, &body) {
                Err(word) => (400, word, true),
                Ok(ask) => {
                    let id = ask.name.as_deref().unwrap_or_default();
                    if self.node.is_open(id) {
                        (409, "a request with this id is open", true)
                    } else {
                        if head.is_rest() {
                            tracing::debug!(at = self.node.now(), request = id, "asks for the rest");
                        }
                        match self.node.take(&ask, Passed::new(&head, id, body)) {
                            Err(why) => {
                                tracing::debug!(at = self.node.now(), ?why, "not taken");
                                (503, "no room", close)
                            }
                            Ok((taken, reply)) => return self.reply(stream, buf, taken, reply, close).await,
                        }
                    }
                }
            },
            (_, CHAT | READY) => (405, "no such call", true),
            _ => (404, "no such call", true),
        };
        say(stream, status, word, None, close).await
    }

    /// Waits for the answer and writes it as it comes, while it is seen whether the client stays.
    async fn reply(
        &self,
        stream: &mut Async<TcpStream>,
        buf: &mut BytesMut,
        mut taken: crate::node::Taken,
        reply: Receiver<Reply>,
        close: bool,
    ) -> bool {
        let Some(first) = stays(stream, buf, reply.recv()).await else { return false };
        let (status, word, back) = match first {
            Ok(Reply::Stream(from)) => {
                taken.over = self.stream(stream, buf, from, close).await;
                return taken.over && !close;
            }
            Ok(Reply::Shed(back)) => (503, "no engine has room in time", back),
            Ok(Reply::Errored) | Err(_) => (504, "no answer began in time", None),
        };
        taken.over = true;
        // Its id is free with its answer.
        drop(taken);
        say(stream, status, word, back, close).await
    }

    /// Passes a stream on. False: it broke, and the connection ends without its last chunk.
    async fn stream(
        &self,
        stream: &mut Async<TcpStream>,
        buf: &mut BytesMut,
        from: Receiver<Piece>,
        close: bool,
    ) -> bool {
        let close = if close { "connection: close\r\n" } else { "" };
        let mut out = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n{close}transfer-encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        loop {
            let Some(Ok(first)) = stays(stream, buf, from.recv()).await else { return false };
            let mut next = Some(first);
            let mut last = false;
            while let Some(piece) = next {
                match piece {
                    Piece::Data(d) => {
                        out.extend_from_slice(format!("{:x}\r\n", d.len()).as_bytes());
                        out.extend_from_slice(&d);
                        out.extend_from_slice(b"\r\n");
                    }
                    Piece::Last => {
                        out.extend_from_slice(b"0\r\n\r\n");
                        last = true;
                    }
                }
                next = from.try_recv().ok().filter(|_| !last);
            }
            if !written(stream, &out).await {
                return false;
            }
            if last {
                return true;
            }
            out.clear();
        }
    }
}

async fn written(stream: &mut Async<TcpStream>, bytes: &[u8]) -> bool {
    matches!(within(STALL_S, stream.write_all(bytes)).await, Some(Ok(())))
}

/// Writes a whole answer. False: the connection cannot be used any more.
async fn say(
    stream: &mut Async<TcpStream>,
    status: u16,
    word: &str,
    come_back_s: Option<f64>,
    close: bool,
) -> bool {
    written(stream, &plain(status, word, come_back_s, close)).await && !close
}

/// The future's result; none when the client goes first.
async fn stays<T>(
    stream: &mut Async<TcpStream>,
    buf: &mut BytesMut,
    f: impl std::future::Future<Output = T>,
) -> Option<T> {
    let gone = async {
        loop {
            if buf.len() > AHEAD {
                // More is not taken before the answer; whether it stays shows when that is written.
                std::future::pending::<()>().await;
            }
            if !matches!(read(stream, buf).await, Ok(n) if n > 0) {
                return None;
            }
        }
    };
    futures_lite::future::or(async { Some(f.await) }, gone).await
}

/// A whole request off the stream.
async fn whole(stream: &mut Async<TcpStream>, buf: &mut BytesMut) -> Result<(Head, Bytes), Broken> {
    let head = |b: &mut BytesMut| {
        Ok(request::head(b)?.map(|(head, n)| {
            b.advance(n);
            head
        }))
    };
    let head = next(stream, buf, head).await?;
    let body = body(stream, buf, head.framing, MOST_BODY).await?;
    Ok((head, body))
}
