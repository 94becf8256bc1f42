//! The newest record of each node, spread through the fleet by gossip: in each round new records go to a few random peers,
//! and now and then two nodes compare what they have. There is no leader and no vote; an isolated node has only its own
//! record.

mod batch;
mod config;
mod datagram;
mod peers;
mod receive;
pub mod record;
mod round;

pub use config::GossipConfig;
pub use peers::PeerRecord;

use nanorand::{Rng, WyRand};
use peers::PeerTable;
use record::{Datagram, DatagramError, Message, NodeRecord, SharedKey, ZoneReport, MAX_TENANTS, MAX_ZONES};

/// A peer is live for so many refresh intervals after its last record.
const LIVE_REFRESHES: f64 = 4.0;
/// Datagrams that wait to be sent, at most. One that is dropped is requested again.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Rounds that pass a record on beyond the logarithm of the fleet's size.
const EXTRA_BROADCASTS: u32 = 2;

/// Datagrams counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams received and found valid.
    pub received: u64,
    /// Datagrams rejected, by [`DatagramError::ALL`].
    pub rejected: [u64; DatagramError::ALL.len()],
    /// Records dropped since the table of peers was full.
    pub dropped_table_full: u64,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the peer, as host:port.
    pub to: String,
    /// The datagram as it goes over the wire.
    pub bytes: Vec<u8>,
}

/// The gossip of one node, without I/O.
pub struct Gossip {
    config: GossipConfig,
    key: SharedKey,
    own_record: NodeRecord,
    /// Rounds that still send the own record.
    own_pending_broadcasts: u32,
    /// When the own record was last published.
    published_at: f64,
    /// Addresses of peers named in the settings, as host:port.
    seed_peers: Vec<String>,
    peers: PeerTable,
    rng: WyRand,
    next_round_at: f64,
    rounds: u32,
    /// Hash at which the next digest begins.
    digest_cursor: u64,
    outbox: Vec<OutgoingDatagram>,
    /// Datagrams counted since the start.
    pub counters: GossipCounters,
}

impl Gossip {
    /// `seed_peers`: addresses of the peers named in the settings, as host:port; `seed`: of the random choices.
    pub fn new(
        config: GossipConfig,
        key: SharedKey,
        own_record: NodeRecord,
        seed_peers: Vec<String>,
        seed: u64,
    ) -> Gossip {
        let seed_peers = seed_peers.into_iter().filter(|address| *address != own_record.address).collect();
        Gossip {
            config,
            key,
            own_record,
            own_pending_broadcasts: 0,
            published_at: f64::NEG_INFINITY,
            seed_peers,
            peers: PeerTable::default(),
            rng: WyRand::new_seed(seed),
            next_round_at: 0.0,
            rounds: 0,
            digest_cursor: 0,
            outbox: Vec::new(),
            counters: GossipCounters::default(),
        }
    }

    /// Time between two rounds.
    pub fn round_s(&self) -> f64 {
        self.config.round_s
    }

    /// This node's own record.
    pub fn own(&self) -> &NodeRecord {
        &self.own_record
    }

    /// Where datagrams reach this node, known once its socket is bound.
    pub fn set_own_address(&mut self, address: String) {
        self.seed_peers.retain(|seed_peer| *seed_peer != address);
        self.own_record.address = address;
    }

    /// Records of the live peers in the own zone: their observations are of use to this node.
    pub fn zone_peers(&self, now: f64) -> Vec<PeerRecord> {
        let own_zone = &self.own_record.zone;
        self.live_peers(now).filter(|peer| peer.record.zone == *own_zone).cloned().collect()
    }

    /// Records of the peers that are live.
    pub fn live_peers(&self, now: f64) -> impl Iterator<Item = &PeerRecord> {
        self.peers.reported_since(self.live_since(now))
    }

    /// Nodes that are live, this one included.
    pub fn node_count(&self, now: f64) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Publishes what this node observed. `urgent`: peers receive it at once, not with the next refresh.
    pub fn publish(&mut self, now: f64, zone_reports: Vec<ZoneReport>, urgent: bool) {
        let refresh_due = now >= self.published_at + self.refresh_interval_s();
        if urgent || refresh_due {
            self.published_at = now;
            self.own_record.seq += 1;
            self.own_record.zone_reports = zone_reports;
            self.truncate_zone_reports();
            self.own_pending_broadcasts = self.broadcasts_per_record();
        }
        if urgent {
            self.next_round_at = now;
        }
    }

    /// The first reports matter most; those that do not fit a datagram are dropped.
    fn truncate_zone_reports(&mut self) {
        self.own_record.zone_reports.truncate(MAX_ZONES);
        while !batch::fits_datagram(&self.own_record) && self.own_record.zone_reports.pop().is_some() {}
    }

    /// Sets the deferred requests that wait at this node; peers receive them with the next refresh.
    pub fn publish_deferred(&mut self, mut deferred_by_tenant: Vec<(u32, u32)>) {
        deferred_by_tenant.sort_by_key(|(_, waiting)| std::cmp::Reverse(*waiting));
        deferred_by_tenant.truncate(MAX_TENANTS);
        self.own_record.deferred_by_tenant = deferred_by_tenant;
    }

    /// Datagrams to send now, and when to poll again.
    pub fn poll_datagrams(&mut self, now: f64, unix_ms: u64) -> (Vec<OutgoingDatagram>, f64) {
        if now >= self.next_round_at {
            self.next_round_at = now + self.config.round_s * (0.9 + 0.2 * self.random_fraction());
            self.rounds = self.rounds.wrapping_add(1);
            self.run_round(now, unix_ms);
        }
        (std::mem::take(&mut self.outbox), self.next_round_at)
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.generate::<u32>()) / f64::from(u32::MAX)
    }

    fn refresh_interval_s(&self) -> f64 {
        let rounds_for_all = self.peers.len() as f64 / self.config.nodes_per_round;
        self.config.refresh_interval_s.max(rounds_for_all * self.config.round_s)
    }

    /// Peers whose record was published before this time are not live.
    fn live_since(&self, now: f64) -> f64 {
        now - LIVE_REFRESHES * self.refresh_interval_s()
    }

    /// Rounds in which a node passes a new record on: with high probability enough for it to reach all nodes.
    fn broadcasts_per_record(&self) -> u32 {
        let nodes = (self.peers.len() + 2) as f64;
        nodes.ln().ceil() as u32 + EXTRA_BROADCASTS
    }

    fn send(&mut self, unix_ms: u64, to: &str, message: Message) {
        if self.outbox.len() >= MAX_QUEUED_DATAGRAMS {
            return;
        }
        let datagram = Datagram { from: self.own_record.name.clone(), at_ms: unix_ms, message };
        if let Some(bytes) = self.key.seal(&datagram) {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.outbox.push(OutgoingDatagram { to: to.to_string(), bytes });
        }
    }
}

fn to_ms(seconds: f64) -> u32 {
    (seconds.max(0.0) * 1e3) as u32
}

#[cfg(test)]
mod tests;
