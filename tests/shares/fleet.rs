//! A simulated fleet: nodes, engines with queues and caches, and sessions of clients.

use crate::common::{deployment, EventQueue};
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use std::collections::BTreeMap;

const NODES: usize = 30;
const PREFILL_ENGINES: usize = 12;
const DECODE_ENGINES: usize = 8;
/// Prompt tokens that a prefill engine prefills in a second, and requests that wait at one at most.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
const MAX_QUEUE_LEN: usize = 40;
/// Streams of a decode engine at once, and how long each takes.
const SLOTS: u32 = 60;
const STREAM_S: f64 = 2.0;
const MEMORY_TOKENS: f64 = 250_000.0;
const END_S: f64 = 60.0;
/// Shared prefixes, the part of requests that have one, and its length.
const SHARED_PREFIXES: u32 = 12;
const SHARED_PREFIX_PART: f64 = 0.6;
const SHARED_PREFIX_TOKENS: f64 = 1500.0;

#[derive(Clone, Copy)]
struct DispatchedAttempt {
    request: RequestHandle,
    attempt: u32,
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
    tokens: f64,
    /// Tokens cached of each session and shared prefix.
    cache: BTreeMap<u64, f64>,
}

impl PrefillEngine {
    /// Takes in a prompt, unless its queue is full: when it is prefilled, and how much of it was cached.
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

/// How a request ended: its route, prompt and session, and whether it was answered.
pub struct FinishedRequest {
    pub route: usize,
    pub prompt_tokens: f64,
    pub session: u64,
    pub answered: bool,
}

pub struct Fleet {
    nodes: Vec<Router>,
    wake_at: Vec<f64>,
    open: Vec<BTreeMap<u32, OpenRequest>>,
    prefill_engines: Vec<PrefillEngine>,
    decode_engines: Vec<u32>,
    /// For which node.
    events: EventQueue<(usize, Event)>,
    random: WyRand,
    /// Requests a second, all nodes.
    rate: f64,
    /// Sessions that may continue: their route, prefix and prompt so far.
    sessions: Vec<(u64, usize, Option<u64>, f64)>,
    finished: Vec<FinishedRequest>,
    probes: bool,
}

fn route(ttft_objective_s: f64, idempotency: Idempotency) -> ModelRoute {
    ModelRoute { ttft_objective_s, ttft_objective_per_token_s: 4e-5, tpot_objective_s: 0.06, idempotency }
}

pub const TTFT_OBJECTIVES_S: [f64; 2] = [1.2, 2.5];
const CLIENT_TIMEOUTS_S: [f64; 2] = [6.0, 10.0];

impl Fleet {
    pub fn new(load: f64, probes: bool, seed: u64) -> Fleet {
        let mut random = WyRand::new_seed(seed);
        let routes = [
            route(TTFT_OBJECTIVES_S[0], Idempotency::Idempotent),
            route(TTFT_OBJECTIVES_S[1], Idempotency::NonIdempotent),
        ];
        let lines: Vec<EngineEntry> = (0..PREFILL_ENGINES + DECODE_ENGINES)
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
        let nodes = (0..NODES).map(|n| {
            let mut engine_state =
                Router::new(deployment(n, NODES, random.generate(), routes.to_vec(), probes));
            engine_state.update_endpoints(0.0, &lines, true);
            engine_state
        });
        let nodes: Vec<Router> = nodes.collect();
        // Mean uncached tokens, by a run without limits: about half of a prompt of 3,300.
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
        for n in 0..NODES {
            let at = fleet.mean_arrival_gap_s(n) * fleet.random_fraction();
            fleet.schedule(at, n, Event::Arrival);
        }
        fleet
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Mean time between a node's arrivals; one in ten has six times as many.
    fn mean_arrival_gap_s(&self, n: usize) -> f64 {
        let weight = |n: usize| if n.is_multiple_of(10) { 6.0 } else { 1.0 };
        let total: f64 = (0..NODES).map(weight).sum();
        total / weight(n) / self.rate
    }

    fn schedule(&mut self, at: f64, node: usize, event: Event) {
        self.events.schedule(at, (node, event));
    }

    fn load(&self, engine: usize) -> EngineLoad {
        match engine.checked_sub(PREFILL_ENGINES) {
            None => {
                let engine_state = &self.prefill_engines[engine];
                EngineLoad {
                    memory_share: Some((engine_state.tokens / MEMORY_TOKENS).min(1.0)),
                    pending_prompt_tokens: Some(engine_state.tokens),
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

    fn arrive(&mut self, now: f64, n: usize) {
        let next = now - self.mean_arrival_gap_s(n) * (1.0 - self.random_fraction()).max(1e-9).ln();
        self.schedule(next, n, Event::Arrival);
        // Half of all continue a session, often another node's.
        let continues_session = self.random_fraction() < 0.5 && !self.sessions.is_empty();
        let normal = |fleet: &mut Fleet| (0..12).map(|_| fleet.random_fraction()).sum::<f64>() - 6.0;
        let (session, route, prefix, earlier_tokens) = if continues_session {
            let index = (self.random_fraction() * self.sessions.len() as f64) as usize;
            let index = index.min(self.sessions.len() - 1);
            self.sessions.swap_remove(index)
        } else {
            let (route, shared) =
                ((self.random_fraction() < 0.3) as usize, self.random_fraction() < SHARED_PREFIX_PART);
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
        let request = self.nodes[n].admit_request(now, &incoming);
        self.open[n].insert(request.0, OpenRequest { route, session, prefix, prompt_tokens, attempts: 0 });
    }

    fn finish_request(&mut self, n: usize, request: RequestHandle, answered: bool) {
        let Some(open_request) = self.open[n].get(&request.0).cloned() else { return };
        self.finished.push(FinishedRequest {
            route: open_request.route,
            prompt_tokens: open_request.prompt_tokens,
            session: open_request.session,
            answered,
        });
        // Answered or not, its session may continue.
        if self.sessions.len() < 400 {
            self.sessions.push((
                open_request.session,
                open_request.route,
                open_request.prefix,
                if answered { open_request.prompt_tokens } else { 0.0 },
            ));
        }
    }

    fn carry_out_decisions(&mut self, now: f64, n: usize) {
        let decisions = self.nodes[n].decide(now);
        assert!(decisions.cancelled.is_empty() || self.probes, "nothing here is silent");
        for dispatch in &decisions.dispatches {
            self.dispatch(now, n, dispatch);
        }
        for engine in &decisions.probes {
            let engine = self.nodes[n].engine_id(*engine).parse().unwrap();
            self.schedule(now + 0.002, n, Event::Probed(engine));
        }
        for &(request, _) in &decisions.rejected {
            self.finish_request(n, request, false);
        }
        for &request in &decisions.failed {
            self.finish_request(n, request, false);
        }
        for request in &decisions.closed {
            self.open[n].remove(&request.0);
        }
        if let Some(at) = decisions.wake_at {
            let at = at.max(now + 0.004);
            if at < self.wake_at[n] {
                self.wake_at[n] = at;
                self.schedule(at, n, Event::Wake);
            }
        }
    }

    fn dispatch(&mut self, now: f64, n: usize, dispatch: &Dispatch) {
        let engine: usize = self.nodes[n].engine_id(dispatch.engine).parse().unwrap();
        let Some(open_request) = self.open[n].get_mut(&dispatch.request.0) else { return };
        let dispatched = DispatchedAttempt {
            request: dispatch.request,
            attempt: open_request.attempts,
            engine,
            dispatched_at: now,
            cached_tokens: 0.0,
        };
        open_request.attempts += 1;
        let open_request = open_request.clone();
        if engine < PREFILL_ENGINES {
            match self.prefill_engines[engine].enqueue(now, &open_request) {
                None => self.schedule(now + 0.01, n, Event::Rejected(dispatched)),
                Some((done_at, cached_tokens)) => {
                    let prefilled = Event::Prefilled(DispatchedAttempt { cached_tokens, ..dispatched });
                    self.schedule(done_at, n, prefilled);
                }
            }
        } else if self.decode_engines[engine - PREFILL_ENGINES] >= SLOTS {
            self.schedule(now + 0.01, n, Event::Rejected(dispatched));
        } else {
            self.decode_engines[engine - PREFILL_ENGINES] += 1;
            self.schedule(now + 0.05, n, Event::FirstToken(dispatched));
        }
    }

    fn finish_attempt(&mut self, now: f64, n: usize, s: DispatchedAttempt, outcome: Outcome) {
        if !self.open[n].contains_key(&s.request.0) {
            return;
        }
        let attempt_end = AttemptEnd {
            outcome,
            elapsed_s: now - s.dispatched_at,
            request_finished: false,
            cached_tokens: s.cached_tokens,
            reservation_missing: false,
        };
        let load = Some(self.load(s.engine));
        self.nodes[n].attempt_finished(now, s.request, s.attempt, attempt_end, load);
    }

    pub fn run(mut self) -> Vec<FinishedRequest> {
        while let Some((now, (n, event))) = self.events.next() {
            if now > END_S {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now, n),
                Event::Wake => self.wake_at[n] = f64::INFINITY,
                Event::Probed(engine) => {
                    let load = self.load(engine);
                    self.nodes[n].probe_finished(now, &engine.to_string(), Outcome::Completed, Some(load));
                }
                Event::Prefilled(s) => {
                    let prompt_tokens =
                        self.open[n].get(&s.request.0).map_or(0.0, |open_request| open_request.prompt_tokens);
                    let engine_state = &mut self.prefill_engines[s.engine];
                    engine_state.queued -= 1;
                    engine_state.tokens = (engine_state.tokens - prompt_tokens).max(0.0);
                    self.finish_attempt(now, n, s, Outcome::Prefilled);
                }
                Event::FirstToken(s) => {
                    if self.open[n].contains_key(&s.request.0) {
                        self.nodes[n].first_token(now, s.request, s.attempt);
                        self.finish_request(n, s.request, true);
                    }
                    self.schedule(now + STREAM_S, n, Event::Completed(s));
                }
                Event::Completed(s) => {
                    self.decode_engines[s.engine - PREFILL_ENGINES] -= 1;
                    self.finish_attempt(now, n, s, Outcome::Completed);
                }
                Event::Rejected(s) => self.finish_attempt(now, n, s, Outcome::Rejected),
            }
            self.carry_out_decisions(now, n);
        }
        self.finished
    }
}
