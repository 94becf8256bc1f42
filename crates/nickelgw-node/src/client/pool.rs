//! The connection pool: runs the commands of the pool's core ([`nickelgw_tls::core::pool`]).

use super::connect::{connect, HttpConnection, Tls};
use super::peer::{address_of, Peer};
use crate::clock::{seconds, within};
use crate::tls_reload;
use async_channel::{Receiver, Sender};
use nickelgw_node_core::AttemptOutcome;
use nickelgw_tls::core::pool::{
    self, Checkout, ConnectFailure, ConnectionId, PoolCommand, PoolConfig, WaiterId,
};
use nickelgw_tls::{TlsEvent, TlsFailure};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Shortest and longest sleep between two checks of the pool's timeouts.
const MIN_SLEEP_S: f64 = 0.01;
const MAX_SLEEP_S: f64 = 0.25;

/// A connection checked out for a call. Dropping it in the middle of the call closes it, which tells the peer
/// that the response is no longer needed.
pub struct Connection {
    pool: Rc<Pool>,
    pool_key: String,
    id: ConnectionId,
    pub(super) http: Option<HttpConnection>,
    /// Whether the connection was opened for this call, so that no response was ever received on it.
    pub(super) is_new: bool,
}

impl Connection {
    /// Reports to the pool that the peer rejected this node's certificate after the handshake.
    pub(super) fn certificate_rejected(&self) {
        self.pool.core.borrow_mut().connection_failed(
            self.pool.now(),
            &self.pool_key,
            ConnectFailure::Untrusted,
        );
        tracing::warn!(engine = self.pool_key, "client certificate rejected or missing");
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.http.take().is_some() {
            self.pool.core.borrow_mut().closed(self.pool.now(), &self.pool_key, self.id);
            self.pool.run_ready();
        }
    }
}

/// A call that waits for a connection. Dropping it removes it from the queue and returns a connection that it
/// was granted but has not picked up.
struct Waiter<'a> {
    pool: &'a Pool,
    pool_key: &'a str,
    /// Id in the core; `None` once the core knows that the wait is over.
    id: Option<WaiterId>,
    granted: Option<Receiver<Checkout>>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(waiter) = self.id else { return };
        let now = self.pool.now();
        self.pool.waiters.borrow_mut().remove(&waiter);
        match self.granted.as_ref().and_then(|granted| granted.try_recv().ok()) {
            Some(Checkout::Reuse(id)) => self.pool.core.borrow_mut().returned(now, self.pool_key, id),
            _ => self.pool.core.borrow_mut().abandon(now, waiter),
        }
        self.pool.run_ready();
    }
}

