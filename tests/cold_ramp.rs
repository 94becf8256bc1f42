//! Load that all nodes together put on an engine in slow start, measured with the routers of a whole fleet in
//! one process on a simulated clock. Prefills, decodes, probes and retries all count.

mod common;
#[path = "cold_ramp/fleet.rs"]
mod fleet;
#[path = "cold_ramp/scenario.rs"]
mod scenario;

use fleet::Fleet;
use scenario::{Scenario, PLAIN};
use test_case::test_case;

/// No engine in slow start gets more than its budget of N calls per window, plus 2 x root of N + 2 for random
/// variation.
#[test_case(PLAIN; "plain")]
#[test_case(Scenario { uneven: true, ..PLAIN }; "uneven traffic")]
#[test_case(Scenario { restarts: true, ..PLAIN }; "nodes restart")]
#[test_case(Scenario { delayed_lists: true, ..PLAIN }; "delayed lists")]
#[test_case(Scenario { retry_storm: true, ..PLAIN }; "retry storm")]
#[test_case(Scenario { retry_storm: true, quotas: false, ..PLAIN }; "retry storm without quotas")]
#[test_case(Scenario { probes: false, quotas: false, ..PLAIN }; "no probes")]
#[test_case(Scenario { uneven: true, restarts: true, delayed_lists: true, retry_storm: true, errors: true, ..PLAIN }; "everything at once")]
fn all_nodes_together_respect_slow_start(scenario: Scenario) {
    let mut violations = Vec::new();
    for nodes in [2, 20, 30, 300] {
        for seed in 1..=3 {
            let (share, served) = Fleet::new(nodes, scenario, seed).run();
            println!(
                "{nodes} nodes, seed {seed}: largest load {share:.2} of the limit, {served} requests served"
            );
            assert!(served > 200, "only {served} requests served");
            violations.extend((share > 1.0).then_some((nodes, seed, share)));
        }
    }
    assert!(violations.is_empty(), "nodes, seed and share of the limit: {violations:?}");
}
