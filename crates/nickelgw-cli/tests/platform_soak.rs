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
use fleet::{Fleet, Report};
use std::time::{Duration, Instant};

/// Processes at once.
const NODES: usize = 24;
/// Time after the last fault in which all that is open comes to its end.
const SETTLE: Duration = Duration::from_secs(5);
/// Lateness of the harness up to which its judgement counts: a third of the tightest limit it judges by (0.15 s).
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Plays of a seed until the harness was not late.
const PLAYS: usize = 5;

fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_string())
}

#[test]
fn random_faults_over_many_processes_break_no_rule() {
    let seconds = setting("SOAK_SECONDS", "6").parse().expect("SOAK_SECONDS is a number");
    for seed in setting("SOAK_SEEDS", "1").split(',') {
        let seed: u64 = seed.trim().parse().expect("SOAK_SEEDS are numbers");
        // A harness that ran late can tell nothing of what was late: that play is played again, and then it has to hold.
        let judged = (0..PLAYS).map(|_| play(seed, seconds)).find(|(report, _)| report.late < MAX_LATENESS);
        let (report, faults) = judged.expect("the machine is too busy to judge");
        assert!(report.served * 3 > report.asked, "hardly anything was served: {report}");
        assert!(report.violations.is_empty(), "seed {seed}, faults {faults:?}: {:#?}", report.violations);
    }
}

fn play(seed: u64, seconds: u64) -> (Report, Vec<&'static str>) {
    let fleet = Fleet::start(NODES, seed);
    let mut faults = Faults::new(seed);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        faults.next(&fleet);
    }
    faults.end(&fleet);
    std::thread::sleep(SETTLE);
    let report = fleet.end();
    println!("seed {seed}: {report}");
    // No lateness explains that something ran twice.
    let twice: Vec<_> =
        report.violations.iter().filter(|violation| violation.contains("DuplicateRun")).collect();
    assert!(twice.is_empty(), "seed {seed}: {twice:?}");
    (report, faults.played)
}
