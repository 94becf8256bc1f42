//! Records of nodes, the newest of each, spread by gossip: each round what is new goes to a few peers by chance, and now and
//! then two compare what they have. No leader and no vote; a node that hears nobody has only its own.

pub mod record;

use nanorand::{Rng, WyRand};
use record::{
    name_hash, Datagram, DatagramError, Message, NodeRecord, SharedKey, ZoneReport, MAX_DATAGRAM_BYTES,
    MAX_TENANTS, MAX_ZONES,
};
use std::cmp::Ordering;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    pub round_s: f64,
    /// Peers that a round's news goes to.
    pub fanout: usize,
    /// Rounds between two comparisons.
    pub digest_every_rounds: u32,
    /// A record is told anew after so long, longer in a large fleet.
    pub refresh_interval_s: f64,
    /// Nodes for each of which that time grows by the round: what goes over the wire is bounded.
    pub nodes_per_round: f64,
    /// Clocks may differ by so much.
    pub max_clock_skew_s: f64,
    /// Nodes known at most; past it a silent one makes room, else a new one is not heard.
    pub max_nodes: usize,
}

impl Default for GossipConfig {
    fn default() -> GossipConfig {
        GossipConfig {
            round_s: 0.1,
            fanout: 3,
            digest_every_rounds: 5,
            refresh_interval_s: 1.0,
            nodes_per_round: 20.0,
            max_clock_skew_s: 30.0,
            max_nodes: 4096,
        }
    }
}

/// A record not told anew for so many refreshes stands for nobody.
const MISSED: f64 = 4.0;
/// Datagrams that one question is answered by.
const MOST_ANSWERS: usize = 8;
/// Datagrams that wait to be sent; what is over is not said, and asked for again.
const MOST_OUT: usize = 256;
/// Bytes of a datagram beside what it says: version, seal, name, time.
const AROUND: usize = 128;
const DIGEST_ENTRIES: usize = 40;
/// Peers named in the settings and not heard yet that a round tries.
const GREETED: usize = 3;

#[derive(Clone, Debug)]
pub struct PeerRecord {
    pub record: NodeRecord,
    /// When it was told, in this node's time.
    pub reported_at: f64,
    /// Datagrams that still carry it on.
    pending_broadcasts: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// By [`Refused::ALL`].
    pub rejected: [u64; 5],
    /// No room for one more node.
    pub dropped_table_full: u64,
}

pub struct Gossip {
    config: GossipConfig,
    key: SharedKey,
    own_record: NodeRecord,
    own_news: u32,
    refreshed_at: f64,
    /// host:port of peers named in the settings.
    peers: Vec<String>,
    known: BTreeMap<u64, PeerRecord>,
    chance: WyRand,
    next_round: f64,
    rounds: u32,
    /// Where the next comparison begins.
    compared: u64,
    out: Vec<(String, Vec<u8>)>,
    pub counters: GossipCounters,
}

fn ms(s: f64) -> u32 {
    (s.max(0.0) * 1e3) as u32
}

impl Gossip {
    pub fn new(
        figures: GossipConfig,
        key: SharedKey,
        own: NodeRecord,
        peers: Vec<String>,
        seed: u64,
    ) -> Gossip {
        let peers = peers.into_iter().filter(|p| *p != own.address).collect();
        Gossip {
            config: figures,
            key,
            own_record: own,
            own_news: 0,
            refreshed_at: f64::NEG_INFINITY,
            peers,
            known: BTreeMap::new(),
            chance: WyRand::new_seed(seed),
            next_round: 0.0,
            rounds: 0,
            compared: 0,
            out: Vec::new(),
            counters: GossipCounters::default(),
        }
    }

    pub fn round_s(&self) -> f64 {
        self.config.round_s
    }

    pub fn own(&self) -> &NodeRecord {
        &self.own_record
    }

    /// Where datagrams reach it, known once its socket is bound.
    pub fn set_own_address(&mut self, address: String) {
        self.peers.retain(|p| *p != address);
        self.own_record.address = address;
    }

