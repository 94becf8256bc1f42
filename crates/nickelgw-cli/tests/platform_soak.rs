//! Soak test: 24 nodes as processes and engines behind fault proxies, under random overlapping faults. It is
//! judged by what arrived at engines and clients, and by the violations that the nodes log themselves.
//!
//!     SOAK_SEEDS=1,2,3 SOAK_SECONDS=30 cargo test --release -p nickelgw-cli --test platform_soak many -- --nocapture
//!
//! Clients keep their connections open and continue to use them until SIGKILL, which is sent at the earliest
//! time that the platform allows. With seeds divisible by four some nodes are crowded, that is, they also
//! have idle and slow clients (`SOAK_CROWD_SEEDS`, `--test platform_soak crowd`). Without the variables a few
//! seeds run for a few seconds each. Every finding of every run is printed and written to a file
//! (`SOAK_RECORD`), whether it counts or not.

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
use judge::{RunRecord, Verdict};
use nickelgw_test_servers::platform::lock;
use std::fs::File;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Default number of node processes (`SOAK_NODES`).
const NODES: &str = "24";
/// Time after the last fault within which all open requests end.
const SETTLE: Duration = Duration::from_secs(5);
/// Number of threads of the executor that runs engines, proxies and clients. A single thread was starved by
/// the nodes' traffic.
const HARNESS_THREADS: &str = "8";

fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_string())
}

/// Opens the file to which findings are appended.
fn record_file() -> File {
    let default = std::env::temp_dir().join(format!("nickelgw-soak-{}.jsonl", std::process::id()));
    let path = setting("SOAK_RECORD", &default.display().to_string());
    println!("findings are written to {path}");
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .expect("the file named by SOAK_RECORD must be writable")
}

#[test]
fn random_faults_over_many_processes_break_no_rule() {
    run_seeds(&setting("SOAK_SEEDS", "1,2,3,5,6"), false);
}

/// A quarter of the streams fall short, beside all other faults: none of them is ended as if it were whole.
#[test]
fn random_faults_beside_short_streams_break_no_rule() {
    run_seeds(&setting("SOAK_SHORT_SEEDS", "71,72"), true);
}

/// Some nodes are crowded: idle clients use up their file descriptors, and slow clients send requests byte by
/// byte.
#[test]
fn random_faults_beside_a_crowd_break_no_rule() {
    run_seeds(&setting("SOAK_CROWD_SEEDS", "4"), false);
}

/// Held by the test that uses the executor, so that only one test at a time does.
static EXECUTOR: Mutex<()> = Mutex::new(());

/// Reserves the executor for one test and sets its number of threads, which smol reads when the first task of
/// the process is spawned.
fn lock_executor() -> MutexGuard<'static, ()> {
    let guard = lock(&EXECUTOR);
    if std::env::var_os("SMOL_THREADS").is_none() {
        std::env::set_var("SMOL_THREADS", HARNESS_THREADS);
    }
    guard
}

fn run_seeds(seeds: &str, streams_fall_short: bool) {
    let _executor = lock_executor();
    let nodes = setting("SOAK_NODES", NODES).parse().expect("SOAK_NODES must be a number");
    let seconds = setting("SOAK_SECONDS", "6").parse().expect("SOAK_SECONDS must be a number");
    let mut record = record_file();
    let verdicts: Vec<(u64, Verdict)> = seeds
        .split(',')
        .map(|seed| seed.trim().parse().expect("each seed must be a number"))
        .enumerate()
        .map(|(number, seed)| {
            (seed, run_seed(seed, number, (nodes, seconds), streams_fall_short, &mut record))
        })
        .collect();
    let seeds_with = |wanted| -> Vec<u64> {
        verdicts.iter().filter(|(_, verdict)| *verdict == wanted).map(|(seed, _)| *seed).collect()
    };
    let (failed, inconclusive) = (seeds_with(Verdict::Failed), seeds_with(Verdict::Inconclusive));
    println!("{} runs; failed seeds: {failed:?}; inconclusive seeds: {inconclusive:?}", verdicts.len());
    assert!(failed.is_empty(), "rules were violated in the runs of seeds {failed:?}");
    let too_many = judge::too_many_inconclusive(inconclusive.len(), verdicts.len());
    assert!(!too_many, "the machine was too busy to judge the runs of seeds {inconclusive:?}");
}

fn run_seed(
    seed: u64,
    number: usize,
    (nodes, seconds): (usize, u64),
    streams_fall_short: bool,
    record: &mut File,
) -> Verdict {
    let fleet = Fleet::start(nodes, seed);
    fleet.set_streams_fall_short(streams_fall_short);
    let started_at = Instant::now();
    let mut faults = Faults::new(seed, started_at);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        faults.inject_next(&fleet);
    }
    faults.end(&fleet);
    std::thread::sleep(SETTLE);
    let report = fleet.end();
    let lateness = &report.lateness;
    let run = RunRecord { seed, run: number, started_at, lateness, faults: &faults.injected };
    let judgements = run.report(&report.findings, record);
    let verdict = Verdict::new(&judgements, run.late_share());
    let former = run.former_verdict(&report.findings);
    println!("seed {seed}, run {number}: {verdict:?} (by the former criterion: {former}); {report}");
    assert!(report.served * 3 > report.sent, "a third of the requests or less was served: {report}");
    verdict
}
