//! Who is answered while there is room, and who beyond it: the cores of many nodes in one process, on a clock of their own.
//! The longest prompts of a class and each session have their part, however uneven the nodes' traffic.

mod common;

use common::{deployment, Clock};
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use std::collections::BTreeMap;
use test_case::test_case;

const NODES: usize = 30;
const READERS: usize = 12;
const WRITERS: usize = 8;
/// Prompt tokens that a reader reads in a second, inferences that wait at one at most.
const READS: f64 = 20_000.0;
const QUEUE: usize = 40;
/// Inferences that a writer answers at once, and how long each takes.
const SLOTS: u32 = 60;
const LASTS: f64 = 2.0;
const MEMORY: f64 = 250_000.0;
const END: f64 = 60.0;
/// Shared beginnings, and the part of inferences that have one.
const TEXTS: u32 = 12;
const SHARED: f64 = 0.6;

#[derive(Clone, Copy)]
struct Send {
    inf: RequestHandle,
    send: u32,
    eng: usize,
    sent: f64,
    kept: f64,
}

#[derive(Clone)]
enum What {
    Arrive,
    Wake,
    Read(Send),
    Token(Send),
    Done(Send),
    Full(Send),
    Probed(usize),
}

struct Reader {
    free_at: f64,
    queued: usize,
    tokens: f64,
    /// Tokens kept of each session and shared text.
    keeps: BTreeMap<u64, f64>,
}

#[derive(Clone)]
struct Asked {
    route: usize,
    session: u64,
    text: Option<u64>,
    prompt: f64,
    sends: u32,
}

/// How an inference ended: its class, prompt and session, and whether it was answered.
struct Over {
    route: usize,
    prompt: f64,
    session: u64,
    answered: bool,
}

struct Fleet {
    nodes: Vec<Router>,
    wakes: Vec<f64>,
    open: Vec<BTreeMap<u32, Asked>>,
    readers: Vec<Reader>,
    writers: Vec<u32>,
    /// For which node.
    clock: Clock<(usize, What)>,
    chance: WyRand,
    /// Inferences a second, all nodes.
    rate: f64,
    /// Sessions that may go on: their class and prompt so far.
    sessions: Vec<(u64, usize, Option<u64>, f64)>,
    over: Vec<Over>,
    probes: bool,
}

fn route(target: f64, repeat: Idempotency) -> ModelRoute {
    ModelRoute {
        ttft_objective_s: target,
        ttft_objective_per_token_s: 4e-5,
        tpot_objective_s: 0.06,
        idempotency: repeat,
    }
}

const TARGETS: [f64; 2] = [1.2, 2.5];
const LEFT: [f64; 2] = [6.0, 10.0];

impl Fleet {
    fn new(load: f64, probes: bool, seed: u64) -> Fleet {
        let mut chance = WyRand::new_seed(seed);
        let routes =
            [route(TARGETS[0], Idempotency::Idempotent), route(TARGETS[1], Idempotency::NonIdempotent)];
        let lines: Vec<EngineEntry> = (0..READERS + WRITERS)
            .map(|e| EngineEntry {
                id: e.to_string(),
                zone: 0,
                cell: (e % 4) as u32,
                role: if e < READERS { EngineRole::Prefill } else { EngineRole::Decode },
                memory_tokens: MEMORY,
                lifecycle: Lifecycle::Active,
                started_at: None,
            })
            .collect();
        let nodes = (0..NODES).map(|n| {
            let mut r = Router::new(deployment(n, NODES, chance.generate(), routes.to_vec(), probes));
            r.update_endpoints(0.0, &lines, true);
            r
        });
        let nodes: Vec<Router> = nodes.collect();
        // Mean tokens read anew, by a run without limits: about half of a prompt of 3,300.
        let rate = load * READS * READERS as f64 / 1900.0;
        let reader = |_| Reader { free_at: 0.0, queued: 0, tokens: 0.0, keeps: BTreeMap::new() };
        let mut f = Fleet {
            nodes,
            wakes: vec![f64::INFINITY; NODES],
            open: vec![BTreeMap::new(); NODES],
            readers: (0..READERS).map(reader).collect(),
            writers: vec![0; WRITERS],
            clock: Clock::new(),
            chance,
            rate,
            sessions: Vec::new(),
            over: Vec::new(),
            probes,
        };
        for n in 0..NODES {
            let at = f.gap(n) * f.dice();
            f.at(at, n, What::Arrive);
        }
        f
    }

