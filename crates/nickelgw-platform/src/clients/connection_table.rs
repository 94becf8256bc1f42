//! The table of clients' connections: bounded, and idle ones make room for new ones.

use async_channel::{Receiver, Sender};
use nickelgw_node::within;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A connection that has been idle for less than this after a request is not closed to make room.
const MIN_IDLE_S: f64 = 2.0;
/// A connection that has carried no request is not closed before it has been silent for this: its client's first request is
/// on its way, and unlike one on a connection that was used before it is not sent again.
const MIN_SILENT_S: f64 = 0.5;
/// How often it is tried to make room while the table is full, or descriptors are exhausted.
const ROOM_RETRY_S: f64 = 0.02;
/// So many connections are closed at once to make room, as a part of the table: one for one, a rush of silent connections
/// kept usual clients out for seconds.
const CLOSED_AT_ONCE_DIVISOR: usize = 8;

/// The state of one connection.
pub struct ConnectionState {
    /// Idle since then, without one byte of a request; none: a request is arriving or open.
    pub idle_since: Cell<Option<f64>>,
    /// It has carried a whole request.
    pub has_carried_request: Cell<bool>,
    close: Sender<()>,
}

impl ConnectionState {
    /// Whether it has been idle for long enough to be closed, which takes `min_idle_s` after a request.
    fn may_close(&self, now: f64, min_idle_s: f64) -> bool {
        let min_idle_s = if self.has_carried_request.get() { min_idle_s } else { MIN_SILENT_S };
        self.idle_since.get().is_some_and(|since| since + min_idle_s <= now)
    }
}

/// All connections of clients.
pub struct ConnectionTable {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
    removed: Sender<()>,
    removals: Receiver<()>,
}

/// A connection's place in the table; dropped, the place is free.
pub struct ConnectionEntry {
    table: Rc<ConnectionTable>,
    /// The connection's number.
    pub number: u64,
    /// The connection's state.
    pub state: Rc<ConnectionState>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
        let _ = self.table.removed.try_send(());
    }
}

impl ConnectionTable {
    /// An empty table for so many connections.
    pub fn new(max_connections: usize) -> Rc<ConnectionTable> {
        let (removed, removals) = async_channel::bounded(1);
        Rc::new(ConnectionTable {
            max_connections,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            removed,
            removals,
        })
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether there is no place for one more.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_connections
    }

    /// A place for a new connection, and a channel that closes when the connection is to be closed.
    pub fn insert(self: &Rc<Self>, now: f64) -> (ConnectionEntry, Receiver<()>) {
        let (close, closing) = async_channel::bounded(1);
        let state = Rc::new(ConnectionState {
            idle_since: Cell::new(Some(now)),
            has_carried_request: Cell::new(false),
            close,
        });
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        (ConnectionEntry { table: self.clone(), number, state }, closing)
    }

    /// Closes those that have been idle the longest. Never one on which a request is arriving.
    pub fn make_room(&self, now: f64) {
        let connections = self.connections.borrow();
        let may_close = |state: &&Rc<ConnectionState>| state.may_close(now, MIN_IDLE_S);
        let mut idle: Vec<&Rc<ConnectionState>> = connections.values().filter(may_close).collect();
        // Those that have carried a request before those that never did: theirs may still be on its way.
        idle.sort_by(|left, right| {
            let by_idle = left.idle_since.get().partial_cmp(&right.idle_since.get()).unwrap_or(Equal);
            right.has_carried_request.cmp(&left.has_carried_request).then(by_idle)
        });
        for state in idle.iter().take(self.max_connections / CLOSED_AT_ONCE_DIVISOR + 1) {
            state.idle_since.set(None);
            state.close.close();
        }
    }

    /// Waits until a place is free, for a short time at most.
    pub async fn wait_for_room(&self) {
        within(ROOM_RETRY_S, self.removals.recv()).await;
    }

    /// Closes connections without an open or arriving request, also those that a request was just answered on: their clients
    /// send a request that crosses the close again. A new connection is left its time for the first request.
    pub fn close_idle(&self, now: f64) {
        let connections = self.connections.borrow();
        for state in connections.values().filter(|state| state.may_close(now, 0.0)) {
            state.close.close();
        }
    }
}
