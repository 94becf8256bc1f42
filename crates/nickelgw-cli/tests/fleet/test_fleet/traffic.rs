//! Open-loop clients: each sends requests to one node at a fixed rate, whether or not earlier ones have
//! ended.

use super::TestFleet;
use nickelgw_test_servers::client::{self, ChatCall};
use nickelgw_test_servers::recorder::unix_now;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Target for the time to the first token, in seconds.
const TTFT_OBJECTIVE_S: f64 = 1.0;

/// Start time and result of a request that a client has sent.
pub struct RequestOutcome {
    /// When the request was sent (Unix time).
    started_at: f64,
    result: Option<client::CallResult>,
}

/// Clients that run until they are stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<RequestOutcome>>>,
    clients: Vec<JoinHandle<()>>,
}

/// Client of one node.
struct NodeClient {
    fleet: Arc<TestFleet>,
    node: usize,
    /// Number of the run, which distinguishes the request IDs of different runs.
    run: usize,
    rate_per_s: f64,
    tenant_key: Option<&'static str>,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<RequestOutcome>>>,
}

impl TestFleet {
    /// Starts clients that send each node `rate_per_s` requests per second until they are stopped.
    pub fn start_traffic(self: &Arc<Self>, rate_per_s: f64) -> Traffic {
        self.start_tenant_traffic(rate_per_s, None)
    }

    /// Like `start_traffic`, with a tenant's key.
    pub fn start_tenant_traffic(
        self: &Arc<Self>,
        rate_per_s: f64,
        tenant_key: Option<&'static str>,
    ) -> Traffic {
        static RUNS: AtomicUsize = AtomicUsize::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let start_client = |node: usize| {
            let (fleet, stop, sent) = (self.clone(), stop.clone(), sent.clone());
            let client = NodeClient { fleet, node, run, rate_per_s, tenant_key, stop, sent };
            thread::spawn(move || client.run())
        };
        let clients = (0..self.nodes.len()).map(start_client).collect();
        Traffic { stop, sent, clients }
    }
}

impl NodeClient {
    fn run(&self) {
        let executor = smol::LocalExecutor::new();
        smol::block_on(executor.run(async {
            let mut tasks = Vec::new();
            let started_at = Instant::now();
            for number in 0.. {
                let at = Duration::from_secs_f64(f64::from(number) / self.rate_per_s);
                smol::Timer::at(started_at + at).await;
                if self.stop.load(Ordering::Relaxed) {
                    break;
                }
                tasks.push(executor.spawn(self.send(number)));
            }
            for task in tasks {
                task.await;
            }
        }));
    }

    async fn send(&self, number: i32) {
        let node = &self.fleet.nodes[self.node];
        let request = ChatCall {
            request_id: format!("q{}-{}-{number}", self.run, self.node),
            node: node.name.clone(),
            address: node.address.clone(),
            model: "chat".into(),
            api_key: self.tenant_key.map(str::to_string),
            prompt: format!("session {number} of {}: tell me more", self.node),
            stream: true,
            timeout_s: 4.0,
            ttft_target_s: TTFT_OBJECTIVE_S,
            intended_start: unix_now(),
            ..ChatCall::default()
        };
        let started_at = unix_now();
        let result = client::call(&request, &self.fleet.record).await;
        self.sent.lock().unwrap().push(RequestOutcome { started_at, result });
    }
}

impl Traffic {
    /// Stops the clients and waits until all requests have ended. Returns them sorted by start time.
    pub fn stop(self) -> Vec<RequestOutcome> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().unwrap());
        let mut sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.sort_by(|left, right| left.started_at.total_cmp(&right.started_at));
        sent
    }
}

/// Returns the share of the requests sent between two times (Unix time) that completed with their first token
/// within the target.
pub fn served_fraction(requests: &[RequestOutcome], from: f64, to: f64) -> f64 {
    let sent: Vec<_> =
        requests.iter().filter(|request| request.started_at >= from && request.started_at < to).collect();
    let is_served = |result: &client::CallResult| {
        result.outcome == "completed" && result.ttft_s.is_some_and(|ttft_s| ttft_s <= TTFT_OBJECTIVE_S)
    };
    let served = sent.iter().filter(|request| request.result.as_ref().is_some_and(is_served)).count();
    served as f64 / sent.len().max(1) as f64
}
