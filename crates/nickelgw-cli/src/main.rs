//! The `nickelgw` command: arguments, logging, and one module for each subcommand.

mod bench;
mod child_process;
mod error;
mod inspect;
mod local_servers;
mod node_options;
mod platform;
mod rehearse;
mod serve;
mod signals;
mod test_servers;
mod timing;
mod up;

use bench::endpoint_changes::BenchFleet;
use bench::overhead::Bench;
use bench::request_path::BenchPath;
use bench::tls::BenchTls;
use clap::{Parser, Subcommand, ValueEnum};
use error::CommandError;
use std::path::PathBuf;
use std::process::ExitCode;

/// What the process ends with where a file or the usage was wrong.
const USAGE_ERROR: u8 = 2;

/// Routes language-model requests between prompt readers and answer writers.
#[derive(Parser)]
#[command(name = "nickelgw", version)]
struct Cli {
    /// How logs are written, on standard error.
    #[arg(long, global = true, value_enum, default_value = "plain")]
    log: LogFormat,
    /// Least severity logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log_level: tracing::Level,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Plain,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs nodes and stand-in engines on loopback, to try things out.
    Up(up::Up),
    /// Serves as a node.
    Serve(serve::Serve),
    /// Serves as a node on the operators' platform, as RELAY_CONFIG tells.
    Platform,
    /// Checks a settings file of a node or a day.
    Check { file: PathBuf },
    /// Runs a stand-in reader or writer.
    Engine(test_servers::Engine),
    /// Runs a stand-in engine list.
    List(test_servers::List),
    /// Runs a stand-in etcd-v3 registry behind its JSON gateway.
    Registry(test_servers::Registry),
    /// Plays a day of traffic and faults on child processes, and judges the five rules.
    Rehearse(rehearse::Rehearse),
    /// Judges the records of an earlier rehearsal: its folder, or any with such records.
    Audit { dir: PathBuf },
    /// Makes a test authority's root, intermediate and certificates, sound ones and bad ones.
    Authority(test_servers::Authority),
    /// Tells what happened to a request, and why: asks a node's operators' port.
    Why(inspect::Why),
    /// Measures what the node adds, beside the same stand-ins called directly.
    Bench(Bench),
    /// Measures grants, keys, ledger and store, stalled clients, and a take-over.
    BenchPath(BenchPath),
    /// Measures resyncs and changes of the fleet, and what a mistaken empty list costs.
    BenchFleet(BenchFleet),
    /// Measures what TLS costs, and the rush after a rotation with and without a budget.
    BenchTls(BenchTls),
}

impl Command {
    fn run(self) -> Result<ExitCode, CommandError> {
        match self {
            Command::Up(up) => up.run(),
            Command::Serve(serve) => serve.run(),
            Command::Platform => platform::run(),
            Command::Check { file } => inspect::check(&file),
            Command::Engine(engine) => engine.run(),
            Command::List(list) => list.run(),
            Command::Registry(registry) => registry.run(),
            Command::Rehearse(rehearse) => rehearse.run(),
            Command::Audit { dir } => rehearse::audit(&dir),
            Command::Authority(authority) => authority.run(),
            Command::Why(why) => why.run(),
            Command::Bench(bench) => bench.run(),
            Command::BenchPath(bench) => bench.run(),
            Command::BenchFleet(bench) => bench.run(),
            Command::BenchTls(bench) => bench.run(),
        }
    }
}

fn start_logging(format: LogFormat, level: tracing::Level) {
    let logs = tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).with_max_level(level);
    match format {
        LogFormat::Plain => logs.init(),
        LogFormat::Json => logs.json().flatten_event(true).init(),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_logging(cli.log, cli.log_level);
    match cli.command.run() {
        Ok(code) => code,
        Err(CommandError(reason)) => {
            eprintln!("nickelgw: {reason}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}
