//! Memory of clients' connections, without I/O: how much each connection uses, and which of them give way when
//! it is used up.
//!
//! Each connection has some bytes of its own, enough for the head of a usual request. All beyond that comes from
//! a pool that the connections share. When the pool is exhausted, the arriving requests that have stalled the longest
//! give way: clients that stop in the middle of a request must not keep others from being served.
//! Requests that have arrived completely keep their memory until they are answered.

use std::collections::BTreeMap;

/// Bytes of a request that each connection may use, however much the others use.
pub const GUARANTEED_BYTES: usize = 2 * 1024;
/// Share of the pool that requests may use whose head has not ended: a head is short, and its client's next
/// bytes are usually on their way.
const HEAD_SHARE: f64 = 0.25;
/// Time without a byte after which a request gives way to others.
const MIN_STALLED_S: f64 = 0.1;

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

/// One connection's use.
#[derive(Clone, Copy, Debug)]
struct ConnectionMemory {
    stage: RequestStage,
    /// Bytes from the pool, beyond the guaranteed ones.
    pooled_bytes: usize,
    /// Time at which the last bytes of the request arrived.
    progress_at: f64,
    /// Whether the request has to give way.
    reclaimed: bool,
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

/// Memory of all connections together.
#[derive(Debug)]
pub struct ClientMemory {
    pool_bytes: usize,
    used_bytes: usize,
    head_bytes: usize,
    connections: BTreeMap<u64, ConnectionMemory>,
    next_key: u64,
}

impl ClientMemory {
    /// Creates a pool of `pool_bytes` without connections.
    pub fn new(pool_bytes: usize) -> ClientMemory {
        ClientMemory { pool_bytes, used_bytes: 0, head_bytes: 0, connections: BTreeMap::new(), next_key: 0 }
    }

    /// Adds an idle connection and returns its key.
    pub fn add(&mut self) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        let stage = RequestStage::Idle;
        let connection = ConnectionMemory { stage, pooled_bytes: 0, progress_at: 0.0, reclaimed: false };
        self.connections.insert(key, connection);
        key
    }

    /// Removes a connection, which uses no memory any more.
    pub fn remove(&mut self, key: u64) {
        if let Some(connection) = self.connections.remove(&key) {
            self.discount(&connection);
        }
    }

    /// Sets what a connection uses, without a check of the limit.
    pub fn set(&mut self, now: f64, key: u64, stage: RequestStage, bytes: usize) {
        let Some(connection) = self.connections.get(&key).copied() else { return };
        self.discount(&connection);
        let begins = stage.is_arriving() && !connection.stage.is_arriving();
        let next = ConnectionMemory {
            stage,
            pooled_bytes: bytes.saturating_sub(GUARANTEED_BYTES),
            progress_at: if begins { now } else { connection.progress_at },
            reclaimed: connection.reclaimed && stage.is_arriving(),
        };
        self.used_bytes += next.pooled_bytes;
        self.head_bytes += next.head_bytes();
        self.connections.insert(key, next);
    }

    /// Notes that bytes of a connection's request have arrived.
    pub fn set_progress(&mut self, now: f64, key: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.progress_at = now;
        }
    }

    /// Sets what a connection is about to use if that is available.
    pub fn request(&mut self, now: f64, key: u64, stage: RequestStage, bytes: usize) -> MemoryGrant {
        let Some(connection) = self.connections.get(&key).copied() else {
            return MemoryGrant::Exhausted { reclaim: Vec::new() };
        };
        let needed = bytes.saturating_sub(GUARANTEED_BYTES).saturating_sub(connection.pooled_bytes);
        let missing = (self.used_bytes + needed).saturating_sub(self.pool_bytes);
        let max_head_bytes = (HEAD_SHARE * self.pool_bytes as f64) as usize;
        let missing_for_heads = match stage {
            RequestStage::Head => (self.head_bytes + needed).saturating_sub(max_head_bytes),
            _ => 0,
        };
        if needed == 0 || (missing == 0 && missing_for_heads == 0) {
            self.set(now, key, stage, bytes);
            return MemoryGrant::Granted;
        }
        let mut reclaim = self.reclaim(now, key, missing_for_heads, |stage| stage == RequestStage::Head);
        reclaim.extend(self.reclaim(now, key, missing, RequestStage::is_arriving));
        MemoryGrant::Exhausted { reclaim }
    }

    /// Marks requests of these stages as those that have to give way, until they free `bytes` bytes. Returns the
    /// keys of their connections, without those that were marked before.
    fn reclaim(
        &mut self,
        now: f64,
        except: u64,
        bytes: usize,
        is_candidate: impl Fn(RequestStage) -> bool,
    ) -> Vec<u64> {
        let candidates = || {
            let connections = self.connections.iter();
            connections
                .filter(|(_, connection)| is_candidate(connection.stage) && connection.pooled_bytes > 0)
        };
        let is_marked = |connection: &ConnectionMemory| connection.reclaimed;
        let marked = candidates().filter(|(_, connection)| is_marked(connection));
        let mut missing = bytes.saturating_sub(marked.map(|(_, connection)| connection.pooled_bytes).sum());
        if missing == 0 {
            return Vec::new();
        }
        let may_give_way = |key: u64, connection: &ConnectionMemory| {
            key != except && !connection.reclaimed && connection.progress_at + MIN_STALLED_S <= now
        };
        let mut stalled: Vec<(f64, u64, usize)> = candidates()
            .filter(|(key, connection)| may_give_way(**key, connection))
            .map(|(key, connection)| (connection.progress_at, *key, connection.pooled_bytes))
            .collect();
        stalled.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let mut reclaimed = Vec::new();
        for (_, key, pooled_bytes) in stalled {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(pooled_bytes);
            reclaimed.push(key);
        }
        for key in &reclaimed {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.reclaimed = true;
            }
        }
        reclaimed
    }

    fn discount(&mut self, connection: &ConnectionMemory) {
        self.used_bytes -= connection.pooled_bytes;
        self.head_bytes -= connection.head_bytes();
    }
}

impl ConnectionMemory {
    /// Returns the bytes from the pool if the head of a request is arriving, else 0.
    fn head_bytes(&self) -> usize {
        if self.stage == RequestStage::Head {
            self.pooled_bytes
        } else {
            0
        }
    }
}

#[cfg(test)]
#[path = "client_memory_tests.rs"]
mod tests;
