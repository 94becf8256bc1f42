//! A simulated fleet: nodes, engines that start one after another, and clients.

use crate::common::{deployment, EventQueue, INITIAL_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S, WARMUP_S};
use crate::scenario::Scenario;
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Engines of each role, and requests a second that a warm one can serve.
const ENGINES_PER_ROLE: usize = 20;
const CAPACITY_PER_S: f64 = 5.0;
/// Of each role so many restart, one after another.
const RESTARTED_ENGINES: usize = 12;
/// Duration of a stream, and how many streams a decode engine holds: they make up its capacity.
const STREAM_S: f64 = 1.5;
const SLOTS: f64 = CAPACITY_PER_S * STREAM_S;
const FIRST_START_S: f64 = 4.0;
const START_INTERVAL_S: f64 = 0.25;
const END_S: f64 = 16.0;

#[derive(Clone, Copy)]
struct DispatchedAttempt {
    request: RequestHandle,
    attempt: u32,
    engine: usize,
    dispatched_at: f64,
    serial: u64,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival {
        retries: u32,
    },
    Wake,
    /// The node learns that this engine has started.
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
    /// The engines whose starts it knows of.
    observed_starts: Vec<bool>,
    /// The attempts of each request.
    attempts: BTreeMap<u32, Vec<DispatchedAttempt>>,
    retries: BTreeMap<u32, u32>,
    wake_at: f64,
}

struct Engine {
    started_at: f64,
    in_flight: u32,
    /// When it was called by a node that knew of its start.
    calls: Vec<f64>,
}

pub struct Fleet {
    scenario: Scenario,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// For which node, and which of its processes.
    events: EventQueue<(usize, u32, Event)>,
    /// Attempts so far.
    attempt_count: u64,
    /// Attempts without an ending.
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

/// An engine that starts replaces one that was there before.
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
        for n in 0..nodes {
            fleet.start_process(0.0, n);
            let at = fleet.mean_arrival_gap_s(n) * fleet.random_fraction();
            fleet.schedule(at, n, Event::Arrival { retries: 0 });
            if scenario.restarts && n % 10 < 7 {
                let at = FIRST_START_S + 1.0 + 2.0 * fleet.random_fraction();
                fleet.schedule(at, n, Event::NodeRestart);
            }
        }
        fleet
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Mean time between a node's arrivals.
    fn mean_arrival_gap_s(&self, n: usize) -> f64 {
        let weight = |n: usize| if self.scenario.uneven && n.is_multiple_of(10) { 6.0 } else { 1.0 };
        let all: f64 = (0..self.nodes.len()).map(weight).sum();
        let load = if self.scenario.retry_storm { 2.0 } else { 0.6 };
        all / weight(n) / (load * CAPACITY_PER_S * ENGINES_PER_ROLE as f64)
    }

    fn schedule(&mut self, at: f64, node: usize, event: Event) {
        let process = self.nodes[node].process;
        self.events.schedule(at, (node, process, event));
    }

