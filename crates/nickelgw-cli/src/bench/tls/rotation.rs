//! Burst of handshakes at a node with many engines: after a rotation of its certificate, or when all engines
//! have restarted at once, are in slow start, and the node has no connection yet.

use super::certificates::{tls_name, Certificates, NODE};
use super::{fast_engine, Executor, ANSWER_TOKENS};
use crate::bench::client::{unlimited_pool, BenchClient, Route};
use crate::bench::load::{run_single_load, LoadPlan, LoadResult};
use crate::error::CommandError;
use crate::local_servers::{bind_loopback, endpoint_entry, node_settings, spawn_endpoint_list, spawn_node};
use crate::timing::sleep_s;
use nickelgw_node::NodeOptions;
use nickelgw_protocol::list::EndpointEntry;
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use smol::LocalExecutor;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;

const ENGINE_THREADS: usize = 4;
const RATE_PER_S: f64 = 300.0;
/// Limit on handshakes that is never reached.
const NO_LIMIT: usize = 100_000;
/// Time for the node to fetch the endpoint list.
const DISCOVERY_S: f64 = 0.5;
/// Half of the window within which handshakes count as simultaneous.
const HALF_WINDOW_S: f64 = 0.05;

/// Cause of many simultaneous handshakes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BurstCause {
    Rotation,
    ColdRestart,
}

/// Plan of one measurement.
pub(super) struct HandshakeBurst {
    pub(super) engines: u16,
    /// Whether the node limits its handshakes and spreads the closing of older connections.
    pub(super) has_budget: bool,
    pub(super) cause: BurstCause,
}

fn load(rate_per_s: f64, duration_s: f64) -> LoadPlan {
    LoadPlan { rate_per_s, duration_s, output_tokens: ANSWER_TOKENS }
}

impl HandshakeBurst {
    pub(super) async fn measure(
        &self,
        executor: &Executor,
        certificates: &Certificates,
    ) -> Result<Value, CommandError> {
        let record = Recorder::memory("rush");
        let entries = self.start_engines(certificates, &record)?;
        let address = self.start_node(certificates, entries)?;
        sleep_s(DISCOVERY_S).await;
        let client = Rc::new(BenchClient::new(executor, unlimited_pool(), None, address));
        let mut before = None;
        if self.cause == BurstCause::Rotation {
            // Opens connections to all engines.
            run_single_load(executor, &client, load(400.0, 4.0), Route::ThroughNode).await;
            before =
                Some(run_single_load(executor, &client, load(RATE_PER_S, 2.0), Route::ThroughNode).await);
            certificates.sign(NODE)?;
        }
        let burst_began = unix_now();
        let after = run_single_load(executor, &client, load(RATE_PER_S, 2.0), Route::ThroughNode).await;
        Ok(self.json(&record.entries(), burst_began, before.as_ref(), &after))
    }

    fn start_node(
        &self,
        certificates: &Certificates,
        entries: Vec<EndpointEntry>,
    ) -> Result<String, CommandError> {
        let list = spawn_endpoint_list(entries)?;
        let settings = format!(
            "{} engine_tls {{ trust: '{dir}/root.pem' chain: '{dir}/node0.pem' key: '{dir}/node0.key' reload_ms: 100 }}",
            node_settings(0, 1, &list),
            dir = certificates.dir.display()
        );
        let remove_budget = |options: &mut NodeOptions| {
            if !self.has_budget {
                options.tls.max_handshakes = NO_LIMIT;
                options.tls.max_handshakes_per_engine = NO_LIMIT;
                options.tls.retire_gap_s = 0.0;
            }
        };
        Ok(spawn_node("rush", &settings, remove_budget)?.address)
    }

    /// Starts the engines on a few threads; all write to the same record.
    fn start_engines(
        &self,
        certificates: &Certificates,
        record: &Recorder,
    ) -> Result<Vec<EndpointEntry>, CommandError> {
        let is_cold = self.cause == BurstCause::ColdRestart;
        let mut entries = Vec::new();
        let mut threads: Vec<Vec<(TcpListener, EngineConfig)>> =
            (0..ENGINE_THREADS).map(|_| Vec::new()).collect();
        for number in 0..self.engines {
            let (prefix, role) = if number % 2 == 0 { ("r", Role::Prefill) } else { ("w", Role::Decode) };
            let config = certificates.engine(&format!("{prefix}{number}"), &fast_engine())?;
            let config = EngineConfig { role, slow_start: is_cold, slots: 16, ..config };
            let listener = bind_loopback()?;
            entries.push(EndpointEntry {
                tls_name: Some(tls_name(&config.id)),
                started_at: is_cold.then(unix_now),
                ..endpoint_entry(&config, listener.local_addr()?.to_string())
            });
            threads[usize::from(number) % ENGINE_THREADS].push((listener, config));
        }
        for engines in threads {
            let record = record.clone();
            thread::spawn(move || run_engines(engines, &record));
        }
        Ok(entries)
    }

    fn json(
        &self,
        records: &[Value],
        burst_began: f64,
        before: Option<&LoadResult>,
        after: &LoadResult,
    ) -> Value {
        // Only handshakes at decode engines count: prefill engines also see those of decode engines that
        // fetch states.
        let is_at_decode_engine = |line: &&Value| {
            line["ev"] == "handshake" && line["who"].as_str().is_some_and(|id| id.starts_with('w'))
        };
        let times = records.iter().filter(is_at_decode_engine).filter_map(|line| line["t"].as_f64());
        let times: Vec<f64> = times.filter(|at| *at > burst_began).collect();
        let simultaneous =
            |at: &f64| times.iter().filter(|other| (**other - at).abs() <= HALF_WINDOW_S).count();
        let overloaded = records.iter().filter(|line| line["ev"] == "fell").count();
        let ms = |result: &LoadResult, quantile| result.first_token_us(quantile) / 1e3;
        json!({"paced": self.has_budget, "back_cold": self.cause == BurstCause::ColdRestart,
            "writers_handshakes_in_2_s": times.len(),
            "most_in_100_ms": times.iter().map(simultaneous).max().unwrap_or(0),
            "first_p50_ms_before": before.map(|result| ms(result, 0.5)),
            "first_p99_ms_before": before.map(|result| ms(result, 0.99)),
            "first_p50_ms": ms(after, 0.5), "first_p99_ms": ms(after, 0.99),
            "failed": after.failed, "pushed_over": overloaded})
    }
}

fn run_engines(engines: Vec<(TcpListener, EngineConfig)>, record: &Recorder) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks: Vec<_> = engines
        .into_iter()
        .map(|(listener, config)| {
            let record = record.for_source(&config.id);
            executor.spawn(nickelgw_test_servers::engine::run(listener, config, record, 1))
        })
        .collect();
    smol::block_on(executor.run(async {
        for task in tasks {
            let _ = task.await;
        }
    }));
}
