//! Clients' connections: requests read within limits, one at a time, and answered as the core says.

use crate::core::engine::Passed;
use crate::core::events::Piece;
use crate::core::request::{self, Head, Names, CHAT, READY};
use crate::core::{Framing, Spoilt, MOST_BODY};
use crate::node::{Node, Reply, Taken};
use crate::socket::{Memory, Off, Socket};
use crate::wire::{body, next, read, Broken};
use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future::or;
use futures_lite::AsyncWriteExt;
use nickelgw_node::within;
use smol::Async;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// A connection that has not brought a whole request for so long is closed; so is one that stands unused, sooner
/// where others need its place.
const WHOLE_S: f64 = 2.4;
const IDLE_S: f64 = 30.0;
const IDLE_LEAST_S: f64 = 2.0;
/// A usual client's request follows at once on its connection.
const SILENT_S: f64 = 0.5;
/// How often it is looked for room while the table is full, or descriptors are out.
const ROOM_S: f64 = 0.02;
/// A client that takes nothing for so long has left.
const STALL_S: f64 = 5.0;
/// Events that wait go out together, up to so many bytes and one event.
const TOGETHER: usize = 64 * 1024;

/// A connection as the table has it.
struct Standing {
    /// Unused since then, with not one byte of a request; none: a request arrives or is open on it.
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
    memory: Rc<Memory>,
    standing: RefCell<BTreeMap<u64, Rc<Standing>>>,
    next: Cell<u64>,
    /// Each answer is the last of its connection.
    parting: Cell<bool>,
    /// A place has become free.
    free: Sender<()>,
    freed: Receiver<()>,
}

struct Entry {
    of: Rc<Clients>,
    number: u64,
    me: Rc<Standing>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.of.standing.borrow_mut().remove(&self.number);
        let _ = self.of.free.try_send(());
    }
}

/// Why no request came.
enum No {
    /// The connection ended.
    Ended,
    /// It is to be closed.
    Close,
    Refused(u16, &'static str),
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Next,
    /// That was its last answer.
    Close,
    /// Its client has gone.
    Gone,
}

impl Then {
    fn after(written: bool, close: bool) -> Then {
        match (written, close) {
            (false, _) => Then::Gone,
            (true, true) => Then::Close,
            (true, false) => Then::Next,
        }
    }
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
    pub fn new(node: Rc<Node>, names: Names, most: usize, memory: Rc<Memory>) -> Rc<Clients> {
        let (free, freed) = async_channel::bounded(1);
        Rc::new(Clients {
            node,
            names,
            most,
            memory,
            standing: RefCell::default(),
            next: Cell::new(0),
            parting: Cell::new(false),
            free,
            freed,
        })
    }

