//! Prints the results of a simulation.

use super::{Node, Simulation, SIMULATION_END_S, ZONE_LOST_AT_S};

/// Prints one line with the times at which nodes evacuated the zone, the failed attempts, and the traffic of
/// gossip.
pub fn report(simulation: &Simulation) {
    let (scenario, nodes) = (simulation.scenario, &simulation.nodes);
    let count = scenario.node_count;
    let affected: Vec<&Node> =
        nodes.iter().enumerate().filter(|(n, _)| scenario.is_affected(*n)).map(|(_, node)| node).collect();
    let mut evacuated_after: Vec<f64> =
        affected.iter().filter_map(|node| node.evacuated_at).map(|at| at - ZONE_LOST_AT_S).collect();
    evacuated_after.sort_by(f64::total_cmp);
    let wrongly_evacuated =
        nodes.iter().filter(|node| node.evacuated_at.is_some()).count() - evacuated_after.len();
    let datagrams: u64 = nodes.iter().map(|node| node.gossip.counters.sent).sum();
    let bytes: u64 = nodes.iter().map(|node| node.gossip.counters.sent_bytes).sum();
    let node_seconds = count as f64 * SIMULATION_END_S;
    let after = |index: usize| evacuated_after.get(index).copied().unwrap_or(f64::NAN);
    let after_return = &simulation.attempts_after_return;
    println!(
        "{count} nodes, {}, gossip {}: evacuated by {} of {} ({wrongly_evacuated} wrongly), \
         first {:.2} half {:.2} last {:.2} s; \
         failed attempts {}; rejected {} of {}; {:.1} datagrams, {:.0} bytes a node a second; \
         by half seconds after the return {:?}",
        if scenario.is_partition { "cut from a" } else { "lost" },
        if scenario.gossip { "on" } else { "off" },
        evacuated_after.len(),
        affected.len(),
        after(0),
        after(evacuated_after.len() / 2),
        after(evacuated_after.len().wrapping_sub(1)),
        simulation.failed_attempts,
        simulation.rejected,
        simulation.arrived,
        datagrams as f64 / node_seconds,
        bytes as f64 / node_seconds,
        &after_return[..after_return.len().min(16)],
    );
}