    fn refresh_s(&self) -> f64 {
        self.config
            .refresh_interval_s
            .max(self.known.len() as f64 / self.config.nodes_per_round * self.config.round_s)
    }

    /// What was told before then counts no more.
    fn since(&self, now: f64) -> f64 {
        now - MISSED * self.refresh_s()
    }

    /// Records of the own zone's other nodes: the ways from it are theirs too.
    pub fn zone_peers(&self, now: f64) -> Vec<PeerRecord> {
        self.live_peers(now).filter(|k| k.record.zone == self.own_record.zone).cloned().collect()
    }

    /// Records of other nodes that still count, and when each was told.
    pub fn live_peers(&self, now: f64) -> impl Iterator<Item = &PeerRecord> {
        let since = self.since(now);
        self.known.values().filter(move |k| k.reported_at >= since)
    }

    /// How many nodes there may be, this one too.
    pub fn node_count(&self, now: f64) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Datagrams that carry one piece of news: enough for all to hear it, by chance, some rounds later.
    fn spread(&self) -> u32 {
        let n = (self.known.len() + 2) as f64;
        n.ln().ceil() as u32 + 2
    }

    /// What this node saw. `news`: others should hear it at once, not with the next refresh.
    pub fn publish(&mut self, now: f64, seen: Vec<ZoneReport>, news: bool) {
        let due = now >= self.refreshed_at + self.refresh_s();
        if news || due {
            self.refreshed_at = now;
            self.own_record.seq += 1;
            self.own_record.zone_reports = seen;
            // What comes first matters most; the rest is left out where it does not fit.
            self.own_record.zone_reports.truncate(MAX_ZONES);
            while AROUND + length(&self.own_record) > MAX_DATAGRAM_BYTES
                && self.own_record.zone_reports.pop().is_some()
            {}
            self.own_news = self.spread();
        }
        if news {
            self.next_round = now;
        }
    }

    /// What waits here to be run; others hear it with the next refresh.
    pub fn publish_deferred(&mut self, mut parked: Vec<(u32, u32)>) {
        parked.sort_by_key(|p| std::cmp::Reverse(p.1));
        parked.truncate(MAX_TENANTS);
        self.own_record.deferred_by_tenant = parked;
    }

    /// Datagrams to send now, and when to ask again.
    pub fn poll_datagrams(&mut self, now: f64, unix_ms: u64) -> (Vec<(String, Vec<u8>)>, f64) {
        if now >= self.next_round {
            self.next_round = now + self.config.round_s * (0.9 + 0.2 * self.dice());
            self.rounds = self.rounds.wrapping_add(1);
            self.round(now, unix_ms);
        }
        (std::mem::take(&mut self.out), self.next_round)
    }

