//! Validation of the settings for a fleet: zones, gossip, and deferred requests.

use super::Validator;
use crate::proto::{Accord, Node, Parked};
use std::collections::BTreeSet;

/// Minimum length of the gossip key, as shorter secrets can be guessed.
const MIN_GOSSIP_KEY_BYTES: usize = 16;
/// Maximum number of records in the file of deferred requests.
const MAX_DEFERRED_RECORDS: f64 = 65_536.0;
/// Maximum size of the file of deferred requests.
const MAX_DEFERRED_BYTES: f64 = 48.0 * 1024.0 * 1024.0;
/// Maximum time for which a deferred request or its answer is kept: two weeks.
const MAX_DEFERRED_MS: f64 = 14.0 * 86_400e3;
/// Maximum number of deferred requests that run at once.
const MAX_DEFERRED_RUNNING: f64 = 1024.0;

impl Validator<'_> {
    pub(super) fn zones(&mut self, zones: &[String]) {
        if zones.is_empty() {
            self.root().report("zones", "is missing", "the zones of the deployment");
        }
        let distinct: BTreeSet<_> = zones.iter().collect();
        if distinct.len() < zones.len() {
            self.root().report("zones", "a zone is given more than once", "each zone once");
        }
    }

    pub(super) fn gossip(&mut self, gossip: Option<&Accord>) {
        let Some(gossip) = gossip else { return };
        let mut section = self.section("accord");
        section.address("listen", &gossip.listen);
        if let Some(address) = &gossip.address {
            section.address("address", address);
        }
        for (index, peer) in gossip.peer.iter().enumerate() {
            section.address(("peer", index), peer);
        }
        if gossip.key.len() < MIN_GOSSIP_KEY_BYTES {
            // The key itself is not shown.
            section.report("key", "is too short", "a secret of 16 bytes or more");
        }
        section.above_zero("round_ms", gossip.round_ms());
        section.above_zero("step_ms", gossip.step_ms());
        section.above_zero("wait_ms", gossip.wait_ms());
        section.at_least("longest_wait_ms", gossip.longest_wait_ms(), gossip.wait_ms(), "wait_ms or more");
    }

    pub(super) fn deferred(&mut self, node: &Node) {
        let Some(deferred) = &node.parked else { return };
        let mut section = self.section("parked");
        section.not_empty("file", &deferred.file);
        if Some(&deferred.file) == node.store.as_ref() {
            section.report("file", "is also the file of the store", "a file that is used for nothing else");
        }
        for (field, value, maximum) in deferred_limits(deferred) {
            section.above_zero(field, value);
            if value > maximum {
                section.report(field, format!("is {value}"), &format!("{maximum} or less"));
            }
        }
    }
}

/// Returns each field with its value and its maximum.
fn deferred_limits(deferred: &Parked) -> [(&'static str, f64, f64); 7] {
    let max_bytes = deferred.most_bytes() as f64;
    [
        ("most_records", f64::from(deferred.most_records()), MAX_DEFERRED_RECORDS),
        ("most_bytes", max_bytes, MAX_DEFERRED_BYTES),
        ("most_records_tenant", f64::from(deferred.most_records_tenant()), MAX_DEFERRED_RECORDS),
        ("longest_wait_ms", deferred.longest_wait_ms(), MAX_DEFERRED_MS),
        ("keep_ms", deferred.keep_ms(), MAX_DEFERRED_MS),
        ("most_answer_bytes", f64::from(deferred.most_answer_bytes()), max_bytes),
        ("most_running", f64::from(deferred.most_running()), MAX_DEFERRED_RUNNING),
    ]
}
