//! A registry and engines on threads of this process, and nodes that discover the engines through the
//! registry.

use crate::bench::temporary_path;
use crate::error::CommandError;
use crate::local_servers::{is_healthy, spawn_engine, spawn_node, spawn_registry};
use nickelgw_protocol::list::EndpointEntry;
use nickelgw_test_servers::client;
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Settings of a node that reads its endpoints from the fleet's registry, whose address replaces `REGISTRY`.
pub(super) const REGISTRY_SOURCE: &str = "registry { endpoint: 'REGISTRY' nodes_prefix: '' }";
/// Settings under which a node applies every list at once, even one that removes all endpoints.
pub(super) const ACCEPT_ALL_REMOVALS: &str = "doubt { share: 1 }";
const KEY_PREFIX: &str = "nickelgw/engines/";
const ENGINES: usize = 12;
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Change of the registry's contents.
#[derive(Clone, Copy)]
pub(super) enum Change<'a> {
    Put(&'a EndpointEntry),
    Delete(&'a str),
    DeleteAll,
}

/// A registry and the engines that it lists.
pub(super) struct LocalFleet {
    pub(super) dir: PathBuf,
    pub(super) entries: Vec<EndpointEntry>,
    /// Address of the registry.
    pub(super) registry: String,
}

/// A node that has become ready.
pub(super) struct ReadyNode {
    pub(super) address: String,
    /// Time from its start until it was ready.
    pub(super) ready_after_s: f64,
}

/// Returns the role of an engine: prefill for even numbers, decode for odd ones.
pub(super) fn role_of(number: usize) -> Role {
    if number.is_multiple_of(2) {
        Role::Prefill
    } else {
        Role::Decode
    }
}

/// Sends a control order to a test server.
pub(super) fn send_control(address: &str, order: &Value) {
    smol::block_on(client::control(address, order));
}

impl LocalFleet {
    pub(super) fn start() -> Result<LocalFleet, CommandError> {
        let dir = temporary_path("fleet");
        std::fs::create_dir_all(&dir)?;
        let mut entries = Vec::new();
        for number in 0..ENGINES {
            let engine = EngineConfig {
                id: format!("e{number}"),
                role: role_of(number),
                slots: 32,
                mean_output_tokens: 10,
                ..EngineConfig::default()
            };
            entries.push(spawn_engine(engine, 1)?);
        }
        let fleet = LocalFleet { dir, entries, registry: spawn_registry()? };
        for entry in &fleet.entries {
            fleet.change(Change::Put(entry));
        }
        Ok(fleet)
    }

    pub(super) fn change(&self, change: Change) {
        let order = match change {
            Change::Put(entry) => {
                json!({"order": "put", "key": format!("{KEY_PREFIX}{}", entry.id), "value": entry})
            }
            Change::Delete(id) => json!({"order": "delete", "key": format!("{KEY_PREFIX}{id}")}),
            Change::DeleteAll => json!({"order": "empty", "key": KEY_PREFIX}),
        };
        send_control(&self.registry, &order);
    }

    /// Starts a node and waits until it is ready.
    pub(super) fn start_node(&self, source: &str, endpoint_cache: &Path) -> Result<ReadyNode, CommandError> {
        let settings = format!(
            "name: 'node0' zone: 'a' zones: 'a' listen: '127.0.0.1:0' last_list: '{}' {source}
         model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 4000 }}",
            endpoint_cache.display()
        );
        let node = spawn_node("bench", &settings.replace("REGISTRY", &self.registry), |_| ())?;
        while !is_healthy(&node.address) {
            if node.started.elapsed() > START_TIMEOUT {
                return Err(CommandError(format!("node did not become ready within {START_TIMEOUT:?}")));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(ReadyNode { address: node.address, ready_after_s: node.started.elapsed().as_secs_f64() })
    }
}
