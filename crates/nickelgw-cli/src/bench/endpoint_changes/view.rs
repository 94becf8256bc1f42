//! Cost of the endpoint view's own work, without a network.

use super::local_fleet::role_of;
use crate::bench::statistics::Summary;
use crate::local_servers::endpoint_entry;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use nickelgw_registry::core::endpoint_view::{EndpointView, EndpointViewConfig, RegistryEvent};
use nickelgw_test_servers::engine_config::EngineConfig;
use std::time::Instant;

const FLEET_SIZES: [usize; 3] = [100, 1_000, 10_000];
const ROUNDS: u64 = 9;

pub(super) fn measure() {
    println!("the endpoint view alone, medians of 9:");
    for size in FLEET_SIZES {
        measure_size(size);
    }
}

fn entry(number: usize) -> EndpointEntry {
    let engine = EngineConfig { id: format!("e{number}"), role: role_of(number), ..EngineConfig::default() };
    endpoint_entry(&engine, format!("10.0.{}.{}:80", number / 250, number % 250))
}

fn measure_size(size: usize) {
    let entries: Vec<EndpointEntry> = (0..size).map(entry).collect();
    let bytes = serde_json::to_vec(&entries).map_or(0, |text| text.len());
    let mut view = EndpointView::new(EndpointViewConfig::default());
    let (mut full_read_us, mut change_us) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let (read, began) = (entries.clone(), Instant::now());
        view.replace_all(round as f64, 2 * round + 1, read, false);
        full_read_us.push(began.elapsed().as_secs_f64() * 1e6);
        let mut changed = entries[size / 2].clone();
        changed.state = if round.is_multiple_of(2) { EngineState::Draining } else { EngineState::Active };
        let began = Instant::now();
        view.apply_events(round as f64, 2 * round + 2, vec![RegistryEvent::Put(changed)]);
        view.take_changes();
        change_us.push(began.elapsed().as_secs_f64() * 1e6);
    }
    let (full_read_us, change_us) = (Summary::of(full_read_us).median, Summary::of(change_us).median);
    println!(
        "  {size} engines: full read {full_read_us:.0} us ({:.1} us an engine, {:.0} KiB), one change {change_us:.0} us",
        full_read_us / size as f64,
        bytes as f64 / 1024.0
    );
}
