//! Runs a day once: starts the processes, runs traffic and faults at their times, and ends all processes.

use super::clients::run_traffic;
use super::recorded_rules::recorded_rules;
use super::stage::{FleetConfig, RehearsalFleet};
use crate::child_process::{owned_args, spawn_command, ListeningChild};
use crate::error::{with_context, CommandError};
use crate::timing::sleep_s;
use nickelgw_settings::{engine_names, Day};
use nickelgw_test_servers::authority::{Authority, CertificateFault};
use nickelgw_test_servers::Recorder;
use serde_json::json;
use smol::process::Child;
use smol::{LocalExecutor, Task};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

type Executor = Rc<LocalExecutor<'static>>;

/// Longest wait for the nodes to fetch the endpoint list; the day begins after it in any case.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the reservation limit for requests to end and reservations to be released.
const SETTLE_S: f64 = 2.0;
/// Interval at which the driver measures its own stalls.
const STALL_CHECK_S: f64 = 0.01;
const PROGRESS_INTERVAL_S: f64 = 0.5;
/// Characters of the progress bar.
const PROGRESS_WIDTH: usize = 20;

/// Deviations of the nodes' settings from those of the day.
#[derive(Clone, Copy)]
pub(super) struct NodeOverrides {
    pub(super) without_store: bool,
    pub(super) fair_admission: bool,
}

/// Runs the day; returns the longest stall of this driver itself, in seconds.
pub(super) async fn run_day(
    day: Day,
    seed: u64,
    overrides: NodeOverrides,
    dir: PathBuf,
    executor: Executor,
) -> Result<f64, CommandError> {
    let record = Recorder::file(&dir.join("records/driver.jsonl"), "driver")?;
    let list = start_list(&day, &dir).await?;
    let authority = day.tls().then(|| Authority::new("first")).transpose();
    let authority = authority.map_err(with_context("cannot create the certificate authority"))?;
    let list_address = list.address.clone();
    let fleet = Rc::new(RehearsalFleet::new(FleetConfig {
        day,
        overrides,
        seed,
        dir,
        list: list_address,
        record,
        authority,
    }));
    set_up(&fleet).await?;
    fleet.start_clock();
    fleet.record.record("begin", json!({}));
    if fleet.day.registry() {
        fleet.control_registry("save", 0.0).await;
    }
    let observers =
        [executor.spawn(show_progress(fleet.clone())), executor.spawn(measure_stalls(fleet.clone()))];
    run_script(&fleet, &executor).await?;
    let reservation_limit_s = fleet.day.rules.unwrap_or_default().hold_limit_ms() / 1e3;
    sleep_s(reservation_limit_s + SETTLE_S).await;
    fleet.record.record("end", json!({}));
    drop(observers);
    let longest_stall_s = fleet.longest_stall_s.get();
    kill_all(fleet.take_children().into_iter().chain([list.child])).await;
    Ok(longest_stall_s)
}

async fn start_list(day: &Day, dir: &Path) -> Result<ListeningChild, CommandError> {
    let mut args = match day.registry() {
        true => owned_args(&["registry"]),
        false => owned_args(&["list", "--lag-ms", &day.list_lag_ms().to_string()]),
    };
    args.extend(owned_args(&["--record", &dir.join("records/list.jsonl").display().to_string()]));
    spawn_command(&args, &dir.join("logs/list.log")).await
}

/// Starts all engines and nodes, and waits until the nodes know the engines.
async fn set_up(fleet: &RehearsalFleet) -> Result<(), CommandError> {
    fleet.record.record("rules", recorded_rules(&fleet.day));
    fleet.write_trust(&[])?;
    for number in 0..fleet.day.nodes() {
        fleet.sign_certificate(&format!("node{number}"), CertificateFault::None)?;
    }
    for name in engine_names(&fleet.day) {
        let entry = fleet.start_engine(&name, false).await?;
        fleet.publish_now(&entry).await;
        fleet.initial_entries.borrow_mut().push(entry);
    }
    for number in 0..fleet.day.nodes() {
        fleet.write_node_settings(number)?;
        fleet.start_node(number).await?;
    }
    let began = Instant::now();
    while began.elapsed() < DISCOVERY_TIMEOUT && !all_nodes_fetched_list(fleet) {
        sleep_s(0.02).await;
    }
    Ok(())
}

/// Returns whether all nodes have fetched endpoints, by the records of the endpoint list or registry.
fn all_nodes_fetched_list(fleet: &RehearsalFleet) -> bool {
    let records = std::fs::read_to_string(fleet.record_path("list")).unwrap_or_default();
    (0..fleet.day.nodes()).all(|number| records.contains(&format!("\"node\":\"node{number}\"")))
}

/// Runs faults and traffic until both have ended.
async fn run_script(fleet: &Rc<RehearsalFleet>, executor: &Executor) -> Result<(), CommandError> {
    let faults: Vec<Task<Result<(), CommandError>>> = fleet
        .script
        .faults
        .iter()
        .cloned()
        .map(|fault| {
            let fleet = fleet.clone();
            executor.spawn(async move { fleet.inject(&fault).await })
        })
        .collect();
    let traffic: Vec<Task<()>> = fleet
        .day
        .traffic
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, traffic)| {
            executor.spawn(run_traffic(fleet.clone(), number, traffic, executor.clone()))
        })
        .collect();
    for task in traffic {
        task.await;
    }
    for task in faults {
        task.await?;
    }
    Ok(())
}

/// Measures by how much this driver's timers are late, and keeps the longest delay.
async fn measure_stalls(fleet: Rc<RehearsalFleet>) {
    loop {
        let began = Instant::now();
        sleep_s(STALL_CHECK_S).await;
        let stall_s = began.elapsed().as_secs_f64() - STALL_CHECK_S;
        fleet.longest_stall_s.set(fleet.longest_stall_s.get().max(stall_s));
    }
}

/// Prints the progress of the day if standard error is a terminal.
async fn show_progress(fleet: Rc<RehearsalFleet>) {
    let (name, length_s) = (fleet.day.name.clone(), fleet.day.length_s);
    while std::io::stderr().is_terminal() {
        let now_s = fleet.elapsed_s().min(length_s);
        let done = (PROGRESS_WIDTH as f64 * now_s / length_s) as usize;
        let (done, remaining) = ("#".repeat(done), ".".repeat(PROGRESS_WIDTH - done));
        eprint!("\r{name}: [{done}{remaining}] {now_s:.0} of {length_s:.0} s ");
        sleep_s(PROGRESS_INTERVAL_S).await;
    }
}

async fn kill_all(children: impl Iterator<Item = Child>) {
    for mut child in children {
        let _ = child.kill();
        let _ = child.status().await;
    }
}
