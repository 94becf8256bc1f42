//! `nickelgw bench`, `bench-path`, `bench-fleet` and `bench-tls`: measurements of the node, and what they
//! share.
//!
//! Loads are open-loop: each request has an intended start time, from which its latency is counted.

pub mod endpoint_changes;
pub mod overhead;
pub mod request_path;
pub mod tls;

mod client;
mod load;
mod process_fleet;
mod statistics;

use nickelgw_test_servers::engine_config::EngineConfig;
use std::path::PathBuf;

/// Returns an engine whose own times are small and that is never full, so that the rest of the latency is the
/// node's.
fn fast_engine() -> EngineConfig {
    EngineConfig {
        slots: 4000,
        max_queue_len: 4000,
        memory_tokens: 1e9,
        prefill_base_s: 0.002,
        prefill_tokens_per_s: 1e6,
        decode_step_s: 0.002,
        decode_step_per_stream_s: 0.0,
        kv_bytes_per_token: 64.0,
        ..EngineConfig::default()
    }
}

/// Returns a path in the folder for temporary files that no other process uses.
fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("nickelgw-bench-{name}-{}", std::process::id()))
}
