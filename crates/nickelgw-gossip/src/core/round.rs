//! Gossip rounds: each sends new records to a few random peers, and every few rounds also a digest of the
//! known records to one of them.

use super::batch::RecordBatch;
use super::record::{name_hash, AgedRecord, DigestEntry, Message, NodeRecord};
use super::{to_ms, Gossip};
use nanorand::Rng;
use std::cmp::Reverse;

/// Maximum number of entries of a digest, not counting the entry of the own record.
const MAX_DIGEST_ENTRIES: usize = 40;
/// Number of seed peers that an isolated node contacts in a round.
const SEED_TARGETS_WHEN_ISOLATED: usize = 3;
/// Number of rounds after which a node with live peers contacts a seed peer that is not live, since a
/// partition may have healed or the peer may have been restarted.
const SEED_EVERY_ROUNDS: u32 = 5;

impl Gossip {
    pub(super) fn run_round(&mut self, now: f64, unix_ms: u64) {
        let updates = self.collect_updates(now);
        let targets = self.select_targets(now, self.config.fanout);
        if !updates.is_empty() {
            let message = updates.into_message();
            targets.iter().for_each(|target| self.send(unix_ms, target, message.clone()));
        }
        let is_isolated = self.live_peers(now).next().is_none();
        let digest_due = self.rounds.is_multiple_of(self.config.digest_every_rounds);
        // The last target is in another zone if there is one, since the nodes of a zone exchange enough
        // records anyway.
        if let Some(target) = targets.last().filter(|_| is_isolated || digest_due) {
            let message = if is_isolated { Message::Want(Vec::new()) } else { self.next_digest() };
            self.send(unix_ms, target, message);
        }
    }

    /// Collects records that are still to be sent, as many as fit into a datagram.
    fn collect_updates(&mut self, now: f64) -> RecordBatch {
        let mut batch = RecordBatch::new();
        if self.own_pending_broadcasts > 0 {
            self.own_pending_broadcasts -= 1;
            // The observations in the record have aged since it was published.
            batch
                .push(AgedRecord { age_ms: to_ms(now - self.published_at), record: self.own_record.clone() });
        }
        for name_hash in self.peers_to_broadcast() {
            let Some(peer) = self.peers.get_mut(name_hash) else { continue };
            if !batch.fits(&peer.record) {
                break;
            }
            peer.pending_broadcasts -= 1;
            batch.push(AgedRecord { age_ms: to_ms(now - peer.reported_at), record: peer.record.clone() });
        }
        batch
    }

    /// Name hashes of the peers whose records are to be forwarded: first those of the own zone, and within a
    /// zone those that were forwarded the least.
    fn peers_to_broadcast(&self) -> Vec<u64> {
        let own_zone = &self.own_record.zone;
        let mut updates: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.pending_broadcasts > 0)
            .map(|(name_hash, peer)| {
                (peer.record.zone != *own_zone, Reverse(peer.pending_broadcasts), name_hash)
            })
            .collect();
        updates.sort_by_key(|&(is_far, pending_broadcasts, _)| (is_far, pending_broadcasts));
        updates.into_iter().map(|(_, _, name_hash)| name_hash).collect()
    }

    /// Selects random live peers, all but one of them from the own zone, whose nodes share their
    /// observations. Adds seed peers that are not live if they are due.
    fn select_targets(&mut self, now: f64, max_live: usize) -> Vec<String> {
        let (mut near, mut far) = self.live_addresses(now);
        let is_unknown = |address: &&String| !near.contains(address) && !far.contains(address);
        let unknown_seeds: Vec<String> = self.seed_peers.iter().filter(is_unknown).cloned().collect();
        let is_isolated = near.is_empty() && far.is_empty();
        let mut targets = Vec::new();
        while targets.len() < max_live && !(near.is_empty() && far.is_empty()) {
            let is_last = targets.len() + 1 >= max_live;
            let take_far = near.is_empty() || (is_last && !far.is_empty());
            let candidates = if take_far { &mut far } else { &mut near };
            targets.push(candidates.swap_remove(self.rng.generate_range(0..candidates.len())));
        }
        let seed_targets = if is_isolated {
            SEED_TARGETS_WHEN_ISOLATED
        } else {
            usize::from(self.rounds.is_multiple_of(SEED_EVERY_ROUNDS))
        };
        for _ in 0..seed_targets.min(unknown_seeds.len()) {
            targets.push(unknown_seeds[self.rng.generate_range(0..unknown_seeds.len())].clone());
        }
        targets
    }

    /// Addresses of the live peers in the own zone, and of those in other zones.
    fn live_addresses(&self, now: f64) -> (Vec<String>, Vec<String>) {
        let own_zone = &self.own_record.zone;
        let (near, far): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            self.live_peers(now).map(|peer| &peer.record).partition(|record| record.zone == *own_zone);
        let addresses =
            |records: Vec<&NodeRecord>| records.into_iter().map(|record| record.address.clone()).collect();
        (addresses(near), addresses(far))
    }

    /// Creates a digest of the next part of the known records, so that successive digests cover all of them.
    fn next_digest(&mut self) -> Message {
        let own =
            DigestEntry { name_hash: name_hash(&self.own_record.name), version: self.own_record.version() };
        let known = self.peers.iter_from(self.digest_cursor).take(MAX_DIGEST_ENTRIES);
        let entries: Vec<DigestEntry> = known
            .map(|(name_hash, peer)| DigestEntry { name_hash, version: peer.record.version() })
            .collect();
        self.digest_cursor = entries.last().map_or(0, |last| last.name_hash.wrapping_add(1));
        Message::Digest(std::iter::once(own).chain(entries).collect())
    }
}
