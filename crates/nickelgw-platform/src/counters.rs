//! Counters of the node, told to the log: once a minute while they change, and as the process ends.

use crate::node::Node;
use nickelgw_node::seconds;
use smol::Timer;
use std::rc::Rc;

/// Seconds between two lines.
const EVERY_S: f64 = 60.0;

/// Writes one line with all counters: requests by how they ended, KV reservations by what became of them.
pub fn write(node: &Node) {
    let core = node.core.borrow();
    let (requests, reservations) = (core.counters, core.ledger.counters);
    tracing::info!(
        at = node.now(),
        ?requests,
        ?reservations,
        open = core.open(),
        reserved = core.ledger.len(),
        unclaimed_longest_s = core.ledger.unclaimed_quantile_s(1.0),
        transitions_not_logged = core.ledger.dropped_transitions(),
        violations = ?core.guard.counts(),
        "counters"
    );
}

/// Writes the line again and again, until dropped.
pub async fn write_regularly(node: Rc<Node>) {
    let mut last = None;
    loop {
        Timer::after(seconds(EVERY_S)).await;
        let now = {
            let core = node.core.borrow();
            (core.counters, core.ledger.counters)
        };
        if last.replace(now) != Some(now) {
            write(&node);
        }
    }
}