    /// Accepts until told to stop, and then what the system has accepted already: a request on such a connection counts as
    /// taken, and the listener closed over it would reset it. While the table is full a new connection waits unaccepted:
    /// closed unserved, its first request would have failed.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>, stop: Receiver<()>) {
        let mut stopping = false;
        loop {
            while self.standing.borrow().len() >= self.most {
                self.make_room();
                within(ROOM_S, self.freed.recv()).await;
            }
            match listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => {
                    // It has its place before its task runs: of a crowd at the door all were accepted, past the table.
                    let (entry, closing) = self.enter();
                    let serving = self.clone().connection(stream, entry, closing);
                    self.node.ex.spawn(serving).detach();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock && stopping => return,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let stopped = async {
                        let _ = stop.recv().await;
                        stopping = true;
                    };
                    let ready = async {
                        let _ = listener.readable().await;
                    };
                    or(ready, stopped).await;
                }
                Err(why) => {
                    // Out of descriptors, or the peer went while it waited. The listener stays readable meanwhile:
                    // asked again at once it would only turn.
                    tracing::debug!(at = self.node.now(), %why, "a connection could not be accepted");
                    self.make_room();
                    within(ROOM_S, self.freed.recv()).await;
                }
            }
        }
    }

    /// Those that have stood unused the longest make room for one more. Never one on which a request arrives.
    fn make_room(&self) {
        let standing = self.standing.borrow();
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

    /// A place in the table, and the word that it is to be given up.
    fn enter(self: &Rc<Self>) -> (Entry, Receiver<()>) {
        let (close, closing) = async_channel::bounded(1);
        let me =
            Rc::new(Standing { unused: Cell::new(Some(self.node.now())), asked: Cell::new(false), close });
        let number = self.next.replace(self.next.get() + 1);
        self.standing.borrow_mut().insert(number, me.clone());
        (Entry { of: self.clone(), number, me }, closing)
    }

    async fn connection(self: Rc<Self>, stream: Async<TcpStream>, entry: Entry, closing: Receiver<()>) {
        let socket = Socket::new(stream, &self.memory);
        let mut buf = BytesMut::new();
        let mut idle_s = WHOLE_S;
        loop {
            let waited = self.request(&socket, &mut buf, idle_s, &entry.me, &closing).await;
            entry.me.unused.set(None);
            let then = match waited {
                Err(No::Ended) => Then::Gone,
                Err(No::Close) => Then::Close,
                Err(No::Refused(status, word)) => {
                    tracing::debug!(at = self.node.now(), status, word, "refused");
                    self.node.unusable("client", word);
                    say(&socket, status, word, None, true).await
                }
                Ok((head, body)) => {
                    entry.me.asked.set(true);
                    let close = head.close || self.parting.get();
                    socket.begin(body.len(), buf.split());
                    let then = self.serve(&socket, head, body, close).await;
                    buf = socket.end();
                    then
                }
            };
            if then != Then::Next {
                let (connection, asked) = (entry.number, entry.me.asked.get());
                tracing::debug!(at = self.node.now(), connection, asked, why = ?then, "client connection ended");
            }
            match then {
                Then::Next => {}
                Then::Close => return socket.close().await,
                Then::Gone => return,
            }
            socket.part.holds(buf.len());
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
        socket: &Socket,
        buf: &mut BytesMut,
        idle_s: f64,
        me: &Standing,
        closing: &Receiver<()>,
    ) -> Result<(Head, Bytes), No> {
        if buf.is_empty() {
            me.unused.set(Some(self.node.now()));
            let first = async { Some(within(idle_s, read(&socket.stream, buf)).await) };
            let closed = async {
                let _ = closing.recv().await;
                None
            };
            match or(first, closed).await.flatten() {
                Some(Ok(n)) if n > 0 => {}
                Some(_) => return Err(No::Ended),
                // A request may come in the very moment of the close.
                None if socket.take_now(buf) => {}
                None => return Err(No::Close),
            }
        }
        // With its first byte a request is on its way: its connection is not closed to make room.
        me.unused.set(None);
        let whole = within(WHOLE_S, whole(socket, buf)).await;
        whole.unwrap_or(Err(No::Refused(408, "a request that does not end")))
    }

    /// Answers a request.
    async fn serve(self: &Rc<Self>, socket: &Rc<Socket>, head: Head, body: Bytes, close: bool) -> Then {
        let (status, word, close) = match (head.method.as_str(), head.path()) {
            ("GET", READY) if self.parting.get() => (503, "leaving", true),
            // Its connection has no further use: hundreds that asked this and stayed filled the table within 2 s.
            ("GET", READY) => (200, "ready", true),
            ("POST", CHAT) => match head.ask(&self.names, &body) {
                Err(word) => {
                    self.node.unusable("client", word);
                    (400, word, true)
                }
                Ok(ask) => {
                    let id = ask.name.as_deref().unwrap_or_default();
                    if self.node.is_open(id) {
                        (409, "a request with this id is open", true)
                    } else if socket.off() == Some(Off::Gone) {
                        // Sent ahead by a client that has gone meanwhile.
                        return Then::Gone;
                    } else {
                        if head.is_rest() {
                            tracing::debug!(at = self.node.now(), request = id, "asks for the rest");
                        }
                        match self.node.take(&ask, Passed::new(&head, id, body), socket) {
                            Err(why) => {
                                tracing::debug!(at = self.node.now(), ?why, "not taken");
                                (503, "no room", close)
                            }
                            Ok((taken, reply)) => return self.reply(socket, taken, reply, close).await,
                        }
                    }
                }
            },
            (_, CHAT | READY) => (405, "no such call", true),
            _ => (404, "no such call", true),
        };
        say(socket, status, word, None, close).await
    }

    /// Waits for the answer and writes it as it comes, while it is seen whether the client stays.
    async fn reply(&self, socket: &Socket, mut taken: Taken, reply: Receiver<Reply>, close: bool) -> Then {
        let first = match socket.stays(reply.recv()).await {
            Ok(first) => first,
            Err(Off::Gone) => return Then::Gone,
            Err(Off::Floods) => {
                // What is out for it is called off before its answer.
                drop(taken);
                return say(socket, 413, "more than one request before its answer", None, true).await;
            }
        };
        let (status, word, back) = match first {
            Ok(Reply::Stream(from)) => {
                let then = self.stream(socket, from, close).await;
                taken.over = then.is_ok();
                return then.unwrap_or_else(|broken| broken);
            }
            Ok(Reply::Shed(back)) => (503, "no engine has room in time", back),
            Ok(Reply::Errored) | Err(_) => (504, "no answer began in time", None),
        };
        taken.over = true;
        // Its id is free with its answer.
        drop(taken);
        say(socket, status, word, back, close).await
    }

    /// Passes a stream on. An error: it broke, and the connection ends without its last chunk.
    async fn stream(&self, socket: &Socket, from: Receiver<Piece>, close: bool) -> Result<Then, Then> {
        let said = if close { "connection: close\r\n" } else { "" };
        let mut out = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n{said}transfer-encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        loop {
            let first = match socket.stays(from.recv()).await {
                Ok(Ok(first)) => first,
                Ok(Err(_)) | Err(Off::Floods) => return Err(Then::Close),
                Err(Off::Gone) => return Err(Then::Gone),
            };
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
                next = if last || out.len() >= TOGETHER { None } else { from.try_recv().ok() };
            }
            if !written(socket, &out).await {
                return Err(Then::Gone);
            }
            if last {
                return Ok(Then::after(true, close));
            }
            out.clear();
        }
    }
}