    /// A process of this node begins; it knows what has started so far.
    fn start_process(&mut self, now: f64, n: usize) {
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
            ..deployment(n, self.nodes.len(), seed, vec![route], self.scenario.probes)
        };
        let observed_starts = self.engines.iter().map(|engine| engine.started_at <= now).collect();
        let node = &mut self.nodes[n];
        (node.router, node.observed_starts, node.wake_at) =
            (Router::new(deployment_settings), observed_starts, f64::INFINITY);
        (node.attempts, node.retries) = (BTreeMap::new(), BTreeMap::new());
        self.update_endpoints(now, n);
        let upcoming: Vec<usize> =
            (0..2 * ENGINES_PER_ROLE).filter(|&engine| self.engines[engine].started_at > now).collect();
        for engine in upcoming {
            let delay_s = if self.scenario.delayed_lists { 2.0 * self.random_fraction() } else { 0.01 };
            self.schedule(self.engines[engine].started_at + delay_s, n, Event::StartObserved(engine));
        }
    }

    fn update_endpoints(&mut self, now: f64, n: usize) {
        let node = &mut self.nodes[n];
        let line = |engine: usize| EngineEntry {
            id: id(engine, is_restarted(engine) && node.observed_starts[engine]),
            zone: 0,
            cell: (engine % 4) as u32,
            role: role(engine),
            memory_tokens: 300_000.0,
            lifecycle: Lifecycle::Active,
            started_at: Some(self.engines[engine].started_at)
                .filter(|s| s.is_finite() && node.observed_starts[engine]),
        };
        let lines: Vec<EngineEntry> = (0..2 * ENGINES_PER_ROLE).map(line).collect();
        node.router.update_endpoints(now, &lines, true);
    }

    /// A call reaches an engine. It counts where the node knows of the start.
    fn call(&mut self, now: f64, n: usize, engine: EngineHandle) -> usize {
        let name = self.nodes[n].router.engine_id(engine).to_string();
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

    fn carry_out_decisions(&mut self, now: f64, n: usize) {
        let decisions = self.nodes[n].router.decide(now);
        for &(request, attempt) in &decisions.cancelled {
            let dispatched = self.nodes[n].attempts[&request.0][attempt as usize];
            self.schedule(now, n, Event::Cancelled(dispatched));
        }
        for dispatch in &decisions.dispatches {
            self.dispatch(now, n, dispatch);
        }
        for engine in &decisions.probes {
            let engine = self.call(now, n, *engine);
            self.schedule(now + 0.004, n, Event::Probed(engine));
        }
        for &(request, _) in &decisions.rejected {
            let retries = self.nodes[n].retries.get(&request.0).copied().unwrap_or(0);
            if self.scenario.retry_storm && retries < 3 {
                self.schedule(now + 0.01, n, Event::Arrival { retries: retries + 1 });
            }
        }
        for request in &decisions.closed {
            self.nodes[n].attempts.remove(&request.0);
        }
        if let Some(at) = decisions.wake_at {
            let at = at.max(now + 0.004);
            if at < self.nodes[n].wake_at {
                self.nodes[n].wake_at = at;
                self.schedule(at, n, Event::Wake);
            }
        }
    }

    fn dispatch(&mut self, now: f64, n: usize, dispatch: &Dispatch) {
        let engine = self.call(now, n, dispatch.engine);
        self.attempt_count += 1;
        let serial = self.attempt_count;
        self.open_attempts.insert(serial);
        let attempts = self.nodes[n].attempts.entry(dispatch.request.0).or_default();
        let dispatched = DispatchedAttempt {
            request: dispatch.request,
            attempt: attempts.len() as u32,
            engine,
            dispatched_at: now,
            serial,
        };
        attempts.push(dispatched);
        let ahead = f64::from(self.engines[engine].in_flight);
        self.engines[engine].in_flight += 1;
        if self.scenario.errors && self.random_fraction() < 0.2 {
            self.schedule(now + 0.02, n, Event::Failed(dispatched));
        } else if role(engine) == EngineRole::Decode && ahead >= SLOTS {
            self.schedule(now + 0.01, n, Event::Rejected(dispatched));
        } else if role(engine) == EngineRole::Prefill {
            self.schedule(now + (1.0 + ahead) / CAPACITY_PER_S, n, Event::Prefilled(dispatched));
        } else {
            self.schedule(now + 0.05, n, Event::FirstToken(dispatched));
        }
    }

    fn finish_attempt(&mut self, now: f64, n: usize, s: DispatchedAttempt, outcome: Outcome) {
        if !self.open_attempts.remove(&s.serial) {
            return;
        }
        self.engines[s.engine].in_flight -= 1;
        let attempt_end = AttemptEnd {
            outcome,
            elapsed_s: now - s.dispatched_at,
            request_finished: false,
            cached_tokens: 0.0,
            reservation_missing: false,
        };
        let load = self.load(s.engine);
        self.nodes[n].router.attempt_finished(now, s.request, s.attempt, attempt_end, load);
    }

    fn arrive(&mut self, now: f64, n: usize, retries: u32) {
        if retries == 0 {
            let next = now - self.mean_arrival_gap_s(n) * (1.0 - self.random_fraction()).max(1e-9).ln();
            self.schedule(next, n, Event::Arrival { retries: 0 });
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
        let request = self.nodes[n].router.admit_request(now, &incoming);
        self.nodes[n].retries.insert(request.0, retries);
    }

    /// Runs the scenario, and returns the largest share of what an engine may get that any got, and what was served.
    pub fn run(mut self) -> (f64, u32) {
        while let Some((now, (n, process, event))) = self.events.next() {
            if now > END_S {
                break;
            }
            if process == self.nodes[n].process {
                self.handle(now, n, event);
                self.carry_out_decisions(now, n);
            } else {
                self.handle_after_process_end(now, n, event);
            }
        }
        (self.largest_share(), self.served)
    }

    /// Of a process that has ended only the engines' work goes on, and its clients' arrivals.
    fn handle_after_process_end(&mut self, now: f64, n: usize, event: Event) {
        match event {
            Event::Prefilled(s)
            | Event::FirstToken(s)
            | Event::Completed(s)
            | Event::Failed(s)
            | Event::Rejected(s) => {
                self.engines[s.engine].in_flight -= u32::from(self.open_attempts.remove(&s.serial));
            }
            Event::Arrival { retries: 0 } => self.schedule(now, n, Event::Arrival { retries: 0 }),
            _ => {}
        }
    }

    fn handle(&mut self, now: f64, n: usize, event: Event) {
        match event {
            Event::Arrival { retries } => self.arrive(now, n, retries),
            Event::Wake => self.nodes[n].wake_at = f64::INFINITY,
            Event::StartObserved(engine) => {
                self.nodes[n].observed_starts[engine] = true;
                self.update_endpoints(now, n);
            }
            Event::NodeRestart => {
                self.nodes[n].process += 1;
                self.start_process(now, n);
            }
            Event::Probed(engine) => {
                let name = id(engine, is_restarted(engine) && self.nodes[n].observed_starts[engine]);
                let load = self.load(engine);
                self.nodes[n].router.probe_finished(now, &name, Outcome::Completed, load);
            }
            Event::Prefilled(s) => self.finish_attempt(now, n, s, Outcome::Prefilled),
            Event::FirstToken(s) if self.open_attempts.contains(&s.serial) => {
                self.nodes[n].router.first_token(now, s.request, s.attempt);
                self.schedule(now + STREAM_S, n, Event::Completed(s));
            }
            Event::Completed(s) => {
                self.served += u32::from(self.open_attempts.contains(&s.serial));
                self.finish_attempt(now, n, s, Outcome::Completed);
            }
            Event::Failed(s) => self.finish_attempt(now, n, s, Outcome::EngineError),
            Event::Rejected(s) => self.finish_attempt(now, n, s, Outcome::Rejected),
            Event::Cancelled(s) => self.finish_attempt(now, n, s, Outcome::Cancelled),
            Event::FirstToken(_) => {}
        }
    }

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
