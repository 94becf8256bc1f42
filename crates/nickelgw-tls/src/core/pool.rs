//! Connections to engines as a budgeted resource: when to reuse one, to open one, to wait, to let one go. Handshakes
//! are dear to both sides: after a rotation, a zone's return or a node's start, all engines would be asked for one
//! at once.

use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub struct Figures {
    /// Handshakes under way at once: of the node, and towards one engine.
    pub at_once: usize,
    pub at_once_engine: usize,
    /// Askers that may wait for a connection; one more is refused.
    pub most_waiting: usize,
    /// Unused connections kept to an engine, and for how long.
    pub most_idle: usize,
    pub idle_s: f64,
    /// After a rotation: gap between two closings of an engine's older unused connections.
    pub retire_gap_s: f64,
    /// After a failed handshake an engine is left alone for so long, twice as long each time in a row.
    pub first_rest_s: f64,
    pub longest_rest_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            at_once: 16,
            at_once_engine: 2,
            most_waiting: 4096,
            most_idle: 64,
            idle_s: 15.0,
            retire_gap_s: 0.2,
            first_rest_s: 0.1,
            longest_rest_s: 5.0,
        }
    }
}

/// A connection that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Somebody who wants one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Checkout {
    Reuse(ConnectionId),
    /// Make a handshake, and tell how it went.
    Open,
    /// An answer comes by [`Pool::due`].
    Wait,
    /// The engine is left alone after failures, or too many wait.
    Rejected,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolCommand {
    Notify(WaiterId, Checkout),
    Close(ConnectionId),
}

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Not reached, or not in time: the module judges silence by itself, a short rest is enough.
    Unreachable,
    /// Its certificate is not accepted: that does not mend within moments.
    Untrusted,
}

struct Idle {
    conn: ConnectionId,
    generation: u64,
    since: f64,
}

#[derive(Default)]
struct Lane {
    /// Most lately used last.
    idle: Vec<Idle>,
    /// Handed out, and of which generation.
    busy: BTreeMap<ConnectionId, u64>,
    opening: usize,
    failures: u32,
    rest_until: f64,
    /// When the next older connection may be closed after a rotation.
    retire_at: f64,
}

pub struct Pool {
    figures: Figures,
    generation: u64,
    lanes: BTreeMap<String, Lane>,
    opening: usize,
    /// First come first served, but for engines that are at their own limit.
    waiting: VecDeque<(WaiterId, String)>,
    openers: BTreeMap<WaiterId, String>,
    ready: Vec<PoolCommand>,
    next: u64,
    pub refused: u64,
    pub handshakes: u64,
    pub reuses: u64,
}

impl Pool {
    pub fn new(figures: Figures) -> Self {
        Pool {
            figures,
            generation: 0,
            lanes: BTreeMap::new(),
            opening: 0,
            waiting: VecDeque::new(),
            openers: BTreeMap::new(),
            ready: Vec::new(),
            next: 0,
            refused: 0,
            handshakes: 0,
            reuses: 0,
        }
    }

