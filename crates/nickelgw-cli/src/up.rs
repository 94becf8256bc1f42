//! `nickelgw up`: nodes and test engines in one process, to try nickelgw out.

use crate::error::CommandError;
use crate::local_servers::{is_healthy, node_settings, spawn_endpoint_list, spawn_engine};
use crate::{node_options, signals};
use nickelgw_protocol::list::EndpointEntry;
use nickelgw_settings::Node;
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use std::net::TcpListener;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a node to become ready; its address is printed in any case.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
pub struct Up {
    /// Number of nodes.
    #[arg(long, default_value_t = 1)]
    nodes: u16,
    /// Number of prefill engines.
    #[arg(long, default_value_t = 2)]
    readers: u16,
    /// Number of decode engines.
    #[arg(long, default_value_t = 2)]
    writers: u16,
    /// Port of the first node's chat API; further nodes use the next ports. With 0, all use free ports.
    #[arg(long, default_value_t = 8080)]
    port: u16,
}

impl Up {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        if self.nodes == 0 || self.readers == 0 || self.writers == 0 {
            return Err(CommandError(format!(
                "at least one node, reader and writer is needed: got {} nodes, {} readers and {} writers",
                self.nodes, self.readers, self.writers
            )));
        }
        let terminated = signals::terminated()?;
        let list = spawn_endpoint_list(self.spawn_engines()?)?;
        let addresses: Vec<String> =
            (0..self.nodes).map(|number| self.spawn_node(number, &list)).collect::<Result<_, _>>()?;
        // A node rejects all requests until it has fetched the endpoint list.
        addresses.iter().for_each(|address| wait_until_ready(address));
        self.print_usage(&addresses);
        smol::block_on(terminated)?;
        Ok(ExitCode::SUCCESS)
    }

    fn spawn_engines(&self) -> Result<Vec<EndpointEntry>, CommandError> {
        let prefill_engines = (0..self.readers).map(|number| (format!("reader{number}"), Role::Prefill));
        let decode_engines = (0..self.writers).map(|number| (format!("writer{number}"), Role::Decode));
        let engines = prefill_engines.chain(decode_engines).zip(0..);
        let spawned = engines.map(|((id, role), seed)| {
            spawn_engine(EngineConfig { id, role, ..EngineConfig::default() }, seed)
        });
        spawned.collect()
    }

    /// Runs a node on a thread; returns its address.
    fn spawn_node(&self, number: u16, list: &str) -> Result<String, CommandError> {
        let port = if self.port == 0 { 0 } else { self.port + number };
        let address = format!("127.0.0.1:{port}");
        let listener = TcpListener::bind(&address).map_err(|error| {
            CommandError(format!("{address}: cannot listen: {error}; try another --port"))
        })?;
        let address = listener.local_addr()?.to_string();
        let settings = node_settings(number, self.nodes, list);
        let node = nickelgw_settings::parse_node("up", &settings).map_err(CommandError::from_settings)?;
        thread::spawn(move || run_node(&node, listener));
        Ok(address)
    }

    fn print_usage(&self, addresses: &[String]) {
        println!(
            "{} prefill engines (readers) and {} decode engines (writers), simulated, behind",
            self.readers, self.writers
        );
        for address in addresses {
            println!("  http://{address}/v1/chat/completions");
        }
        println!("try:");
        println!(
            "  curl -N http://{}/v1/chat/completions -H 'content-type: application/json' -d \
             '{{\"model\":\"chat\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
            addresses[0]
        );
        println!("Press Ctrl-C to stop.");
    }
}

fn run_node(node: &Node, listener: TcpListener) {
    match node_options::from_settings(node, None) {
        Ok(options) => drop(smol::block_on(nickelgw_node::run(listener, options))),
        Err(CommandError(reason)) => eprintln!("nickelgw: {reason}"),
    }
}

fn wait_until_ready(address: &str) {
    let began = Instant::now();
    while !is_healthy(address) && began.elapsed() < READY_TIMEOUT {
        thread::sleep(Duration::from_millis(10));
    }
}
