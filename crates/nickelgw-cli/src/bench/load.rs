//! Open-loop load: requests start at their intended times, regardless of the outcome of earlier requests.

use super::client::{BenchClient, Latency, Route};
use super::statistics::{new_histogram, quantile};
use crate::timing::sleep_s;
use hdrhistogram::Histogram;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest latency that a histogram resolves, in microseconds.
const MAX_LATENCY_US: u64 = 100_000_000;
/// Time after the last start at which requests that are still open are abandoned.
const GRACE_S: f64 = 30.0;

/// Rate and duration of a load, and the length of its responses.
#[derive(Clone, Copy)]
pub(super) struct LoadPlan {
    pub(super) rate_per_s: f64,
    pub(super) duration_s: f64,
    pub(super) output_tokens: usize,
}

/// Results of the requests of one route. Latencies are in microseconds.
pub(super) struct LoadResult {
    pub(super) first_token: Histogram<u64>,
    pub(super) total: Histogram<u64>,
    pub(super) failed: u64,
    pub(super) finished: u64,
}

impl LoadResult {
    fn new() -> LoadResult {
        LoadResult {
            first_token: new_histogram(MAX_LATENCY_US),
            total: new_histogram(MAX_LATENCY_US),
            failed: 0,
            finished: 0,
        }
    }

    fn record(&mut self, latency: Option<Latency>) {
        self.finished += 1;
        let Some(latency) = latency else {
            self.failed += 1;
            return;
        };
        self.first_token.saturating_record((latency.first_token_s * 1e6) as u64);
        self.total.saturating_record((latency.total_s * 1e6) as u64);
    }

    /// Returns a quantile of the time to the first token, in microseconds.
    pub(super) fn first_token_us(&self, at: f64) -> f64 {
        quantile(&self.first_token, at, 1.0)
    }

    /// Returns a quantile of the time to the end of the response, in microseconds.
    pub(super) fn total_us(&self, at: f64) -> f64 {
        quantile(&self.total, at, 1.0)
    }
}

/// Sends requests by each route alternately, so that the machine's state is the same for all; returns one
/// result per route.
pub(super) async fn run_load(
    executor: &Rc<LocalExecutor<'static>>,
    client: &Rc<BenchClient>,
    plan: LoadPlan,
    routes: &[Route],
) -> Vec<LoadResult> {
    let results: Vec<LoadResult> = routes.iter().map(|_| LoadResult::new()).collect();
    let results = Rc::new(RefCell::new(results));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..(plan.rate_per_s * plan.duration_s) as usize {
        let intended = began + Duration::from_secs_f64(number as f64 / plan.rate_per_s);
        smol::Timer::at(intended).await;
        let (client, results) = (client.clone(), results.clone());
        let position = number % routes.len();
        let route = routes[position];
        tasks.push(executor.spawn(async move {
            // Latency counts from the intended start, so that it includes delays of the client itself.
            let latency = client.send(route, number, plan.output_tokens, intended).await;
            results.borrow_mut()[position].record(latency);
        }));
    }
    let all_finished = async {
        for task in tasks {
            task.await;
        }
    };
    futures_lite::future::or(all_finished, sleep_s(GRACE_S)).await;
    let finished = std::mem::take(&mut *results.borrow_mut());
    finished
}

/// Sends requests by one route.
pub(super) async fn run_single_load(
    executor: &Rc<LocalExecutor<'static>>,
    client: &Rc<BenchClient>,
    plan: LoadPlan,
    route: Route,
) -> LoadResult {
    run_load(executor, client, plan, &[route]).await.pop().unwrap_or_else(LoadResult::new)
}
