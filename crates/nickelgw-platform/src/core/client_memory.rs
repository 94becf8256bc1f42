//! Memory of clients' connections, without I/O: how much each connection uses, and which of them give way when
//! it is used up.
//!
//! Each connection has some bytes of its own, enough for the head of a usual request. All beyond that comes from
//! a pool that the connections share. Requests that arrive slowly may use a part of the pool only, so that there is
//! memory for those that arrive at once. When the pool is exhausted, the arriving requests that have stalled the
//! longest give way: clients that stop in the middle of a request must not keep others from being served.
//! Requests that have arrived completely keep their memory until they are answered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bytes of a request that each connection may use, however much the others use.
pub const GUARANTEED_BYTES: usize = 2 * 1024;
/// Share of the pool that requests may use whose head has not ended: a head is short, and its client's next
/// bytes are usually on their way.
const HEAD_SHARE: f64 = 0.25;
/// Share of the pool up to which requests that arrive slowly may grow, all of them together.
const SLOW_SHARE: f64 = 0.5;
/// Time for which a client's bytes have been waited for, in all, after which its request counts as slow.
const MIN_SLOW: Duration = Duration::from_millis(100);
/// Time without a byte after which a request gives way to others.
const MIN_STALLED: Duration = Duration::from_millis(100);

/// What a connection uses its memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// No request has begun to arrive.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request has arrived and is open.
    Open,
}

impl RequestStage {
    fn is_arriving(self) -> bool {
        matches!(self, RequestStage::Head | RequestStage::Body)
    }
}

/// Answer to a connection that needs memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryGrant {
    /// The connection has the memory.
    Granted,
    /// The pool has not enough. The requests on these connections have to give way.
    Exhausted {
        /// Keys of the connections.
        reclaim: Vec<u64>,
    },
}

/// One connection's use. Times count from the start of the node's clock.
#[derive(Clone, Copy, Debug)]
struct ConnectionMemory {
    stage: RequestStage,
    /// Bytes from the pool, beyond the guaranteed ones.
    pooled_bytes: usize,
    /// Time at which the last bytes of the request arrived.
    progress_at: Duration,
    /// Time for which bytes of the request have been waited for; 0 if none is arriving.
    waited: Duration,
    /// Whether the request has to give way.
    reclaimed: bool,
}

impl ConnectionMemory {
    const IDLE: ConnectionMemory = ConnectionMemory {
        stage: RequestStage::Idle,
        pooled_bytes: 0,
        progress_at: Duration::ZERO,
        waited: Duration::ZERO,
        reclaimed: false,
    };

    fn is_slow(&self) -> bool {
        self.waited >= MIN_SLOW
    }

    fn may_give_way(&self) -> bool {
        self.stage.is_arriving() && self.pooled_bytes > 0 && !self.reclaimed
    }
}

/// Bytes from the pool that are in use. Each figure is a part of the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UsedBytes {
    all: usize,
    /// Used by requests whose head is arriving.
    heads: usize,
    /// Used by requests that arrive slowly.
    slow: usize,
    /// Used by requests that give way.
    reclaimed: usize,
    /// Used by requests that give way while their head is arriving.
    reclaimed_heads: usize,
    /// Used by requests that arrive slowly and give way.
    reclaimed_slow: usize,
}

impl UsedBytes {
    /// Returns the figures that count this connection's bytes.
    fn figures(&mut self, connection: &ConnectionMemory) -> impl Iterator<Item = &mut usize> {
        let is_head = connection.stage == RequestStage::Head;
        let (is_slow, reclaimed) = (connection.is_slow(), connection.reclaimed);
        [
            (&mut self.all, true),
            (&mut self.heads, is_head),
            (&mut self.slow, is_slow),
            (&mut self.reclaimed, reclaimed),
            (&mut self.reclaimed_heads, reclaimed && is_head),
            (&mut self.reclaimed_slow, reclaimed && is_slow),
        ]
        .into_iter()
        .filter_map(|(figure, counts)| counts.then_some(figure))
    }

    fn add(&mut self, connection: &ConnectionMemory) {
        self.figures(connection).for_each(|figure| *figure += connection.pooled_bytes);
    }

    fn subtract(&mut self, connection: &ConnectionMemory) {
        self.figures(connection).for_each(|figure| *figure -= connection.pooled_bytes);
    }
}

/// Bytes by which the limits would be exceeded: of the whole pool, of heads, and of slow requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Shortage {
    pool: usize,
    heads: usize,
    slow: usize,
}

/// Memory of all connections together.
#[derive(Debug)]
pub struct ClientMemory {
    pool_bytes: usize,
    used: UsedBytes,
    connections: BTreeMap<u64, ConnectionMemory>,
    /// Arriving requests that may give way, by the time of their last bytes.
    by_progress: BTreeSet<(Duration, u64)>,
    next_key: u64,
}

impl ClientMemory {
    /// Creates a pool of `pool_bytes` without connections.
    pub fn new(pool_bytes: usize) -> ClientMemory {
        ClientMemory {
            pool_bytes,
            used: UsedBytes::default(),
            connections: BTreeMap::new(),
            by_progress: BTreeSet::new(),
            next_key: 0,
        }
    }

