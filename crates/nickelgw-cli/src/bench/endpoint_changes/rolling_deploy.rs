//! Replacement of 100 engines within 10 s under 70% of their load, each drained first or removed at once,
//! with and without the suspicion of lists that remove many endpoints (`doubt` in the settings).

use super::chat_request;
use super::local_fleet::{role_of, send_control, Change, LocalFleet, ACCEPT_ALL_REMOVALS, REGISTRY_SOURCE};
use crate::bench::temporary_path;
use crate::error::CommandError;
use crate::local_servers::{spawn_engine, spawn_registry};
use crate::timing::sleep_s;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::{client, Recorder};
use serde_json::json;
use smol::LocalExecutor;
use std::collections::VecDeque;
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 100;
const REQUESTS: u32 = 2100;
const RATE_PER_S: f64 = 150.0;
const ANSWER_TOKENS: u32 = 4;
const TTFT_OBJECTIVE_S: f64 = 1.0;
/// One engine is replaced in each interval.
const REPLACE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of intervals from an engine's drain until it is removed: two seconds.
const DRAIN_INTERVALS: usize = 20;

/// Way in which engines are replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Replacement {
    None,
    DrainFirst,
    AtOnce,
}

pub(super) fn measure() -> Result<(), CommandError> {
    println!("100 engines replaced within 10 s, 150 requests a second (70% of what they take) for 14 s:");
    measure_replacement("nothing replaced", Replacement::None, "")?;
    measure_replacement("drained, then taken out", Replacement::DrainFirst, "")?;
    measure_replacement("taken out undrained", Replacement::AtOnce, "")?;
    measure_replacement("taken out undrained, without doubt", Replacement::AtOnce, ACCEPT_ALL_REMOVALS)
}

/// Starts an engine of the given generation: 0 is replaced by 1 in the deploy.
fn start_engine(number: usize, generation: usize) -> Result<EndpointEntry, CommandError> {
    let role = role_of(number);
    // The 50 prefill engines together serve about 217 requests a second, and so do the 50 decode engines.
    let engine = EngineConfig {
        id: format!("g{generation}-e{number}"),
        role,
        slots: if role == Role::Prefill { 1 } else { 2 },
        prefill_base_s: 0.22,
        decode_step_s: 0.1,
        decode_step_per_stream_s: 0.0,
        mean_output_tokens: ANSWER_TOKENS as usize,
        ..EngineConfig::default()
    };
    spawn_engine(engine, 1)
}

fn measure_replacement(name: &str, replacement: Replacement, doubt: &str) -> Result<(), CommandError> {
    let registry = spawn_registry()?;
    let entries: Vec<EndpointEntry> =
        (0..ENGINES).map(|number| start_engine(number, 0)).collect::<Result<_, _>>()?;
    let fleet = LocalFleet { dir: std::env::temp_dir(), entries, registry };
    for entry in &fleet.entries {
        fleet.change(Change::Put(entry));
    }
    let endpoint_cache = temporary_path("rolling");
    let _ = std::fs::remove_file(&endpoint_cache);
    let node = fleet.start_node(&format!("{REGISTRY_SOURCE} {doubt}"), &endpoint_cache)?;
    thread::sleep(Duration::from_millis(500));
    let clients = thread::spawn(move || send_requests(&node.address));
    thread::sleep(Duration::from_secs(2));
    if replacement != Replacement::None {
        replace_engines(&fleet, replacement)?;
    }
    print_result(name, clients.join().unwrap_or_default());
    let _ = std::fs::remove_file(&endpoint_cache);
    Ok(())
}

fn replace_engines(fleet: &LocalFleet, replacement: Replacement) -> Result<(), CommandError> {
    let drain_intervals = if replacement == Replacement::DrainFirst { DRAIN_INTERVALS } else { 0 };
    let mut draining = VecDeque::new();
    for (number, old) in fleet.entries.iter().enumerate() {
        let began = Instant::now();
        fleet.change(Change::Put(&start_engine(number, 1)?));
        if replacement == Replacement::DrainFirst {
            fleet.change(Change::Put(&EndpointEntry { state: EngineState::Draining, ..old.clone() }));
        }
        draining.push_back(old);
        while draining.len() > drain_intervals {
            if let Some(removed) = draining.pop_front() {
                fleet.change(Change::Delete(&removed.id));
                send_control(&removed.address, &json!({"fault": "die"}));
            }
        }
        thread::sleep(REPLACE_INTERVAL.saturating_sub(began.elapsed()));
    }
    Ok(())
}

/// Sends all requests; returns the times to first token of those that completed, in seconds.
fn send_requests(address: &str) -> Vec<f64> {
    let executor = LocalExecutor::new();
    smol::block_on(executor.run(async {
        let mut requests = Vec::new();
        for number in 0..REQUESTS {
            let began = Instant::now();
            let address = address.to_string();
            requests.push(executor.spawn(async move {
                let request =
                    chat_request(format!("q{number}"), address, format!("tell me {number}"), ANSWER_TOKENS);
                let seen = client::call(&request, &Recorder::default()).await;
                seen.filter(|seen| seen.outcome == "completed").and_then(|seen| seen.ttft_s)
            }));
            sleep_s(1.0 / RATE_PER_S - began.elapsed().as_secs_f64()).await;
        }
        let mut first_token_s = Vec::new();
        for request in requests {
            first_token_s.extend(request.await);
        }
        first_token_s
    }))
}

fn print_result(name: &str, mut first_token_s: Vec<f64>) {
    first_token_s.sort_by(f64::total_cmp);
    let in_target = first_token_s.iter().filter(|time_s| **time_s <= TTFT_OBJECTIVE_S).count();
    let p99_s = first_token_s.get(first_token_s.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0.0);
    println!(
        "  {name}: {} of {REQUESTS} completed, {in_target} in target, first token p99 {:.0} ms",
        first_token_s.len(),
        1e3 * p99_s
    );
}
