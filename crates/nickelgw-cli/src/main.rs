//! The `nickelgw` command: arguments, logging, and the modules of the subcommands.

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

/// Exit code of a command that ends with a [`CommandError`].
const ERROR_EXIT_CODE: u8 = 2;

/// Routes language-model requests across prefill engines and decode engines.
#[derive(Parser)]
#[command(name = "nickelgw", version)]
struct Cli {
    /// Format of the logs, which are written to standard error.
    #[arg(long, global = true, value_enum, default_value = "plain")]
    log: LogFormat,
    /// Lowest severity that is logged: error, warn, info, debug or trace.
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
    /// Runs nodes and test engines on loopback, to try nickelgw out.
    Up(up::Up),
    /// Runs a node with the given settings file.
    Serve(serve::Serve),
    /// Runs a node on the operators' platform; RELAY_CONFIG names its configuration file.
    Platform,
    /// Checks the settings file of a node or of a day (a rehearsal scenario).
    Check { file: PathBuf },
    /// Runs a test engine for prefill (`read`) or decode (`write`).
    Engine(test_servers::Engine),
    /// Runs a test server for the endpoint list.
    List(test_servers::List),
    /// Runs a test registry with the JSON gateway of etcd v3.
    Registry(test_servers::Registry),
    /// Runs a day of traffic and faults against child processes, and audits the five rules.
    Rehearse(rehearse::Rehearse),
    /// Audits the records of an earlier rehearsal: its report folder, or any folder with such records.
    Audit { dir: PathBuf },
    /// Creates a test certificate authority: root, intermediate, and valid and invalid certificates.
    Authority(test_servers::Authority),
    /// Prints what happened to a request and why, as a node reports it at its admin address.
    Why(inspect::Why),
    /// Measures the latency, CPU time and memory that a node adds, compared with direct calls of the same
    /// engines.
    Bench(Bench),
    /// Measures the cost of grants, idempotency keys, ledger and store, of stalled clients, and of a
    /// handover.
    BenchPath(BenchPath),
    /// Measures full reads and changes of the endpoint list, and the effect of a list that is empty by
    /// mistake.
    BenchFleet(BenchFleet),
    /// Measures the cost of TLS, and the handshake burst after a rotation with and without a handshake
    /// budget.
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
            ExitCode::from(ERROR_EXIT_CODE)
        }
    }
}
