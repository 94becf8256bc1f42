//! `nickelgw bench-tls`: the cost of TLS with full and resumed handshakes, and the burst of handshakes after
//! a rotation, with and without a handshake budget.

mod certificates;
mod handshakes;
mod rotation;

use super::client::{unlimited_pool, BenchClient, EngineAddress, Route};
use super::load::{run_single_load, LoadPlan};
use super::process_fleet::{process_memory_kib, spawn_engine_process};
use super::statistics::Summary;
use crate::error::CommandError;
use certificates::Certificates;
use nickelgw_node::client::{Connection, Tls};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_tls::core::pool::PoolConfig;
use rotation::{BurstCause, HandshakeBurst};
use serde_json::{json, Value};
use smol::process::Child;
use smol::LocalExecutor;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

type Executor = Rc<LocalExecutor<'static>>;

const ANSWER_TOKENS: usize = 8;
const RATE_PER_S: f64 = 50.0;
/// Longest duration of one run of handshakes.
const MAX_HANDSHAKE_RUN_S: f64 = 2.0;
/// Connections opened for the memory figure.
const OPEN_CONNECTIONS: u32 = 2000;
/// Idle connections that a client keeps, unless it opens a new one for each request.
const MAX_IDLE_CONNECTIONS: usize = 64;

#[derive(clap::Args)]
pub struct BenchTls {
    /// Duration of each measured point, in seconds.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of runs of each measurement, over which medians are taken.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Engines behind the node in the handshake burst after a rotation.
    #[arg(long, default_value_t = 100)]
    engines: u16,
    /// File to which the figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn fast_engine() -> EngineConfig {
    EngineConfig { mean_output_tokens: ANSWER_TOKENS, ..super::fast_engine() }
}

/// Transport between a client and its engines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Transport {
    Plain,
    FullHandshakes,
    ResumedHandshakes,
}

/// Client of two engines that run as child processes.
struct DirectPath {
    /// Name of the transport and of the reuse of connections, in the results.
    name: &'static str,
    client: Rc<BenchClient>,
}

impl BenchTls {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let executor = Rc::new(LocalExecutor::new());
        let certificates = Certificates::new()?;
        let results = smol::block_on(executor.run(self.measure(&executor, &certificates)));
        let _ = std::fs::remove_dir_all(&certificates.dir);
        let results = results?;
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(&results)?)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self, executor: &Executor, certificates: &Certificates) -> Result<Value, CommandError> {
        let mut results = json!({});
        self.measure_handshakes(certificates, &mut results)?;
        println!("first token of a prefill and a decode, 50 requests a second, by transport and use of connections:");
        let mut children = Vec::new();
        let paths = start_paths(executor, certificates, &mut children).await?;
        self.measure_first_token(executor, &paths, &mut results).await;
        measure_memory(&paths, &mut results).await?;
        for mut child in children {
            let _ = child.kill();
            let _ = child.status().await;
        }
        self.measure_bursts(executor, certificates, &mut results).await?;
        Ok(results)
    }

    fn measure_handshakes(
        &self,
        certificates: &Certificates,
        results: &mut Value,
    ) -> Result<(), CommandError> {
        println!("handshakes on one core, both sides in memory, both verified, ECDSA P-256:");
        for (name, resume) in [("full", false), ("resumed", true)] {
            let mut runs = Vec::new();
            for _ in 0..self.runs {
                let run = handshakes::measure(certificates, resume, self.seconds.min(MAX_HANDSHAKE_RUN_S))?;
                if run.all_resumed != resume {
                    return Err(CommandError(format!(
                        "{name} handshakes expected, but all after the first resumed: {}",
                        run.all_resumed
                    )));
                }
                runs.push(run);
            }
            runs.sort_by(|left, right| left.rate_per_s.total_cmp(&right.rate_per_s));
            let median = &runs[runs.len() / 2];
            let (rate, client_us) = (median.rate_per_s, median.client_s * 1e6);
            println!(
                "  {name}: {rate:.0} a second (median of {}), the client's part {client_us:.0} us each",
                self.runs
            );
            results["handshakes"][name] = json!({"per_s": rate, "client_us": client_us});
        }
        Ok(())
    }

    async fn measure_first_token(&self, executor: &Executor, paths: &[DirectPath], results: &mut Value) {
        let load = |duration_s| LoadPlan { rate_per_s: RATE_PER_S, duration_s, output_tokens: ANSWER_TOKENS };
        for path in paths {
            run_single_load(executor, &path.client, load(0.5), Route::Direct).await;
        }
        let mut runs: Vec<(Vec<f64>, Vec<f64>)> = paths.iter().map(|_| Default::default()).collect();
        for _ in 0..self.runs {
            for (path, (p50_us, p99_us)) in paths.iter().zip(&mut runs) {
                let result = run_single_load(executor, &path.client, load(self.seconds), Route::Direct).await;
                p50_us.push(result.first_token_us(0.5));
                p99_us.push(result.first_token_us(0.99));
            }
        }
        for (path, (p50_us, p99_us)) in paths.iter().zip(runs) {
            let (p50_us, p99_us) = (Summary::of(p50_us).median, Summary::of(p99_us).median);
            println!("  {}: p50 {p50_us:.0} us, p99 {p99_us:.0} us (medians of {})", path.name, self.runs);
            results["first_token_us"][path.name] = json!([p50_us, p99_us]);
        }
    }

    async fn measure_bursts(
        &self,
        executor: &Executor,
        certificates: &Certificates,
        results: &mut Value,
    ) -> Result<(), CommandError> {
        println!(
            "handshake burst after the node's certificate rotates, {} engines, 300 requests a second:",
            self.engines
        );
        let mut bursts = Vec::new();
        for cause in [BurstCause::Rotation, BurstCause::ColdRestart] {
            for has_budget in [true, false] {
                let burst = HandshakeBurst { engines: self.engines, has_budget, cause };
                let result = burst.measure(executor, certificates).await?;
                println!("  {result}");
                bursts.push(result);
            }
        }
        results["rush"] = json!(bursts);
        Ok(())
    }
}