    fn dice(&mut self) -> f64 {
        f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Some peers by chance: all but one of the own zone, whose ways are this node's too; and of those named in the
    /// settings now and then one that is not heard.
    fn some(&mut self, now: f64, most: usize) -> Vec<String> {
        let zone = self.own_record.zone.clone();
        let (near, far): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            self.live_peers(now).map(|k| &k.record).partition(|r| r.zone == zone);
        let addresses =
            |all: Vec<&NodeRecord>| all.into_iter().map(|r| r.address.clone()).collect::<Vec<_>>();
        let (mut near, mut far) = (addresses(near), addresses(far));
        let unheard = |p: &&String| !near.contains(p) && !far.contains(p);
        let strangers: Vec<String> = self.peers.iter().filter(unheard).cloned().collect();
        let alone = near.is_empty() && far.is_empty();
        let mut out = Vec::new();
        while out.len() < most && !(near.is_empty() && far.is_empty()) {
            let enough = out.len() + 1 >= most && !far.is_empty();
            let from = if near.is_empty() || enough { &mut far } else { &mut near };
            out.push(from.swap_remove(self.chance.generate_range(0..from.len())));
        }
        // One that is not heard is tried now and then: a cut heals, a node comes back.
        let greet = if alone { GREETED } else { usize::from(self.rounds.is_multiple_of(5)) };
        for _ in 0..greet.min(strangers.len()) {
            out.push(strangers[self.chance.generate_range(0..strangers.len())].clone());
        }
        out
    }

    fn round(&mut self, now: f64, unix_ms: u64) {
        let mut records = Vec::new();
        let mut size = AROUND;
        if self.own_news > 0 {
            self.own_news -= 1;
            // What it saw has aged since it was told.
            records.push((ms(now - self.refreshed_at), self.own_record.clone()));
            size += length(&self.own_record);
        }
        let mut news: Vec<u64> =
            self.known.iter().filter(|k| k.1.pending_broadcasts > 0).map(|k| *k.0).collect();
        // What the own zone's nodes say goes first, and what has been carried on least.
        let zone = &self.own_record.zone;
        news.sort_by_key(|h| {
            self.known.get(h).map(|k| (k.record.zone != *zone, std::cmp::Reverse(k.pending_broadcasts)))
        });
        for h in news {
            let Some(k) = self.known.get_mut(&h) else { continue };
            if !fits(&mut size, &k.record) {
                break;
            }
            k.pending_broadcasts -= 1;
            records.push((ms(now - k.reported_at), k.record.clone()));
        }
        let to = self.some(now, self.config.fanout);
        if !records.is_empty() {
            to.iter().for_each(|a| self.say(unix_ms, a, Message::Records(records.clone())));
        }
        let lonely = self.live_peers(now).next().is_none();
        let compare = self.rounds.is_multiple_of(self.config.digest_every_rounds);
        // Of all zones: what is near is told often enough.
        if let Some(a) = to.last().filter(|_| lonely || compare) {
            let word = if lonely { Message::Want(Vec::new()) } else { self.digest() };
            self.say(unix_ms, a, word);
        }
    }

    /// A part of what is known, another one each time.
    fn digest(&mut self) -> Message {
        let after = self.known.range(self.compared..).chain(self.known.range(..self.compared));
        let some: Vec<(u64, u64, u64)> =
            after.take(DIGEST_ENTRIES).map(|(h, k)| (*h, k.record.incarnation, k.record.seq)).collect();
        self.compared = some.last().map_or(0, |l| l.0.wrapping_add(1));
        let own = (name_hash(&self.own_record.name), self.own_record.incarnation, self.own_record.seq);
        Message::Digest(std::iter::once(own).chain(some).collect())
    }

    fn say(&mut self, unix_ms: u64, to: &str, word: Message) {
        if self.out.len() >= MOST_OUT {
            return;
        }
        let d = Datagram { from: self.own_record.name.clone(), at_ms: unix_ms, message: word };
        if let Some(bytes) = self.key.seal(&d) {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.out.push((to.to_string(), bytes));
        }
    }

    /// A datagram has come; what it asks for is among what is due next. True: something in it was new.
    pub fn receive(&mut self, now: f64, unix_ms: u64, bytes: &[u8]) -> Result<bool, DatagramError> {
        let d = match self.key.open(bytes, unix_ms, u64::from(ms(self.config.max_clock_skew_s))) {
            Ok(d) => d,
            Err(why) => {
                self.counters.rejected[why as usize] += 1;
                return Err(why);
            }
        };
        self.counters.received += 1;
        let from = self.known.get(&name_hash(&d.from)).map(|k| k.record.address.clone());
        match d.message {
            Message::Records(all) => {
                let mut new = false;
                for (held_ms, r) in all {
                    new |= self.learn(now, now - f64::from(held_ms) / 1e3, r);
                }
                return Ok(new);
            }
            Message::Digest(theirs) => {
                let Some(from) = from else { return Ok(false) };
                let own = (name_hash(&self.own_record.name), self.own_record.version());
                let version = |h: &u64| match self.known.get(h) {
                    Some(k) => Some(k.record.version()),
                    None => Some(own.1).filter(|_| *h == own.0),
                };
                let (mut newer, mut wanted) = (Vec::new(), Vec::new());
                for (h, incarnation, seq) in theirs {
                    match version(&h).cmp(&Some((incarnation, seq))) {
                        Ordering::Greater => newer.push(h),
                        Ordering::Less => wanted.push(h),
                        Ordering::Equal => {}
                    }
                }
                self.give(now, unix_ms, &from, |h| newer.contains(&h));
                if !wanted.is_empty() {
                    self.say(unix_ms, &from, Message::Want(wanted));
                }
            }
            Message::Want(which) => {
                // Its record comes with its first round; until then it is answered at the next question.
                let Some(from) = from else { return Ok(false) };
                self.give(now, unix_ms, &from, |h| which.is_empty() || which.contains(&h));
            }
        }
        Ok(false)
    }

    fn learn(&mut self, now: f64, told_at: f64, r: NodeRecord) -> bool {
        if r.name == self.own_record.name {
            // Of an earlier process of this name whose clock ran ahead, or made up: ours has to be newer.
            if r.version() > self.own_record.version() && r.address == self.own_record.address {
                self.own_record.incarnation = r.incarnation + 1;
            }
            return false;
        }
        let h = name_hash(&r.name);
        let news = self.spread();
        let since = self.since(now);
        match self.known.get_mut(&h) {
            Some(k) if k.record.version() >= r.version() => return false,
            Some(k) => *k = PeerRecord { record: r, reported_at: told_at, pending_broadcasts: news },
            None => {
                if self.known.len() >= self.config.max_nodes {
                    let oldest = self.known.iter().min_by(|a, b| a.1.reported_at.total_cmp(&b.1.reported_at));
                    let gone = oldest.filter(|o| o.1.reported_at < since).map(|o| *o.0);
                    let Some(gone) = gone else {
                        self.counters.dropped_table_full += 1;
                        return false;
                    };
                    self.known.remove(&gone);
                }
                self.known
                    .insert(h, PeerRecord { record: r, reported_at: told_at, pending_broadcasts: news });
            }
        }
        true
    }

    /// Records that are asked for, in as many datagrams as one question is worth.
    fn give(&mut self, now: f64, unix_ms: u64, to: &str, such: impl Fn(u64) -> bool) {
        let own = (name_hash(&self.own_record.name), self.refreshed_at.max(0.0), &self.own_record);
        let all = std::iter::once(own).chain(self.known.iter().map(|(h, k)| (*h, k.reported_at, &k.record)));
        let wanted = all.filter(|a| such(a.0)).map(|(_, told_at, r)| (ms(now - told_at), r.clone()));
        let mut wanted: Vec<(u32, NodeRecord)> = wanted.collect();
        for _ in 0..MOST_ANSWERS {
            let (mut size, mut some) = (AROUND, Vec::new());
            while let Some(r) = wanted.pop_if(|r| fits(&mut size, &r.1)) {
                some.push(r);
            }
            if some.is_empty() {
                return;
            }
            self.say(unix_ms, to, Message::Records(some));
        }
    }
}

/// Counts a record into a datagram, if there is room for it.
fn fits(size: &mut usize, r: &NodeRecord) -> bool {
    let with = *size + length(r);
    let fits = with <= MAX_DATAGRAM_BYTES;
    *size = if fits { with } else { *size };
    fits
}

/// Bytes of a record in a datagram, at most.
fn length(r: &NodeRecord) -> usize {
    let seen = |s: &ZoneReport| s.zone.len() + 12 + 10 * s.unreachable.len();
    let parked = 10 * r.deferred_by_tenant.len();
    r.name.len()
        + r.address.len()
        + r.zone.len()
        + 32
        + parked
        + r.zone_reports.iter().map(seen).sum::<usize>()
}

#[cfg(test)]
mod tests;
