//! Child processes of a rehearsal, and the files that they share.

use super::certificates::tls_name;
use super::performance::NodeOverrides;
use crate::child_process::{owned_args, spawn_command, ListeningChild};
use crate::error::CommandError;
use crate::local_servers::endpoint_entry;
use nickelgw_protocol::list::EndpointEntry;
use nickelgw_rehearsal::core::script::Script;
use nickelgw_settings::proto::{EngineGroup, EngineRole};
use nickelgw_settings::Day;
use nickelgw_test_servers::authority::{Authority, CertificateFault};
use nickelgw_test_servers::client;
use nickelgw_test_servers::engine_config::{EngineConfig, Role, TlsFiles};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use smol::process::Child;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Instant;

/// Prefix of the keys under which the registry holds the engines' entries.
const ENGINES_PREFIX: &str = "nickelgw/engines/";

fn engine_key(id: &str) -> String {
    format!("{ENGINES_PREFIX}{id}")
}

/// Configuration of a [`RehearsalFleet`].
pub(super) struct FleetConfig {
    pub(super) day: Day,
    pub(super) overrides: NodeOverrides,
    pub(super) seed: u64,
    pub(super) dir: PathBuf,
    /// Address of the endpoint list or registry.
    pub(super) list: String,
    pub(super) record: Recorder,
    pub(super) authority: Option<Authority>,
}

/// Engines and nodes of a rehearsal as child processes, with their addresses and the script of the day.
pub(super) struct RehearsalFleet {
    pub(super) day: Day,
    pub(super) script: Script,
    pub(super) overrides: NodeOverrides,
    pub(super) seed: u64,
    dir: PathBuf,
    /// Address of the endpoint list or registry.
    pub(super) list: String,
    pub(super) record: Recorder,
    engines: RefCell<BTreeMap<String, ListeningChild>>,
    /// Nodes by number; `None` while a node is down.
    nodes: RefCell<Vec<Option<ListeningChild>>>,
    began: Cell<Instant>,
    pub(super) longest_stall_s: Cell<f64>,
    /// Certificate authority in force; `None` on days without TLS.
    pub(super) authority: RefCell<Option<Authority>>,
    /// Entries of the engines when the day began.
    pub(super) initial_entries: RefCell<Vec<EndpointEntry>>,
}

/// Name and address of a running node.
pub(super) struct NodeAddress {
    pub(super) name: String,
    pub(super) address: String,
}

impl RehearsalFleet {
    /// Creates a fleet without processes.
    pub(super) fn new(config: FleetConfig) -> RehearsalFleet {
        let FleetConfig { day, overrides, seed, dir, list, record, authority } = config;
        RehearsalFleet {
            script: Script::from_day(&day, seed),
            nodes: RefCell::new((0..day.nodes()).map(|_| None).collect()),
            day,
            overrides,
            seed,
            dir,
            list,
            record,
            engines: RefCell::default(),
            began: Cell::new(Instant::now()),
            longest_stall_s: Cell::new(0.0),
            authority: RefCell::new(authority),
            initial_entries: RefCell::default(),
        }
    }

    /// Starts the day's clock.
    pub(super) fn start_clock(&self) {
        self.began.set(Instant::now());
    }

