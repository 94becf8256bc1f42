//! One run of a day: processes started, traffic and faults in their time, and all ended again.

use super::clients::run_traffic;
use super::recorded_rules::recorded_rules;
use super::stage::{Stage, StageConfig};
use crate::child_process::{spawn_command, strings, ListeningChild};
use crate::error::{about, CommandError};
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

/// Nodes have fetched the list within this time, or the day begins without.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// After the reservation limit, for requests to end and reservations to be released.
const SETTLE_S: f64 = 2.0;
/// Interval at which the driver measures its own stalls.
const STALL_CHECK_S: f64 = 0.01;
const PROGRESS_INTERVAL_S: f64 = 0.5;
const PROGRESS_WIDTH: usize = 20;

/// How the nodes of a run differ from what the day says.
#[derive(Clone, Copy)]
pub(super) struct NodeVariants {
    pub(super) without_store: bool,
    pub(super) fair_admission: bool,
}

/// Runs the day; gives the longest stall of this driver itself, in seconds.
pub(super) async fn perform(
    day: Day,
    seed: u64,
    variants: NodeVariants,
    dir: PathBuf,
    executor: Executor,
) -> Result<f64, CommandError> {
    let record = Recorder::file(&dir.join("records/driver.jsonl"), "driver")?;
    let list = start_list(&day, &dir).await?;
    let authority = day.tls().then(|| Authority::new("first")).transpose();
    let authority = authority.map_err(about("no certificate was made"))?;
    let list_address = list.address.clone();
    let stage =
        Rc::new(Stage::new(StageConfig { day, variants, seed, dir, list: list_address, record, authority }));
    set_up(&stage).await?;
    stage.begin();
    stage.record.record("begin", json!({}));
    if stage.day.registry() {
        stage.control_registry("save", 0.0).await;
    }
    let observers =
        [executor.spawn(show_progress(stage.clone())), executor.spawn(measure_stalls(stage.clone()))];
    run_script(&stage, &executor).await?;
    let reservation_limit_s = stage.day.rules.unwrap_or_default().hold_limit_ms() / 1e3;
    sleep_s(reservation_limit_s + SETTLE_S).await;
    stage.record.record("end", json!({}));
    drop(observers);
    let longest_stall_s = stage.longest_stall_s.get();
    end_all(stage.take_children().into_iter().chain([list.child])).await;
    Ok(longest_stall_s)
}

async fn start_list(day: &Day, dir: &Path) -> Result<ListeningChild, CommandError> {
    let mut args = match day.registry() {
        true => strings(&["registry"]),
        false => strings(&["list", "--lag-ms", &day.list_lag_ms().to_string()]),
    };
    args.extend(strings(&["--record", &dir.join("records/list.jsonl").display().to_string()]));
    spawn_command(&args, &dir.join("logs/list.log")).await
}

/// Starts all engines and nodes, and waits until the nodes know the engines.
async fn set_up(stage: &Stage) -> Result<(), CommandError> {
    stage.record.record("rules", recorded_rules(&stage.day));
    stage.write_trust(&[])?;
    for number in 0..stage.day.nodes() {
        stage.sign_certificate(&format!("node{number}"), CertificateFault::None)?;
    }
    for name in engine_names(&stage.day) {
        let entry = stage.start_engine(&name, false).await?;
        stage.publish_now(&entry).await;
        stage.initial_entries.borrow_mut().push(entry);
    }
    for number in 0..stage.day.nodes() {
        stage.write_node_settings(number)?;
        stage.start_node(number).await?;
    }
    let began = Instant::now();
    while began.elapsed() < DISCOVERY_TIMEOUT && !all_nodes_asked(stage) {
        sleep_s(0.02).await;
    }
    Ok(())
}

/// Whether all nodes have asked the list.
fn all_nodes_asked(stage: &Stage) -> bool {
    let records = std::fs::read_to_string(stage.record_path("list")).unwrap_or_default();
    (0..stage.day.nodes()).all(|number| records.contains(&format!("\"node\":\"node{number}\"")))
}

/// Faults and traffic, until both have ended.
async fn run_script(stage: &Rc<Stage>, executor: &Executor) -> Result<(), CommandError> {
    let faults: Vec<Task<Result<(), CommandError>>> = stage
        .script
        .faults
        .iter()
        .cloned()
        .map(|fault| {
            let stage = stage.clone();
            executor.spawn(async move { stage.inject(&fault).await })
        })
        .collect();
    let traffic: Vec<Task<()>> = stage
        .day
        .traffic
        .iter()
        .cloned()
        .enumerate()
        .map(|(number, traffic)| {
            executor.spawn(run_traffic(stage.clone(), number, traffic, executor.clone()))
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

async fn measure_stalls(stage: Rc<Stage>) {
    loop {
        let began = Instant::now();
        sleep_s(STALL_CHECK_S).await;
        let stall_s = began.elapsed().as_secs_f64() - STALL_CHECK_S;
        stage.longest_stall_s.set(stage.longest_stall_s.get().max(stall_s));
    }
}

/// Where standard error is a terminal, how far the day is.
async fn show_progress(stage: Rc<Stage>) {
    let (name, length_s) = (stage.day.name.clone(), stage.day.length_s);
    while std::io::stderr().is_terminal() {
        let now_s = stage.elapsed_s().min(length_s);
        let done = (PROGRESS_WIDTH as f64 * now_s / length_s) as usize;
        let (done, remaining) = ("#".repeat(done), ".".repeat(PROGRESS_WIDTH - done));
        eprint!("\r{name}: [{done}{remaining}] {now_s:.0} of {length_s:.0} s ");
        sleep_s(PROGRESS_INTERVAL_S).await;
    }
}

async fn end_all(children: impl Iterator<Item = Child>) {
    for mut child in children {
        let _ = child.kill();
        let _ = child.status().await;
    }
}