    fn dice(&mut self) -> f64 {
        f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX)
    }

    /// Mean time between a node's arrivals; one in ten has six times as many.
    fn gap(&self, n: usize) -> f64 {
        let weight = |n: usize| if n.is_multiple_of(10) { 6.0 } else { 1.0 };
        let all: f64 = (0..NODES).map(weight).sum();
        all / weight(n) / self.rate
    }

    fn at(&mut self, at: f64, node: usize, what: What) {
        self.clock.at(at, (node, what));
    }

    fn load(&self, e: usize) -> EngineLoad {
        match e.checked_sub(READERS) {
            None => {
                let r = &self.readers[e];
                EngineLoad {
                    memory_share: Some((r.tokens / MEMORY).min(1.0)),
                    pending_prompt_tokens: Some(r.tokens),
                    ..EngineLoad::default()
                }
            }
            Some(w) => EngineLoad {
                memory_share: Some(f64::from(self.writers[w]) / f64::from(SLOTS)),
                pending_prompt_tokens: Some(0.0),
                ..EngineLoad::default()
            },
        }
    }

    fn arrive(&mut self, now: f64, n: usize) {
        let next = now - self.gap(n) * (1.0 - self.dice()).max(1e-9).ln();
        self.at(next, n, What::Arrive);
        // Half of all go on with a session, often another node's.
        let goes_on = self.dice() < 0.5 && !self.sessions.is_empty();
        let normal = |f: &mut Fleet| (0..12).map(|_| f.dice()).sum::<f64>() - 6.0;
        let (session, route, text, before) = if goes_on {
            let k = (self.dice() * self.sessions.len() as f64) as usize;
            let k = k.min(self.sessions.len() - 1);
            self.sessions.swap_remove(k)
        } else {
            let (route, shared) = ((self.dice() < 0.3) as usize, self.dice() < SHARED);
            let text = shared.then(|| u64::from(self.chance.generate_range(0..TEXTS)));
            (self.chance.generate(), route, text, if shared { 1500.0 } else { 0.0 })
        };
        let prompt = before + 600.0 * (0.9 * normal(self)).exp();
        let a = IncomingRequest {
            route,
            tenant: None,
            deadline: now + LEFT[route],
            prompt_tokens: prompt,
            prefix_tokens: if text.is_some() { 1500.0 } else { 0.0 },
            session: session.to_string(),
            prefix: text.map(|t| format!("text {t}")),
            is_background: false,
        };
        let inf = self.nodes[n].admit_request(now, &a);
        self.open[n].insert(inf.0, Asked { route, session, text, prompt, sends: 0 });
    }

    fn over(&mut self, n: usize, inf: RequestHandle, answered: bool) {
        let Some(a) = self.open[n].get(&inf.0).cloned() else { return };
        self.over.push(Over { route: a.route, prompt: a.prompt, session: a.session, answered });
        // Refused or not, its session may go on.
        if self.sessions.len() < 400 {
            self.sessions.push((a.session, a.route, a.text, if answered { a.prompt } else { 0.0 }));
        }
    }

    fn act(&mut self, now: f64, n: usize) {
        let todo = self.nodes[n].decide(now);
        assert!(todo.cancelled.is_empty() || self.probes, "nothing here is silent");
        for s in &todo.dispatches {
            let eng: usize = self.nodes[n].engine_id(s.engine).parse().unwrap();
            let Some(a) = self.open[n].get_mut(&s.request.0) else { continue };
            let of = Send { inf: s.request, send: a.sends, eng, sent: now, kept: 0.0 };
            a.sends += 1;
            let a = a.clone();
            if eng < READERS {
                let r = &mut self.readers[eng];
                if r.queued >= QUEUE {
                    self.at(now + 0.01, n, What::Full(of));
                    continue;
                }
                let of_text = a.text.and_then(|t| r.keeps.get(&t).copied()).unwrap_or(0.0);
                let kept = r.keeps.get(&a.session).copied().unwrap_or(0.0).max(of_text).min(a.prompt);
                r.free_at = r.free_at.max(now) + 0.01 + (a.prompt - kept) / READS;
                r.queued += 1;
                r.tokens += a.prompt;
                r.keeps.insert(a.session, a.prompt);
                if let Some(t) = a.text {
                    r.keeps.insert(t, 1500.0);
                }
                let at = r.free_at;
                self.at(at, n, What::Read(Send { kept, ..of }));
            } else if self.writers[eng - READERS] >= SLOTS {
                self.at(now + 0.01, n, What::Full(of));
            } else {
                self.writers[eng - READERS] += 1;
                self.at(now + 0.05, n, What::Token(of));
            }
        }
        for e in &todo.probes {
            let eng = self.nodes[n].engine_id(*e).parse().unwrap();
            self.at(now + 0.002, n, What::Probed(eng));
        }
        for &(inf, _) in &todo.rejected {
            self.over(n, inf, false);
        }
        for &inf in &todo.failed {
            self.over(n, inf, false);
        }
        for inf in &todo.closed {
            self.open[n].remove(&inf.0);
        }
        if let Some(at) = todo.wake_at {
            let at = at.max(now + 0.004);
            if at < self.wakes[n] {
                self.wakes[n] = at;
                self.at(at, n, What::Wake);
            }
        }
    }

    fn end(&mut self, now: f64, n: usize, s: Send, outcome: Outcome) {
        if !self.open[n].contains_key(&s.inf.0) {
            return;
        }
        let end = AttemptEnd {
            outcome,
            elapsed_s: now - s.sent,
            request_finished: false,
            cached_tokens: s.kept,
            reservation_missing: false,
        };
        let load = Some(self.load(s.eng));
        self.nodes[n].attempt_finished(now, s.inf, s.send, end, load);
    }

    fn play(mut self) -> Vec<Over> {
        while let Some((now, (n, what))) = self.clock.next() {
            if now > END {
                break;
            }
            match what {
                What::Arrive => self.arrive(now, n),
                What::Wake => self.wakes[n] = f64::INFINITY,
                What::Probed(e) => {
                    let load = self.load(e);
                    self.nodes[n].probe_finished(now, &e.to_string(), Outcome::Completed, Some(load));
                }
                What::Read(s) => {
                    let prompt = self.open[n].get(&s.inf.0).map_or(0.0, |a| a.prompt);
                    let r = &mut self.readers[s.eng];
                    r.queued -= 1;
                    r.tokens = (r.tokens - prompt).max(0.0);
                    self.end(now, n, s, Outcome::Prefilled);
                }
                What::Token(s) => {
                    if self.open[n].contains_key(&s.inf.0) {
                        self.nodes[n].first_token(now, s.inf, s.send);
                        self.over(n, s.inf, true);
                    }
                    self.at(now + LASTS, n, What::Done(s));
                }
                What::Done(s) => {
                    self.writers[s.eng - READERS] -= 1;
                    self.end(now, n, s, Outcome::Completed);
                }
                What::Full(s) => self.end(now, n, s, Outcome::Rejected),
            }
            self.act(now, n);
        }
        self.over
    }
}

