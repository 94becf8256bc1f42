//! Which clients' connections make room for new ones while the table of connections is full, without I/O.

use std::cmp::Reverse;
use std::time::Duration;

/// Minimum idle time after a request before a connection may be closed to make room.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// Minimum time for which a new connection may stay without a byte before it may be closed: its client's
/// first request may be on its way, and clients do not repeat it, unlike a request on a connection that was
/// used before.
const MIN_SILENT: Duration = Duration::from_millis(500);
/// Minimum time without a byte after which a request that is arriving has to give way to other connections.
const MIN_STALLED: Duration = Duration::from_millis(500);
/// Time for which no connection has ended after which slow requests give way: until then, places become free in time.
const MIN_BLOCKED: Duration = Duration::from_millis(250);
/// Time after which a request that is still arriving counts as slow.
const MIN_SLOW: Duration = Duration::from_millis(100);
/// The number of arriving requests divided by this is the number of those that must not be slow while others wait.
const NOT_SLOW_DIVISOR: usize = 4;
/// The table's size divided by this is the number of connections closed at once to make room. When only one
/// was closed for each new one, a burst of silent connections kept regular clients out for seconds.
const CLOSED_AT_ONCE_DIVISOR: usize = 8;

/// What a connection uses its place in the table for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceUse {
    /// No byte of a request has arrived.
    Idle {
        /// Time for which this has been so.
        idle_for: Duration,
        /// Whether the connection has carried a whole request.
        has_carried_request: bool,
    },
    /// A request is arriving.
    Arriving {
        /// Time since its first bytes were read.
        arriving_for: Duration,
        /// Time since its last bytes arrived.
        stalled_for: Duration,
    },
    /// A request is open, or the connection is about to be closed.
    Busy,
}

impl PlaceUse {
    /// Returns whether a connection may be closed without harm when the node shuts down: it is idle, and its client's
    /// first request is not expected any more.
    pub fn may_close(self) -> bool {
        self.may_close_after(Duration::ZERO)
    }

    /// Returns whether a connection has been idle long enough to be closed: for `min_idle` if it has carried a request,
    /// else for `MIN_SILENT`.
    fn may_close_after(self, min_idle: Duration) -> bool {
        match self {
            PlaceUse::Idle { idle_for, has_carried_request: true } => idle_for >= min_idle,
            PlaceUse::Idle { idle_for, has_carried_request: false } => idle_for >= MIN_SILENT,
            PlaceUse::Arriving { .. } | PlaceUse::Busy => false,
        }
    }
}

/// Connections that make room, by their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MakeRoom {
    /// These idle connections are closed.
    Close(Vec<u64>),
    /// The requests that are arriving on these connections give way.
    GiveWay(Vec<u64>),
}

/// A table of connections without a free place.
#[derive(Clone, Copy, Debug)]
pub struct FullTable<'a> {
    /// Number of places.
    pub max_connections: usize,
    /// Time since a connection ended last, other than to make room.
    pub blocked_for: Duration,
    /// Connections and their numbers.
    pub connections: &'a [(u64, PlaceUse)],
}

/// Chooses the connections that make room in a full table.
///
/// Connections that have been idle the longest are closed first. If there are none, the requests that have stalled the
/// longest give way: their clients are owed an error, and others wait in the backlog with whole requests. If there are
/// none either and no place becomes free, a quarter of the places of arriving requests is kept for newcomers, which may
/// have a whole request: of the slow requests beyond that the latest gives way.
pub fn make_room(table: FullTable<'_>) -> MakeRoom {
    let FullTable { max_connections, blocked_for, connections } = table;
    let closed_at_once = max_connections / CLOSED_AT_ONCE_DIVISOR + 1;
    let mut idle = longest_idle(connections);
    if !idle.is_empty() {
        idle.truncate(closed_at_once);
        return MakeRoom::Close(idle);
    }
    let mut stalled = longest_stalled(connections);
    if stalled.is_empty() && blocked_for >= MIN_BLOCKED {
        return MakeRoom::GiveWay(latest_slow_beyond_limit(connections).into_iter().collect());
    }
    stalled.truncate(closed_at_once);
    MakeRoom::GiveWay(stalled)
}

/// Returns the connections that may be closed. Those that have carried a request come first: the first request on
/// another may still be on its way.
fn longest_idle(connections: &[(u64, PlaceUse)]) -> Vec<u64> {
    let candidate = |(number, place_use): &(u64, PlaceUse)| match *place_use {
        PlaceUse::Idle { idle_for, has_carried_request } if place_use.may_close_after(MIN_IDLE) => {
            Some(((Reverse(has_carried_request), Reverse(idle_for)), *number))
        }
        _ => None,
    };
    sorted_numbers(connections.iter().filter_map(candidate))
}

fn longest_stalled(connections: &[(u64, PlaceUse)]) -> Vec<u64> {
    let candidate = |(number, place_use): &(u64, PlaceUse)| match *place_use {
        PlaceUse::Arriving { stalled_for, .. } if stalled_for >= MIN_STALLED => {
            Some((Reverse(stalled_for), *number))
        }
        _ => None,
    };
    sorted_numbers(connections.iter().filter_map(candidate))
}

/// Returns the slow request that began to arrive last if more than three quarters of the arriving ones are slow.
fn latest_slow_beyond_limit(connections: &[(u64, PlaceUse)]) -> Option<u64> {
    let arriving_for = |(number, place_use): &(u64, PlaceUse)| match *place_use {
        PlaceUse::Arriving { arriving_for, .. } => Some((arriving_for, *number)),
        _ => None,
    };
    let arriving: Vec<(Duration, u64)> = connections.iter().filter_map(arriving_for).collect();
    let max_slow = arriving.len() - arriving.len() / NOT_SLOW_DIVISOR;
    let slow = || arriving.iter().filter(|(arriving_for, _)| *arriving_for >= MIN_SLOW);
    if slow().count() <= max_slow {
        return None;
    }
    slow().min().map(|(_, number)| *number)
}

fn sorted_numbers<O: Ord>(candidates: impl Iterator<Item = (O, u64)>) -> Vec<u64> {
    let mut candidates: Vec<(O, u64)> = candidates.collect();
    candidates.sort();
    candidates.into_iter().map(|(_, number)| number).collect()
}

#[cfg(test)]
#[path = "connection_room_tests.rs"]
mod tests;
