//! A simulated fleet: nodes, engines with queues and caches, and sessions of clients.

use crate::common::{deployment, EventQueue};
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use std::collections::BTreeMap;

const NODES: usize = 30;
const PREFILL_ENGINES: usize = 12;
const DECODE_ENGINES: usize = 8;
/// Number of prompt tokens that a prefill engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
/// Largest number of requests that wait at a prefill engine.
const MAX_QUEUE_LEN: usize = 40;
/// Number of concurrent streams of a decode engine.
const SLOTS: u32 = 60;
/// Duration of a stream.
const STREAM_S: f64 = 2.0;
const MEMORY_TOKENS: f64 = 250_000.0;
/// End of the simulation.
const END_S: f64 = 60.0;
/// Number of shared prefixes.
const SHARED_PREFIXES: u32 = 12;
/// Fraction of new sessions that begin with a shared prefix.
const SHARED_PREFIX_FRACTION: f64 = 0.6;
/// Length of a shared prefix.
const SHARED_PREFIX_TOKENS: f64 = 1500.0;

#[derive(Clone, Copy)]
struct DispatchedAttempt {
    request: RequestHandle,
    /// Number of the attempt within its request.
    number: u32,
    engine: usize,
    dispatched_at: f64,
    cached_tokens: f64,
}

#[derive(Clone)]
enum Event {
    Arrival,
    Wake,
    Prefilled(DispatchedAttempt),
    FirstToken(DispatchedAttempt),
    Completed(DispatchedAttempt),
    Rejected(DispatchedAttempt),
    Probed(usize),
}

struct PrefillEngine {
    free_at: f64,
    queued: usize,
    /// Prompt tokens of the queued requests.
    tokens: f64,
    /// Number of tokens cached for each session and shared prefix.
    cache: BTreeMap<u64, f64>,
}

impl PrefillEngine {
    /// Queues a prompt. Returns when it will be prefilled and how many of its tokens were cached; `None` if
    /// the queue is full.
    fn enqueue(&mut self, now: f64, request: &OpenRequest) -> Option<(f64, f64)> {
        if self.queued >= MAX_QUEUE_LEN {
            return None;
        }
        let cached = |text: u64| self.cache.get(&text).copied();
        let cached_prefix_tokens = request.prefix.and_then(cached).unwrap_or(0.0);
        let cached_session_tokens = cached(request.session).unwrap_or(0.0);
        let cached_tokens = cached_session_tokens.max(cached_prefix_tokens).min(request.prompt_tokens);
        let prefill_s = (request.prompt_tokens - cached_tokens) / PREFILL_TOKENS_PER_S;
        self.free_at = self.free_at.max(now) + 0.01 + prefill_s;
        self.queued += 1;
        self.tokens += request.prompt_tokens;
        self.cache.insert(request.session, request.prompt_tokens);
        if let Some(prefix) = request.prefix {
            self.cache.insert(prefix, SHARED_PREFIX_TOKENS);
        }
        Some((self.free_at, cached_tokens))
    }
}

#[derive(Clone)]
struct OpenRequest {
    route: usize,
    session: u64,
    prefix: Option<u64>,
    prompt_tokens: f64,
    attempts: u32,
}

/// A request that has ended.
pub struct FinishedRequest {
    pub route: usize,
    pub prompt_tokens: f64,
    pub session: u64,
    pub answered: bool,
}

pub struct Fleet {
    nodes: Vec<Router>,
    wake_at: Vec<f64>,
    /// Open requests of each node, by handle.
    open: Vec<BTreeMap<u32, OpenRequest>>,
    prefill_engines: Vec<PrefillEngine>,
    /// Number of streams at each decode engine.
    decode_engines: Vec<u32>,
    /// Events with the node that they are for.
    events: EventQueue<(usize, Event)>,
    random: WyRand,
    /// Requests per second at all nodes together.
    rate: f64,
    /// Sessions that may continue, each with its route, prefix and number of prompt tokens so far.
    sessions: Vec<(u64, usize, Option<u64>, f64)>,
    finished: Vec<FinishedRequest>,
    probes: bool,
}

fn route(ttft_objective_s: f64, idempotency: Idempotency) -> ModelRoute {
    ModelRoute { ttft_objective_s, ttft_objective_per_token_s: 4e-5, tpot_objective_s: 0.06, idempotency }
}

/// TTFT objective of an empty prompt, by route.
pub const TTFT_OBJECTIVES_S: [f64; 2] = [1.2, 2.5];
/// Time for which a client waits for a response, by route.
const CLIENT_TIMEOUTS_S: [f64; 2] = [6.0, 10.0];

