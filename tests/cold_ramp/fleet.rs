//! A simulated fleet: nodes, engines that start one after another, and clients.

use crate::common::{deployment, EventQueue, INITIAL_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S, WARMUP_S};
use crate::scenario::Scenario;
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Number of engines of each role.
const ENGINES_PER_ROLE: usize = 20;
/// Requests per second that a warm engine can serve.
const CAPACITY_PER_S: f64 = 5.0;
/// Number of engines of each role that restart, one after another.
const RESTARTED_ENGINES: usize = 12;
/// Duration of a stream.
const STREAM_S: f64 = 1.5;
/// Number of concurrent streams of a decode engine, which gives it the capacity above.
const SLOTS: f64 = CAPACITY_PER_S * STREAM_S;
/// When the first engine restarts.
const FIRST_START_S: f64 = 4.0;
/// Time between the restarts of two engines of a role.
const START_INTERVAL_S: f64 = 0.25;
/// End of the simulation.
const END_S: f64 = 16.0;

#[derive(Clone, Copy)]
struct DispatchedAttempt {
    request: RequestHandle,
    /// Number of the attempt within its request.
    number: u32,
    engine: usize,
    dispatched_at: f64,
    /// Number of the attempt within the run.
    serial: u64,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival {
        retries: u32,
    },
    Wake,
    /// The node is told that this engine has restarted.
    StartObserved(usize),
    NodeRestart,
    Probed(usize),
    Prefilled(DispatchedAttempt),
    FirstToken(DispatchedAttempt),
    Completed(DispatchedAttempt),
    Failed(DispatchedAttempt),
    Cancelled(DispatchedAttempt),
    Rejected(DispatchedAttempt),
}

struct Node {
    router: Router,
    process: u32,
    /// For each engine, whether the node knows of its restart.
    observed_starts: Vec<bool>,
    /// Attempts of each open request, by its handle.
    attempts: BTreeMap<u32, Vec<DispatchedAttempt>>,
    /// Number of retries by the client before each request, by the request's handle.
    retries: BTreeMap<u32, u32>,
    wake_at: f64,
}

struct Engine {
    started_at: f64,
    in_flight: u32,
    /// Times of the calls from nodes that knew of its restart.
    calls: Vec<f64>,
}

pub struct Fleet {
    scenario: Scenario,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// Events with the node and the process of the node that they are for.
    events: EventQueue<(usize, u32, Event)>,
    /// Number of attempts so far.
    attempt_count: u64,
    /// Serial numbers of the attempts that have not ended.
    open_attempts: BTreeSet<u64>,
    random: WyRand,
    served: u32,
}

fn is_restarted(engine: usize) -> bool {
    engine % ENGINES_PER_ROLE < RESTARTED_ENGINES
}

fn role(engine: usize) -> EngineRole {
    if engine < ENGINES_PER_ROLE {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    }
}

/// Returns an engine's id. A restarted engine replaces one with another id.
fn id(engine: usize, is_new_process: bool) -> String {
    format!("{engine}{}", if is_new_process { "+" } else { "" })
}

