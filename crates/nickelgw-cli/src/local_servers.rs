//! Engines, endpoint lists, registries and nodes that run on threads of this process, on free loopback ports,
//! until the process ends.

use crate::error::CommandError;
use crate::node_options;
use nickelgw_node::NodeOptions;
use nickelgw_protocol::list::{EndpointEntry, EngineRole, EngineState};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::{client, Recorder};
use std::net::TcpListener;
use std::thread;
use std::time::Instant;

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT_S: f64 = 1.0;

/// Listens on a free loopback port.
pub fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

/// Returns the endpoint list entry of an active engine.
pub fn endpoint_entry(engine: &EngineConfig, address: String) -> EndpointEntry {
    EndpointEntry {
        id: engine.id.clone(),
        address,
        zone: engine.zone.clone(),
        cell: engine.cell,
        role: match engine.role {
            Role::Prefill => EngineRole::Prefill,
            Role::Decode => EngineRole::Decode,
        },
        memory_tokens: engine.memory_tokens,
        state: EngineState::Active,
        started_at: None,
        tls_name: engine.tls.as_ref().map(|tls| tls.name.clone()),
    }
}

/// Runs an engine on a thread; returns its endpoint list entry.
pub fn spawn_engine(engine: EngineConfig, seed: u64) -> Result<EndpointEntry, CommandError> {
    let listener = bind_loopback()?;
    let entry = endpoint_entry(&engine, listener.local_addr()?.to_string());
    thread::spawn(move || {
        smol::block_on(nickelgw_test_servers::engine::run(listener, engine, Recorder::default(), seed))
    });
    Ok(entry)
}

/// Runs an endpoint list on a thread; returns its address.
pub fn spawn_endpoint_list(entries: Vec<EndpointEntry>) -> Result<String, CommandError> {
    let listener = bind_loopback()?;
    let address = listener.local_addr()?.to_string();
    thread::spawn(move || {
        smol::block_on(nickelgw_test_servers::list::run(listener, entries, 0.0, Recorder::default()))
    });
    Ok(address)
}

/// Runs a registry on a thread; returns its address.
pub fn spawn_registry() -> Result<String, CommandError> {
    let listener = bind_loopback()?;
    let address = listener.local_addr()?.to_string();
    thread::spawn(move || {
        smol::block_on(nickelgw_test_servers::registry::run(listener, Recorder::default()))
    });
    Ok(address)
}

/// A node that runs on a thread of this process.
pub struct LocalNode {
    /// Address (`host:port`) of the node's chat API.
    pub address: String,
    /// Time at which the node's thread was started.
    pub started: Instant,
}

/// Runs a node on a thread with the given settings; `adjust` may change its options first.
pub fn spawn_node(
    name: &str,
    settings: &str,
    adjust: impl FnOnce(&mut NodeOptions),
) -> Result<LocalNode, CommandError> {
    let node = nickelgw_settings::parse_node(name, settings).map_err(CommandError::from_settings)?;
    let mut options = node_options::from_settings(&node, None)?;
    adjust(&mut options);
    let listener = bind_loopback()?;
    let address = listener.local_addr()?.to_string();
    let started = Instant::now();
    thread::spawn(move || smol::block_on(nickelgw_node::run(listener, options)));
    Ok(LocalNode { address, started })
}

/// Returns whether the node at this address reports that it is ready.
pub fn is_healthy(address: &str) -> bool {
    let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let response = smol::block_on(client::send_raw(address, &[request], 0.0, HEALTH_CHECK_TIMEOUT_S));
    client::response_status(&response) == 200
}

/// Returns the settings of one of several nodes that share the same engines.
pub fn node_settings(number: u16, nodes: u16, list: &str) -> String {
    format!(
        "name: 'node{number}' number: {number} nodes: {nodes} zone: 'a' zones: 'a' list: '{list}'
         model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 5000 }}
         model_route {{ model: 'review' first_token_target_ms: 2500 route_timeout_ms: 10000 }}"
    )
}