impl Fleet {
    pub fn new(load: f64, probes: bool, seed: u64) -> Fleet {
        let mut random = WyRand::new_seed(seed);
        let routes = [
            route(TTFT_OBJECTIVES_S[0], Idempotency::Idempotent),
            route(TTFT_OBJECTIVES_S[1], Idempotency::NonIdempotent),
        ];
        let entries: Vec<EngineEntry> = (0..PREFILL_ENGINES + DECODE_ENGINES)
            .map(|engine| EngineEntry {
                id: engine.to_string(),
                zone: 0,
                cell: (engine % 4) as u32,
                role: if engine < PREFILL_ENGINES { EngineRole::Prefill } else { EngineRole::Decode },
                memory_tokens: MEMORY_TOKENS,
                lifecycle: Lifecycle::Active,
                started_at: None,
            })
            .collect();
        let nodes = (0..NODES).map(|node_index| {
            let mut router =
                Router::new(deployment(node_index, NODES, random.generate(), routes.to_vec(), probes));
            router.update_endpoints(0.0, &entries, true);
            router
        });
        let nodes: Vec<Router> = nodes.collect();
        // 1900 is the mean number of uncached tokens, measured without limits: about half of a prompt of
        // 3,300.
        let rate = load * PREFILL_TOKENS_PER_S * PREFILL_ENGINES as f64 / 1900.0;
        let prefill_engine =
            |_| PrefillEngine { free_at: 0.0, queued: 0, tokens: 0.0, cache: BTreeMap::new() };
        let mut fleet = Fleet {
            nodes,
            wake_at: vec![f64::INFINITY; NODES],
            open: vec![BTreeMap::new(); NODES],
            prefill_engines: (0..PREFILL_ENGINES).map(prefill_engine).collect(),
            decode_engines: vec![0; DECODE_ENGINES],
            events: EventQueue::new(),
            random,
            rate,
            sessions: Vec::new(),
            finished: Vec::new(),
            probes,
        };
        for node_index in 0..NODES {
            let at = fleet.mean_arrival_gap_s(node_index) * fleet.random_fraction();
            fleet.schedule(at, node_index, Event::Arrival);
        }
        fleet
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Returns the mean time between arrivals at a node, in seconds. One node in ten has six times as many
    /// arrivals as the others.
    fn mean_arrival_gap_s(&self, node_index: usize) -> f64 {
        let weight = |node_index: usize| if node_index.is_multiple_of(10) { 6.0 } else { 1.0 };
        let total: f64 = (0..NODES).map(weight).sum();
        total / weight(node_index) / self.rate
    }

    fn schedule(&mut self, at: f64, node: usize, event: Event) {
        self.events.schedule(at, (node, event));
    }

    fn load(&self, engine: usize) -> EngineLoad {
        match engine.checked_sub(PREFILL_ENGINES) {
            None => {
                let prefill_engine = &self.prefill_engines[engine];
                EngineLoad {
                    memory_share: Some((prefill_engine.tokens / MEMORY_TOKENS).min(1.0)),
                    pending_prompt_tokens: Some(prefill_engine.tokens),
                    ..EngineLoad::default()
                }
            }
            Some(decode_engine) => EngineLoad {
                memory_share: Some(f64::from(self.decode_engines[decode_engine]) / f64::from(SLOTS)),
                pending_prompt_tokens: Some(0.0),
                ..EngineLoad::default()
            },
        }
    }

    fn arrive(&mut self, now: f64, node_index: usize) {
        let next = now - self.mean_arrival_gap_s(node_index) * (1.0 - self.random_fraction()).max(1e-9).ln();
        self.schedule(next, node_index, Event::Arrival);
        // Half of the requests continue a session, often one of another node.
        let continues_session = self.random_fraction() < 0.5 && !self.sessions.is_empty();
        let normal = |fleet: &mut Fleet| (0..12).map(|_| fleet.random_fraction()).sum::<f64>() - 6.0;
        let (session, route, prefix, earlier_tokens) = if continues_session {
            let index = (self.random_fraction() * self.sessions.len() as f64) as usize;
            let index = index.min(self.sessions.len() - 1);
            self.sessions.swap_remove(index)
        } else {
            let (route, shared) =
                ((self.random_fraction() < 0.3) as usize, self.random_fraction() < SHARED_PREFIX_FRACTION);
            let prefix = shared.then(|| u64::from(self.random.generate_range(0..SHARED_PREFIXES)));
            (self.random.generate(), route, prefix, if shared { SHARED_PREFIX_TOKENS } else { 0.0 })
        };
        let prompt_tokens = earlier_tokens + 600.0 * (0.9 * normal(self)).exp();
        let incoming = IncomingRequest {
            route,
            tenant: None,
            arrived_at: now,
            deadline: now + CLIENT_TIMEOUTS_S[route],
            prompt_tokens,
            prefix_tokens: if prefix.is_some() { SHARED_PREFIX_TOKENS } else { 0.0 },
            session: session.to_string(),
            prefix: prefix.map(|prefix_hash| format!("text {prefix_hash}")),
            is_background: false,
        };
        let request = self.nodes[node_index].admit_request(now, &incoming);
        self.open[node_index]
            .insert(request.0, OpenRequest { route, session, prefix, prompt_tokens, attempts: 0 });
    }

    fn finish_request(&mut self, node_index: usize, request: RequestHandle, answered: bool) {
        let Some(open_request) = self.open[node_index].get(&request.0).cloned() else { return };
        self.finished.push(FinishedRequest {
            route: open_request.route,
            prompt_tokens: open_request.prompt_tokens,
            session: open_request.session,
            answered,
        });
        // The session may continue whether or not the request was answered.
        if self.sessions.len() < 400 {
            self.sessions.push((
                open_request.session,
                open_request.route,
                open_request.prefix,
                if answered { open_request.prompt_tokens } else { 0.0 },
            ));
        }
    }

    fn carry_out_decisions(&mut self, now: f64, node_index: usize) {
        let decisions = self.nodes[node_index].decide(now);
        assert!(
            decisions.cancelled.is_empty() || self.probes,
            "an attempt was cancelled though no engine of this fleet is ever silent"
        );
        for dispatch in &decisions.dispatches {
            self.dispatch(now, node_index, dispatch);
        }
        for engine in &decisions.probes {
            let engine = self.nodes[node_index].engine_id(*engine).parse().unwrap();
            self.schedule(now + 0.002, node_index, Event::Probed(engine));
        }
        for &(request, _) in &decisions.rejected {
            self.finish_request(node_index, request, false);
        }
        for &request in &decisions.failed {
            self.finish_request(node_index, request, false);
        }
        for request in &decisions.closed {
            self.open[node_index].remove(&request.0);
        }
        if let Some(at) = decisions.wake_at {
            let at = at.max(now + 0.004);
            if at < self.wake_at[node_index] {
                self.wake_at[node_index] = at;
                self.schedule(at, node_index, Event::Wake);
            }
        }
    }

    fn dispatch(&mut self, now: f64, node_index: usize, dispatch: &Dispatch) {
        let engine: usize = self.nodes[node_index].engine_id(dispatch.engine).parse().unwrap();
        let Some(open_request) = self.open[node_index].get_mut(&dispatch.request.0) else { return };
        let dispatched = DispatchedAttempt {
            request: dispatch.request,
            number: open_request.attempts,
            engine,
            dispatched_at: now,
            cached_tokens: 0.0,
        };
        open_request.attempts += 1;
        let open_request = open_request.clone();
        if engine < PREFILL_ENGINES {
            match self.prefill_engines[engine].enqueue(now, &open_request) {
                None => self.schedule(now + 0.01, node_index, Event::Rejected(dispatched)),
                Some((done_at, cached_tokens)) => {
                    let prefilled = Event::Prefilled(DispatchedAttempt { cached_tokens, ..dispatched });
                    self.schedule(done_at, node_index, prefilled);
                }
            }
        } else if self.decode_engines[engine - PREFILL_ENGINES] >= SLOTS {
            self.schedule(now + 0.01, node_index, Event::Rejected(dispatched));
        } else {
            self.decode_engines[engine - PREFILL_ENGINES] += 1;
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
        if !self.open[node_index].contains_key(&dispatched.request.0) {
            return;
        }
        let attempt_end = AttemptEnd {
            outcome,
            elapsed_s: now - dispatched.dispatched_at,
            request_finished: false,
            cached_tokens: dispatched.cached_tokens,
            reservation_missing: false,
        };
        let load = Some(self.load(dispatched.engine));
        self.nodes[node_index].attempt_finished(
            now,
            dispatched.request,
            dispatched.number,
            attempt_end,
            load,
        );
    }

    pub fn run(mut self) -> Vec<FinishedRequest> {
        while let Some((now, (node_index, event))) = self.events.next() {
            if now > END_S {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now, node_index),
                Event::Wake => self.wake_at[node_index] = f64::INFINITY,
                Event::Probed(engine) => {
                    let load = self.load(engine);
                    self.nodes[node_index].probe_finished(
                        now,
                        &engine.to_string(),
                        Outcome::Completed,
                        Some(load),
                    );
                }
                Event::Prefilled(dispatched) => {
                    let prompt_tokens = self.open[node_index]
                        .get(&dispatched.request.0)
                        .map_or(0.0, |open_request| open_request.prompt_tokens);
                    let prefill_engine = &mut self.prefill_engines[dispatched.engine];
                    prefill_engine.queued -= 1;
                    prefill_engine.tokens = (prefill_engine.tokens - prompt_tokens).max(0.0);
                    self.finish_attempt(now, node_index, dispatched, Outcome::Prefilled);
                }
                Event::FirstToken(dispatched) => {
                    if self.open[node_index].contains_key(&dispatched.request.0) {
                        self.nodes[node_index].first_token(now, dispatched.request, dispatched.number);
                        self.finish_request(node_index, dispatched.request, true);
                    }
                    self.schedule(now + STREAM_S, node_index, Event::Completed(dispatched));
                }
                Event::Completed(dispatched) => {
                    self.decode_engines[dispatched.engine - PREFILL_ENGINES] -= 1;
                    self.finish_attempt(now, node_index, dispatched, Outcome::Completed);
                }
                Event::Rejected(dispatched) => {
                    self.finish_attempt(now, node_index, dispatched, Outcome::Rejected)
                }
            }
            self.carry_out_decisions(now, node_index);
        }
        self.finished
    }
}
