//! Pool of connections to engines and discovery, limited by the number of descriptors.

use crate::connection::DescriptorPermit;
pub use crate::connection::{Connection, ConnectionCloser};
use crate::core::engine::{self, ResponseHead};
use crate::core::Framing;
use crate::observed_idle_timeouts::ObservedIdleTimeouts;
use crate::return_waiters::ReturnWaiters;
use bytes::Bytes;
use nickelgw_node::{seconds, within};
use nickelgw_node_core::AttemptOutcome;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Maximum idle time of a connection that is reused for an attempt that may not be repeated, as a share of
/// the idle timeout that was observed at the engine.
const SINGLE_ATTEMPT_IDLE_SHARE: f64 = 0.5;
/// Interval between two checks of idle connections.
const IDLE_CHECK_INTERVAL_S: f64 = 1.0;

/// Purpose of a connection. Some descriptors are not available for attempts, but reserved for calls that
/// release reservations or probe engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// An attempt that may be repeated.
    Attempt,
    /// An attempt that may not be repeated: a request that crosses the engine's close of the connection is
    /// reset, and may have run.
    SingleAttempt,
    /// A probe, a release, or a call to discovery.
    Control,
    /// A control call on a new connection, since the engine may no longer respond on idle ones.
    NewConnection,
}

/// A call without a body and with a short response.
pub struct ShortCall<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Host and port.
    pub address: &'a str,
    /// Purpose, which determines the connections that the call may use.
    pub usage: ConnectionUse,
    /// Maximum size of the response's body.
    pub max_body_bytes: usize,
    /// Whether a body without a stated length is read up to the end of its connection, rather than taken as
    /// empty.
    pub reads_body_to_end: bool,
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Timeout for opening a connection, in seconds.
    pub connect_timeout_s: f64,
    /// Longest time for which a connection is kept idle, in seconds: engines close idle connections after a
    /// timeout of their own.
    pub max_idle_s: f64,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Number of connections that are reserved for calls other than attempts.
    pub reserved_for_control: usize,
}

