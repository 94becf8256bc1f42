//! The table of clients' connections. Its size is limited; idle connections are closed to make room for new
//! ones.

use crate::core::connection_room::{make_room, FullTable, MakeRoom, PlaceUse};
use async_channel::{Receiver, Sender};
use event_listener::Event;
use nickelgw_node::within;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the node tries to make room while the table is full or descriptors are exhausted.
const ROOM_RETRY_S: f64 = 0.02;

/// Times at which bytes of an arriving request were read.
#[derive(Clone, Copy)]
struct ArrivingRequest {
    first_read_at: Instant,
    last_read_at: Instant,
}

/// State of one connection.
pub struct ConnectionState {
    /// Time since which the connection has been idle, without one byte of a request; `None` while a request
    /// is arriving or open.
    pub idle_since: Cell<Option<f64>>,
    /// Whether the connection has carried a whole request.
    pub has_carried_request: Cell<bool>,
    close: Sender<()>,
    /// The request that is arriving, if there is one.
    arriving: Cell<Option<ArrivingRequest>>,
    /// Whether the request that is arriving has to give way, or the last one had to.
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
            arriving: Cell::new(None),
            gives_way: Cell::new(false),
            give_way: Event::new(),
        }
    }

    /// Notes that the first bytes of a request have arrived: from now on the connection is not idle.
    pub fn begin_arrival(&self) {
        self.idle_since.set(None);
        self.gives_way.set(false);
        self.set_progress();
    }

    /// Notes that bytes of a request have arrived that is not whole yet.
    pub fn set_progress(&self) {
        let now = Instant::now();
        let first_read_at = self.arriving.get().map_or(now, |arriving| arriving.first_read_at);
        self.arriving.set(Some(ArrivingRequest { first_read_at, last_read_at: now }));
    }

    /// Notes that no request is arriving any more.
    pub fn set_arrived(&self) {
        self.arriving.set(None);
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

    /// Returns what the connection uses its place for. `now` and `instant` are the same time by both clocks.
    fn place_use(&self, now: f64, instant: Instant) -> PlaceUse {
        match (self.idle_since.get(), self.arriving.get()) {
            (Some(since), _) => PlaceUse::Idle {
                idle_for: Duration::try_from_secs_f64(now - since).unwrap_or_default(),
                has_carried_request: self.has_carried_request.get(),
            },
            (None, Some(arriving)) if !self.gives_way.get() => PlaceUse::Arriving {
                arriving_for: instant.duration_since(arriving.first_read_at),
                stalled_for: instant.duration_since(arriving.last_read_at),
            },
            (None, _) => PlaceUse::Busy,
        }
    }

    fn close(&self) {
        self.idle_since.set(None);
        self.close.close();
    }

    fn set_giving_way(&self) {
        self.gives_way.set(true);
        self.give_way.notify(1);
    }
}

/// All connections of clients.
pub struct ConnectionTable {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
    /// Time at which a connection ended last, other than to make room for others.
    ended_at: Cell<Instant>,
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
        if !self.state.gives_way.get() {
            self.table.ended_at.set(Instant::now());
        }
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
            ended_at: Cell::new(Instant::now()),
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

    /// Makes room for new connections.
    pub fn make_room(&self, now: f64) {
        let connections = self.connections.borrow();
        let instant = Instant::now();
        let place_uses: Vec<(u64, PlaceUse)> =
            connections.iter().map(|(number, state)| (*number, state.place_use(now, instant))).collect();
        let states = |numbers: Vec<u64>| numbers.into_iter().filter_map(|number| connections.get(&number));
        let table = FullTable {
            max_connections: self.max_connections,
            blocked_for: instant.duration_since(self.ended_at.get()),
            connections: &place_uses,
        };
        match make_room(table) {
            MakeRoom::Close(numbers) => states(numbers).for_each(|state| state.close()),
            MakeRoom::GiveWay(numbers) => states(numbers).for_each(|state| state.set_giving_way()),
        }
    }

    /// Waits until a place is free, but no longer than `ROOM_RETRY_S`.
    pub async fn wait_for_room(&self) {
        within(ROOM_RETRY_S, self.removals.recv()).await;
    }

    /// Closes connections without an open or arriving request, including those on which a request was just
    /// answered: if a request crosses the close, its client sends it again. A new connection keeps some time for its
    /// first request.
    pub fn close_idle(&self, now: f64) {
        let connections = self.connections.borrow();
        let instant = Instant::now();
        for state in connections.values().filter(|state| state.place_use(now, instant).may_close()) {
            state.close();
        }
    }
}
