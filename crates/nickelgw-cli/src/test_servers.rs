//! `nickelgw engine`, `list`, `registry` and `authority`: test servers as processes, and their certificates.

use crate::error::{about, CommandError};
use crate::{child_process, signals};
use clap::ValueEnum;
use nickelgw_protocol::list::{EndpointEntry, EndpointList};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::Recorder;
use std::future::Future;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Clone, Copy, ValueEnum)]
enum EngineRole {
    #[value(name = "read")]
    Prefill,
    #[value(name = "write")]
    Decode,
}

#[derive(clap::Args)]
pub struct Engine {
    #[arg(long)]
    id: String,
    #[arg(long, value_enum)]
    role: EngineRole,
    #[arg(long, default_value = "a")]
    zone: String,
    #[arg(long, default_value_t = 0)]
    cell: u32,
    /// Starts cold: slower until warm, and can be pushed over.
    #[arg(long)]
    cold: bool,
    /// Further figures, as a JSON object with the names of docs/rehearsal.md.
    #[arg(long, default_value = "{}")]
    figures: String,
    #[arg(long, default_value_t = 0)]
    port: u16,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to which what crosses its sockets is added.
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Engine {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let listed: EngineConfig = serde_json::from_str(&self.figures).map_err(about("--figures"))?;
        let config = EngineConfig {
            id: self.id.clone(),
            role: match self.role {
                EngineRole::Prefill => Role::Prefill,
                EngineRole::Decode => Role::Decode,
            },
            zone: self.zone,
            cell: self.cell,
            slow_start: self.cold,
            ..listed
        };
        let listener = listen(self.port)?;
        let record = open_record(self.record.as_deref(), &self.id)?;
        run_until_terminated(nickelgw_test_servers::engine::run(listener, config, record, self.seed))
    }
}

#[derive(clap::Args)]
pub struct List {
    /// Its first lines: a JSON file, a list as the node reads it.
    #[arg(long)]
    engines: Option<PathBuf>,
    #[arg(long, default_value_t = 500.0)]
    lag_ms: f64,
    #[arg(long, default_value_t = 0)]
    port: u16,
    #[arg(long)]
    record: Option<PathBuf>,
}

impl List {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let entries = match &self.engines {
            Some(path) => read_endpoints(path)?,
            None => Vec::new(),
        };
        let listener = listen(self.port)?;
        let record = open_record(self.record.as_deref(), "list")?;
        run_until_terminated(nickelgw_test_servers::list::run(listener, entries, self.lag_ms / 1e3, record))
    }
}

#[derive(clap::Args)]
pub struct Registry {
    #[arg(long, default_value_t = 0)]
    port: u16,
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Registry {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let listener = listen(self.port)?;
        let record = open_record(self.record.as_deref(), "registry")?;
        run_until_terminated(nickelgw_test_servers::registry::run(listener, record))
    }
}

#[derive(clap::Args)]
pub struct Authority {
    dir: PathBuf,
    /// Name of an engine or node to make a certificate for; more than one may be given.
    #[arg(long)]
    name: Vec<String>,
}

impl Authority {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let written = nickelgw_test_servers::authority::write_all(&self.dir, &self.name);
        for file in written.map_err(about(self.dir.display()))? {
            println!("{}", file.display());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn read_endpoints(path: &Path) -> Result<Vec<EndpointEntry>, CommandError> {
    let bytes = std::fs::read(path).map_err(about(path.display()))?;
    Ok(EndpointList::parse(&bytes).map_err(about(path.display()))?.engines)
}

fn open_record(path: Option<&Path>, server: &str) -> Result<Recorder, CommandError> {
    match path {
        None => Ok(Recorder::default()),
        Some(path) => Recorder::file(path, server).map_err(about(path.display())),
    }
}

/// Listens on loopback, and prints where: a parent process reads it.
fn listen(port: u16) -> Result<TcpListener, CommandError> {
    let address = format!("127.0.0.1:{port}");
    let listener = TcpListener::bind(&address).map_err(about(format!("{address}: cannot listen")))?;
    println!("{}{}", child_process::LISTENING, listener.local_addr()?);
    Ok(listener)
}

fn run_until_terminated(server: impl Future<Output = std::io::Result<()>>) -> Result<ExitCode, CommandError> {
    smol::block_on(futures_lite::future::or(server, signals::terminated()?))?;
    Ok(ExitCode::SUCCESS)
}
