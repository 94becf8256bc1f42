//! The table of clients' connections. Its size is limited; idle connections are closed to make room for new
//! ones.

use async_channel::{Receiver, Sender};
use event_listener::Event;
use nickelgw_node::within;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering::Equal;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum idle time after a request before a connection may be closed to make room.
const MIN_IDLE_S: f64 = 2.0;
/// Minimum time for which a new connection may stay without a byte before it may be closed: its client's
/// first request may be on its way, and clients do not repeat it, unlike a request on a connection that was
/// used before.
const MIN_SILENT_S: f64 = 0.5;
/// Minimum time without a byte after which a request that is arriving has to give way to other connections.
const MIN_STALLED: Duration = Duration::from_millis(500);
/// Interval at which the node tries to make room while the table is full or descriptors are exhausted.
const ROOM_RETRY_S: f64 = 0.02;
/// The table's size divided by this is the number of connections closed at once to make room. When only one
/// was closed for each new one, a burst of silent connections kept regular clients out for seconds.
const CLOSED_AT_ONCE_DIVISOR: usize = 8;

/// State of one connection.
pub struct ConnectionState {
    /// Time since which the connection has been idle, without one byte of a request; `None` while a request
    /// is arriving or open.
    pub idle_since: Cell<Option<f64>>,
    /// Whether the connection has carried a whole request.
    pub has_carried_request: Cell<bool>,
    close: Sender<()>,
    /// Time at which the last bytes of the request that is arriving were read; `None` if none is arriving.
    progress_at: Cell<Option<Instant>>,
    /// Whether the request that is arriving has to give way.
    gives_way: Cell<bool>,
    /// Notifies the connection's task that its request has to give way.
    give_way: Event,
}

impl ConnectionState {
    /// Creates the state of a connection that is idle since `now`, with the channel that closes it.
    fn new(now: f64, close: Sender<()>) -> ConnectionState {
        ConnectionState {
            idle_since: Cell::new(Some(now)),
            has_carried_request: Cell::new(false),
            close,
            progress_at: Cell::new(None),
            gives_way: Cell::new(false),
            give_way: Event::new(),
        }
    }

    /// Notes that bytes of a request have arrived that is not whole yet.
    pub fn set_progress(&self) {
        self.progress_at.set(Some(Instant::now()));
    }

    /// Notes that no request is arriving any more.
    pub fn set_arrived(&self) {
        self.progress_at.set(None);
        self.gives_way.set(false);
    }

    /// Waits until the request that is arriving has to give way to other connections.
    pub async fn wait_until_giving_way(&self) {
        loop {
            let give_way = self.give_way.listen();
            if self.gives_way.get() {
                return;
            }
            give_way.await;
        }
    }

    /// Returns for how long the request that is arriving has been without a byte; `None` if none is arriving, or if it
    /// gives way already.
    fn stalled_for(&self) -> Option<Duration> {
        self.progress_at.get().filter(|_| !self.gives_way.get()).map(|progress_at| progress_at.elapsed())
    }

    /// Returns whether the connection has been idle long enough to be closed: for `min_idle_s` if it has
    /// carried a request, else for `MIN_SILENT_S`.
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

/// A connection's place in the table; dropping it frees the place.
pub struct ConnectionEntry {
    table: Rc<ConnectionTable>,
    /// Number of the connection.
    pub number: u64,
    /// State of the connection.
    pub state: Rc<ConnectionState>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
        let _ = self.table.removed.try_send(());
    }
}

impl ConnectionTable {
    /// Creates an empty table for up to `max_connections` connections.
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

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether the table has no place for another connection.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_connections
    }

    /// Adds a new connection. Returns its place in the table, and a channel that closes when the connection
    /// is to be closed.
    pub fn insert(self: &Rc<Self>, now: f64) -> (ConnectionEntry, Receiver<()>) {
        let (close, closing) = async_channel::bounded(1);
        let state = Rc::new(ConnectionState::new(now, close));
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        (ConnectionEntry { table: self.clone(), number, state }, closing)
    }

    /// Closes the connections that have been idle the longest. If there are none, the requests that have stalled the
    /// longest while they arrive give way: their clients are owed an error, and others wait in the backlog with whole
    /// requests.
    pub fn make_room(&self, now: f64) {
        if !self.close_longest_idle(now) {
            self.reclaim_longest_stalled();
        }
    }

    fn reclaim_longest_stalled(&self) {
        let connections = self.connections.borrow();
        let stalled_for = |state: &'_ Rc<ConnectionState>| Some((state.stalled_for()?, state.clone()));
        let mut stalled: Vec<(Duration, Rc<ConnectionState>)> =
            connections.values().filter_map(stalled_for).filter(|(time, _)| *time >= MIN_STALLED).collect();
        stalled.sort_by_key(|(time, _)| Reverse(*time));
        for (_, state) in stalled.into_iter().take(self.closed_at_once()) {
            state.gives_way.set(true);
            state.give_way.notify(1);
        }
    }

    fn closed_at_once(&self) -> usize {
        self.max_connections / CLOSED_AT_ONCE_DIVISOR + 1
    }

    /// Closes the connections that have been idle the longest, and returns whether there were any.
    fn close_longest_idle(&self, now: f64) -> bool {
        let connections = self.connections.borrow();
        let may_close = |state: &&Rc<ConnectionState>| state.may_close(now, MIN_IDLE_S);
        let mut idle: Vec<&Rc<ConnectionState>> = connections.values().filter(may_close).collect();
        // Connections that have carried a request come first: the first request on another may still be on
        // its way.
        idle.sort_by(|left, right| {
            let by_idle = left.idle_since.get().partial_cmp(&right.idle_since.get()).unwrap_or(Equal);
            right.has_carried_request.cmp(&left.has_carried_request).then(by_idle)
        });
        for state in idle.iter().take(self.closed_at_once()) {
            state.idle_since.set(None);
            state.close.close();
        }
        !idle.is_empty()
    }

    /// Waits until a place is free, but no longer than `ROOM_RETRY_S`.
    pub async fn wait_for_room(&self) {
        within(ROOM_RETRY_S, self.removals.recv()).await;
    }

    /// Closes connections without an open or arriving request, including those on which a request was just
    /// answered: if a request crosses the close, its client sends it again. A new connection keeps
    /// `MIN_SILENT_S` for its first request.
    pub fn close_idle(&self, now: f64) {
        let connections = self.connections.borrow();
        for state in connections.values().filter(|state| state.may_close(now, 0.0)) {
            state.close.close();
        }
    }
}
