//! `nickelgw bench`: what the node adds, compared with direct calls of the same engines by the same client in
//! one run.

use super::client::Route;
use super::fast_engine;
use super::load::{run_load, run_single_load, LoadPlan, LoadResult};
use super::process_fleet::{FleetPlan, ProcessFleet, HIGH_LIMITS};
use super::statistics::Summary;
use crate::error::CommandError;
use crate::timing::sleep_s;
use nickelgw_test_servers::engine_config::EngineConfig;
use serde_json::{json, Value};
use smol::LocalExecutor;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

type Executor = Rc<LocalExecutor<'static>>;

/// Rates at which the node is measured, in this order, until its latency doubles.
const RATES_PER_S: [f64; 9] = [250.0, 500.0, 1000.0, 1500.0, 2000.0, 2500.0, 3000.0, 4000.0, 5000.0];
/// Time between tokens of the streams that are held open.
const SLOW_STEP_S: f64 = 2.0;
/// Rate at which streams are opened for the memory figure.
const STREAMS_PER_S: f64 = 1000.0;
/// Time from the opening of the last stream to the reading of the node's memory, by which each stream has its
/// first token and none has ended.
const STREAMS_OPEN_S: f64 = 5.0;
const LONG_ANSWER_TOKENS: usize = 20;
const SHORT_ANSWER_TOKENS: usize = 4;
/// Rate of the comparison, both routes together.
const COMPARED_RATE_PER_S: f64 = 200.0;

#[derive(clap::Args)]
pub struct Bench {
    /// Duration of the load for each measured point, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Number of runs of the comparison, over which medians and spread are taken.
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// Streams held open for the memory figure; each takes two file descriptors of the node.
    #[arg(long, default_value_t = 8000)]
    streams: usize,
    /// File to which the figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Latency that the node adds in one run, as the difference between the two routes, in microseconds.
struct AddedLatency {
    first_p50: f64,
    first_p99: f64,
    total_p50: f64,
    total_p99: f64,
}

/// Selects one of the differences.
type Column = fn(&AddedLatency) -> f64;

impl AddedLatency {
    fn between(through: &LoadResult, direct: &LoadResult) -> AddedLatency {
        let first = |quantile| through.first_token_us(quantile) - direct.first_token_us(quantile);
        let total = |quantile| through.total_us(quantile) - direct.total_us(quantile);
        AddedLatency {
            first_p50: first(0.5),
            first_p99: first(0.99),
            total_p50: total(0.5),
            total_p99: total(0.99),
        }
    }
}

/// Measurement at one rate.
struct RatePoint {
    rate_per_s: f64,
    first_p50_us: f64,
    first_p99_us: f64,
    failed: u64,
    /// Share of a core that the node used.
    core_share: f64,
    cpu_us_per_request: f64,
}

impl RatePoint {
    fn print(&self) {
        println!(
            "  {:>6}/s: first p50 {:.0} us, p99 {:.0} us, failed {}, node {:.0}% of a core, \
             {:.0} us a request",
            self.rate_per_s,
            self.first_p50_us,
            self.first_p99_us,
            self.failed,
            100.0 * self.core_share,
            self.cpu_us_per_request
        );
    }

    fn json(&self) -> Value {
        json!({"rate": self.rate_per_s, "first_p50_us": self.first_p50_us, "first_p99_us": self.first_p99_us,
            "failed": self.failed, "core": self.core_share, "us_each": self.cpu_us_per_request})
    }
}

fn plan<'a>(name: &'a str, decode_engines: usize, engine: EngineConfig) -> FleetPlan<'a> {
    FleetPlan { name, decode_engines, engine, node_settings: HIGH_LIMITS, with_json_log: false }
}

/// Opens connections and fills caches before a measurement.
async fn warm_up(executor: &Executor, fleet: &ProcessFleet, output_tokens: usize, routes: &[Route]) {
    let plan = LoadPlan { rate_per_s: COMPARED_RATE_PER_S, duration_s: 1.0, output_tokens };
    run_load(executor, &fleet.client, plan, routes).await;
}

