//! Time from a change at the source of endpoints until the node's cached endpoint list has it.

use super::local_fleet::{send_control, Change, LocalFleet, REGISTRY_SOURCE};
use crate::bench::statistics::{new_histogram, quantile};
use crate::error::CommandError;
use hdrhistogram::Histogram;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Largest time that a histogram resolves, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;
const US_PER_MS: f64 = 1e3;
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);
const RESTARTS: usize = 12;
/// Factor by which the file gets fewer changes: nodes poll it at intervals, so that each change takes longer.
const FILE_CHANGES_DIVISOR: usize = 5;
/// Index of the engine whose entry is changed.
const CHANGED_ENGINE: usize = 1;

/// Returns an engine's entry in the endpoint list that a node has cached.
fn cached_entry(list: &Path, id: &str) -> Value {
    let text = std::fs::read_to_string(list).unwrap_or_default();
    let list: Value = serde_json::from_str(&text).unwrap_or_default();
    let mut entries = list["engines"].as_array().into_iter().flatten();
    entries.find(|entry| entry["id"] == id).cloned().unwrap_or_default()
}

pub(super) fn measure_registry(fleet: &LocalFleet, changes: usize) -> Result<(), CommandError> {
    let endpoint_cache = fleet.dir.join("registry.kept");
    fleet.start_node(REGISTRY_SOURCE, &endpoint_cache)?;
    let times = measure_changes(fleet, &endpoint_cache, changes, |entries| {
        fleet.change(Change::Put(&entries[CHANGED_ENGINE]));
        Ok(())
    })?;
    print_changes("registry", &times);
    Ok(())
}

pub(super) fn measure_file(fleet: &LocalFleet, changes: usize) -> Result<(), CommandError> {
    let file = fleet.dir.join("engines.json");
    write_list(fleet, &file, &fleet.entries)?;
    let endpoint_cache = fleet.dir.join("file.kept");
    fleet.start_node(&format!("list_file: '{}'", file.display()), &endpoint_cache)?;
    let times = measure_changes(fleet, &endpoint_cache, changes / FILE_CHANGES_DIVISOR, |entries| {
        write_list(fleet, &file, entries)
    })?;
    print_changes("file", &times);
    Ok(())
}

/// Replaces the list file as a whole, so that no node reads a part of it.
fn write_list(fleet: &LocalFleet, file: &Path, entries: &[EndpointEntry]) -> std::io::Result<()> {
    let text = serde_json::to_vec(&json!({"revision": 1, "engines": entries})).unwrap_or_default();
    let new_file = fleet.dir.join("engines.new");
    std::fs::write(&new_file, text)?;
    std::fs::rename(&new_file, file)
}

fn measure_changes(
    fleet: &LocalFleet,
    endpoint_cache: &Path,
    changes: usize,
    apply: impl Fn(&[EndpointEntry]) -> std::io::Result<()>,
) -> Result<Histogram<u64>, CommandError> {
    let mut times = new_histogram(MAX_TIME_US);
    for number in 0..changes {
        let mut entries = fleet.entries.clone();
        // Flap damping would exclude an engine that is removed and added repeatedly, so another field is
        // changed.
        entries[CHANGED_ENGINE].memory_tokens = 1e5 + number as f64;
        let began = Instant::now();
        apply(&entries)?;
        let id = &entries[CHANGED_ENGINE].id;
        while cached_entry(endpoint_cache, id)["memory_tokens"] != entries[CHANGED_ENGINE].memory_tokens
            && began.elapsed() < CHANGE_TIMEOUT
        {
            thread::sleep(Duration::from_micros(500));
        }
        times.saturating_record(began.elapsed().as_micros() as u64);
        // The pause varies, so that the changes are not synchronized with the node's own timers.
        thread::sleep(Duration::from_millis(if number.is_multiple_of(2) { 20 } else { 5 }));
    }
    Ok(times)
}

fn print_changes(source: &str, times: &Histogram<u64>) {
    let ms = |at| quantile(times, at, US_PER_MS);
    println!(
        "  {source}: p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms, of {}",
        ms(0.5),
        ms(0.99),
        ms(1.0),
        times.len()
    );
}

/// Measures changes that are made just after the registry begins a restart, with its history compacted.
/// Returns the path of the node's cached endpoint list.
pub(super) fn measure_registry_restarts(fleet: &LocalFleet) -> Result<PathBuf, CommandError> {
    let endpoint_cache = fleet.dir.join("breaks.kept");
    fleet.start_node(REGISTRY_SOURCE, &endpoint_cache)?;
    let mut times = new_histogram(MAX_TIME_US);
    for number in 0..RESTARTS {
        let entry = &fleet.entries[2 + number % 10];
        send_control(&fleet.registry, &json!({"order": "restart", "for_s": 0.2}));
        let draining = EndpointEntry { state: EngineState::Draining, ..entry.clone() };
        fleet.change(Change::Put(&draining));
        send_control(&fleet.registry, &json!({"order": "compact"}));
        let began = Instant::now();
        while cached_entry(&endpoint_cache, &entry.id)["state"] != "draining"
            && began.elapsed() < RESTART_TIMEOUT
        {
            thread::sleep(Duration::from_millis(1));
        }
        times.saturating_record(began.elapsed().as_micros() as u64);
        fleet.change(Change::Put(entry));
        thread::sleep(Duration::from_millis(200));
    }
    let ms = |at| quantile(&times, at, US_PER_MS);
    println!(
        "  registry away for 200 ms and compacted: p50 {:.0} ms, worst {:.0} ms, of {}",
        ms(0.5),
        ms(1.0),
        times.len()
    );
    Ok(endpoint_cache)
}
