//! The node's configuration at its start: the environment and the configuration file, which must agree.

use crate::core::endpoint_list::DiscoveryUpdate;
use nickelgw_platform_config::fields::{list, number_or, text, ConfigError};
use nickelgw_platform_config::{object, PlatformConfig};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the configuration file.
pub const CONFIG_PATH_VARIABLE: &str = "RELAY_CONFIG";
/// Time by which reservations are held longer on sockets than the settings state (the platform's protocol).
const RESERVATION_ALLOWANCE_S: f64 = 0.3;
/// Time from the longest deadline to SIGKILL; that deadline counts as no longer than `MAX_DEADLINE_S` (the
/// platform's protocol).
const KILL_ALLOWANCE_S: f64 = 0.7;
/// Upper limit of the deadline that determines the time of SIGKILL, and default for a class without a
/// deadline.
const MAX_DEADLINE_S: f64 = 3.0;
/// Environment variables that repeat a field of the file, each with the field's name.
const REPEATED_FIELDS: [(&str, &str); 3] =
    [("RELAY_NAME", "name"), ("RELAY_LISTEN", "listen"), ("RELAY_DISCOVERY", "discovery")];

/// Error returned when a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{}: is not JSON: {source}", path.display())]
    NotJson {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A field is missing or has an unusable value.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
}

impl ConfigFileError {
    fn invalid(path: &Path, ConfigError(reason): ConfigError) -> ConfigFileError {
        ConfigFileError::Invalid { path: path.to_path_buf(), reason }
    }
}

/// The node's configuration.
pub struct NodeConfig {
    /// Address at which clients connect.
    pub listen: String,
    /// Address of discovery.
    pub discovery: String,
    /// Deployment and names that the settings state.
    pub platform: PlatformConfig,
    /// Endpoint list as it was known before the start; `None` if none was known.
    pub known_endpoints: Option<DiscoveryUpdate>,
    /// Maximum number of descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in units of 1024 * 1024 bytes.
    pub memory_mb: f64,
    /// Time in seconds from the announcement that an engine is draining until no attempt may be dispatched to
    /// it.
    pub stop_dispatch_within_s: f64,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Timeout for opening a connection, in seconds.
    pub connect_timeout_s: f64,
    /// Idle time in seconds after which engines close a connection.
    pub engine_idle_timeout_s: f64,
    /// Minimum time from SIGTERM to SIGKILL, in seconds.
    pub kill_after_s: f64,
    /// Whether engines answer a probe with a load report.
    pub reports_load: bool,
}

fn read_json(path: &Path) -> Result<Value, ConfigFileError> {
    let unreadable = |source| ConfigFileError::Unreadable { path: path.to_path_buf(), source };
    let bytes = std::fs::read(path).map_err(unreadable)?;
    let not_json = |source| ConfigFileError::NotJson { path: path.to_path_buf(), source };
    serde_json::from_slice(&bytes).map_err(not_json)
}

/// Reads only the address of discovery, which a new configuration may change while the node is serving.
pub fn read_discovery_address(path: &Path) -> Result<String, ConfigFileError> {
    let config = read_json(path)?;
    let address = text(&config, "discovery").map(str::to_string);
    address.map_err(|error| ConfigFileError::invalid(path, error))
}

impl NodeConfig {
    /// Reads and parses the file. `environment` looks up an environment variable.
    pub fn read(
        path: &Path,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<NodeConfig, ConfigFileError> {
        let config = read_json(path)?;
        NodeConfig::parse(&config, environment).map_err(|error| ConfigFileError::invalid(path, error))
    }

    /// Parses a configuration. `environment` looks up an environment variable.
    pub fn parse(
        config: &Value,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<NodeConfig, ConfigError> {
        check_environment(config, environment)?;
        let seed = seed(config)?;
        let settings = object(config, "settings")?;
        let setting_limits = object(settings, "limits")?;
        let process_limits = object(config, "limits")?;
        let rules = object(settings, "rules")?;
        let known_endpoints = known_endpoints(config)?;
        let connect_timeout_s = number_or(setting_limits, "connect_timeout_s", 0.25)?.clamp(0.01, 10.0);
        let longest_deadline_s = longest_deadline_s(settings)?;
        let mut platform = PlatformConfig::parse(settings, seed)?;
        platform.deployment.reservation_limit_s += RESERVATION_ALLOWANCE_S;
        platform.deployment.connect_timeout_s = connect_timeout_s;
        Ok(NodeConfig {
            listen: text(config, "listen")?.to_string(),
            discovery: text(config, "discovery")?.to_string(),
            platform,
            known_endpoints,
            max_descriptors: number_or(process_limits, "sockets", 1024.0)?.max(64.0) as usize,
            stop_dispatch_within_s: number_or(rules, "stop_sending_within_s", 1.0)?.clamp(0.05, 600.0),
            memory_mb: number_or(process_limits, "memory_mb", 128.0)?.clamp(16.0, 1e6),
            max_open_requests: number_or(setting_limits, "max_open", 20_000.0)?.max(1.0) as usize,
            connect_timeout_s,
            engine_idle_timeout_s: number_or(setting_limits, "idle_close_s", 15.0)?.clamp(0.1, 3600.0),
            kill_after_s: longest_deadline_s + KILL_ALLOWANCE_S,
            reports_load: settings.pointer("/reporting/how").and_then(Value::as_str) != Some("silent"),
        })
    }
}

/// Checks that each environment variable that repeats a field of the file has the field's value.
fn check_environment(
    config: &Value,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<(), ConfigError> {
    for (variable, field) in REPEATED_FIELDS {
        let differs = |value: String| config.get(field).and_then(Value::as_str) != Some(&value);
        if environment(variable).is_some_and(differs) {
            return Err(ConfigError(format!("field {field} differs from environment variable {variable}")));
        }
    }
    Ok(())
}

fn seed(config: &Value) -> Result<u64, ConfigError> {
    let seed = u64::from_str_radix(text(config, "seed")?, 16);
    seed.map_err(|_| ConfigError("field seed is not a hexadecimal number".into()))
}

fn known_endpoints(config: &Value) -> Result<Option<DiscoveryUpdate>, ConfigError> {
    match config.get("known") {
        None | Some(Value::Null) => Ok(None),
        Some(known) => serde_json::from_value(known.clone())
            .map(Some)
            .map_err(|error| ConfigError(format!("field known: {error}"))),
    }
}

fn longest_deadline_s(settings: &Value) -> Result<f64, ConfigError> {
    let deadline = |class| number_or(class, "deadline_s", MAX_DEADLINE_S);
    let deadlines: Vec<f64> = list(settings, "classes")?.iter().map(deadline).collect::<Result<_, _>>()?;
    let longest_s = deadlines.into_iter().reduce(f64::max).unwrap_or(MAX_DEADLINE_S);
    Ok(longest_s.clamp(0.0, MAX_DEADLINE_S))
}
