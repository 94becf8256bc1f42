//! Soak: two dozen nodes as processes, engines behind fault proxies, random faults that overlap; judged by what arrived at engines and
//! clients, and by the violations that the nodes count themselves.
//!
//!     SOAK_SEEDS=1,2,3 SOAK_SECONDS=30 cargo test --release -p nickelgw-cli --test platform_soak many -- --nocapture
//!
//! Clients keep their connections and go on using the open ones until SIGKILL, which comes at the platform's earliest moment.
//! Seeds divisible by four have a crowd (`SOAK_CROWD_SEEDS`, `--test platform_soak crowd`). Without the variables some seeds are
//! played for some seconds each. Every finding of every play is printed and written to a file (`SOAK_RECORD`), whether it counts
//! or not.

#[path = "platform_soak/clients.rs"]
mod clients;
#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[path = "platform_soak/faults.rs"]
mod faults;
#[path = "platform_soak/fleet.rs"]
mod fleet;
#[path = "platform_soak/judge.rs"]
mod judge;
#[path = "platform_soak/judge_tests.rs"]
mod judge_tests;
#[path = "platform_soak/lateness.rs"]
mod lateness;
#[path = "platform_soak/member.rs"]
mod member;
#[allow(dead_code)]
mod processes;
#[allow(dead_code)]
#[path = "platform_reservations/world.rs"]
mod world;

use faults::Faults;
use fleet::Fleet;
use judge::{PlayRecord, Verdict};
use nickelgw_test_servers::platform::lock;
use std::fs::File;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Processes at once, unless `SOAK_NODES` says otherwise.
const NODES: &str = "24";
/// Time after the last fault in which all that is open comes to its end.
const SETTLE: Duration = Duration::from_secs(5);
/// Threads of the executor that engines, proxies and clients run on: one alone was starved by what the nodes sent.
const HARNESS_THREADS: &str = "8";

fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_string())
}

/// The file that findings are written to.
fn record_file() -> File {
    let default = std::env::temp_dir().join(format!("nickelgw-soak-{}.jsonl", std::process::id()));
    let path = setting("SOAK_RECORD", &default.display().to_string());
    println!("findings go to {path}");
    File::options().create(true).append(true).open(path).expect("SOAK_RECORD can be written")
}

#[test]
fn random_faults_over_many_processes_break_no_rule() {
    play_seeds(&setting("SOAK_SEEDS", "1,2,3,5,6"));
}

/// Some nodes have a crowd: idle clients that fill their descriptors, and slow ones.
#[test]
fn random_faults_beside_a_crowd_break_no_rule() {
    play_seeds(&setting("SOAK_CROWD_SEEDS", "4"));
}

/// One user of the executor after the other, of all tests.
static EXECUTOR: Mutex<()> = Mutex::new(());

/// Takes the executor for one test, with all its threads: they are counted as the first task of any test is spawned.
fn executor_alone() -> MutexGuard<'static, ()> {
    let alone = lock(&EXECUTOR);
    if std::env::var_os("SMOL_THREADS").is_none() {
        std::env::set_var("SMOL_THREADS", HARNESS_THREADS);
    }
    alone
}

fn play_seeds(seeds: &str) {
    let _alone = executor_alone();
    let nodes = setting("SOAK_NODES", NODES).parse().expect("SOAK_NODES is a number");
    let seconds = setting("SOAK_SECONDS", "6").parse().expect("SOAK_SECONDS is a number");
    let mut record = record_file();
    let verdicts: Vec<(u64, Verdict)> = seeds
        .split(',')
        .map(|seed| seed.trim().parse().expect("seeds are numbers"))
        .enumerate()
        .map(|(number, seed)| (seed, play(seed, number, (nodes, seconds), &mut record)))
        .collect();
    let seeds_with = |wanted| -> Vec<u64> {
        verdicts.iter().filter(|(_, verdict)| *verdict == wanted).map(|(seed, _)| *seed).collect()
    };
    let (failed, inconclusive) = (seeds_with(Verdict::Failed), seeds_with(Verdict::Inconclusive));
    println!("{} plays; failed: {failed:?}; without a verdict: {inconclusive:?}", verdicts.len());
    assert!(failed.is_empty(), "rules were violated with seeds {failed:?}");
    let too_many = judge::too_many_inconclusive(inconclusive.len(), verdicts.len());
    assert!(!too_many, "the machine was too busy to judge seeds {inconclusive:?}");
}

fn play(seed: u64, number: usize, (nodes, seconds): (usize, u64), record: &mut File) -> Verdict {
    let fleet = Fleet::start(nodes, seed);
    let started_at = Instant::now();
    let mut faults = Faults::new(seed, started_at);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        faults.next(&fleet);
    }
    faults.end(&fleet);
    std::thread::sleep(SETTLE);
    let report = fleet.end();
    let lateness = &report.lateness;
    let play = PlayRecord { seed, play: number, started_at, lateness, faults: &faults.played };
    let judgements = play.report(&report.findings, record);
    let verdict = Verdict::new(&judgements, play.late_share());
    let former = play.former_verdict(&report.findings);
    println!("seed {seed}, play {number}: {verdict:?} (by the former judge: {former}); {report}");
    assert!(report.served * 3 > report.asked, "hardly anything was served: {report}");
    verdict
}
