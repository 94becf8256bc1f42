//! HTTP/1.1 towards engines and the list: connections as the pool's core grants them, in TLS where set, and what a
//! failure proves.

use crate::{seconds, unix_now, within};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_rustls::pki_types::ServerName;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::TlsConnector;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use nickelgw_node_core::AttemptOutcome;
use nickelgw_tls::core::pool::{
    self, Checkout, ConnectFailure, ConnectionId, PoolCommand, PoolConfig, WaiterId,
};
use nickelgw_tls::{classify_error, TlsEvent, TlsFailure};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Bytes read at once from an engine.
const READ_BUFFER: usize = 4096;
/// Bodies that are read whole from peers: errors, read answers, lists.
pub const LONGEST_BODY: usize = 4 << 20;

/// Whom to call, and by which name its certificate is verified.
#[derive(Clone, Copy)]
pub struct Peer<'a> {
    pub address: &'a str,
    /// None: plain.
    pub name: Option<&'a str>,
    /// Set once something of the call may go out: until then it is known not to have run.
    pub out: Option<&'a Cell<bool>>,
}

impl<'a> Peer<'a> {
    pub fn plain(address: &'a str) -> Self {
        Peer { address, name: None, out: None }
    }

    fn lane(&self) -> String {
        match self.name {
            None => self.address.to_string(),
            Some(n) => format!("{} {n}", self.address),
        }
    }
}

/// TLS towards engines: its files are looked at off this thread.
#[derive(Clone)]
pub struct Tls(pub Arc<Mutex<nickelgw_tls::Client>>);

impl Tls {
    fn config(&self) -> Option<(Arc<ClientConfig>, u64)> {
        self.0.lock().unwrap_or_else(|e| e.into_inner()).config()
    }
}

struct Inner {
    sender: SendRequest<Full<Bytes>>,
    _task: Task<()>,
}

/// A connection handed out; dropped in the middle of a call it closes, by which the peer knows that nobody waits.
pub struct Connection {
    pool: Rc<Pool>,
    lane: String,
    id: ConnectionId,
    inner: Option<Inner>,
    /// Made for this call: nothing was ever answered on it.
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.inner.take().is_some() {
            self.pool.core.borrow_mut().closed(self.pool.now(), &self.lane, self.id);
            self.pool.settle();
        }
    }
}

/// An asker that goes away tells so, and gives back what it was granted unheard.
struct Asking<'a> {
    pool: &'a Pool,
    lane: &'a str,
    asker: Option<WaiterId>,
    told: Option<Receiver<Checkout>>,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let Some(asker) = self.asker else { return };
        let now = self.pool.now();
        self.pool.waiting.borrow_mut().remove(&asker);
        match self.told.as_ref().and_then(|t| t.try_recv().ok()) {
            Some(Checkout::Reuse(id)) => self.pool.core.borrow_mut().returned(now, self.lane, id),
            _ => self.pool.core.borrow_mut().abandon(now, asker),
        }
        self.pool.settle();
    }
}

pub struct Pool {
    ex: Rc<LocalExecutor<'static>>,
    core: RefCell<pool::Pool>,
    standing: RefCell<HashMap<ConnectionId, Inner>>,
    waiting: RefCell<HashMap<WaiterId, Sender<Checkout>>>,
    next: Cell<u64>,
    began: Instant,
    connect_s: f64,
    pub tls: Option<Tls>,
}

