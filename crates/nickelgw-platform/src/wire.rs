//! Connections towards engines and discovery, on plain sockets: hyper cannot tell when a request's last byte has gone,
//! which is what settles whether it may have run.

use crate::core::chunks::{Chunked, Step};
use crate::core::engine::{self, Answer};
use crate::core::events::{Events, Piece};
use crate::core::{Framing, Spoilt};
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::AsyncWriteExt;
use nickelgw_node::{seconds, within};
use nickelgw_node_core::AttemptOutcome;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Bytes read at once.
const READ: usize = 8 * 1024;
/// For a send that may not be made again a connection has stood no longer than this part of what its engine was seen to keep.
const YOUNG: f64 = 0.5;
/// Engines of which it is known.
const MOST_KEPT: usize = 2048;
/// Interim answers before the one that counts.
const MOST_INTERIM: usize = 16;

/// Reads what is there onto the buffer, without waiting; 0 at the end.
pub fn read_now(mut stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    let mut some = [0; READ];
    let n = loop {
        match stream.read(&mut some) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => break done?,
        }
    };
    buf.extend_from_slice(some.get(..n).unwrap_or_default());
    Ok(n)
}

/// Reads what is there onto the buffer; 0 at the end. Dropped while it waits it has taken nothing.
pub async fn read(stream: &Async<TcpStream>, buf: &mut BytesMut) -> io::Result<usize> {
    stream.read_with(|s| read_now(s, buf)).await
}