    /// Adds an idle connection and returns its key.
    pub fn add(&mut self) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.connections.insert(key, ConnectionMemory::IDLE);
        key
    }

    /// Removes a connection, which uses no memory any more.
    pub fn remove(&mut self, key: u64) {
        if let Some(connection) = self.connections.remove(&key) {
            self.used.subtract(&connection);
            self.by_progress.remove(&(connection.progress_at, key));
        }
    }

    /// Sets what a connection uses, without a check of the limit.
    pub fn set(&mut self, now: f64, key: u64, stage: RequestStage, bytes: usize) {
        let Some(connection) = self.connections.get(&key) else { return };
        let begins = stage.is_arriving() && !connection.stage.is_arriving();
        self.update(key, |connection| {
            connection.stage = stage;
            connection.pooled_bytes = bytes.saturating_sub(GUARANTEED_BYTES);
            connection.reclaimed &= stage.is_arriving();
            if begins {
                connection.progress_at = since_start(now);
            }
            if !stage.is_arriving() {
                connection.waited = Duration::ZERO;
            }
        });
    }

    /// Notes that bytes of a connection's request have arrived.
    pub fn note_arrival(&mut self, now: f64, key: u64) {
        self.update(key, |connection| {
            if connection.stage.is_arriving() {
                connection.waited += since_start(now).saturating_sub(connection.progress_at);
            }
            connection.progress_at = since_start(now);
        });
    }

    /// Notes that a connection waits for memory: meanwhile no bytes of its request can arrive.
    pub fn note_memory_wait(&mut self, now: f64, key: u64) {
        self.update(key, |connection| connection.progress_at = since_start(now));
    }

    /// Sets what a connection is about to use if that is available.
    pub fn request(&mut self, now: f64, key: u64, stage: RequestStage, bytes: usize) -> MemoryGrant {
        let Some(connection) = self.connections.get(&key) else {
            return MemoryGrant::Exhausted { reclaim: Vec::new() };
        };
        let needed = bytes.saturating_sub(GUARANTEED_BYTES).saturating_sub(connection.pooled_bytes);
        let shortage = self.shortage(stage, connection.is_slow(), needed);
        if needed == 0 || shortage == Shortage::default() {
            self.set(now, key, stage, bytes);
            return MemoryGrant::Granted;
        }
        let missing = shortage.heads.saturating_sub(self.used.reclaimed_heads);
        let mut reclaim =
            self.reclaim(now, key, missing, |connection| connection.stage == RequestStage::Head);
        let missing = shortage.slow.saturating_sub(self.used.reclaimed_slow);
        reclaim.extend(self.reclaim(now, key, missing, ConnectionMemory::is_slow));
        let missing = shortage.pool.saturating_sub(self.used.reclaimed);
        reclaim.extend(self.reclaim(now, key, missing, |_| true));
        MemoryGrant::Exhausted { reclaim }
    }

    /// Returns what a request would lack if it used `needed` bytes more.
    fn shortage(&self, stage: RequestStage, is_slow: bool, needed: usize) -> Shortage {
        let share = |share: f64| (share * self.pool_bytes as f64) as usize;
        let beyond = |used: usize, limit: usize| (used + needed).saturating_sub(limit);
        let is_head = stage == RequestStage::Head;
        let is_slow = stage.is_arriving() && is_slow;
        Shortage {
            pool: beyond(self.used.all, self.pool_bytes),
            heads: if is_head { beyond(self.used.heads, share(HEAD_SHARE)) } else { 0 },
            slow: if is_slow { beyond(self.used.slow, share(SLOW_SHARE)) } else { 0 },
        }
    }

    /// Marks stalled requests of this kind as those that have to give way, until they free `missing` bytes, and
    /// returns the keys of their connections.
    fn reclaim(
        &mut self,
        now: f64,
        except: u64,
        mut missing: usize,
        is_candidate: impl Fn(&ConnectionMemory) -> bool,
    ) -> Vec<u64> {
        let now = since_start(now);
        let mut reclaimed = Vec::new();
        for (progress_at, key) in &self.by_progress {
            if missing == 0 || *progress_at + MIN_STALLED > now {
                break;
            }
            let Some(connection) = self.connections.get(key) else { continue };
            if *key != except && is_candidate(connection) {
                missing = missing.saturating_sub(connection.pooled_bytes);
                reclaimed.push(*key);
            }
        }
        reclaimed.iter().for_each(|key| self.update(*key, |connection| connection.reclaimed = true));
        reclaimed
    }

    /// Changes a connection's use, and with it the figures and the order that follow from it.
    fn update(&mut self, key: u64, change: impl FnOnce(&mut ConnectionMemory)) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        self.used.subtract(connection);
        self.by_progress.remove(&(connection.progress_at, key));
        change(connection);
        self.used.add(connection);
        if connection.may_give_way() {
            self.by_progress.insert((connection.progress_at, key));
        }
    }
}

/// Returns a time of the node's clock in a form that can be sorted.
fn since_start(now: f64) -> Duration {
    Duration::try_from_secs_f64(now).unwrap_or_default()
}

#[cfg(test)]
#[path = "client_memory_tests.rs"]
mod tests;