impl Pool {
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        connect_s: f64,
        figures: PoolConfig,
        tls: Option<Tls>,
    ) -> Rc<Pool> {
        let mut core = pool::Pool::new(figures);
        core.rotate(0.0, tls.as_ref().and_then(Tls::config).map_or(0, |c| c.1));
        Rc::new(Pool {
            ex,
            core: RefCell::new(core),
            standing: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            began: Instant::now(),
            connect_s,
            tls,
        })
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Handshakes made, connections reused, askers refused.
    pub fn counts(&self) -> (u64, u64, u64) {
        let c = self.core.borrow();
        (c.handshakes, c.reuses, c.rejected)
    }

    /// Looks after time's own matters: idle connections, rotations, files. Runs until dropped.
    /// Looks at the files of keys and trust.
    pub async fn look(&self) {
        let Some(tls) = self.tls.clone() else { return };
        let said = looked("engines", tls.0.clone(), nickelgw_tls::Client::reload_if_changed).await;
        if let Some((_, generation)) = tls.config() {
            if said.iter().any(|s| !matches!(s, TlsEvent::Unreadable(_) | TlsEvent::Refused(_))) {
                self.core.borrow_mut().rotate(self.now(), generation);
            }
        }
    }

    pub async fn tend(self: Rc<Self>) {
        loop {
            let (todo, wake) = self.core.borrow_mut().poll_commands(self.now());
            self.act(todo);
            let wake = wake.map_or(0.25, |w| (w - self.now()).clamp(0.01, 0.25));
            Timer::after(seconds(wake)).await;
        }
    }

    fn settle(&self) {
        let todo = self.core.borrow_mut().take_commands();
        self.act(todo);
    }

    fn act(&self, todo: Vec<PoolCommand>) {
        for d in todo {
            match d {
                PoolCommand::Close(c) => drop(self.standing.borrow_mut().remove(&c)),
                PoolCommand::Notify(asker, answer) => {
                    let told = self.waiting.borrow_mut().remove(&asker);
                    // The channel holds the one answer; if nobody reads it any more its guard gives all back.
                    if let Some(to) = told {
                        let _ = to.try_send(answer);
                    }
                }
            }
        }
    }

    /// Addresses that are no longer listed keep nothing open.
    pub fn forget_others(&self, wanted: impl Fn(&str) -> bool) {
        self.core.borrow_mut().retain_engines(|lane| wanted(lane.split(' ').next().unwrap_or(lane)));
        self.settle();
    }

    async fn connection(self: &Rc<Self>, peer: Peer<'_>) -> Result<Connection, AttemptOutcome> {
        let lane = peer.lane();
        let asker = WaiterId(self.next.replace(self.next.get() + 1));
        let mut answer = self.core.borrow_mut().checkout(self.now(), &lane, asker);
        let mut asking = Asking { pool: self, lane: &lane, asker: Some(asker), told: None };
        if answer == Checkout::Wait {
            let (to, from) = async_channel::bounded(1);
            self.waiting.borrow_mut().insert(asker, to);
            asking.told = Some(from.clone());
            // What is granted in the last moment goes to the next, by the guard.
            let Some(Ok(told)) = within(self.connect_s, from.recv()).await else {
                return Err(AttemptOutcome::ConnectFailed);
            };
            answer = told;
        }
        match answer {
            Checkout::Reuse(id) => {
                asking.asker = None;
                let inner = self.standing.borrow_mut().remove(&id).filter(|i| !i.sender.is_closed());
                match inner {
                    Some(inner) => {
                        drop(asking);
                        Ok(Connection { pool: self.clone(), lane, id, inner: Some(inner), fresh: false })
                    }
                    None => {
                        self.core.borrow_mut().closed(self.now(), &lane, id);
                        self.settle();
                        Box::pin(self.connection(peer)).await
                    }
                }
            }
            Checkout::Open => {
                let generation = self.tls.as_ref().and_then(Tls::config).map_or(0, |c| c.1);
                let opened = within(self.connect_s, self.open(peer)).await;
                let late = || Err(TlsFailure::Connection("not in time".into()));
                let opened = opened.unwrap_or_else(late);
                asking.asker = None;
                match opened {
                    Ok(inner) => {
                        let id = self.core.borrow_mut().handshake_succeeded(self.now(), asker, generation);
                        self.settle();
                        let id = id.ok_or(AttemptOutcome::ConnectFailed)?;
                        drop(asking);
                        Ok(Connection { pool: self.clone(), lane, id, inner: Some(inner), fresh: true })
                    }
                    Err(why) => {
                        tracing::debug!(engine = lane, ?why, "no connection");
                        self.core.borrow_mut().handshake_failed(self.now(), asker, why.connect_failure());
                        self.settle();
                        Err(AttemptOutcome::ConnectFailed)
                    }
                }
            }
            Checkout::Rejected | Checkout::Wait => {
                asking.asker = None;
                Err(AttemptOutcome::ConnectFailed)
            }
        }
    }

    /// Connects, and verifies: no byte of a request leaves before that.
    async fn open(&self, peer: Peer<'_>) -> Result<Inner, TlsFailure> {
        let io = |e: std::io::Error| classify_error(&e);
        let stream = TcpStream::connect(peer.address).await.map_err(io)?;
        stream.set_nodelay(true).map_err(io)?;
        // Buffers that fit a few events: thousands of streams hold one each.
        let mut http = Builder::new();
        http.read_buf_exact_size(Some(READ_BUFFER));
        let gone = |e: hyper::Error| classify_error(&e);
        let Some(name) = peer.name else {
            let (sender, conn) = http.handshake(FuturesIo::new(stream)).await.map_err(gone)?;
            let _task = self.ex.spawn(async move { drop(conn.await) });
            return Ok(Inner { sender, _task });
        };
        let config = self.tls.as_ref().and_then(Tls::config);
        let (config, _) = config.ok_or_else(|| TlsFailure::Protocol("no keys and trust in force".into()))?;
        let name = ServerName::try_from(name.to_string());
        let name = name.map_err(|_| TlsFailure::PeerCertificate("the engine's name is none".into()))?;
        let stream = TlsConnector::from(config).connect(name, stream).await.map_err(io)?;
        let (sender, conn) = http.handshake(FuturesIo::new(stream)).await.map_err(gone)?;
        let _task = self.ex.spawn(async move { drop(conn.await) });
        Ok(Inner { sender, _task })
    }

    /// A connection whose last answer was read to its end waits for the next call.
    pub fn give_back(&self, mut conn: Connection) {
        let Some(inner) = conn.inner.take() else { return };
        if inner.sender.is_closed() {
            self.core.borrow_mut().closed(self.now(), &conn.lane, conn.id);
        } else {
            self.standing.borrow_mut().insert(conn.id, inner);
            self.core.borrow_mut().returned(self.now(), &conn.lane, conn.id);
        }
        self.settle();
    }

    /// Makes the call; the answer's head, and the connection to give back once the body is read.
    pub async fn call(
        self: &Rc<Self>,
        peer: Peer<'_>,
        request: &Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), AttemptOutcome> {
        loop {
            let mut conn = self.connection(peer).await?;
            let Some(inner) = &mut conn.inner else { return Err(AttemptOutcome::ConnectFailed) };
            if inner.sender.ready().await.is_err() {
                if !conn.fresh {
                    continue;
                }
                return Err(AttemptOutcome::ConnectFailed);
            }
            if let Some(out) = peer.out {
                out.set(true);
            }
            let e = match inner.sender.send_request(request.clone()).await {
                Ok(response) => return Ok((response, conn)),
                Err(e) => e,
            };
            // TLS 1.3: the far side verifies us after we may have written. Its certificate alert says that its
            // handshake never ended, so it has read nothing of what came after: proven not to have run.
            if conn.fresh
                && peer.name.is_some()
                && matches!(classify_error(&e), TlsFailure::OwnCertificate(_))
            {
                self.core.borrow_mut().connection_failed(self.now(), &conn.lane, ConnectFailure::Untrusted);
                tracing::warn!(engine = conn.lane, "our certificate is not accepted, or missing");
                return Err(AttemptOutcome::ConnectFailed);
            }
            match e {
                // Closed before a byte went out: proven not to have run, another connection may carry it.
                e if e.is_canceled() && !conn.fresh => continue,
                e if e.is_canceled() => return Err(AttemptOutcome::ConnectFailed),
                e if e.is_parse() => return Err(AttemptOutcome::Malformed),
                _ => return Err(AttemptOutcome::ConnectionLost),
            }
        }
    }

    /// Makes the call and reads the answer whole: its status, head and body.
    pub async fn fetch(
        self: &Rc<Self>,
        peer: Peer<'_>,
        request: &Request<Full<Bytes>>,
    ) -> Result<(u16, hyper::HeaderMap, Bytes), AttemptOutcome> {
        let (response, conn) = self.call(peer, request).await?;
        let (head, body) = response.into_parts();
        let body = whole(body).await?;
        self.give_back(conn);
        Ok((head.status.as_u16(), head.headers, body))
    }
}

