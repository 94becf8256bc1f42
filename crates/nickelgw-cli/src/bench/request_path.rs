//! `nickelgw bench-path`: the cost of grants, idempotency keys, ledger and store, the memory that stalled
//! clients take, and the latency that a handover to a new process adds.

mod calls;
mod store;

use super::client::Route;
use super::fast_engine;
use super::load::{run_single_load, LoadPlan};
use super::process_fleet::{send_signal, FleetPlan, ProcessFleet, HIGH_LIMITS};
use super::statistics::{new_histogram, quantile};
use super::temporary_path;
use crate::error::CommandError;
use crate::timing::sleep_s;
use hdrhistogram::Histogram;
use nickelgw_test_servers::client;
use serde_json::json;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

type Executor = Rc<LocalExecutor<'static>>;

/// Largest time that a histogram resolves, in nanoseconds.
const MAX_TIME_NS: u64 = 60_000_000_000;
const NS_PER_US: f64 = 1e3;
const KEYED_WARM_UP: usize = 25;
const KEYED_REQUESTS: usize = 250;
const KEYED_INTERVAL_S: f64 = 0.02;
/// Interval at which clients that read nothing connect.
const STALLED_INTERVAL_S: f64 = 0.002;
/// Time until the node's buffers for clients that read nothing are full.
const STALLED_S: f64 = 6.0;
/// Size of each token in a response to a stalled client.
const PADDED_TOKEN_BYTES: usize = 8192;
const HANDOVER_RATE_PER_S: f64 = 100.0;
/// Time of the handover, from the start of the load.
const HANDOVER_AT_S: f64 = 1.0;
const ANSWER_TOKENS: usize = 20;
/// Settings of a model route whose requests must not run twice.
const BOOKING_ROUTE: &str =
    "model_route { model: 'booking' first_token_target_ms: 1000 route_timeout_ms: 5000 repeat: NON_RETRIABLE }";
/// Settings of the node that stalled clients connect to, whose stall timeout is longer than the measurement.
const STALLED_LIMITS: &str =
    "limits { most_idle_connections: 4096 client_stall_ms: 20000 most_waiting: 1024 }";

#[derive(clap::Args)]
pub struct BenchPath {
    /// Number of clients that read nothing of their streams.
    #[arg(long, default_value_t = 1000)]
    stalled: usize,
    /// Duration of each measurement under load, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
}

fn plan<'a>(name: &'a str, decode_engines: usize, node_settings: &'a str) -> FleetPlan<'a> {
    FleetPlan { name, decode_engines, engine: fast_engine(), node_settings, with_json_log: false }
}

impl BenchPath {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        calls::measure();
        store::measure(self.seconds)?;
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.run(self.measure_fleets(executor.clone())))?;
        Ok(ExitCode::SUCCESS)
    }

    async fn measure_fleets(&self, executor: Executor) -> Result<(), CommandError> {
        measure_keyed_requests(&executor).await?;
        self.measure_stalled_clients(&executor).await?;
        println!("a handover, 100 requests a second of 20 tokens, first token from the intended start:");
        for with_handover in [false, true] {
            self.measure_handover(&executor, with_handover).await?;
        }
        Ok(())
    }

    async fn measure_stalled_clients(&self, executor: &Executor) -> Result<(), CommandError> {
        let fleet = ProcessFleet::start(executor, plan("stalled", 4, STALLED_LIMITS)).await?;
        let warm_up = LoadPlan { rate_per_s: 200.0, duration_s: 2.0, output_tokens: ANSWER_TOKENS };
        run_single_load(executor, &fleet.client, warm_up, Route::ThroughNode).await;
        for engine in &fleet.client.decode_engines {
            client::control(&engine.address, &json!({"fault": "pad", "bytes": PADDED_TOKEN_BYTES})).await;
        }
        let before_kib = fleet.node_use().memory_kib;
        let clients = connect_stalled_clients(&fleet.client.node, self.stalled).await?;
        sleep_s(STALLED_S).await;
        let held_kib = fleet.node_use().memory_kib - before_kib;
        println!(
            "{} clients that take nothing, answers of 1.6 MB: {:.0} KiB of the node's memory each ({:.0} MiB in all)",
            self.stalled,
            held_kib / self.stalled.max(1) as f64,
            held_kib / 1024.0
        );
        drop(clients);
        fleet.shut_down().await;
        Ok(())
    }

    async fn measure_handover(&self, executor: &Executor, with_handover: bool) -> Result<(), CommandError> {
        let settings = format!("{HIGH_LIMITS} leaving {{ notice_ms: 500 grace_ms: 5000 }}");
        let plan = FleetPlan { with_json_log: true, ..plan("over", 2, &settings) };
        let fleet = ProcessFleet::start(executor, plan).await?;
        let mut load =
            LoadPlan { rate_per_s: HANDOVER_RATE_PER_S, duration_s: 1.0, output_tokens: ANSWER_TOKENS };
        run_single_load(executor, &fleet.client, load, Route::ThroughNode).await;
        let process = fleet.node.id();
        let handover = executor.spawn(async move {
            sleep_s(HANDOVER_AT_S).await;
            if with_handover {
                send_signal("HUP", process).await;
            }
        });
        load.duration_s = self.seconds;
        let result = run_single_load(executor, &fleet.client, load, Route::ThroughNode).await;
        handover.await;
        println!(
            "  {}: p50 {:.0} us, p99 {:.0} us, longest {:.0} us, failed {}",
            if with_handover { "taken over" } else { "left alone" },
            result.first_token_us(0.5),
            result.first_token_us(0.99),
            result.first_token_us(1.0),
            result.failed
        );
        if let Some(successor) = successor_process(&fleet.log()) {
            send_signal("TERM", successor).await;
        }
        fleet.shut_down().await;
        Ok(())
    }
}

