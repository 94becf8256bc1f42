//! Processing of received datagrams: newer records are stored, digests and requests for records are answered.

use super::batch::RecordBatch;
use super::record::{name_hash, AgedRecord, DatagramError, DigestEntry, Message, NodeRecord, RecordVersion};
use super::{to_ms, Gossip, PeerRecord};
use std::cmp::Ordering;

/// Maximum number of datagrams of records in the answer to a request.
const MAX_ANSWER_DATAGRAMS: usize = 8;

impl Gossip {
    /// Processes a datagram and queues the answers to it. Returns whether any record in it was new.
    pub fn receive(&mut self, now: f64, unix_ms: u64, bytes: &[u8]) -> Result<bool, DatagramError> {
        let max_skew_ms = u64::from(to_ms(self.config.max_clock_skew_s));
        let datagram = self
            .key
            .open(bytes, unix_ms, max_skew_ms)
            .inspect_err(|error| self.counters.rejected[*error as usize] += 1)?;
        self.counters.received += 1;
        let sender = self.peers.get(name_hash(&datagram.from)).map(|peer| peer.record.address.clone());
        match (datagram.message, sender) {
            (Message::Records(records), _) => return Ok(self.learn_all(now, records)),
            (Message::Digest(entries), Some(sender)) => self.answer_digest(now, unix_ms, &sender, &entries),
            (Message::Want(wanted), Some(sender)) => {
                let is_wanted = |name_hash| wanted.is_empty() || wanted.contains(&name_hash);
                self.send_records(now, unix_ms, &sender, is_wanted);
            }
            // The address of the sender is not known yet. Its record arrives with its first round; after
            // that, its next digest or request is answered.
            (Message::Digest(_) | Message::Want(_), None) => {}
        }
        Ok(false)
    }

    fn learn_all(&mut self, now: f64, records: Vec<AgedRecord>) -> bool {
        let mut any_new = false;
        for AgedRecord { age_ms, record } in records {
            any_new |= self.learn(now, now - f64::from(age_ms) / 1e3, record);
        }
        any_new
    }

    fn learn(&mut self, now: f64, reported_at: f64, record: NodeRecord) -> bool {
        if record.name == self.own_record.name {
            self.supersede(&record);
            return false;
        }
        let name_hash = name_hash(&record.name);
        let pending_broadcasts = self.broadcasts_per_record();
        match self.peers.version(name_hash) {
            Some(known) if known >= record.version() => return false,
            Some(_) => {}
            None => {
                let is_full = self.peers.len() >= self.config.max_nodes;
                if is_full && !self.peers.evict_older_than(self.live_since(now)) {
                    self.counters.dropped_table_full += 1;
                    return false;
                }
            }
        }
        self.peers.insert(name_hash, PeerRecord { record, reported_at, pending_broadcasts });
        true
    }

    /// Raises the version of the own record above that of a received record with this node's name. Such a
    /// record stems from an earlier process whose clock ran ahead, or is forged.
    fn supersede(&mut self, record: &NodeRecord) {
        if record.version() > self.own_record.version() && record.address == self.own_record.address {
            self.own_record.incarnation = record.incarnation + 1;
        }
    }

    /// Sends the records that are newer here than in the digest, and requests those that are newer at the
    /// sender.
    fn answer_digest(&mut self, now: f64, unix_ms: u64, sender: &str, entries: &[DigestEntry]) {
        let (mut newer_here, mut newer_there) = (Vec::new(), Vec::new());
        for entry in entries {
            match self.version_of(entry.name_hash).cmp(&Some(entry.version)) {
                Ordering::Greater => newer_here.push(entry.name_hash),
                Ordering::Less => newer_there.push(entry.name_hash),
                Ordering::Equal => {}
            }
        }
        self.send_records(now, unix_ms, sender, |name_hash| newer_here.contains(&name_hash));
        if !newer_there.is_empty() {
            self.send(unix_ms, sender, Message::Want(newer_there));
        }
    }

    /// Version of the record of a peer or of this node; `None` if there is no such record.
    fn version_of(&self, hash: u64) -> Option<RecordVersion> {
        let own_version = || (hash == name_hash(&self.own_record.name)).then(|| self.own_record.version());
        self.peers.version(hash).or_else(own_version)
    }

    /// Sends the selected records in at most [`MAX_ANSWER_DATAGRAMS`] datagrams.
    fn send_records(&mut self, now: f64, unix_ms: u64, to: &str, is_wanted: impl Fn(u64) -> bool) {
        let mut wanted = self.aged_records(now, is_wanted);
        for _ in 0..MAX_ANSWER_DATAGRAMS {
            let mut batch = RecordBatch::new();
            while let Some(aged) = wanted.pop_if(|aged| batch.fits(&aged.record)) {
                batch.push(aged);
            }
            if batch.is_empty() {
                return;
            }
            self.send(unix_ms, to, batch.into_message());
        }
    }

    fn aged_records(&self, now: f64, is_wanted: impl Fn(u64) -> bool) -> Vec<AgedRecord> {
        let own = (name_hash(&self.own_record.name), self.published_at.max(0.0), &self.own_record);
        let known = self.peers.iter().map(|(name_hash, peer)| (name_hash, peer.reported_at, &peer.record));
        std::iter::once(own)
            .chain(known)
            .filter(|(name_hash, _, _)| is_wanted(*name_hash))
            .map(|(_, reported_at, record)| AgedRecord {
                age_ms: to_ms(now - reported_at),
                record: record.clone(),
            })
            .collect()
    }
}
