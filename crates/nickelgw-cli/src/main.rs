//! The `nickelgw` command.

mod bench;
mod bench_fleet;
mod bench_path;
mod bench_tls;
mod platform;
mod rehearse;
mod serve;
mod signals;
mod start;
mod up;

use clap::{Parser, Subcommand, ValueEnum};
use nickelgw_test_servers::engine_config::Role;
use nickelgw_test_servers::Recorder;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes language-model requests between prompt readers and answer writers.
#[derive(Parser)]
#[command(name = "nickelgw", version)]
struct Cli {
    /// How logs are written, on standard error.
    #[arg(long, global = true, value_enum, default_value = "plain")]
    log: Log,
    /// Least severity logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log_level: tracing::Level,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Plain,
    Json,
}

#[derive(Subcommand)]
enum What {
    /// Runs nodes and stand-in engines on loopback, to try things out.
    Up(up::Up),
    /// Serves as a node.
    Serve(serve::Serve),
    /// Serves as a node on the operators' platform, as RELAY_CONFIG tells.
    Platform,
    /// Checks a settings file of a node or a day.
    Check { file: PathBuf },
    /// Runs a stand-in reader or writer.
    Engine {
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
    },
    /// Runs a stand-in engine list.
    List {
        /// Its first lines: a JSON file, a list as the node reads it.
        #[arg(long)]
        engines: Option<PathBuf>,
        #[arg(long, default_value_t = 500.0)]
        lag_ms: f64,
        #[arg(long, default_value_t = 0)]
        port: u16,
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Runs a stand-in etcd-v3 registry behind its JSON gateway.
    Registry {
        #[arg(long, default_value_t = 0)]
        port: u16,
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Plays a day of traffic and faults on child processes, and judges the five rules.
    Rehearse(rehearse::Rehearse),
    /// Judges the records of an earlier rehearsal: its folder, or any with such records.
    Audit { dir: PathBuf },
    /// Makes a test authority's root, intermediate and certificates, sound ones and bad ones.
    Authority {
        dir: PathBuf,
        /// Name of an engine or node to make a certificate for; more than one may be given.
        #[arg(long)]
        name: Vec<String>,
    },
    /// Tells what happened to a request, and why: asks a node's operators' port.
    Why {
        /// As the client got it in x-request-id.
        request_id: String,
        /// host:port that the node's settings give as admin.
        #[arg(long, default_value = "127.0.0.1:8081")]
        admin: String,
    },
    /// Measures what the node adds, beside the same stand-ins called directly.
    Bench(bench::Bench),
    /// Measures grants, keys, ledger and store, stalled clients, and a take-over.
    BenchPath(bench_path::BenchPath),
    /// Measures resyncs and changes of the fleet, and what a mistaken empty list costs.
    BenchFleet(bench_fleet::BenchFleet),
    /// Measures what TLS costs, and the rush after a rotation with and without a budget.
    BenchTls(bench_tls::BenchTls),
}

#[derive(Clone, Copy, ValueEnum)]
enum EngineRole {
    Read,
    Write,
}

/// Ends with one plain line: the file or the usage was bad.
pub struct Unusable(pub String);

impl<E: std::error::Error> From<E> for Unusable {
    fn from(e: E) -> Self {
        Unusable(e.to_string())
    }
}

fn record(path: Option<PathBuf>, who: &str) -> Result<Recorder, Unusable> {
    match path {
        None => Ok(Recorder::default()),
        Some(p) => Recorder::file(&p, who).map_err(|e| Unusable(format!("{}: {e}", p.display()))),
    }
}

/// Binds, and says where: a parent process reads it.
fn bind(address: &str) -> Result<TcpListener, Unusable> {
    let listener =
        TcpListener::bind(address).map_err(|e| Unusable(format!("{address}: cannot listen: {e}")))?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

fn run(what: What) -> Result<ExitCode, Unusable> {
    match what {
        What::Up(up) => up.run(),
        What::Rehearse(r) => r.run(),
        What::Bench(b) => b.run(),
        What::BenchTls(b) => b.run(),
        What::BenchFleet(b) => b.run(),
        What::BenchPath(b) => b.run(),
        What::Authority { dir, name } => {
            let made = nickelgw_test_servers::authority::write_all(&dir, &name);
            let made = made.map_err(|e| Unusable(format!("{}: {e}", dir.display())))?;
            made.iter().for_each(|f| println!("{}", f.display()));
            Ok(ExitCode::SUCCESS)
        }
        What::Audit { dir } => rehearse::audit(&dir),
        What::Why { request_id, admin } => {
            let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            if !request_id.bytes().all(plain) {
                return Err(Unusable("a request id has letters, digits, '-', '_' and '.'".into()));
            }
            let call = format!("GET /why/{request_id} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let answer =
                smol::block_on(nickelgw_test_servers::client::send_raw(&admin, &[call.as_bytes()], 0.0, 5.0));
            let answer = String::from_utf8_lossy(&answer).to_string();
            let Some((head, body)) = answer.split_once("\r\n\r\n") else {
                return Err(Unusable(format!("{admin}: no node answers there")));
            };
            print!("{body}");
            Ok(if head.starts_with("HTTP/1.1 200") { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        What::Check { file } => {
            let kind = nickelgw_settings::load_any(&file).map_err(|p| start::problems(&p))?;
            println!("{}: sound settings of a {kind}", file.display());
            Ok(ExitCode::SUCCESS)
        }
        What::Serve(s) => s.run(),
        What::Platform => platform::run(),
        What::Engine { id, role, zone, cell, cold, figures, port, seed, record: to } => {
            let wrong = |e: serde_json::Error| Unusable(format!("--figures: {e}"));
            let mut f: nickelgw_test_servers::engine_config::EngineConfig =
                serde_json::from_str(&figures).map_err(wrong)?;
            let role = match role {
                EngineRole::Read => Role::Prefill,
                EngineRole::Write => Role::Decode,
            };
            (f.id, f.role, f.zone, f.cell, f.slow_start) = (id.clone(), role, zone, cell, cold);
            let listener = bind(&format!("127.0.0.1:{port}"))?;
            let work = nickelgw_test_servers::engine::run(listener, f, record(to, &id)?, seed);
            smol::block_on(futures_lite::future::or(work, signals::ended()?))?;
            Ok(ExitCode::SUCCESS)
        }
        What::Registry { port, record: to } => {
            let listener = bind(&format!("127.0.0.1:{port}"))?;
            let work = nickelgw_test_servers::registry::run(listener, record(to, "registry")?);
            smol::block_on(futures_lite::future::or(work, signals::ended()?))?;
            Ok(ExitCode::SUCCESS)
        }
        What::List { engines, lag_ms, port, record: to } => {
            let lines = match engines {
                None => Vec::new(),
                Some(p) => {
                    let bytes = std::fs::read(&p).map_err(|e| Unusable(format!("{}: {e}", p.display())))?;
                    let list = nickelgw_protocol::list::EndpointList::parse(&bytes);
                    list.map_err(|e| Unusable(format!("{}: {e}", p.display())))?.engines
                }
            };
            let listener = bind(&format!("127.0.0.1:{port}"))?;
            let work = nickelgw_test_servers::list::run(listener, lines, lag_ms / 1e3, record(to, "list")?);
            smol::block_on(futures_lite::future::or(work, signals::ended()?))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let logs =
        tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).with_max_level(cli.log_level);
    match cli.log {
        Log::Plain => logs.init(),
        Log::Json => logs.json().flatten_event(true).init(),
    }
    match run(cli.what) {
        Ok(code) => code,
        Err(Unusable(why)) => {
            eprintln!("nickelgw: {why}");
            ExitCode::from(2)
        }
    }
}