/// Returns the id of the new process after a handover. It is not a child of this process, but the log of its
/// predecessor has its id.
fn successor_process(log: &str) -> Option<u32> {
    log.lines().rev().find_map(|line| {
        let event: serde_json::Value = serde_json::from_str(line).ok()?;
        u32::try_from(event["process"].as_u64()?).ok()
    })
}

/// Connects clients that send a request and read nothing of the response.
async fn connect_stalled_clients(node: &str, count: usize) -> std::io::Result<Vec<TcpStream>> {
    let body = json!({"model": "chat", "stream": true, "max_tokens": 200,
        "messages": [{"role": "user", "content": "hi"}]})
    .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut client = TcpStream::connect(node).await?;
        client.write_all(request.as_bytes()).await?;
        clients.push(client);
        sleep_s(STALLED_INTERVAL_S).await;
    }
    Ok(clients)
}

async fn measure_keyed_requests(executor: &Executor) -> Result<(), CommandError> {
    println!("a keyed request that may not run twice, 50 a second, whole answer of one token:");
    let store = temporary_path("kept");
    let store_setting = format!("store: '{}'", store.display());
    for (name, setting) in [("without a store", ""), ("with a store", store_setting.as_str())] {
        let settings = format!("{HIGH_LIMITS} {BOOKING_ROUTE} {setting}");
        let fleet = ProcessFleet::start(executor, plan("keyed", 2, &settings)).await?;
        send_keyed_requests(&fleet.client.node, KEYED_WARM_UP).await;
        let times = send_keyed_requests(&fleet.client.node, KEYED_REQUESTS).await;
        let us = |at| quantile(&times, at, NS_PER_US);
        println!("  {name:<16} p50 {:.0} us, p99 {:.0} us, of {}", us(0.5), us(0.99), times.len());
        fleet.shut_down().await;
    }
    let _ = std::fs::remove_file(store);
    Ok(())
}

/// Sends requests that must not run twice, each under an idempotency key of its own; returns the times to the
/// end of their responses, in nanoseconds.
async fn send_keyed_requests(node: &str, count: usize) -> Histogram<u64> {
    let mut times = new_histogram(MAX_TIME_NS);
    let body = json!({"model": "booking", "max_tokens": 1, "messages": [{"role": "user", "content": "pay"}]})
        .to_string();
    for number in 0..count {
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: k{number}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let began = Instant::now();
        let answer = client::send_raw(node, &[request.as_bytes()], 0.0, 5.0).await;
        if client::response_status(&answer) == 200 {
            times.saturating_record(began.elapsed().as_nanos() as u64);
        }
        sleep_s(KEYED_INTERVAL_S - began.elapsed().as_secs_f64()).await;
    }
    times
}
