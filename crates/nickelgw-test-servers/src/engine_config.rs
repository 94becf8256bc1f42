//! Configuration of a test engine. It is passed as JSON to engines that run in separate processes.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;

#[cfg(test)]
mod tests;

/// Phase of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts and holds their KV states.
    #[serde(rename = "read")]
    Prefill,
    /// Fetches KV states and decodes.
    #[serde(rename = "write")]
    Decode,
}

/// Configuration of one engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConfig {
    /// Id of the engine.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Cell within the zone.
    pub cell: u32,
    /// Phase of a request that the engine runs.
    pub role: Role,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Number of requests that may wait for a slot.
    #[serde(rename = "queue")]
    pub max_queue_len: usize,
    /// Memory for KV states in tokens.
    pub memory_tokens: f64,
    /// Time in seconds that a prefill takes in addition to the time for its uncached tokens.
    #[serde(rename = "read_s")]
    pub prefill_base_s: f64,
    /// Number of uncached tokens prefilled per second.
    #[serde(rename = "read_tokens_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Time in seconds between two tokens of a stream.
    #[serde(rename = "step_s")]
    pub decode_step_s: f64,
    /// Time in seconds that each running stream adds to the time between two tokens.
    #[serde(rename = "step_per_stream_s")]
    pub decode_step_per_stream_s: f64,
    /// Mean number of tokens generated for a request.
    #[serde(rename = "out_tokens")]
    pub mean_output_tokens: usize,
    /// Size of a KV state in bytes per token.
    #[serde(rename = "state_bytes_per_token")]
    pub kv_bytes_per_token: f64,
    /// Time in seconds after which a KV state that was neither fetched nor released is dropped.
    #[serde(rename = "state_ttl_s")]
    pub reservation_ttl_s: f64,
    /// Whether the engine starts in slow start.
    #[serde(rename = "cold")]
    pub slow_start: bool,
    /// Share of the full speed that an engine in slow start has at its start.
    #[serde(rename = "cold_from")]
    pub slow_start_speed: f64,
    /// Time in seconds from the start until an engine in slow start reaches its full speed.
    #[serde(rename = "warm_s")]
    pub slow_start_s: f64,
    /// Factor by which the arriving work has to exceed the capacity of an engine in slow start to overload
    /// it.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// Time in seconds over which the arriving work is summed for [`EngineConfig::overload_multiple`].
    #[serde(rename = "tip_window_s")]
    pub overload_window_s: f64,
    /// Certificate with which the engine serves and fetches KV states over TLS. `None` for plain text.
    pub tls: Option<TlsFiles>,
    /// Numbers and secrets of the keys of which one has to have signed the grant of a fetch. If there are
    /// none, every fetch is served.
    pub grant_keys: Vec<(u32, String)>,
}

/// Certificate files of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TlsFiles {
    /// Name in the certificate.
    pub name: String,
    /// File with the certificate chain.
    pub chain: PathBuf,
    /// File with the private key.
    pub key: PathBuf,
    /// File with the trusted root certificates.
    pub trust: PathBuf,
    /// Whether clients must present a certificate.
    pub mutual: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            id: "engine".into(),
            zone: "a".into(),
            cell: 0,
            role: Role::Prefill,
            slots: 8,
            max_queue_len: 32,
            memory_tokens: 200_000.0,
            prefill_base_s: 0.01,
            prefill_tokens_per_s: 20_000.0,
            decode_step_s: 0.01,
            decode_step_per_stream_s: 0.0002,
            mean_output_tokens: 40,
            kv_bytes_per_token: 256.0,
            reservation_ttl_s: 10.0,
            slow_start: false,
            slow_start_speed: 0.3,
            slow_start_s: 10.0,
            overload_multiple: 3.0,
            overload_window_s: 2.0,
            tls: None,
            grant_keys: Vec::new(),
        }
    }
}
