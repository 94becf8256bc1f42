//! The cores of a whole fleet in one process and in virtual time: three zones, one of which falls silent and comes back, with
//! datagrams late and lost. Prints how long the fleet takes to leave and to agree, and what that costs on the wire.
//!
//!     cargo run --release -p nickelgw-node --example fleet -- 350

use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use nickelgw_gossip::core::record::{NodeRecord, SharedKey};
use nickelgw_gossip::core::{Gossip, GossipConfig, OutgoingDatagram};
use nickelgw_node_core::zone_failover::ZoneFailover;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Of each role, in each zone.
const ENGINES: u32 = 15;
const LOST_AT: f64 = 6.0;
const BACK_AT: f64 = 12.0;
const END: f64 = 22.0;
/// Inferences a second in all, as on the fleet days: a node of 350 sees one in 3 s.
const RATE: f64 = 120.0;
const LOSS: f64 = 0.1;

enum Event {
    Arrive(usize),
    Settle { node: usize, inf: RequestHandle, send: u32, outcome: Outcome, after_s: f64 },
    Probed { node: usize, id: String, outcome: Outcome },
    Decide(usize),
    Round(usize),
    Datagram { to: usize, bytes: Vec<u8> },
}

struct Node {
    router: Router,
    together: ZoneFailover,
    accord: Gossip,
    /// Sends made for each handle, and whether each is out.
    sends: HashMap<u32, Vec<bool>>,
    left_at: Option<f64>,
    wakes_at: f64,
    looked_at: f64,
}

struct World {
    nodes: Vec<Node>,
    by_address: HashMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: HashMap<u64, Event>,
    count: u64,
    chance: WyRand,
    cut: bool,
    thrown: usize,
    /// Sends that met the zone after its return, by the half second.
    returned: Vec<usize>,
    shed: usize,
    arrived: usize,
}

fn unix_ms(now: f64) -> u64 {
    1_700_000_000_000 + (now * 1e3) as u64
}

fn zone_of(id: &str) -> usize {
    ZONES.iter().position(|z| id.starts_with(z)).unwrap_or(0)
}

impl World {
    fn at(&mut self, t: f64, e: Event) {
        self.count += 1;
        self.events.push(Reverse(((t * 1e6) as u64, self.count)));
        self.what.insert(self.count, e);
    }

