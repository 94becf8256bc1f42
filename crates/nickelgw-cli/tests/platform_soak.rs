//! Soak: two dozen nodes as processes, engines behind fault proxies, random faults that overlap; judged by what arrived at engines and
//! clients, and by the violations that the nodes count themselves.
//!
//!     SOAK_SEEDS=1,2,3 SOAK_SECONDS=30 cargo test --release -p nickelgw-cli --test platform_soak -- --nocapture
//!
//! Without the variables one seed is played for some seconds.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[path = "platform_soak/faults.rs"]
mod faults;
#[path = "platform_soak/fleet.rs"]
mod fleet;
#[allow(dead_code)]
mod processes;
#[allow(dead_code)]
#[path = "platform_reservations/world.rs"]
mod world;

use faults::Faults;
use fleet::Fleet;
use std::time::{Duration, Instant};

/// Processes at once.
const NODES: usize = 24;
/// Time after the last fault in which all that is open comes to its end.
const SETTLE: Duration = Duration::from_secs(5);

fn setting(name: &str, usual: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| usual.to_string())
}

#[test]
fn random_faults_over_many_processes_break_no_rule() {
    let seconds = setting("SOAK_SECONDS", "6").parse().expect("SOAK_SECONDS is a number");
    for seed in setting("SOAK_SEEDS", "1").split(',') {
        let seed: u64 = seed.trim().parse().expect("SOAK_SEEDS are numbers");
        let fleet = Fleet::start(NODES, seed);
        let mut faults = Faults::new(seed);
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            faults.next(&fleet);
        }
        faults.end(&fleet);
        std::thread::sleep(SETTLE);
        let report = fleet.end();
        println!("seed {seed}: {report}");
        assert!(report.served * 3 > report.asked, "hardly anything was served: {report}");
        assert!(
            report.violations.is_empty(),
            "seed {seed}, faults {:?}: {:#?}",
            faults.played,
            report.violations
        );
    }
}