    pub fn opening(&self) -> usize {
        self.opening
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn idle(&self, engine: &str) -> usize {
        self.lanes.get(engine).map_or(0, |l| l.idle.len())
    }

    /// A connection is wanted. Work that an open connection can take waits for no handshake.
    pub fn want(&mut self, now: f64, engine: &str, asker: WaiterId) -> Checkout {
        if let Some(conn) = self.reuse(now, engine) {
            return Checkout::Reuse(conn);
        }
        let lane = self.lanes.entry(engine.to_string()).or_default();
        if now < lane.rest_until {
            self.refused += 1;
            return Checkout::Rejected;
        }
        let ahead = self.waiting.iter().any(|w| w.1 == engine);
        if !ahead && self.may_open(now, engine) {
            self.open(engine, asker);
            return Checkout::Open;
        }
        if self.waiting.len() >= self.figures.most_waiting {
            self.refused += 1;
            return Checkout::Rejected;
        }
        self.waiting.push_back((asker, engine.to_string()));
        Checkout::Wait
    }

    /// The most lately used unused connection, one of the generation in force before older ones.
    fn reuse(&mut self, now: f64, engine: &str) -> Option<ConnectionId> {
        let (generation, idle_s) = (self.generation, self.figures.idle_s);
        let lane = self.lanes.get_mut(engine)?;
        let fresh = |i: &Idle| now - i.since < idle_s;
        let newest = lane.idle.iter().rposition(|i| fresh(i) && i.generation == generation);
        let n = newest.or_else(|| lane.idle.iter().rposition(fresh))?;
        let i = lane.idle.remove(n);
        lane.busy.insert(i.conn, i.generation);
        self.reuses += 1;
        Some(i.conn)
    }

    fn may_open(&self, now: f64, engine: &str) -> bool {
        let lane = self.lanes.get(engine);
        let (opening, rest, failures) = lane.map_or((0, 0.0, 0), |l| (l.opening, l.rest_until, l.failures));
        // One that failed is tried by one at a time, and takes no more of the node's budget.
        let most = if failures > 0 { 1 } else { self.figures.at_once_engine };
        now >= rest && opening < most && self.opening < self.figures.at_once
    }

    fn open(&mut self, engine: &str, asker: WaiterId) {
        self.opening += 1;
        self.handshakes += 1;
        self.openers.insert(asker, engine.to_string());
        self.lanes.entry(engine.to_string()).or_default().opening += 1;
    }

    fn close_opening(&mut self, asker: WaiterId) -> Option<String> {
        let engine = self.openers.remove(&asker)?;
        self.opening -= 1;
        if let Some(lane) = self.lanes.get_mut(&engine) {
            lane.opening -= 1;
        }
        Some(engine)
    }

    /// The handshake that the asker was told to make stands; the connection is its own from now on.
    pub fn opened(&mut self, now: f64, asker: WaiterId, generation: u64) -> Option<ConnectionId> {
        let engine = self.close_opening(asker)?;
        self.next += 1;
        let conn = ConnectionId(self.next);
        if let Some(lane) = self.lanes.get_mut(&engine) {
            (lane.failures, lane.rest_until) = (0, 0.0);
            lane.busy.insert(conn, generation);
        }
        self.serve(now);
        Some(conn)
    }

    /// It failed. Who waits for that engine waits for nothing better.
    pub fn failed(&mut self, now: f64, asker: WaiterId, why: ConnectFailure) {
        let Some(engine) = self.close_opening(asker) else { return };
        self.rest(now, &engine, why);
        let (gone, rest): (VecDeque<_>, VecDeque<_>) = self.waiting.drain(..).partition(|w| w.1 == engine);
        self.waiting = rest;
        self.refused += gone.len() as u64;
        self.ready.extend(gone.into_iter().map(|w| PoolCommand::Notify(w.0, Checkout::Rejected)));
        self.serve(now);
    }

    /// A connection of the engine was refused after it stood: TLS 1.3 lets the far side verify us last.
    pub fn broke(&mut self, now: f64, engine: &str, why: ConnectFailure) {
        self.rest(now, engine, why);
    }

    fn rest(&mut self, now: f64, engine: &str, why: ConnectFailure) {
        let f = &self.figures;
        if let Some(lane) = self.lanes.get_mut(engine) {
            lane.failures = (lane.failures + 1).min(16);
            let rest = f.first_rest_s * f64::from(1u32 << (lane.failures - 1));
            let rest = if why == ConnectFailure::Untrusted { 4.0 * rest } else { rest };
            lane.rest_until = lane.rest_until.max(now + rest.min(f.longest_rest_s));
        }
    }

    /// The asker no longer wants one: it waited, or was opening one.
    pub fn gave_up(&mut self, now: f64, asker: WaiterId) {
        self.waiting.retain(|w| w.0 != asker);
        if self.close_opening(asker).is_some() {
            self.serve(now);
        }
    }

    /// A connection whose last answer was read to its end comes back.
    pub fn returned(&mut self, now: f64, engine: &str, conn: ConnectionId) {
        let (generation, most) = (self.generation, self.figures.most_idle);
        let Some(lane) = self.lanes.get_mut(engine) else {
            self.ready.push(PoolCommand::Close(conn));
            return;
        };
        let Some(g) = lane.busy.remove(&conn) else { return };
        // Of an older generation it is not kept, unless somebody waits who would need a handshake otherwise.
        let wanted = self.waiting.iter().any(|w| w.1 == engine);
        if (g != generation && !wanted) || lane.idle.len() >= most {
            self.ready.push(PoolCommand::Close(conn));
        } else {
            lane.idle.push(Idle { conn, generation: g, since: now });
        }
        self.serve(now);
    }

    /// A connection is no more, handed out or not.
    pub fn closed(&mut self, now: f64, engine: &str, conn: ConnectionId) {
        if let Some(lane) = self.lanes.get_mut(engine) {
            lane.busy.remove(&conn);
            lane.idle.retain(|i| i.conn != conn);
        }
        self.serve(now);
    }

    /// New keys or trust: new connections are of this generation at once, unused older ones go step by step.
    pub fn rotate(&mut self, now: f64, generation: u64) {
        self.generation = generation;
        for (n, lane) in self.lanes.values_mut().enumerate() {
            // Engines begin at different times: their replacements do not meet.
            lane.retire_at = now + self.figures.retire_gap_s * (n % 16) as f64 / 16.0;
            // What was not accepted before may be now.
            (lane.failures, lane.rest_until) = (0, 0.0);
        }
    }

    /// Engines that are no longer listed keep nothing open.
    pub fn keep_only(&mut self, wanted: impl Fn(&str) -> bool) {
        let gone: Vec<String> = self.lanes.keys().filter(|e| !wanted(e)).cloned().collect();
        for engine in gone {
            let lane = self.lanes.get_mut(&engine);
            let idle = lane.map(|l| std::mem::take(&mut l.idle)).unwrap_or_default();
            self.ready.extend(idle.into_iter().map(|i| PoolCommand::Close(i.conn)));
            // One still in use or being opened is forgotten when that ends.
            let empty = |l: &Lane| l.busy.is_empty() && l.opening == 0;
            let awaited = self.waiting.iter().any(|w| w.1 == engine);
            if !awaited && self.lanes.get(&engine).is_some_and(empty) {
                self.lanes.remove(&engine);
            }
        }
    }

    /// Gives what is free to those who wait, in the order of their coming.
    fn serve(&mut self, now: f64) {
        let mut n = 0;
        while n < self.waiting.len() {
            let (asker, engine) = self.waiting[n].clone();
            let answer = match self.reuse(now, &engine) {
                Some(conn) => Checkout::Reuse(conn),
                None if self.may_open(now, &engine) => {
                    self.open(&engine, asker);
                    Checkout::Open
                }
                None if self.opening >= self.figures.at_once
                    && self.lanes.values().all(|l| l.idle.is_empty()) =>
                {
                    return;
                }
                None => {
                    n += 1;
                    continue;
                }
            };
            self.waiting.remove(n);
            self.ready.push(PoolCommand::Notify(asker, answer));
        }
    }

    /// What earlier calls brought, without a look at the clock's own matters.
    pub fn ready(&mut self) -> Vec<PoolCommand> {
        std::mem::take(&mut self.ready)
    }

    /// What to do now, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<PoolCommand>, Option<f64>) {
        let f = self.figures.clone();
        let mut wake: Option<f64> = None;
        let mut sooner = |at: f64| wake = Some(wake.map_or(at, |w| w.min(at)));
        for lane in self.lanes.values_mut() {
            let (old, keep): (Vec<_>, Vec<_>) = lane.idle.drain(..).partition(|i| now - i.since >= f.idle_s);
            lane.idle = keep;
            self.ready.extend(old.into_iter().map(|i| PoolCommand::Close(i.conn)));
            let generation = self.generation;
            while let Some(n) = lane.idle.iter().position(|i| i.generation != generation) {
                if now < lane.retire_at {
                    sooner(lane.retire_at);
                    break;
                }
                lane.retire_at = now + f.retire_gap_s;
                self.ready.push(PoolCommand::Close(lane.idle.remove(n).conn));
            }
            lane.idle.iter().for_each(|i| sooner(i.since + f.idle_s));
        }
        // Who waits while an engine rests is served when it has rested.
        for (_, engine) in &self.waiting {
            let rest = self.lanes.get(engine).map_or(0.0, |l| l.rest_until);
            if rest > now {
                sooner(rest);
            }
        }
        self.serve(now);
        (std::mem::take(&mut self.ready), wake)
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