/// Pool of connections to a set of addresses.
pub struct ConnectionPool {
    /// Idle connections by address, the most recently used last.
    idle: RefCell<BTreeMap<String, Vec<Connection>>>,
    observed_timeouts: RefCell<ObservedIdleTimeouts>,
    /// Control calls for which new connections are being opened.
    waiters: ReturnWaiters,
    /// Number of connections that are open or being opened.
    open: Rc<Cell<usize>>,
    limits: PoolLimits,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: PoolLimits) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            observed_timeouts: RefCell::default(),
            waiters: ReturnWaiters::default(),
            open: Rc::default(),
            limits,
        })
    }

    /// Returns an idle connection, or opens a new one. While a new one is being opened for a control call, the
    /// call takes a connection that another call to the same engine returns: the engine has just answered on it,
    /// and may be slow to accept new ones.
    pub async fn connection(
        &self,
        address: &str,
        usage: ConnectionUse,
    ) -> Result<Connection, AttemptOutcome> {
        if let Some(connection) = self.reusable_connection(address, usage) {
            return Ok(connection);
        }
        let max_open = self.max_open(usage);
        if self.open.get() >= max_open {
            self.close_idle();
        }
        let socket_address: SocketAddr = address.parse().map_err(|_| AttemptOutcome::ConnectFailed)?;
        if self.open.get() >= max_open {
            return Err(AttemptOutcome::ConnectFailed);
        }
        match usage {
            ConnectionUse::Attempt | ConnectionUse::SingleAttempt => {
                self.open_connection(address, socket_address).await
            }
            ConnectionUse::Control | ConnectionUse::NewConnection => {
                let waiter = self.waiters.wait(address);
                let returned = async { Ok(waiter.connection().await) };
                futures_lite::future::or(returned, self.open_connection(address, socket_address)).await
            }
        }
    }

    async fn open_connection(
        &self,
        address: &str,
        socket_address: SocketAddr,
    ) -> Result<Connection, AttemptOutcome> {
        let permit = DescriptorPermit::new(&self.open);
        let connect = Async::<TcpStream>::connect(socket_address);
        let connected = within(self.limits.connect_timeout_s, connect).await;
        let stream = connected.and_then(Result::ok).ok_or(AttemptOutcome::ConnectFailed)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::new(address, stream, permit))
    }

    fn reusable_connection(&self, address: &str, usage: ConnectionUse) -> Option<Connection> {
        let max_idle_s = self.limits.max_idle_s;
        match usage {
            ConnectionUse::NewConnection => None,
            ConnectionUse::Attempt => self.idle_connection(address, max_idle_s),
            ConnectionUse::Control => self.idle_control_connection(address, max_idle_s),
            ConnectionUse::SingleAttempt => {
                let observed_s = self.observed_timeouts.borrow().of(address);
                self.idle_connection(address, max_idle_s.min(SINGLE_ATTEMPT_IDLE_SHARE * observed_s))
            }
        }
    }

    fn max_open(&self, usage: ConnectionUse) -> usize {
        match usage {
            ConnectionUse::Control | ConnectionUse::NewConnection => self.limits.max_connections,
            ConnectionUse::Attempt | ConnectionUse::SingleAttempt => {
                self.limits.max_connections.saturating_sub(self.limits.reserved_for_control)
            }
        }
    }

    /// Takes a connection from the pool that has been idle for less than `max_idle_s`, gets no surplus response
    /// and is not known to have ended; `None` if there is none.
    fn idle_connection(&self, address: &str, max_idle_s: f64) -> Option<Connection> {
        let is_usable = |connection: &Connection| !connection.may_get_surplus_response();
        self.idle_connection_where(address, max_idle_s, is_usable)
    }

    /// Takes a connection for a control call. One that may get a surplus response is taken if there is no other:
    /// a surplus response is a stream, which is distinguishable from the response to a control call.
    fn idle_control_connection(&self, address: &str, max_idle_s: f64) -> Option<Connection> {
        let connection = self.idle_connection(address, max_idle_s);
        connection.or_else(|| self.idle_connection_where(address, max_idle_s, |_| true))
    }

    fn idle_connection_where(
        &self,
        address: &str,
        max_idle_s: f64,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        loop {
            let mut connection = self.take_last_idle(address, &is_usable)?;
            let idle_s = connection.idle_elapsed_s();
            if !connection.is_reusable() {
                self.record_idle_close(&connection, idle_s);
            } else if idle_s < max_idle_s {
                connection.set_in_use(idle_s);
                return Some(connection);
            }
        }
    }

    /// Takes the most recently used of the usable connections out of the pool.
    fn take_last_idle(&self, address: &str, is_usable: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let index = connections.iter().rposition(is_usable)?;
        Some(connections.remove(index))
    }

    /// Learns from a call on a reused connection how long its engine keeps idle connections: either the call
    /// was answered, or the connection broke.
    pub fn record_use(&self, connection: &Connection, answered: bool) {
        let Some(idle_s) = connection.idle_s() else { return };
        let mut timeouts = self.observed_timeouts.borrow_mut();
        match answered {
            true => timeouts.record_open(&connection.address, idle_s),
            false => timeouts.record_closed(&connection.address, idle_s),
        }
    }

    /// Learns from a connection that has ended while it was idle, at an unknown time after it was last seen
    /// open.
    fn record_idle_close(&self, connection: &Connection, idle_s: f64) {
        let closed_after_s = connection.seen_open_after_s.max(idle_s / 2.0);
        self.observed_timeouts.borrow_mut().record_closed(&connection.address, closed_after_s);
    }

    /// Returns a connection whose last response was read to its end to the pool, for a control call that waits
    /// or for the next call.
    pub fn put_idle(&self, mut connection: Connection) {
        if !connection.set_idle() {
            return;
        }
        if let Some(connection) = self.waiters.offer(connection) {
            self.idle.borrow_mut().entry(connection.address.clone()).or_default().push(connection);
        }
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long or have ended, until the future is dropped.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            Timer::after(seconds(IDLE_CHECK_INTERVAL_S)).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain_mut(|connection| self.may_stay_idle(connection));
                !connections.is_empty()
            });
        }
    }

    fn may_stay_idle(&self, connection: &mut Connection) -> bool {
        let idle_s = connection.idle_elapsed_s();
        if idle_s >= self.limits.max_idle_s {
            return false;
        }
        let reusable = connection.is_reusable();
        if reusable {
            connection.seen_open_after_s = idle_s;
        } else {
            self.record_idle_close(connection, idle_s);
        }
        reusable
    }

    /// Makes a call without a body. Returns the whole response, or an error if the call fails or is not
    /// complete within `timeout_s` seconds.
    pub async fn call_within(
        &self,
        timeout_s: f64,
        call: &ShortCall<'_>,
    ) -> Result<(ResponseHead, Bytes), AttemptOutcome> {
        within(timeout_s, self.call(call, || {})).await.unwrap_or(Err(AttemptOutcome::TimedOut))
    }

    /// Makes a call without a body, for as long as the future is not dropped. `head_received` is called when
    /// the response's head has been read.
    pub async fn call(
        &self,
        call: &ShortCall<'_>,
        head_received: impl FnOnce(),
    ) -> Result<(ResponseHead, Bytes), AttemptOutcome> {
        let mut connection = self.connection(call.address, call.usage).await?;
        let bytes = engine::encode_bodiless_request(call.method, call.target, call.address);
        connection.write(&[bytes.into()], &Cell::new(false)).await?;
        let head = connection.response_head().await?;
        if head.is_event_stream {
            // A surplus response to an earlier request on this connection.
            return Err(AttemptOutcome::Malformed);
        }
        head_received();
        if call.reads_body_to_end && head.framing == Framing::Unspecified {
            let body = connection.body_to_end(call.max_body_bytes).await?;
            return Ok((head, body));
        }
        let (body, reusable) = connection.body(&head, call.max_body_bytes).await?;
        if reusable {
            self.put_idle(connection);
        }
        Ok((head, body))
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
