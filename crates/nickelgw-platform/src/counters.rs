//! Logs the node's counters: once a minute while they change, and when the process exits.

use crate::node::Node;
use nickelgw_node::seconds;
use smol::Timer;
use std::rc::Rc;

/// Interval between two log lines.
const LOG_INTERVAL_S: f64 = 60.0;

/// Logs one line with all counters: requests and reservations by how they ended.
pub fn log(node: &Node) {
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

/// Logs the line at regular intervals until the future is dropped.
pub async fn log_regularly(node: Rc<Node>) {
    let mut logged = None;
    loop {
        Timer::after(seconds(LOG_INTERVAL_S)).await;
        let counters = {
            let core = node.core.borrow();
            (core.counters, core.ledger.counters)
        };
        if logged.replace(counters) != Some(counters) {
            log(&node);
        }
    }
}
