//! `nickelgw engine`, `list`, `registry` and `authority`: test servers as processes, and their certificates.

use crate::error::{with_context, CommandError};
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
    /// Id of the engine.
    #[arg(long)]
    id: String,
    /// Phase that the engine runs: prefill (read) or decode (write).
    #[arg(long, value_enum)]
    role: EngineRole,
    /// Availability zone of the engine.
    #[arg(long, default_value = "a")]
    zone: String,
    /// Cell of the engine within its zone.
    #[arg(long, default_value_t = 0)]
    cell: u32,
    /// Begins in slow start (cold): slower until warm, and can be overloaded.
    #[arg(long)]
    cold: bool,
    /// Further settings of the engine, as a JSON object with the names in docs/rehearsal.md.
    #[arg(long, default_value = "{}")]
    figures: String,
    /// Loopback port to listen on; 0 picks a free one.
    #[arg(long, default_value_t = 0)]
    port: u16,
    /// Seed of the engine's random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to which the events on the engine's sockets are appended.
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Engine {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let base_config: EngineConfig =
            serde_json::from_str(&self.figures).map_err(with_context("--figures"))?;
        let config = EngineConfig {
            id: self.id.clone(),
            role: match self.role {
                EngineRole::Prefill => Role::Prefill,
                EngineRole::Decode => Role::Decode,
            },
            zone: self.zone,
            cell: self.cell,
            slow_start: self.cold,
            ..base_config
        };
        let listener = listen(self.port)?;
        let record = open_record(self.record.as_deref(), &self.id)?;
        run_until_terminated(nickelgw_test_servers::engine::run(listener, config, record, self.seed))
    }
}

#[derive(clap::Args)]
pub struct List {
    /// Initial endpoint list: a JSON file in the format that nodes read.
    #[arg(long)]
    engines: Option<PathBuf>,
    /// Delay until a change of the list is visible, in milliseconds.
    #[arg(long, default_value_t = 500.0)]
    lag_ms: f64,
    /// Loopback port to listen on; 0 picks a free one.
    #[arg(long, default_value_t = 0)]
    port: u16,
    /// File to which the events of the list are appended.
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
    /// Loopback port to listen on; 0 picks a free one.
    #[arg(long, default_value_t = 0)]
    port: u16,
    /// File to which the events of the registry are appended.
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
    /// Folder to which the certificates and keys are written.
    dir: PathBuf,
    /// Name of an engine or node to create a certificate for; may be repeated.
    #[arg(long)]
    name: Vec<String>,
}

impl Authority {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let written = nickelgw_test_servers::authority::write_all(&self.dir, &self.name);
        for file in written.map_err(with_context(self.dir.display()))? {
            println!("{}", file.display());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn read_endpoints(path: &Path) -> Result<Vec<EndpointEntry>, CommandError> {
    let bytes = std::fs::read(path).map_err(with_context(path.display()))?;
    Ok(EndpointList::parse(&bytes).map_err(with_context(path.display()))?.engines)
}

fn open_record(path: Option<&Path>, server: &str) -> Result<Recorder, CommandError> {
    match path {
        None => Ok(Recorder::default()),
        Some(path) => Recorder::file(path, server).map_err(with_context(path.display())),
    }
}

/// Listens on loopback and prints the address, which a parent process reads.
fn listen(port: u16) -> Result<TcpListener, CommandError> {
    let address = format!("127.0.0.1:{port}");
    let listener = TcpListener::bind(&address).map_err(with_context(format!("{address}: cannot listen")))?;
    println!("{}{}", child_process::LISTENING_PREFIX, listener.local_addr()?);
    Ok(listener)
}

fn run_until_terminated(server: impl Future<Output = std::io::Result<()>>) -> Result<ExitCode, CommandError> {
    smol::block_on(futures_lite::future::or(server, signals::terminated()?))?;
    Ok(ExitCode::SUCCESS)
}