async fn start_paths(
    executor: &Executor,
    certificates: &Certificates,
    children: &mut Vec<Child>,
) -> Result<Vec<DirectPath>, CommandError> {
    let mut paths = Vec::new();
    for (name, transport, max_idle_connections) in [
        ("plain, open", Transport::Plain, MAX_IDLE_CONNECTIONS),
        ("TLS, open", Transport::ResumedHandshakes, MAX_IDLE_CONNECTIONS),
        ("TLS, resumed", Transport::ResumedHandshakes, 0),
        ("TLS, full", Transport::FullHandshakes, 0),
    ] {
        let engines = start_engines(certificates, transport, children).await?;
        let tls = (transport != Transport::Plain).then(|| {
            let resume = transport == Transport::ResumedHandshakes;
            Tls(Arc::new(Mutex::new(certificates.client(resume))))
        });
        let pool = PoolConfig { max_idle: max_idle_connections, ..unlimited_pool() };
        let mut client = BenchClient::new(executor, pool, tls, String::new());
        let [prefill_engine, decode_engine] = engines;
        client.prefill_engines = vec![prefill_engine];
        client.decode_engines = vec![decode_engine];
        paths.push(DirectPath { name, client: Rc::new(client) });
    }
    Ok(paths)
}

/// Starts a prefill engine and a decode engine.
async fn start_engines(
    certificates: &Certificates,
    transport: Transport,
    children: &mut Vec<Child>,
) -> Result<[EngineAddress; 2], CommandError> {
    let prefill_engine = start_engine(certificates, transport, "r0", Role::Prefill, children).await?;
    let decode_engine = start_engine(certificates, transport, "w0", Role::Decode, children).await?;
    Ok([prefill_engine, decode_engine])
}

async fn start_engine(
    certificates: &Certificates,
    transport: Transport,
    id: &str,
    role: Role,
    children: &mut Vec<Child>,
) -> Result<EngineAddress, CommandError> {
    let config = match transport {
        Transport::Plain => fast_engine(),
        _ => certificates.engine(id, &fast_engine())?,
    };
    let started = spawn_engine_process(id, role, &config, &certificates.dir.join("log")).await?;
    children.push(started.child);
    Ok(EngineAddress { address: started.address, tls_name: config.tls.map(|tls| tls.name) })
}

async fn measure_memory(paths: &[DirectPath], results: &mut Value) -> Result<(), CommandError> {
    println!("memory of an open connection, client's side:");
    // Earlier connections stay open: memory that they freed would be reused, and later ones would seem to
    // need none.
    let mut open_connections = Vec::new();
    for (name, path) in ["plain", "TLS"].into_iter().zip(paths) {
        let (kib, connections) = memory_per_connection(&path.client).await?;
        open_connections.extend(connections);
        println!("  {name}: {kib:.1} KiB");
        results["memory_kib"][name] = json!(kib);
    }
    Ok(())
}

/// Opens connections; returns the client's memory for each, in KiB, and the connections.
async fn memory_per_connection(client: &BenchClient) -> Result<(f64, Vec<Connection>), CommandError> {
    let before_kib = process_memory_kib("self");
    let mut connections = Vec::new();
    for _ in 0..OPEN_CONNECTIONS {
        let connection = client.open_connection(&client.decode_engines[0]).await;
        let connection = connection
            .ok_or_else(|| CommandError("cannot open a connection for the memory figure".into()))?;
        connections.push(connection);
    }
    let kib = (process_memory_kib("self") - before_kib) / f64::from(OPEN_CONNECTIONS);
    Ok((kib, connections))
}