impl Fleet {
    pub fn new(nodes: usize, scenario: Scenario, seed: u64) -> Fleet {
        let start = |engine: usize| {
            if is_restarted(engine) {
                FIRST_START_S + START_INTERVAL_S * (engine % ENGINES_PER_ROLE) as f64
            } else {
                f64::NEG_INFINITY
            }
        };
        let node = |_| Node {
            router: Router::default(),
            process: 0,
            observed_starts: Vec::new(),
            attempts: BTreeMap::new(),
            retries: BTreeMap::new(),
            wake_at: f64::INFINITY,
        };
        let mut fleet = Fleet {
            scenario,
            nodes: (0..nodes).map(node).collect(),
            engines: (0..2 * ENGINES_PER_ROLE)
                .map(|engine| Engine { started_at: start(engine), in_flight: 0, calls: Vec::new() })
                .collect(),
            events: EventQueue::new(),
            attempt_count: 0,
            open_attempts: BTreeSet::new(),
            random: WyRand::new_seed(seed),
            served: 0,
        };
        for node_index in 0..nodes {
            fleet.start_process(0.0, node_index);
            let at = fleet.mean_arrival_gap_s(node_index) * fleet.random_fraction();
            fleet.schedule(at, node_index, Event::Arrival { retries: 0 });
            if scenario.restarts && node_index % 10 < 7 {
                let at = FIRST_START_S + 1.0 + 2.0 * fleet.random_fraction();
                fleet.schedule(at, node_index, Event::NodeRestart);
            }
        }
        fleet
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Returns the mean time between arrivals at a node, in seconds.
    fn mean_arrival_gap_s(&self, node_index: usize) -> f64 {
        let weight =
            |node_index: usize| if self.scenario.uneven && node_index.is_multiple_of(10) { 6.0 } else { 1.0 };
        let all: f64 = (0..self.nodes.len()).map(weight).sum();
        let load = if self.scenario.retry_storm { 2.0 } else { 0.6 };
        all / weight(node_index) / (load * CAPACITY_PER_S * ENGINES_PER_ROLE as f64)
    }

    fn schedule(&mut self, at: f64, node: usize, event: Event) {
        let process = self.nodes[node].process;
        self.events.schedule(at, (node, process, event));
    }

    /// Starts a process of this node, which knows of all restarts so far.
    fn start_process(&mut self, now: f64, node_index: usize) {
        let route = ModelRoute {
            ttft_objective_s: 1.0,
            ttft_objective_per_token_s: 1e-5,
            tpot_objective_s: 0.06,
            idempotency: Idempotency::Idempotent,
        };
        let seed = self.random.generate();
        let deployment_settings = Deployment {
            tenant_quotas: if self.scenario.quotas {
                vec![0.8 * CAPACITY_PER_S * ENGINES_PER_ROLE as f64]
            } else {
                Vec::new()
            },
            ..deployment(node_index, self.nodes.len(), seed, vec![route], self.scenario.probes)
        };
        let observed_starts = self.engines.iter().map(|engine| engine.started_at <= now).collect();
        let node = &mut self.nodes[node_index];
        (node.router, node.observed_starts, node.wake_at) =
            (Router::new(deployment_settings), observed_starts, f64::INFINITY);
        (node.attempts, node.retries) = (BTreeMap::new(), BTreeMap::new());
        self.update_endpoints(now, node_index);
        let upcoming: Vec<usize> =
            (0..2 * ENGINES_PER_ROLE).filter(|&engine| self.engines[engine].started_at > now).collect();
        for engine in upcoming {
            let delay_s = if self.scenario.delayed_lists { 2.0 * self.random_fraction() } else { 0.01 };
            self.schedule(
                self.engines[engine].started_at + delay_s,
                node_index,
                Event::StartObserved(engine),
            );
        }
    }

    fn update_endpoints(&mut self, now: f64, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let entry = |engine: usize| EngineEntry {
            id: id(engine, is_restarted(engine) && node.observed_starts[engine]),
            zone: 0,
            cell: (engine % 4) as u32,
            role: role(engine),
            memory_tokens: 300_000.0,
            lifecycle: Lifecycle::Active,
            started_at: Some(self.engines[engine].started_at)
                .filter(|started_at| started_at.is_finite() && node.observed_starts[engine]),
        };
        let entries: Vec<EngineEntry> = (0..2 * ENGINES_PER_ROLE).map(entry).collect();
        node.router.update_endpoints(now, &entries, true);
    }

    /// Returns the engine that a call reaches, and counts the call if the node knows of the engine's restart.
    fn call(&mut self, now: f64, node_index: usize, engine: EngineHandle) -> usize {
        let name = self.nodes[node_index].router.engine_id(engine).to_string();
        let engine: usize = name.trim_end_matches('+').parse().unwrap();
        if name.ends_with('+') {
            self.engines[engine].calls.push(now);
        }
        engine
    }

    fn load(&self, engine: usize) -> Option<EngineLoad> {
        let in_flight = f64::from(self.engines[engine].in_flight);
        let slots = if role(engine) == EngineRole::Prefill { 32.0 } else { SLOTS };
        Some(EngineLoad {
            memory_share: Some((in_flight / slots).min(1.0)),
            inflight: Some(in_flight),
            ..EngineLoad::default()
        })
    }

    fn carry_out_decisions(&mut self, now: f64, node_index: usize) {
        let decisions = self.nodes[node_index].router.decide(now);
        for &(request, attempt) in &decisions.cancelled {
            let dispatched = self.nodes[node_index].attempts[&request.0][attempt as usize];
            self.schedule(now, node_index, Event::Cancelled(dispatched));
        }
        for dispatch in &decisions.dispatches {
            self.dispatch(now, node_index, dispatch);
        }
        for engine in &decisions.probes {
            let engine = self.call(now, node_index, *engine);
            self.schedule(now + 0.004, node_index, Event::Probed(engine));
        }
        for &(request, _) in &decisions.rejected {
            let retries = self.nodes[node_index].retries.get(&request.0).copied().unwrap_or(0);
            if self.scenario.retry_storm && retries < 3 {
                self.schedule(now + 0.01, node_index, Event::Arrival { retries: retries + 1 });
            }
        }
        for request in &decisions.closed {
            self.nodes[node_index].attempts.remove(&request.0);
        }
        if let Some(at) = decisions.wake_at {
            let at = at.max(now + 0.004);
            if at < self.nodes[node_index].wake_at {
                self.nodes[node_index].wake_at = at;
                self.schedule(at, node_index, Event::Wake);
            }
        }
    }

    fn dispatch(&mut self, now: f64, node_index: usize, dispatch: &Dispatch) {
        let engine = self.call(now, node_index, dispatch.engine);
        self.attempt_count += 1;
        let serial = self.attempt_count;
        self.open_attempts.insert(serial);
        let attempts = self.nodes[node_index].attempts.entry(dispatch.request.0).or_default();
        let dispatched = DispatchedAttempt {
            request: dispatch.request,
            number: attempts.len() as u32,
            engine,
            dispatched_at: now,
            serial,
        };
        attempts.push(dispatched);
        let ahead = f64::from(self.engines[engine].in_flight);
        self.engines[engine].in_flight += 1;
        if self.scenario.errors && self.random_fraction() < 0.2 {
            self.schedule(now + 0.02, node_index, Event::Failed(dispatched));
        } else if role(engine) == EngineRole::Decode && ahead >= SLOTS {
            self.schedule(now + 0.01, node_index, Event::Rejected(dispatched));
        } else if role(engine) == EngineRole::Prefill {
            self.schedule(now + (1.0 + ahead) / CAPACITY_PER_S, node_index, Event::Prefilled(dispatched));
        } else {
            self.schedule(now + 0.05, node_index, Event::FirstToken(dispatched));
        }
    }

    fn finish_attempt(
        &mut self,
        now: f64,
        node_index: usize,
        dispatched: DispatchedAttempt,
        outcome: Outcome,
    ) {
        if !self.open_attempts.remove(&dispatched.serial) {
            return;
        }
        self.engines[dispatched.engine].in_flight -= 1;
        let attempt_end = AttemptEnd {
            outcome,
            elapsed_s: now - dispatched.dispatched_at,
            request_finished: false,
            cached_tokens: 0.0,
            reservation_missing: false,
        };
        let load = self.load(dispatched.engine);
        self.nodes[node_index].router.attempt_finished(
            now,
            dispatched.request,
            dispatched.number,
            attempt_end,
            load,
        );
    }

    fn arrive(&mut self, now: f64, node_index: usize, retries: u32) {
        if retries == 0 {
            let next =
                now - self.mean_arrival_gap_s(node_index) * (1.0 - self.random_fraction()).max(1e-9).ln();
            self.schedule(next, node_index, Event::Arrival { retries: 0 });
        }
        let (text, session) = (self.random.generate_range(0..40u32), self.random.generate::<u64>());
        let incoming = IncomingRequest {
            route: 0,
            tenant: self.scenario.quotas.then_some(0),
            arrived_at: now,
            deadline: now + 4.0,
            prompt_tokens: 3000.0,
            prefix_tokens: 2000.0,
            session: session.to_string(),
            prefix: Some(format!("text {text}")),
            is_background: false,
        };
        let request = self.nodes[node_index].router.admit_request(now, &incoming);
        self.nodes[node_index].retries.insert(request.0, retries);
    }

    /// Runs the scenario. Returns the largest load of a warming engine as a share of its limit, and the
    /// number of requests served.
    pub fn run(mut self) -> (f64, u32) {
        while let Some((now, (node_index, process, event))) = self.events.next() {
            if now > END_S {
                break;
            }
            if process == self.nodes[node_index].process {
                self.handle(now, node_index, event);
                self.carry_out_decisions(now, node_index);
            } else {
                self.handle_after_process_end(now, node_index, event);
            }
        }
        (self.largest_share(), self.served)
    }

    /// Handles an event of a process that has ended: its attempts still end at the engines, and its clients'
    /// arrivals continue at the next process.
    fn handle_after_process_end(&mut self, now: f64, node_index: usize, event: Event) {
        match event {
            Event::Prefilled(dispatched)
            | Event::FirstToken(dispatched)
            | Event::Completed(dispatched)
            | Event::Failed(dispatched)
            | Event::Rejected(dispatched) => {
                self.engines[dispatched.engine].in_flight -=
                    u32::from(self.open_attempts.remove(&dispatched.serial));
            }
            Event::Arrival { retries: 0 } => self.schedule(now, node_index, Event::Arrival { retries: 0 }),
            _ => {}
        }
    }

    fn handle(&mut self, now: f64, node_index: usize, event: Event) {
        match event {
            Event::Arrival { retries } => self.arrive(now, node_index, retries),
            Event::Wake => self.nodes[node_index].wake_at = f64::INFINITY,
            Event::StartObserved(engine) => {
                self.nodes[node_index].observed_starts[engine] = true;
                self.update_endpoints(now, node_index);
            }
            Event::NodeRestart => {
                self.nodes[node_index].process += 1;
                self.start_process(now, node_index);
            }
            Event::Probed(engine) => {
                let name = id(engine, is_restarted(engine) && self.nodes[node_index].observed_starts[engine]);
                let load = self.load(engine);
                self.nodes[node_index].router.probe_finished(now, &name, Outcome::Completed, load);
            }
            Event::Prefilled(dispatched) => {
                self.finish_attempt(now, node_index, dispatched, Outcome::Prefilled)
            }
            Event::FirstToken(dispatched) if self.open_attempts.contains(&dispatched.serial) => {
                self.nodes[node_index].router.first_token(now, dispatched.request, dispatched.number);
                self.schedule(now + STREAM_S, node_index, Event::Completed(dispatched));
            }
            Event::Completed(dispatched) => {
                self.served += u32::from(self.open_attempts.contains(&dispatched.serial));
                self.finish_attempt(now, node_index, dispatched, Outcome::Completed);
            }
            Event::Failed(dispatched) => {
                self.finish_attempt(now, node_index, dispatched, Outcome::EngineError)
            }
            Event::Rejected(dispatched) => {
                self.finish_attempt(now, node_index, dispatched, Outcome::Rejected)
            }
            Event::Cancelled(dispatched) => {
                self.finish_attempt(now, node_index, dispatched, Outcome::Cancelled)
            }
            Event::FirstToken(_) => {}
        }
    }

    /// Returns the largest load of a warming engine in any window, as a share of its limit.
    fn largest_share(&self) -> f64 {
        let mut largest: f64 = 0.0;
        for engine in self.engines.iter().filter(|engine| engine.started_at.is_finite()) {
            let is_warming = |call: &(usize, &f64)| *call.1 < engine.started_at + WARMUP_S;
            for (index, &at) in engine.calls.iter().enumerate().filter(is_warming) {
                let in_window = |&&call: &&f64| call > at - OVERLOAD_WINDOW_S;
                let within = engine.calls[..=index].iter().filter(in_window).count() as f64;
                let age = (at - engine.started_at) / WARMUP_S;
                let warmup = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age.powi(2);
                let budget = OVERLOAD_MULTIPLE * warmup * CAPACITY_PER_S * OVERLOAD_WINDOW_S;
                largest = largest.max(within / (budget + 2.0 * budget.sqrt() + 2.0));
            }
        }
        largest
    }
}