/// Pool of the connections to all peers.
pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    core: RefCell<pool::Pool>,
    idle: RefCell<HashMap<ConnectionId, HttpConnection>>,
    waiters: RefCell<HashMap<WaiterId, Sender<Checkout>>>,
    next_waiter: Cell<u64>,
    started_at: Instant,
    connect_timeout_s: f64,
    /// TLS configuration; `None` if all connections are plain.
    pub tls: Option<Tls>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        connect_timeout_s: f64,
        config: PoolConfig,
        tls: Option<Tls>,
    ) -> Rc<Pool> {
        let mut core = pool::Pool::new(config);
        core.rotate(0.0, generation(tls.as_ref()));
        Rc::new(Pool {
            executor,
            core: RefCell::new(core),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            started_at: Instant::now(),
            connect_timeout_s,
            tls,
        })
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Reloads the TLS files. Connections of an earlier generation are retired.
    pub async fn reload_tls(&self) {
        let Some(tls) = self.tls.clone() else { return };
        let events =
            tls_reload::reload("engines", tls.0.clone(), nickelgw_tls::Client::reload_if_changed).await;
        let is_reloaded =
            events.iter().any(|event| !matches!(event, TlsEvent::Unreadable(_) | TlsEvent::Refused(_)));
        if let Some((_, generation)) = tls.config().filter(|_| is_reloaded) {
            self.core.borrow_mut().rotate(self.now(), generation);
        }
    }

    /// Closes idle and retired connections when they are due; runs until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let (commands, wake_at) = self.core.borrow_mut().poll_commands(self.now());
            self.run_commands(commands);
            let sleep_s = wake_at.map_or(MAX_SLEEP_S, |at| (at - self.now()).clamp(MIN_SLEEP_S, MAX_SLEEP_S));
            Timer::after(seconds(sleep_s)).await;
        }
    }

    fn run_ready(&self) {
        let commands = self.core.borrow_mut().take_commands();
        self.run_commands(commands);
    }

    fn run_commands(&self, commands: Vec<PoolCommand>) {
        for command in commands {
            match command {
                PoolCommand::Close(connection) => drop(self.idle.borrow_mut().remove(&connection)),
                PoolCommand::Notify(waiter, checkout) => {
                    let granted = self.waiters.borrow_mut().remove(&waiter);
                    // The channel has room for this one message. If the waiter is dropped without reading it,
                    // its `drop` returns the connection.
                    if let Some(granted) = granted {
                        let _ = granted.try_send(checkout);
                    }
                }
            }
        }
    }

    /// Closes the idle connections to addresses for which `is_wanted` is false.
    pub fn retain_addresses(&self, is_wanted: impl Fn(&str) -> bool) {
        self.core.borrow_mut().retain_engines(|pool_key| is_wanted(address_of(pool_key)));
        self.run_ready();
    }

    /// Checks out a connection to the peer, reused or new, once the core grants one.
    pub(super) async fn checkout(self: &Rc<Self>, peer: Peer<'_>) -> Result<Connection, AttemptOutcome> {
        let pool_key = peer.pool_key();
        let waiter_id = WaiterId(self.next_waiter.replace(self.next_waiter.get() + 1));
        let mut checkout = self.core.borrow_mut().checkout(self.now(), &pool_key, waiter_id);
        let mut waiter = Waiter { pool: self, pool_key: &pool_key, id: Some(waiter_id), granted: None };
        if checkout == Checkout::Wait {
            let (sender, granted) = async_channel::bounded(1);
            self.waiters.borrow_mut().insert(waiter_id, sender);
            waiter.granted = Some(granted.clone());
            // A connection granted just as the wait times out is returned by the waiter's `drop` and goes to
            // the next call in the queue.
            let Some(Ok(granted)) = within(self.connect_timeout_s, granted.recv()).await else {
                return Err(AttemptOutcome::ConnectFailed);
            };
            checkout = granted;
        }
        match checkout {
            Checkout::Reuse(id) => {
                waiter.id = None;
                let http = self.idle.borrow_mut().remove(&id).filter(|http| !http.sender.is_closed());
                if http.is_some() {
                    drop(waiter);
                    return Ok(Connection { pool: self.clone(), pool_key, id, http, is_new: false });
                }
                self.core.borrow_mut().closed(self.now(), &pool_key, id);
                self.run_ready();
                Box::pin(self.checkout(peer)).await
            }
            Checkout::Open => {
                let opened = self.open(peer, waiter).await?;
                Ok(Connection {
                    pool: self.clone(),
                    pool_key,
                    id: opened.0,
                    http: Some(opened.1),
                    is_new: true,
                })
            }
            Checkout::Rejected | Checkout::Wait => {
                waiter.id = None;
                Err(AttemptOutcome::ConnectFailed)
            }
        }
    }

    async fn open(
        &self,
        peer: Peer<'_>,
        mut waiter: Waiter<'_>,
    ) -> Result<(ConnectionId, HttpConnection), AttemptOutcome> {
        let waiter_id = waiter.id.ok_or(AttemptOutcome::ConnectFailed)?;
        let generation = generation(self.tls.as_ref());
        let opened = within(self.connect_timeout_s, connect(&self.executor, self.tls.as_ref(), peer)).await;
        let opened = opened.unwrap_or_else(|| {
            Err(TlsFailure::Connection(format!("not connected within {} s", self.connect_timeout_s)))
        });
        waiter.id = None;
        match opened {
            Ok(http) => {
                let id = self.core.borrow_mut().handshake_succeeded(self.now(), waiter_id, generation);
                self.run_ready();
                Ok((id.ok_or(AttemptOutcome::ConnectFailed)?, http))
            }
            Err(why) => {
                tracing::debug!(engine = waiter.pool_key, ?why, "connect failed");
                self.core.borrow_mut().handshake_failed(self.now(), waiter_id, why.connect_failure());
                self.run_ready();
                Err(AttemptOutcome::ConnectFailed)
            }
        }
    }

    /// Returns a connection whose last response was read to its end, for the next call.
    pub fn return_connection(&self, mut connection: Connection) {
        let Some(http) = connection.http.take() else { return };
        if http.sender.is_closed() {
            self.core.borrow_mut().closed(self.now(), &connection.pool_key, connection.id);
        } else {
            self.idle.borrow_mut().insert(connection.id, http);
            self.core.borrow_mut().returned(self.now(), &connection.pool_key, connection.id);
        }
        self.run_ready();
    }
}

/// Returns the generation of the TLS configuration in force, or 0 if there is none.
fn generation(tls: Option<&Tls>) -> u64 {
    tls.and_then(Tls::config).map_or(0, |(_, generation)| generation)
}