fn share(all: &[&Over]) -> f64 {
    all.iter().filter(|o| o.answered).count() as f64 / all.len().max(1) as f64
}

/// The longest tenth of a class's prompts and the next fifth are answered to at least this part of its share; of its sessions no
/// more are refused throughout than chance has it, and a twentieth.
#[test_case(0.55, true, 2.0 / 3.0; "quiet")]
#[test_case(0.55, false, 2.0 / 3.0; "quiet, no probes")]
#[test_case(2.5, true, 0.5; "more than there is room for")]
#[test_case(2.5, false, 0.5; "more than there is room for, no probes")]
fn long_prompts_and_all_sessions_have_their_part(load: f64, probes: bool, part: f64) {
    for seed in [1, 2] {
        let over = Fleet::new(load, probes, seed).play();
        for route in 0..TARGETS.len() {
            let mut class: Vec<&Over> = over.iter().filter(|o| o.route == route).collect();
            class.sort_by(|x, y| y.prompt.total_cmp(&x.prompt));
            let all = share(&class);
            let (tenth, fifth) = class.split_at(class.len() / 10);
            let (longest, next) = (share(tenth), share(&fifth[..class.len() / 5]));
            let mut sessions: BTreeMap<u64, (i32, bool)> = BTreeMap::new();
            for o in &class {
                let s = sessions.entry(o.session).or_default();
                *s = (s.0 + 1, s.1 || o.answered);
            }
            let refused = sessions.values().filter(|s| !s.1).count() as f64 / sessions.len() as f64;
            let chance =
                sessions.values().map(|s| (1.0 - all).powi(s.0)).sum::<f64>() / sessions.len() as f64;
            println!(
                "load {load}, probes {probes}, seed {seed}, class {route}: {} inferences, answered {all:.3}, longest tenth {longest:.3}, \
                 next fifth {next:.3}; sessions refused throughout {refused:.3}, by chance {chance:.3}",
                class.len()
            );
            assert!(class.len() > 1000);
            assert!(longest >= part * all && next >= part * all, "{longest} and {next} of {all}");
            assert!(refused <= chance + 0.12, "{refused} beside {chance}");
            if load < 1.0 {
                assert!(all > 0.9, "there is room: {all}");
            }
        }
    }
}