    /// Returns the seconds since the day began.
    pub(super) fn elapsed_s(&self) -> f64 {
        self.began.get().elapsed().as_secs_f64()
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    pub(super) fn path_text(&self, name: &str) -> String {
        self.path(name).display().to_string()
    }

    pub(super) fn record_path(&self, process: &str) -> String {
        self.path_text(&format!("records/{process}.jsonl"))
    }

    /// Publishes an engine's entry in the registry, or in the endpoint list after its lag.
    pub(super) async fn publish(&self, entry: &EndpointEntry) {
        let order = match self.day.registry() {
            true => json!({"order": "put", "key": engine_key(&entry.id), "value": entry}),
            false => json!({"line": entry}),
        };
        client::control(&self.list, &order).await;
    }

    /// Publishes an engine's entry without a lag.
    pub(super) async fn publish_now(&self, entry: &EndpointEntry) {
        if self.day.registry() {
            self.publish(entry).await;
        } else {
            client::control(&self.list, &json!({"line": entry, "lag_s": 0.0})).await;
        }
    }

    /// Removes an engine's entry from the registry or the endpoint list.
    pub(super) async fn withdraw(&self, engine: &str) {
        let order = match self.day.registry() {
            true => json!({"order": "delete", "key": engine_key(engine)}),
            false => json!({"remove": engine}),
        };
        client::control(&self.list, &order).await;
    }

    pub(super) async fn control_registry(&self, order: &str, for_s: f64) {
        client::control(&self.list, &json!({"order": order, "for_s": for_s, "key": ENGINES_PREFIX})).await;
    }

    pub(super) async fn control_engine(&self, engine: &str, order: Value) {
        if let Some(address) = self.engine_address(engine) {
            client::control(&address, &order).await;
        }
    }

    pub(super) fn engine_address(&self, engine: &str) -> Option<String> {
        self.engines.borrow().get(engine).map(|child| child.address.clone())
    }

    /// Returns the entry of a running engine; `None` if no group of the day has this engine.
    pub(super) fn entry_of(&self, engine: &str) -> Option<EndpointEntry> {
        let config = self.engine_config(engine)?;
        Some(self.entry(&config, self.engine_address(engine).unwrap_or_default()))
    }

    fn entry(&self, config: &EngineConfig, address: String) -> EndpointEntry {
        let tls_name = self.day.tls().then(|| tls_name(&config.id));
        EndpointEntry { tls_name, ..endpoint_entry(config, address) }
    }

    fn group_of(&self, engine: &str) -> Option<&EngineGroup> {
        let contains = |group: &&EngineGroup| {
            (0..group.count()).any(|number| format!("{}{number}", group.name) == engine)
        };
        self.day.engines.iter().find(contains)
    }

    fn engine_config(&self, engine: &str) -> Option<EngineConfig> {
        let rules = self.day.rules.unwrap_or_default();
        let group = self.group_of(engine)?;
        let grant_keys = self.day.state_grants.iter().flat_map(|grants| &grants.key);
        Some(EngineConfig {
            id: engine.to_string(),
            zone: group.zone.clone(),
            cell: group.cell(),
            role: match group.role() {
                EngineRole::Reader => Role::Prefill,
                EngineRole::Writer => Role::Decode,
            },
            slots: group.slots() as usize,
            max_queue_len: group.queue() as usize,
            memory_tokens: group.memory_tokens(),
            prefill_base_s: group.read_ms() / 1e3,
            prefill_tokens_per_s: group.read_tokens_per_s(),
            decode_step_s: group.step_ms() / 1e3,
            decode_step_per_stream_s: group.step_per_stream_ms() / 1e3,
            mean_output_tokens: group.out_tokens() as usize,
            kv_bytes_per_token: group.state_bytes_per_token(),
            reservation_ttl_s: group.state_ttl_ms() / 1e3,
            slow_start: false,
            slow_start_speed: rules.cold_share(),
            slow_start_s: rules.warm_within_ms() / 1e3,
            overload_multiple: rules.tip_multiple(),
            overload_window_s: rules.tip_window_ms() / 1e3,
            tls: None,
            grant_keys: grant_keys.map(|key| (key.number, key.secret.clone())).collect(),
        })
    }

    fn engine_tls_files(&self, engine: &str) -> Result<TlsFiles, CommandError> {
        self.sign_certificate(engine, CertificateFault::None)?;
        Ok(TlsFiles {
            name: tls_name(engine),
            chain: self.path(&format!("certs/{engine}.pem")),
            key: self.path(&format!("certs/{engine}.key")),
            trust: self.path("certs/root.pem"),
            mutual: true,
        })
    }

    /// Starts an engine's process; returns its entry, which is not published yet.
    pub(super) async fn start_engine(
        &self,
        name: &str,
        is_cold: bool,
    ) -> Result<EndpointEntry, CommandError> {
        let config = self.engine_config(name);
        let mut config =
            config.ok_or_else(|| CommandError(format!("no engine group of the day has an engine {name}")))?;
        if self.day.tls() {
            config.tls = Some(self.engine_tls_files(name)?);
        }
        let args = self.engine_args(&config, is_cold)?;
        let child = spawn_command(&args, &self.path(&format!("logs/{name}.log"))).await?;
        let entry = self.entry(&config, child.address.clone());
        self.engines.borrow_mut().insert(name.to_string(), child);
        Ok(EndpointEntry { started_at: is_cold.then(unix_now), ..entry })
    }

    fn engine_args(&self, config: &EngineConfig, is_cold: bool) -> Result<Vec<String>, CommandError> {
        let config_json = serde_json::to_string(config)?;
        let (cell, seed) = (config.cell.to_string(), self.seed.to_string());
        let role = match config.role {
            Role::Prefill => "read",
            Role::Decode => "write",
        };
        let record = self.record_path(&config.id);
        let mut args = owned_args(&["engine", "--id", &config.id, "--role", role, "--zone", &config.zone]);
        args.extend(owned_args(&[
            "--cell",
            &cell,
            "--figures",
            &config_json,
            "--seed",
            &seed,
            "--record",
            &record,
        ]));
        if is_cold {
            args.push("--cold".into());
        }
        Ok(args)
    }

    /// Kills an engine's process.
    pub(super) async fn kill_engine(&self, name: &str) {
        let killed = self.engines.borrow_mut().remove(name);
        if let Some(mut killed) = killed {
            let _ = killed.child.kill();
            let _ = killed.child.status().await;
        }
    }

    pub(super) async fn start_node(&self, number: u32) -> Result<(), CommandError> {
        let settings = self.path_text(&format!("node{number}.txtpb"));
        let args = owned_args(&["serve", "--config", &settings, "--log", "json", "--log-level", "debug"]);
        let started = spawn_command(&args, &self.path(&format!("logs/node{number}.log"))).await?;
        self.nodes.borrow_mut()[number as usize] = Some(started);
        Ok(())
    }

    /// Kills a node's process with SIGKILL, and records that it was killed.
    pub(super) async fn kill_node(&self, number: u32) {
        let killed = self.nodes.borrow_mut()[number as usize].take();
        if let Some(mut killed) = killed {
            let _ = killed.child.kill();
            self.record.record("killed", json!({"node": format!("node{number}")}));
            let _ = killed.child.status().await;
        }
    }

    /// Returns the running node at this index, counted on from the first node after the last; `None` if all
    /// are down.
    pub(super) fn running_node(&self, index: usize) -> Option<NodeAddress> {
        let nodes = self.nodes.borrow();
        let running = nodes.iter().enumerate().filter_map(|(number, node)| Some((number, node.as_ref()?)));
        let running: Vec<_> = running.collect();
        let (number, node) = running.get(index % running.len().max(1))?;
        Some(NodeAddress { name: format!("node{number}"), address: node.address.clone() })
    }

    /// Takes all processes that still run, nodes first.
    pub(super) fn take_children(&self) -> Vec<Child> {
        let mut nodes = self.nodes.borrow_mut();
        let nodes = nodes.iter_mut().filter_map(Option::take);
        let engines = std::mem::take(&mut *self.engines.borrow_mut()).into_values();
        nodes.chain(engines).map(|running| running.child).collect()
    }
}
