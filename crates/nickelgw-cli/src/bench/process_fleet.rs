//! A node and its engines as child processes.

use super::client::{unlimited_pool, BenchClient, EngineAddress};
use crate::child_process::{owned_args, spawn_command, ListeningChild};
use crate::error::CommandError;
use crate::local_servers::{endpoint_entry, node_settings};
use crate::timing::sleep_s;
use nickelgw_protocol::list::{EndpointEntry, EndpointList};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_tls::core::pool::PoolConfig;
use serde_json::Value;
use smol::process::{Child, Command};
use smol::LocalExecutor;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const PREFILL_ENGINES: usize = 2;
/// Settings with limits so high that a node under measurement rejects nothing.
pub(super) const HIGH_LIMITS: &str =
    "limits { most_idle_connections: 4096 stream_idle_ms: 60000 most_waiting: 1024 }";
/// Time for the node to fetch the endpoint list.
const DISCOVERY_S: f64 = 0.3;

/// Plan of the processes to start.
pub(super) struct FleetPlan<'a> {
    /// Last part of the name of the fleet's folder.
    pub(super) name: &'a str,
    pub(super) decode_engines: usize,
    pub(super) engine: EngineConfig,
    /// Settings of the node in addition to the ordinary ones.
    pub(super) node_settings: &'a str,
    /// Whether the node logs as JSON at level info.
    pub(super) with_json_log: bool,
}

/// Running node, engines and endpoint list, and a client that calls them.
pub(super) struct ProcessFleet {
    pub(super) client: Rc<BenchClient>,
    pub(super) node: Child,
    /// Engines and the endpoint list.
    others: Vec<Child>,
    dir: PathBuf,
}

/// CPU time and memory that a process has used.
pub(super) struct ResourceUse {
    pub(super) cpu_s: f64,
    pub(super) memory_kib: f64,
}

impl ProcessFleet {
    pub(super) async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        plan: FleetPlan<'_>,
    ) -> Result<ProcessFleet, CommandError> {
        let dir = create_folder(plan.name)?;
        let (mut others, mut entries) = (Vec::new(), Vec::new());
        for number in 0..PREFILL_ENGINES + plan.decode_engines {
            let (child, entry) = start_engine(&plan.engine, number, &dir).await?;
            others.push(child);
            entries.push(entry);
        }
        let list = start_list(&entries, &dir).await?;
        others.push(list.child);
        let node = start_node(&plan, &list.address, &dir).await?;
        sleep_s(DISCOVERY_S).await;
        let pool = PoolConfig { max_waiting: 20_000, max_idle: 4096, ..unlimited_pool() };
        let mut client = BenchClient::new(executor, pool, None, node.address);
        client.decode_engines = entries.split_off(PREFILL_ENGINES).into_iter().map(plain_address).collect();
        client.prefill_engines = entries.into_iter().map(plain_address).collect();
        Ok(ProcessFleet { client: Rc::new(client), node: node.child, others, dir })
    }

    /// Returns what the node has used so far.
    pub(super) fn node_use(&self) -> ResourceUse {
        let id = self.node.id().to_string();
        ResourceUse { cpu_s: process_cpu_s(&id), memory_kib: process_memory_kib(&id) }
    }

    /// Returns the log, to which all processes write.
    pub(super) fn log(&self) -> String {
        std::fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Ends all processes; returns the metrics that the node wrote about itself.
    pub(super) async fn shut_down(mut self) -> Value {
        send_signal("TERM", self.node.id()).await;
        let _ = self.node.status().await;
        for mut child in std::mem::take(&mut self.others) {
            let _ = child.kill();
            let _ = child.status().await;
        }
        let text = std::fs::read_to_string(self.dir.join("meter.json")).unwrap_or_default();
        let _ = std::fs::remove_dir_all(&self.dir);
        serde_json::from_str(&text).unwrap_or_default()
    }
}

/// Sends a signal to a process, by the signal's name without SIG.
pub(super) async fn send_signal(signal: &str, process: u32) {
    let _ = Command::new("kill").args([format!("-{signal}"), process.to_string()]).status().await;
}

/// Returns the CPU time of a process, given by its name under `/proc`.
fn process_cpu_s(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let nanoseconds: f64 = text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0.0);
    nanoseconds / 1e9
}

/// Returns the resident memory of a process, given by its name under `/proc`.
pub(super) fn process_memory_kib(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

fn create_folder(name: &str) -> Result<PathBuf, CommandError> {
    let dir = std::env::temp_dir().join(format!("nickelgw-bench-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn plain_address(entry: EndpointEntry) -> EngineAddress {
    EngineAddress { address: entry.address, tls_name: None }
}

async fn start_engine(
    config: &EngineConfig,
    number: usize,
    dir: &Path,
) -> Result<(Child, EndpointEntry), CommandError> {
    let (id, role) = match number.checked_sub(PREFILL_ENGINES) {
        None => (format!("r{number}"), Role::Prefill),
        Some(decode_number) => (format!("w{decode_number}"), Role::Decode),
    };
    let started = spawn_engine_process(&id, role, config, &dir.join("log")).await?;
    let engine = EngineConfig { id, role, ..config.clone() };
    Ok((started.child, endpoint_entry(&engine, started.address)))
}

/// Starts an engine as a child process.
pub(super) async fn spawn_engine_process(
    id: &str,
    role: Role,
    config: &EngineConfig,
    log: &Path,
) -> Result<ListeningChild, CommandError> {
    let role = match role {
        Role::Prefill => "read",
        Role::Decode => "write",
    };
    let config = serde_json::to_string(config)?;
    spawn_command(&owned_args(&["engine", "--id", id, "--role", role, "--figures", &config]), log).await
}

async fn start_list(entries: &[EndpointEntry], dir: &Path) -> Result<ListeningChild, CommandError> {
    let path = dir.join("list.json");
    let list = EndpointList { revision: 1, engines: entries.to_vec() };
    std::fs::write(&path, serde_json::to_vec(&list)?)?;
    let args = owned_args(&["list", "--engines", &path.display().to_string(), "--lag-ms", "0"]);
    spawn_command(&args, &dir.join("log")).await
}

async fn start_node(plan: &FleetPlan<'_>, list: &str, dir: &Path) -> Result<ListeningChild, CommandError> {
    let settings = dir.join("node.txtpb");
    let text = format!("{} listen: '127.0.0.1:0' {}", node_settings(0, 1, list), plan.node_settings);
    std::fs::write(&settings, text)?;
    let meter = dir.join("meter.json").display().to_string();
    let mut args = owned_args(&["serve", "--config", &settings.display().to_string(), "--meter", &meter]);
    if plan.with_json_log {
        args.extend(owned_args(&["--log", "json", "--log-level", "info"]));
    }
    spawn_command(&args, &dir.join("log")).await
}