/// Whether all of it was taken. A slow client is not one that has left: each part that it takes gives it time anew.
async fn written(socket: &Socket, mut bytes: &[u8]) -> bool {
    let mut to = &socket.stream;
    while !bytes.is_empty() {
        match within(STALL_S, to.write(bytes)).await {
            Some(Ok(n)) if n > 0 => bytes = bytes.get(n..).unwrap_or_default(),
            Some(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
            _ => return false,
        }
    }
    true
}

/// Writes a whole answer.
async fn say(socket: &Socket, status: u16, word: &str, come_back_s: Option<f64>, close: bool) -> Then {
    Then::after(written(socket, &plain(status, word, come_back_s, close)).await, close)
}

/// A whole request off the stream.
async fn whole(socket: &Socket, buf: &mut BytesMut) -> Result<(Head, Bytes), No> {
    let no_room = || No::Refused(503, "no memory for a request");
    let head = |b: &mut BytesMut| {
        Ok(request::head(b)?.map(|(head, n)| {
            b.advance(n);
            head
        }))
    };
    let head = next(&socket.stream, buf, head).await?;
    let coming = match head.framing {
        Framing::Unsaid => 0,
        Framing::Length(n) => n.min(MOST_BODY),
        Framing::Chunked => MOST_BODY,
    };
    if !socket.part.holds(buf.len().max(coming)) {
        return Err(no_room());
    }
    let body = body(&socket.stream, buf, head.framing, MOST_BODY).await?;
    socket.part.holds(buf.len() + body.len());
    Ok((head, body))
}
