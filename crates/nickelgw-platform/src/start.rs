//! What a node is told at its start: the environment and the configuration, which must agree.

use crate::core::list::News;
use nickelgw_platform_config::fields::{list, number_or, text, ConfigError};
use nickelgw_platform_config::{object, PlatformConfig};
use serde_json::Value;
use std::path::Path;

/// The node's configuration, read whole or not at all.
pub struct Start {
    pub listen: String,
    pub discovery: String,
    pub told: PlatformConfig,
    pub known: Option<News>,
    pub sockets: usize,
    pub memory_mb: f64,
    /// Nothing new is sent to an engine so long after it was told to drain.
    pub stop_within_s: f64,
    pub most_open: usize,
    pub connect_s: f64,
    /// Engines close what has stood unused for so long.
    pub idle_s: f64,
    /// SIGKILL comes no sooner than so long after SIGTERM.
    pub kill_after_s: f64,
    /// Whether a probe is answered with a load report.
    pub reports: bool,
}

/// Where it is read from, in the environment.
pub const CONFIG: &str = "RELAY_CONFIG";
/// On sockets what is held has so much more than the settings say (the platform's protocol).
const HELD_MORE_S: f64 = 0.3;
/// SIGKILL comes so long after the longest deadline, which counts as no longer than that (the platform's protocol).
const KILL_MORE_S: f64 = 0.7;
const LONGEST_DEADLINE_S: f64 = 3.0;
const SAME: [(&str, &str); 3] =
    [("RELAY_NAME", "name"), ("RELAY_LISTEN", "listen"), ("RELAY_DISCOVERY", "discovery")];

fn file(path: &Path) -> Result<Value, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))?;
    serde_json::from_slice(&bytes).map_err(|e| format!("{}: is not JSON: {e}", path.display()))
}

/// Only where discovery is now: a new configuration while the node serves.
pub fn discovery(path: &Path) -> Result<String, String> {
    let v = file(path)?;
    text(&v, "discovery").map(str::to_string).map_err(|ConfigError(why)| format!("{}: {why}", path.display()))
}

impl Start {
    pub fn read(path: &Path, env: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
        let v = file(path)?;
        Start::parse(&v, env).map_err(|ConfigError(why)| format!("{}: {why}", path.display()))
    }

    pub fn parse(v: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Start, ConfigError> {
        for (variable, field) in SAME {
            if env(variable).is_some_and(|told| v.get(field).and_then(Value::as_str) != Some(&told)) {
                return Err(ConfigError(format!("field {field} is not what {variable} says")));
            }
        }
        let seed = u64::from_str_radix(text(v, "seed")?, 16);
        let seed = seed.map_err(|_| ConfigError("field seed is not a number in hexadecimal".into()))?;
        let settings = object(v, "settings")?;
        let allowed = object(settings, "limits")?;
        let own = object(v, "limits")?;
        let rules = object(settings, "rules")?;
        let known = match v.get("known") {
            None | Some(Value::Null) => None,
            Some(k) => Some(
                serde_json::from_value(k.clone()).map_err(|e| ConfigError(format!("field known: {e}")))?,
            ),
        };
        let connect_s = number_or(allowed, "connect_timeout_s", 0.25)?.clamp(0.01, 10.0);
        let deadline = |class| number_or(class, "deadline_s", LONGEST_DEADLINE_S);
        let deadlines: Vec<f64> =
            list(settings, "classes")?.iter().map(deadline).collect::<Result<_, _>>()?;
        let longest_s = deadlines.into_iter().reduce(f64::max).unwrap_or(LONGEST_DEADLINE_S);
        let longest_s = longest_s.clamp(0.0, LONGEST_DEADLINE_S);
        let mut told = PlatformConfig::parse(settings, seed)?;
        told.deployment.reservation_limit_s += HELD_MORE_S;
        told.deployment.connect_timeout_s = connect_s;
        Ok(Start {
            listen: text(v, "listen")?.to_string(),
            discovery: text(v, "discovery")?.to_string(),
            told,
            known,
            sockets: number_or(own, "sockets", 1024.0)?.max(64.0) as usize,
            stop_within_s: number_or(rules, "stop_sending_within_s", 1.0)?.clamp(0.05, 600.0),
            memory_mb: number_or(own, "memory_mb", 128.0)?.clamp(16.0, 1e6),
            most_open: number_or(allowed, "max_open", 20_000.0)?.max(1.0) as usize,
            connect_s,
            idle_s: number_or(allowed, "idle_close_s", 15.0)?.clamp(0.1, 3600.0),
            kill_after_s: longest_s + KILL_MORE_S,
            reports: settings.pointer("/reporting/how").and_then(Value::as_str) != Some("silent"),
        })
    }
}
