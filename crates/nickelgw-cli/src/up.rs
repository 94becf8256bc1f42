//! `nickelgw up`: nodes and stand-ins in one process, to try things out.

use crate::{signals, start, Unusable};
use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::{client, Recorder};
use std::net::TcpListener;
use std::process::ExitCode;
use std::thread;

#[derive(clap::Args)]
pub struct Up {
    #[arg(long, default_value_t = 1)]
    nodes: u16,
    #[arg(long, default_value_t = 2)]
    readers: u16,
    #[arg(long, default_value_t = 2)]
    writers: u16,
    /// Port of the first node's chat API; the others follow. 0: free ones.
    #[arg(long, default_value_t = 8080)]
    port: u16,
}

/// Stand-ins on threads of their own; they end with the process.
pub fn engines(readers: u16, writers: u16, figures: &EngineConfig) -> Result<Vec<EndpointEntry>, Unusable> {
    let mut lines = Vec::new();
    for n in 0..readers + writers {
        let read = n < readers;
        let (id, role) = match read {
            true => (format!("reader{n}"), Role::Prefill),
            false => (format!("writer{}", n - readers), Role::Decode),
        };
        let f = EngineConfig { id: id.clone(), role, ..figures.clone() };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        lines.push(EndpointEntry {
            id,
            address: listener.local_addr()?.to_string(),
            zone: f.zone.clone(),
            cell: f.cell,
            role: if read { list::EngineRole::Prefill } else { list::EngineRole::Decode },
            memory_tokens: f.memory_tokens,
            state: EngineState::Active,
            started_at: None,
            tls_name: None,
        });
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::engine::run(listener, f, Recorder::default(), u64::from(n)))
        });
    }
    Ok(lines)
}

pub fn list(lines: Vec<EndpointEntry>) -> Result<String, Unusable> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    thread::spawn(move || {
        smol::block_on(nickelgw_test_servers::list::run(listener, lines, 0.0, Recorder::default()))
    });
    Ok(address)
}

pub fn settings(number: u16, nodes: u16, list: &str) -> String {
    format!(
        "name: 'node{number}' number: {number} nodes: {nodes} zone: 'a' zones: 'a' list: '{list}'
         model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 5000 }}
         model_route {{ model: 'review' first_token_target_ms: 2500 route_timeout_ms: 10000 }}"
    )
}

impl Up {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        if self.nodes == 0 || self.readers == 0 || self.writers == 0 {
            return Err(Unusable("up needs a node, a reader and a writer at least".into()));
        }
        let until = signals::ended()?;
        let listed = list(engines(self.readers, self.writers, &EngineConfig::default())?)?;
        let mut urls = Vec::new();
        for n in 0..self.nodes {
            let port = if self.port == 0 { 0 } else { self.port + n };
            let address = format!("127.0.0.1:{port}");
            let wrong = |e| Unusable(format!("{address}: cannot listen: {e}; another --port may be free"));
            let listener = TcpListener::bind(&address).map_err(wrong)?;
            urls.push(format!("http://{}", listener.local_addr()?));
            let text = settings(n, self.nodes, &listed);
            let node = nickelgw_settings::parse_node("up", &text).map_err(|p| start::problems(&p))?;
            thread::spawn(move || match start::start(&node, None) {
                Ok(s) => drop(smol::block_on(nickelgw_node::run(listener, s))),
                Err(Unusable(why)) => eprintln!("nickelgw: {why}"),
            });
        }
        // Asked before it has heard the list, a node sheds.
        for u in &urls {
            let address = u.trim_start_matches("http://");
            let from = std::time::Instant::now();
            let call = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            let ready = || {
                client::response_status(&smol::block_on(client::send_raw(address, &[call], 0.0, 1.0))) == 200
            };
            while !ready() && from.elapsed().as_secs() < 5 {
                thread::sleep(std::time::Duration::from_millis(10));
            }
        }
        println!("{} readers and {} writers, stand-ins, behind", self.readers, self.writers);
        urls.iter().for_each(|u| println!("  {u}/v1/chat/completions"));
        println!("try:");
        println!(
            "  curl -N {}/v1/chat/completions -H 'content-type: application/json' -d \
             '{{\"model\":\"chat\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
            urls[0]
        );
        println!("Ctrl-C ends all.");
        smol::block_on(until)?;
        Ok(ExitCode::SUCCESS)
    }
}