    fn dice(&mut self) -> f64 {
        f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX)
    }

    fn silent(&self, node: usize, id: &str, now: f64) -> bool {
        let dead = (LOST_AT..BACK_AT).contains(&now) && zone_of(id) == 1;
        // A cut parts zone a from b alone: b's own nodes, and c's, reach it still.
        if self.cut {
            dead && node.is_multiple_of(3)
        } else {
            dead
        }
    }

    fn decide(&mut self, n: usize, now: f64) {
        let d = self.nodes[n].router.decide(now);
        for (inf, send) in d.cancelled {
            let e = Event::Settle { node: n, inf, send, outcome: Outcome::Cancelled, after_s: 0.0 };
            self.at(now, e);
        }
        for s in d.dispatches {
            let id = self.nodes[n].router.engine_id(s.engine).to_string();
            let sends = self.nodes[n].sends.entry(s.request.0).or_default();
            let send = sends.len() as u32;
            sends.push(true);
            let read = id.contains('r');
            let (outcome, after_s) = match self.silent(n, &id, now) {
                true => (Outcome::ConnectFailed, 0.25),
                false if read => (Outcome::Prefilled, 0.05),
                false => (Outcome::Completed, 0.5),
            };
            if zone_of(&id) == 1 && (LOST_AT..BACK_AT).contains(&now) && outcome == Outcome::ConnectFailed {
                self.thrown += 1;
            }
            if zone_of(&id) == 1 && now >= BACK_AT {
                let k = ((now - BACK_AT) * 2.0) as usize;
                self.returned.resize(self.returned.len().max(k + 1), 0);
                self.returned[k] += 1;
            }
            self.at(now + after_s, Event::Settle { node: n, inf: s.request, send, outcome, after_s });
        }
        self.shed += d.rejected.len();
        for eng in d.probes {
            let id = self.nodes[n].router.engine_id(eng).to_string();
            let (outcome, after) = match self.silent(n, &id, now) {
                true => (Outcome::TimedOut, 0.25),
                false => (Outcome::Completed, 0.003),
            };
            self.at(now + after, Event::Probed { node: n, id, outcome });
        }
        for c in d.closed {
            self.nodes[n].sends.remove(&c.0);
        }
        // One wake at a time, as a shell has one timer.
        if let Some(t) = d.wake_at.filter(|t| *t < self.nodes[n].wakes_at || self.nodes[n].wakes_at <= now) {
            let t = t.max(now + 0.001);
            self.nodes[n].wakes_at = t;
            self.at(t, Event::Decide(n));
        }
    }

    fn send(&mut self, now: f64, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            let lost = self.dice() < LOSS;
            let late = 0.001 + 0.004 * self.dice();
            if let Some(&to) = self.by_address.get(&to).filter(|_| !lost) {
                self.at(now + late, Event::Datagram { to, bytes });
            }
        }
    }

    fn look(&mut self, n: usize, now: f64) {
        let x = &mut self.nodes[n];
        x.looked_at = now;
        let others = x.accord.zone_peers(now);
        let round = x.together.update(now, &mut x.router, &others);
        x.accord.publish(now, round.reports, round.urgent);
        if now >= LOST_AT && x.left_at.is_none() && x.together.zone_weights()[1].1 == 0.0 {
            x.left_at = Some(now);
        }
        let (out, _) = x.accord.poll_datagrams(now, unix_ms(now));
        self.send(now, out);
        self.decide(n, now);
    }

    fn happen(&mut self, now: f64, e: Event) {
        match e {
            Event::Arrive(n) => {
                self.arrived += 1;
                let session = self.dice().to_string();
                let a = IncomingRequest {
                    route: 0,
                    tenant: None,
                    deadline: now + 6.0,
                    prompt_tokens: 1000.0,
                    prefix_tokens: 0.0,
                    session,
                    prefix: None,
                    is_background: false,
                };
                self.nodes[n].router.admit_request(now, &a);
                self.decide(n, now);
                let gap = -(1.0 - self.dice()).ln() * self.nodes.len() as f64 / RATE;
                self.at(now + gap, Event::Arrive(n));
            }
            Event::Settle { node, inf, send, outcome, after_s } => {
                // Called off already: what it brings is not heard.
                let out = self.nodes[node].sends.get_mut(&inf.0).and_then(|s| s.get_mut(send as usize));
                if !out.is_some_and(std::mem::take) {
                    return;
                }
                if outcome == Outcome::Completed {
                    self.nodes[node].router.first_token(now, inf, send);
                }
                let end = AttemptEnd {
                    outcome,
                    elapsed_s: after_s,
                    request_finished: outcome == Outcome::Completed,
                    cached_tokens: 0.0,
                    reservation_missing: false,
                };
                self.nodes[node].router.attempt_finished(now, inf, send, end, None);
                self.decide(node, now);
            }
            Event::Probed { node, id, outcome } => {
                let load = EngineLoad { memory_share: Some(0.3), ..EngineLoad::default() };
                let load = Some(load).filter(|_| outcome == Outcome::Completed);
                self.nodes[node].router.probe_finished(now, &id, outcome, load);
                self.decide(node, now);
            }
            Event::Decide(n) if now < self.nodes[n].wakes_at => {}
            Event::Decide(n) => self.decide(n, now),
            Event::Round(n) => {
                self.look(n, now);
                let next = now + 0.1 * (0.95 + 0.1 * self.dice());
                self.at(next, Event::Round(n));
            }
            Event::Datagram { to, bytes } => {
                let new = self.nodes[to].accord.receive(now, unix_ms(now), &bytes) == Ok(true);
                let (out, _) = self.nodes[to].accord.poll_datagrams(now, unix_ms(now));
                self.send(now, out);
                // As the shell does: not at every datagram.
                if new && now >= self.nodes[to].looked_at + 0.025 {
                    self.look(to, now);
                }
            }
        }
    }
}

