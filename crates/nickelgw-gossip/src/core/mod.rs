//! Spreads the newest record of each node through the fleet by gossip. In each round, new records are sent to
//! a few random peers; every few rounds, two nodes compare the records that they have. There is no leader and
//! no vote; an isolated node has only its own record.

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

/// Number of refresh intervals for which a peer counts as live after its last record.
const LIVE_REFRESHES: f64 = 4.0;
/// Maximum number of datagrams that wait to be sent. Further ones are dropped; their records are requested
/// again.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Number of rounds, in addition to the logarithm of the fleet's size, in which a node forwards a new record.
const EXTRA_BROADCASTS: u32 = 2;

/// Numbers of datagrams and records since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Valid datagrams received.
    pub received: u64,
    /// Datagrams rejected, by reason in the order of [`DatagramError::ALL`].
    pub rejected: [u64; DatagramError::ALL.len()],
    /// Records dropped because the table of peers was full.
    pub dropped_table_full: u64,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the peer, as host:port.
    pub to: String,
    /// The datagram as encoded on the wire.
    pub bytes: Vec<u8>,
}

/// Gossip state machine of one node, without I/O.
pub struct Gossip {
    config: GossipConfig,
    key: SharedKey,
    own_record: NodeRecord,
    /// Number of rounds in which the own record is still to be sent.
    own_pending_broadcasts: u32,
    /// Time at which the own record was last published.
    published_at: f64,
    /// Addresses of the peers named in the settings, as host:port.
    seed_peers: Vec<String>,
    peers: PeerTable,
    rng: WyRand,
    next_round_at: f64,
    rounds: u32,
    /// Name hash at which the next digest begins.
    digest_cursor: u64,
    outbox: Vec<OutgoingDatagram>,
    /// Totals since the start.
    pub counters: GossipCounters,
}

impl Gossip {
    /// Creates the state of a node that knows no peers. `seed_peers` are the addresses of the peers named in
    /// the settings, as host:port; `seed` initializes the random number generator.
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

    /// Configured time between two rounds in seconds.
    pub fn round_s(&self) -> f64 {
        self.config.round_s
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &NodeRecord {
        &self.own_record
    }

    /// Sets the address at which datagrams reach this node, which is known once its socket is bound.
    pub fn set_own_address(&mut self, address: String) {
        self.seed_peers.retain(|seed_peer| *seed_peer != address);
        self.own_record.address = address;
    }

    /// Records of the live peers in the own zone, whose observations this node uses.
    pub fn zone_peers(&self, now: f64) -> Vec<PeerRecord> {
        let own_zone = &self.own_record.zone;
        self.live_peers(now).filter(|peer| peer.record.zone == *own_zone).cloned().collect()
    }

    /// Records of all live peers.
    pub fn live_peers(&self, now: f64) -> impl Iterator<Item = &PeerRecord> {
        self.peers.reported_since(self.live_since(now))
    }

    /// Number of live nodes, including this node.
    pub fn node_count(&self, now: f64) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Publishes the observations of this node with the next refresh, or at once if `urgent`.
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

    /// Drops the last reports, which matter least, until the own record fits into a datagram.
    fn truncate_zone_reports(&mut self) {
        self.own_record.zone_reports.truncate(MAX_ZONES);
        while !batch::fits_datagram(&self.own_record) && self.own_record.zone_reports.pop().is_some() {}
    }

    /// Sets the numbers of deferred requests that wait at this node, by the hash of the tenant's name. Peers
    /// receive them with the next refresh.
    pub fn publish_deferred(&mut self, mut deferred_by_tenant: Vec<(u32, u32)>) {
        deferred_by_tenant.sort_by_key(|(_, waiting)| std::cmp::Reverse(*waiting));
        deferred_by_tenant.truncate(MAX_TENANTS);
        self.own_record.deferred_by_tenant = deferred_by_tenant;
    }

    /// Returns the datagrams to send now, and the time of the next poll.
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

    /// Time in seconds after which the own record is published again. It grows with the fleet so that the
    /// traffic stays bounded.
    fn refresh_interval_s(&self) -> f64 {
        let rounds_for_all = self.peers.len() as f64 / self.config.nodes_per_round;
        self.config.refresh_interval_s.max(rounds_for_all * self.config.round_s)
    }

    /// Time at or after which the record of a live peer was published.
    fn live_since(&self, now: f64) -> f64 {
        now - LIVE_REFRESHES * self.refresh_interval_s()
    }

    /// Number of rounds in which a node forwards a new record; with high probability enough to reach all
    /// nodes.
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