/// Writes all of it; a call that a signal interrupts is made again.
async fn write_all(mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = bytes.get(n..).unwrap_or_default(),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Why what a stream was to bring did not come.
pub enum Broken {
    Ended,
    Spoilt(Spoilt),
}

impl From<Spoilt> for Broken {
    fn from(s: Spoilt) -> Broken {
        Broken::Spoilt(s)
    }
}

impl From<Broken> for AttemptOutcome {
    fn from(b: Broken) -> AttemptOutcome {
        match b {
            Broken::Ended => AttemptOutcome::ConnectionLost,
            Broken::Spoilt(_) => AttemptOutcome::Malformed,
        }
    }
}

/// Reads until what is looked for can be taken off the buffer.
pub async fn next<T>(
    stream: &Async<TcpStream>,
    buf: &mut BytesMut,
    mut take: impl FnMut(&mut BytesMut) -> Result<Option<T>, Spoilt>,
) -> Result<T, Broken> {
    loop {
        if let Some(found) = take(buf)? {
            return Ok(found);
        }
        if !matches!(read(stream, buf).await, Ok(n) if n > 0) {
            return Err(Broken::Ended);
        }
    }
}

/// A message's body, whole; none longer than allowed.
pub async fn body(
    stream: &Async<TcpStream>,
    buf: &mut BytesMut,
    framing: Framing,
    most: usize,
) -> Result<Bytes, Broken> {
    match framing {
        Framing::Unsaid => Ok(Bytes::new()),
        Framing::Length(n) if n > most => Err(Spoilt::Long.into()),
        Framing::Length(n) => next(stream, buf, |b| Ok((b.len() >= n).then(|| b.split_to(n).freeze()))).await,
        Framing::Chunked => {
            let (mut chunked, mut body) = (Chunked::default(), BytesMut::new());
            next(stream, buf, |b| loop {
                let step = chunked.decode(b, &mut body, most)?;
                if body.len() > most {
                    return Err(Spoilt::Long);
                }
                match step {
                    Step::Wait => return Ok(None),
                    Step::Chunk => {}
                    Step::Whole => return Ok(Some(body.split().freeze())),
                }
            })
            .await
        }
    }
}

/// A descriptor in use; counted from when its connection is begun, as one that comes up late holds it as well.
struct Descriptor(Rc<Cell<usize>>);

impl Descriptor {
    fn new(open: &Rc<Cell<usize>>) -> Descriptor {
        open.set(open.get() + 1);
        Descriptor(open.clone())
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// What a connection is for. Sends leave some descriptors to the calls that let go of states and ask for health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    Send,
    /// One that may not be made again: a request that crosses the far side's close is a reset after which it may have run.
    Once,
    Short,
    /// A call that does not go out on a connection that has been idle: it may be silent.
    Fresh,
}

/// A connection of ours; dropped it closes, by which the far side knows that nobody waits.
pub struct Connection {
    address: String,
    stream: Rc<Async<TcpStream>>,
    buf: BytesMut,
    since: Instant,
    /// How long it had stood unused when it was last seen open.
    open_s: f64,
    /// How long it had stood unused when its call was made; none: it is new.
    stood_s: Option<f64>,
    _descriptor: Descriptor,
}

/// Ends a connection at once, whoever holds it.
pub struct Closer(Rc<Async<TcpStream>>);

impl Closer {
    pub fn close(&self) {
        let _ = self.0.get_ref().shutdown(Shutdown::Both);
    }
}

impl Connection {
    /// How long it had been idle when this call took it; none: it was opened for it.
    pub fn stood_s(&self) -> Option<f64> {
        self.stood_s
    }

    pub fn closer(&self) -> Closer {
        Closer(self.stream.clone())
    }

    /// Nothing came or ended while it stood unused.
    fn is_sound(&self) -> bool {
        loop {
            return match self.stream.get_ref().peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => self.buf.is_empty() && e.kind() == ErrorKind::WouldBlock,
                Ok(_) => false,
            };
        }
    }

    /// Writes a request. Until its last byte is handed over it is known not to have run.
    pub async fn write(&mut self, bytes: &[u8], out: &Cell<bool>) -> Result<(), AttemptOutcome> {
        // An error tells that not all of it was taken over.
        write_all(&self.stream, bytes).await.map_err(|_| AttemptOutcome::ConnectFailed)?;
        out.set(true);
        Ok(())
    }

    /// The head of the answer that counts: interim ones before it are passed over.
    pub async fn answer(&mut self) -> Result<Answer, AttemptOutcome> {
        for _ in 0..MOST_INTERIM {
            let head = |b: &mut BytesMut| {
                Ok(engine::answer(b)?.map(|(answer, n)| {
                    b.advance(n);
                    answer
                }))
            };
            let answer = next(&self.stream, &mut self.buf, head).await?;
            if answer.status >= 200 {
                return Ok(answer);
            }
        }
        Err(AttemptOutcome::Malformed)
    }

    /// What comes next of a stream of events. Dropped while it waits it has lost nothing.
    pub async fn piece(&mut self, events: &mut Events) -> Result<Piece, AttemptOutcome> {
        Ok(next(&self.stream, &mut self.buf, |b| events.next(b)).await?)
    }

    /// A whole body, and whether the connection can carry a further request.
    pub async fn body(&mut self, answer: &Answer, most: usize) -> Result<(Bytes, bool), AttemptOutcome> {
        if answer.status == 204 || answer.status == 304 {
            return Ok((Bytes::new(), !answer.close));
        }
        let body = body(&self.stream, &mut self.buf, answer.framing, most).await?;
        Ok((body, !answer.close && answer.framing != Framing::Unsaid))
    }
}

/// Seconds within which an answer's head, and the whole of it, are there.
#[derive(Clone, Copy, Debug)]
pub struct Within {
    pub head: f64,
    pub whole: f64,
}

impl Within {
    pub fn whole(s: f64) -> Within {
        Within { head: s, whole: s }
    }
}

/// Connections that stand unused, most lately used last.
pub struct Pool {
    idle: RefCell<BTreeMap<String, Vec<Connection>>>,
    /// How long an engine was seen to keep what stands unused, where one of its connections ended.
    kept_s: RefCell<BTreeMap<String, f64>>,
    open: Rc<Cell<usize>>,
    connect_s: f64,
    /// Longest that one is kept unused: engines close theirs at a time of their own.
    idle_s: f64,
    most: usize,
    /// Of these so many are kept back from sends.
    kept_back: usize,
}

impl Pool {
    pub fn new(connect_s: f64, idle_s: f64, most: usize, kept_back: usize) -> Rc<Pool> {
        Rc::new(Pool {
            idle: RefCell::default(),
            kept_s: RefCell::default(),
            open: Rc::default(),
            connect_s,
            idle_s,
            most,
            kept_back,
        })
    }

    /// A connection that stands, or a new one.
    pub async fn connection(&self, address: &str, what: Use) -> Result<Connection, AttemptOutcome> {
        let idle_s = match what {
            Use::Once => self.idle_s.min(YOUNG * self.kept_s.borrow().get(address).unwrap_or(&f64::INFINITY)),
            Use::Send | Use::Short | Use::Fresh => self.idle_s,
        };
        if what != Use::Fresh {
            if let Some(c) = self.idle_connection(address, idle_s) {
                return Ok(c);
            }
        }
        let most = if matches!(what, Use::Short | Use::Fresh) {
            self.most
        } else {
            self.most.saturating_sub(self.kept_back)
        };
        if self.open.get() >= most {
            self.close_idle(|_| true);
        }
        let to: SocketAddr = address.parse().map_err(|_| AttemptOutcome::ConnectFailed)?;
        if self.open.get() >= most {
            return Err(AttemptOutcome::ConnectFailed);
        }
        let descriptor = Descriptor::new(&self.open);
        let made = within(self.connect_s, Async::<TcpStream>::connect(to)).await;
        let stream = made.and_then(Result::ok).ok_or(AttemptOutcome::ConnectFailed)?;
        let _ = stream.get_ref().set_nodelay(true);
        let address = address.to_string();
        Ok(Connection {
            address,
            stream: Rc::new(stream),
            buf: BytesMut::new(),
            since: Instant::now(),
            open_s: 0.0,
            stood_s: None,
            _descriptor: descriptor,
        })
    }

    /// A connection that has been idle for less than so long, and is not known to have ended.
    fn idle_connection(&self, address: &str, idle_s: f64) -> Option<Connection> {
        loop {
            let mut c = self.idle.borrow_mut().get_mut(address).and_then(Vec::pop)?;
            let stood_s = c.since.elapsed().as_secs_f64();
            if !c.is_sound() {
                self.closed(&c, stood_s);
            } else if stood_s < idle_s {
                c.stood_s = Some(stood_s);
                return Some(c);
            }
        }
    }

    /// What a call on it tells of how long its engine keeps what stands unused: it was answered, or the connection broke.
    pub fn told(&self, c: &Connection, answered: bool) {
        let Some(stood_s) = c.stood_s else { return };
        if !answered {
            return self.keeps(&c.address, stood_s);
        }
        if let Some(kept_s) = self.kept_s.borrow_mut().get_mut(&c.address) {
            *kept_s = kept_s.max(stood_s);
        }
    }

    /// It has ended while it stood unused: since it was last seen open, at a time that is not known.
    fn closed(&self, c: &Connection, stood_s: f64) {
        self.keeps(&c.address, c.open_s.max(stood_s / 2.0));
    }

    fn keeps(&self, address: &str, s: f64) {
        let mut all = self.kept_s.borrow_mut();
        // Engines come and go; what is forgotten is seen again.
        if all.len() >= MOST_KEPT && !all.contains_key(address) {
            all.clear();
        }
        let kept_s = all.entry(address.to_string()).or_insert(f64::INFINITY);
        *kept_s = kept_s.min(s);
    }

    /// A connection whose last answer was read to its end waits for the next call.
    pub fn give_back(&self, mut c: Connection) {
        // What stands after an answer would be taken for the next one.
        if !c.buf.is_empty() {
            return;
        }
        c.buf = BytesMut::new();
        c.since = Instant::now();
        (c.open_s, c.stood_s) = (0.0, None);
        self.idle.borrow_mut().entry(c.address.clone()).or_default().push(c);
    }

    fn close_idle(&self, such: impl Fn(&Connection) -> bool) {
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|c| !such(c));
            !all.is_empty()
        });
    }

    /// Closes what has stood too long, or has ended, until dropped.
    pub async fn tend(self: Rc<Self>) {
        loop {
            Timer::after(seconds(1.0)).await;
            self.idle.borrow_mut().retain(|_, all| {
                all.retain_mut(|c| {
                    let stood_s = c.since.elapsed().as_secs_f64();
                    if stood_s >= self.idle_s {
                        return false;
                    }
                    let sound = c.is_sound();
                    if sound {
                        c.open_s = stood_s;
                    } else {
                        self.closed(c, stood_s);
                    }
                    sound
                });
                !all.is_empty()
            });
        }
    }

    /// A call without a body, its answer whole and no longer than allowed, or nothing within the time.
    pub async fn short(
        &self,
        what: Use,
        within_s: Within,
        method: &str,
        target: &str,
        address: &str,
        most: usize,
    ) -> Result<(Answer, Bytes), AttemptOutcome> {
        let call = async {
            let head = async {
                let mut c = self.connection(address, what).await?;
                c.write(&engine::short(method, target, address), &Cell::new(false)).await?;
                let answer = c.answer().await?;
                Ok((c, answer))
            };
            let (mut c, answer) =
                within(within_s.head, head).await.unwrap_or(Err(AttemptOutcome::TimedOut))?;
            let (body, again) = c.body(&answer, most).await?;
            if again {
                self.give_back(c);
            }
            Ok((answer, body))
        };
        within(within_s.whole, call).await.unwrap_or(Err(AttemptOutcome::TimedOut))
    }
}
