//! `nickelgw bench-fleet`: the cost of a full read and of a change of the endpoint list, the time until a
//! change reaches the node, and the effect of a list that is empty by mistake. The last is measured with and
//! without `doubt`, the setting by which a node suspects a list that removes many endpoints at once.

mod local_fleet;
mod propagation;
mod rolling_deploy;
mod view;

use super::statistics::Summary;
use crate::error::CommandError;
use crate::timing::sleep_s;
use local_fleet::{Change, LocalFleet, ACCEPT_ALL_REMOVALS, REGISTRY_SOURCE};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::{client, Recorder};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Settings with the address of a registry that does not exist.
const UNREACHABLE_REGISTRY: &str = "registry { endpoint: '127.0.0.1:1' nodes_prefix: '' }";
/// Starts that are measured in each case.
const START_RUNS: usize = 5;
/// Requests sent before, while and after the registry is empty.
const EMPTY_REQUESTS: u32 = 240;
/// Interval between these requests.
const EMPTY_INTERVAL_S: f64 = 0.025;
/// Time for the node to read the endpoints.
const DISCOVERY: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT_S: f64 = 4.0;
const TTFT_OBJECTIVE_S: f64 = 1.0;

#[derive(clap::Args)]
pub struct BenchFleet {
    /// Changes measured with the registry as source; the file gets a fifth of them.
    #[arg(long, default_value_t = 100)]
    changes: usize,
    /// Leaves out the rolling deploys, which take a minute.
    #[arg(long)]
    short: bool,
}

/// Returns a streamed request that starts now.
fn chat_request(id: String, address: String, prompt: String, max_tokens: u32) -> client::ChatCall {
    client::ChatCall {
        request_id: id,
        address,
        model: "chat".into(),
        prompt,
        max_tokens: Some(max_tokens),
        stream: true,
        timeout_s: REQUEST_TIMEOUT_S,
        ttft_target_s: TTFT_OBJECTIVE_S,
        intended_start: unix_now(),
        ..client::ChatCall::default()
    }
}

impl BenchFleet {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        view::measure();
        if !self.short {
            rolling_deploy::measure()?;
        }
        let fleet = LocalFleet::start()?;
        let result = self.measure(&fleet);
        let _ = std::fs::remove_dir_all(&fleet.dir);
        result?;
        Ok(ExitCode::SUCCESS)
    }

    fn measure(&self, fleet: &LocalFleet) -> Result<(), CommandError> {
        println!("time from a change at the source until the node's cached endpoint list has it:");
        propagation::measure_registry(fleet, self.changes)?;
        propagation::measure_file(fleet, self.changes)?;
        let endpoint_cache = propagation::measure_registry_restarts(fleet)?;
        println!("a registry emptied by mistake for 3 s, 40 requests a second for 6 s:");
        measure_empty_registry(fleet, "with doubt", "")?;
        measure_empty_registry(fleet, "without", ACCEPT_ALL_REMOVALS)?;
        println!("from start to serving, of 5:");
        measure_start(fleet, "registry there, nothing kept", REGISTRY_SOURCE, None)?;
        measure_start(fleet, "registry down, the last list kept", UNREACHABLE_REGISTRY, Some(&endpoint_cache))
    }
}

fn measure_empty_registry(fleet: &LocalFleet, name: &str, doubt: &str) -> Result<(), CommandError> {
    let endpoint_cache = fleet.dir.join(format!("empty-{}.kept", doubt.len()));
    let node = fleet.start_node(&format!("{REGISTRY_SOURCE} {doubt}"), &endpoint_cache)?;
    thread::sleep(DISCOVERY);
    let requests: Vec<_> = (0..EMPTY_REQUESTS)
        .map(|number| {
            let address = node.address.clone();
            thread::spawn(move || smol::block_on(completes(number, address)))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    fleet.change(Change::DeleteAll);
    thread::sleep(Duration::from_secs(3));
    for entry in &fleet.entries {
        fleet.change(Change::Put(entry));
    }
    let completed =
        requests.into_iter().filter_map(|request| request.join().ok()).filter(|done| *done).count();
    println!("  {name}: {completed} of {EMPTY_REQUESTS} completed");
    Ok(())
}

async fn completes(number: u32, address: String) -> bool {
    sleep_s(EMPTY_INTERVAL_S * f64::from(number)).await;
    let request = chat_request(format!("q{number}"), address, "tell me".into(), 3);
    client::call(&request, &Recorder::default()).await.is_some_and(|seen| seen.outcome == "completed")
}

fn measure_start(
    fleet: &LocalFleet,
    name: &str,
    source: &str,
    endpoint_cache: Option<&Path>,
) -> Result<(), CommandError> {
    let mut times_s = Vec::new();
    for run in 0..START_RUNS {
        let path: PathBuf = fleet.dir.join(format!("start-{run}-{}", source.len()));
        if let Some(endpoint_cache) = endpoint_cache {
            std::fs::copy(endpoint_cache, &path)?;
        }
        times_s.push(fleet.start_node(source, &path)?.ready_after_s);
    }
    let Summary { median, max, .. } = Summary::of(times_s);
    println!("  {name}: median {:.1} ms, longest {:.1} ms", 1e3 * median, 1e3 * max);
    Ok(())
}
