//! Configuration of a test engine. It is passed as JSON to engines in processes of their own.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;

#[cfg(test)]
mod tests;

/// The phase of a request that an engine runs.
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
    /// Phase that it runs.
    pub role: Role,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    #[serde(rename = "queue")]
    pub max_queue_len: usize,
    /// Memory for KV states.
    pub memory_tokens: f64,
    /// Time that a prefill takes beside that for its uncached tokens.
    #[serde(rename = "read_s")]
    pub prefill_base_s: f64,
    /// Uncached tokens prefilled in a second.
    #[serde(rename = "read_tokens_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Time between tokens of one stream.
    #[serde(rename = "step_s")]
    pub decode_step_s: f64,
    /// What each running stream adds to the time between tokens.
    #[serde(rename = "step_per_stream_s")]
    pub decode_step_per_stream_s: f64,
    /// Mean number of tokens generated.
    #[serde(rename = "out_tokens")]
    pub mean_output_tokens: usize,
    /// Size of a KV state.
    #[serde(rename = "state_bytes_per_token")]
    pub kv_bytes_per_token: f64,
    /// A KV state that is neither fetched nor released is dropped after so long.
    #[serde(rename = "state_ttl_s")]
    pub reservation_ttl_s: f64,
    /// Whether the engine begins in slow start.
    #[serde(rename = "cold")]
    pub slow_start: bool,
    /// Share of its full speed that an engine has when it starts.
    #[serde(rename = "cold_from")]
    pub slow_start_speed: f64,
    /// Time until it has its full speed.
    #[serde(rename = "warm_s")]
    pub slow_start_s: f64,
    /// An engine in slow start is overloaded by so many times the work it can do.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// Time over which the work is summed for that.
    #[serde(rename = "tip_window_s")]
    pub overload_window_s: f64,
    /// Certificate for serving, and for fetching KV states, over TLS; none: plain text.
    pub tls: Option<TlsFiles>,
    /// Keys, each with its number, of which one must have signed the grant of a fetch; none: any fetch is served.
    pub grant_keys: Vec<(u32, String)>,
}

/// Certificate files of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TlsFiles {
    /// The name in its certificate.
    pub name: String,
    /// Certificate chain.
    pub chain: PathBuf,
    /// Private key.
    pub key: PathBuf,
    /// Trusted roots.
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