impl Bench {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let executor = Rc::new(LocalExecutor::new());
        let results = smol::block_on(executor.run(self.measure(executor.clone())))?;
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(&results)?)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self, executor: Executor) -> Result<Value, CommandError> {
        let mut results = json!({});
        self.measure_added_latency(&executor, &mut results).await?;
        self.measure_rates(&executor, &mut results).await?;
        self.measure_memory(&executor, &mut results).await?;
        Ok(results)
    }

    async fn measure_added_latency(
        &self,
        executor: &Executor,
        results: &mut Value,
    ) -> Result<(), CommandError> {
        let fleet = ProcessFleet::start(executor, plan("added", 2, fast_engine())).await?;
        let routes = [Route::ThroughNode, Route::Direct];
        warm_up(executor, &fleet, LONG_ANSWER_TOKENS, &routes).await;
        println!("added by the node, 100 requests a second each way, 20 tokens, {} runs:", self.runs);
        let load = LoadPlan {
            rate_per_s: COMPARED_RATE_PER_S,
            duration_s: self.seconds,
            output_tokens: LONG_ANSWER_TOKENS,
        };
        let mut runs: Vec<AddedLatency> = Vec::new();
        for _ in 0..self.runs {
            let results = run_load(executor, &fleet.client, load, &routes).await;
            let [through, direct] = &results[..] else { continue };
            runs.push(AddedLatency::between(through, direct));
            print_comparison(through, direct);
        }
        let columns: [(&str, Column); 4] = [
            ("first_p50", |run| run.first_p50),
            ("first_p99", |run| run.first_p99),
            ("whole_p50", |run| run.total_p50),
            ("whole_p99", |run| run.total_p99),
        ];
        for (name, column) in columns {
            let Summary { median, min, max } = Summary::of(runs.iter().map(column).collect());
            println!("  added to {name}: {median:.0} us (runs {min:.0} to {max:.0})");
            results["added_us"][name] = json!([median, min, max]);
        }
        results["meter_quiet"] = fleet.shut_down().await;
        println!("  in the node: {}", results["meter_quiet"]);
        Ok(())
    }

    async fn measure_rates(&self, executor: &Executor, results: &mut Value) -> Result<(), CommandError> {
        println!("rate on one core, 4 tokens an answer, until the first token's p99 doubles:");
        let fleet = ProcessFleet::start(executor, plan("rate", 2, fast_engine())).await?;
        warm_up(executor, &fleet, SHORT_ANSWER_TOKENS, &[Route::ThroughNode]).await;
        let (mut unloaded_p99_us, mut rates) = (0.0, Vec::new());
        for rate_per_s in RATES_PER_S {
            let point = self.measure_rate(executor, &fleet, rate_per_s).await;
            if unloaded_p99_us == 0.0 {
                unloaded_p99_us = point.first_p99_us;
            }
            point.print();
            rates.push(point.json());
            if point.first_p99_us > 2.0 * unloaded_p99_us || point.failed > 0 {
                break;
            }
            results["rate_kept"] = json!(rate_per_s);
        }
        results["rates"] = json!(rates);
        results["meter_rate"] = fleet.shut_down().await;
        println!("  in the node: {}", results["meter_rate"]);
        Ok(())
    }

    async fn measure_rate(&self, executor: &Executor, fleet: &ProcessFleet, rate_per_s: f64) -> RatePoint {
        let cpu_before_s = fleet.node_use().cpu_s;
        let began = Instant::now();
        let load = LoadPlan { rate_per_s, duration_s: self.seconds, output_tokens: SHORT_ANSWER_TOKENS };
        let result = run_single_load(executor, &fleet.client, load, Route::ThroughNode).await;
        let cpu_s = fleet.node_use().cpu_s - cpu_before_s;
        RatePoint {
            rate_per_s,
            first_p50_us: result.first_token_us(0.5),
            first_p99_us: result.first_token_us(0.99),
            failed: result.failed,
            core_share: cpu_s / began.elapsed().as_secs_f64(),
            cpu_us_per_request: 1e6 * cpu_s / result.finished.max(1) as f64,
        }
    }

    async fn measure_memory(&self, executor: &Executor, results: &mut Value) -> Result<(), CommandError> {
        println!("memory for open streams:");
        let slow_engine = EngineConfig { decode_step_s: SLOW_STEP_S, ..fast_engine() };
        let fleet = ProcessFleet::start(executor, plan("memory", 4, slow_engine)).await?;
        let empty_kib = fleet.node_use().memory_kib;
        let began = Instant::now();
        let mut streams = Vec::new();
        for number in 0..self.streams {
            let at = Duration::from_secs_f64(number as f64 / STREAMS_PER_S);
            smol::Timer::at(began + at).await;
            let client = fleet.client.clone();
            streams.push(executor.spawn(async move {
                client.send(Route::ThroughNode, number, LONG_ANSWER_TOKENS, Instant::now()).await
            }));
        }
        sleep_s(STREAMS_OPEN_S).await;
        let full_kib = fleet.node_use().memory_kib;
        let open = streams.iter().filter(|stream| !stream.is_finished()).count();
        let kib_per_stream = (full_kib - empty_kib) / open.max(1) as f64;
        println!(
            "  {open} streams open: {full_kib:.0} KiB, empty {empty_kib:.0} KiB, {kib_per_stream:.1} KiB a stream"
        );
        results["memory"] = json!({"streams": open, "kib_each": kib_per_stream, "kib_empty": empty_kib,
            "kib_full": full_kib});
        drop(streams);
        fleet.shut_down().await;
        Ok(())
    }
}

fn print_comparison(through: &LoadResult, direct: &LoadResult) {
    let columns =
        |result: &LoadResult| [result.first_token_us(0.5), result.first_token_us(0.99), result.total_us(0.5)];
    println!(
        "  through {:?} us, direct {:?} us (first p50, p99, whole p50), failed {}",
        columns(through),
        columns(direct),
        through.failed + direct.failed
    );
}