pub async fn whole(body: Incoming) -> Result<Bytes, AttemptOutcome> {
    match Limited::new(body, LONGEST_BODY).collect().await {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(AttemptOutcome::Malformed),
        Err(_) => Err(AttemptOutcome::ConnectionLost),
    }
}

/// Looks at files of keys and trust on a thread that may wait, and says what that brought.
pub(crate) async fn looked<T: Send + 'static>(
    side: &str,
    files: Arc<Mutex<T>>,
    look: fn(&mut T, f64) -> Vec<TlsEvent>,
) -> Vec<TlsEvent> {
    let now = unix_now();
    let said = smol::unblock(move || look(&mut files.lock().unwrap_or_else(|e| e.into_inner()), now)).await;
    say(side, &said);
    said
}

/// What a look at keys and trust brought, for operators.
fn say(side: &str, said: &[TlsEvent]) {
    for s in said {
        match s {
            TlsEvent::InForce { generation } => tracing::info!(side, generation, "keys and trust in force"),
            TlsEvent::Unreadable(p) => {
                tracing::warn!(side, problem = %p, "keys and trust not read; the old stay")
            }
            TlsEvent::Refused(why) => tracing::warn!(side, %why, "keys and trust refused; the old stay"),
            TlsEvent::Notice(n) => tracing::warn!(side, notice = ?n, "certificate"),
        }
    }
}