fn play(count: usize, cut: bool, exchange: bool) {
    let mut lines = Vec::new();
    for (z, zone) in ZONES.iter().enumerate() {
        for n in 0..ENGINES {
            for (role, letter) in [(EngineRole::Prefill, 'r'), (EngineRole::Decode, 'w')] {
                let id = format!("{zone}{letter}{n}");
                let (zone, memory_tokens, standing) = (z as u32, 1e6, Lifecycle::Active);
                lines.push(EngineEntry {
                    id,
                    zone,
                    cell: z as u32,
                    role,
                    memory_tokens,
                    lifecycle: standing,
                    started_at: None,
                });
            }
        }
    }
    let mut nodes = Vec::new();
    for n in 0..count {
        let d = Deployment {
            node: n as u32,
            node_count: count as u32,
            seed: n as u64,
            zone: (n % 3) as u32,
            tick_s: 0.005,
            routes: vec![ModelRoute {
                ttft_objective_s: 1.2,
                ttft_objective_per_token_s: 0.0,
                tpot_objective_s: 0.06,
                idempotency: Idempotency::Idempotent,
            }],
            tenant_quotas: vec![],
            max_attempts: 6,
            decode_engines_prefill: false,
            reservation_limit_s: 0.5,
            connect_timeout_s: 0.0,
            cross_cell_price: 0.04,
            cross_zone_price: 0.01,
            can_cancel: true,
            can_probe: true,
            must_poll_endpoints: false,
            max_retry_after_s: None,
            slow_start_initial_share: 0.3,
            warmup_s: 10.0,
            overload_multiple: 3.0,
            overload_window_s: 2.0,
        };
        let mut router = Router::new(d);
        router.update_endpoints(0.0, &lines, true);
        let name = format!("n{n}");
        let zones: Vec<String> = ZONES.iter().map(|z| z.to_string()).collect();
        let own = NodeRecord {
            name: name.clone(),
            incarnation: 1,
            seq: 0,
            address: format!("{name}:1"),
            zone: ZONES[n % 3].into(),
            zone_reports: vec![],
            deferred_by_tenant: vec![],
        };
        let peers = if exchange { vec!["n0:1".into(), "n1:1".into(), "n2:1".into()] } else { vec![] };
        let key = SharedKey::from_secret("a key for the fleet in one process");
        let accord = Gossip::new(GossipConfig::default(), key, own, peers, n as u64);
        let together = ZoneFailover::new(zones, &name, Default::default(), 0.1, n as u64);
        nodes.push(Node {
            router,
            together,
            accord,
            sends: HashMap::new(),
            left_at: None,
            wakes_at: 0.0,
            looked_at: 0.0,
        });
    }
    let mut w = World {
        by_address: (0..count).map(|n| (format!("n{n}:1"), n)).collect(),
        nodes,
        events: BinaryHeap::new(),
        what: HashMap::new(),
        count: 0,
        chance: WyRand::new_seed(7),
        cut,
        thrown: 0,
        returned: vec![],
        shed: 0,
        arrived: 0,
    };
    for n in 0..count {
        let (a, r) = (w.dice() * count as f64 / RATE, 0.1 * w.dice());
        w.at(a, Event::Arrive(n));
        if exchange {
            w.at(r, Event::Round(n));
        }
    }
    while let Some(Reverse((t, k))) = w.events.pop() {
        let now = t as f64 / 1e6;
        if now > END {
            break;
        }
        if let Some(e) = w.what.remove(&k) {
            w.happen(now, e);
        }
    }
    let concerned = |n: usize| n.is_multiple_of(3) || !cut;
    let mut left: Vec<f64> = w
        .nodes
        .iter()
        .enumerate()
        .filter(|x| concerned(x.0))
        .filter_map(|x| x.1.left_at)
        .map(|t| t - LOST_AT)
        .collect();
    left.sort_by(f64::total_cmp);
    let of = (0..count).filter(|&n| concerned(n)).count();
    let wrong = w.nodes.iter().enumerate().filter(|x| !concerned(x.0) && x.1.left_at.is_some()).count();
    let (sent, bytes) = w
        .nodes
        .iter()
        .fold((0, 0), |s, n| (s.0 + n.accord.counters.sent, s.1 + n.accord.counters.sent_bytes));
    let each = count as f64 * END;
    let (first, half, last) = (left.first(), left.get(left.len() / 2), left.last());
    println!(
        "{count} nodes, {}, exchange {}: left by {} of {of} ({wrong} wrongly), first {:.2} half {:.2} last {:.2} s; \
         thrown {}; shed {} of {}; {:.1} datagrams, {:.0} bytes a node a second; by half seconds after the return {:?}",
        if cut { "cut from a" } else { "lost" },
        if exchange { "on" } else { "off" },
        left.len(),
        first.unwrap_or(&f64::NAN),
        half.unwrap_or(&f64::NAN),
        last.unwrap_or(&f64::NAN),
        w.thrown,
        w.shed,
        w.arrived,
        sent as f64 / each,
        bytes as f64 / each,
        &w.returned[..w.returned.len().min(16)],
    );
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 50, 350, 1000] } else { sizes };
    for n in sizes {
        play(n, false, false);
        play(n, false, true);
        play(n, true, true);
    }
}
