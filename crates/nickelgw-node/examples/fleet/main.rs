//! Simulates the decision modules of a whole fleet in one process and in virtual time. One of three zones
//! becomes unreachable and returns; gossip datagrams are delayed and lost. Prints how long the fleet takes to
//! evacuate the zone, and how many datagrams and bytes gossip sends.
//!
//!     cargo run --release -p nickelgw-node --example fleet -- 350

#[path = "../../tests/common/deployment.rs"]
mod deployment;
mod report;

use deployment::small_deployment;
use nanorand::{Rng, WyRand};
use nickelgw::decide::Router;
use nickelgw::interface::*;
use nickelgw_gossip::core::record::{NodeRecord, SharedKey};
use nickelgw_gossip::core::{Gossip, GossipConfig, OutgoingDatagram};
use nickelgw_node_core::zone_failover::ZoneFailover;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of engines of each role in each zone.
const ENGINES_PER_ROLE_AND_ZONE: u32 = 15;
/// Time at which zone b becomes unreachable.
const ZONE_LOST_AT_S: f64 = 6.0;
/// Time at which zone b is reachable again.
const ZONE_RESTORED_AT_S: f64 = 12.0;
const SIMULATION_END_S: f64 = 22.0;
/// Rate of requests to the whole fleet, as in rehearsals of a fleet: each of 350 nodes receives one in 3 s.
const REQUESTS_PER_S: f64 = 120.0;
/// Share of gossip datagrams that are lost.
const DATAGRAM_LOSS_SHARE: f64 = 0.1;
/// Mean time between two gossip rounds of a node.
const GOSSIP_ROUND_S: f64 = 0.1;

/// An event of the simulation.
enum Event {
    Arrival(usize),
    AttemptEnded { node: usize, request: RequestHandle, attempt: u32, outcome: Outcome, after_s: f64 },
    Probed { node: usize, id: String, outcome: Outcome },
    Decide(usize),
    Round(usize),
    Datagram { to: usize, bytes: Vec<u8> },
}

/// A simulated node.
struct Node {
    router: Router,
    zone_failover: ZoneFailover,
    gossip: Gossip,
    /// Attempts of each request, by their number; true while the attempt is in flight.
    attempts: HashMap<u32, Vec<bool>>,
    /// Time at which the node evacuated zone b; `None` if it has not.
    evacuated_at: Option<f64>,
    /// Time for which the node's next decision is scheduled.
    wakes_at: f64,
    last_round_at: f64,
}

/// Parameters of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    node_count: usize,
    /// Whether zone b is unreachable from zone a alone; if not, it is lost to all nodes.
    is_partition: bool,
    /// Whether the nodes exchange gossip.
    gossip: bool,
}

impl Scenario {
    /// Returns whether the node cannot reach zone b while that is lost or partitioned.
    fn is_affected(&self, node: usize) -> bool {
        node.is_multiple_of(3) || !self.is_partition
    }
}

struct Simulation {
    scenario: Scenario,
    nodes: Vec<Node>,
    /// Nodes by gossip address.
    by_address: HashMap<String, usize>,
    /// Time in microseconds and key of each scheduled event, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by key.
    events: HashMap<u64, Event>,
    /// Number of events scheduled so far, which gives the next key.
    scheduled: u64,
    random: WyRand,
    failed_attempts: usize,
    /// Number of attempts at zone b in each half second after its return.
    attempts_after_return: Vec<usize>,
    rejected: usize,
    arrived: usize,
}

fn unix_ms(now: f64) -> u64 {
    1_700_000_000_000 + (now * 1e3) as u64
}

fn zone_of(id: &str) -> usize {
    ZONES.iter().position(|zone| id.starts_with(zone)).unwrap_or(0)
}

impl Simulation {
    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(((at * 1e6) as u64, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn random(&mut self) -> f64 {
        f64::from(self.random.generate::<u32>()) / f64::from(u32::MAX)
    }

    fn is_unreachable(&self, node: usize, id: &str, now: f64) -> bool {
        (ZONE_LOST_AT_S..ZONE_RESTORED_AT_S).contains(&now)
            && zone_of(id) == 1
            && self.scenario.is_affected(node)
    }

    fn decide(&mut self, node: usize, now: f64) {
        let decisions = self.nodes[node].router.decide(now);
        for (request, attempt) in decisions.cancelled {
            let outcome = Outcome::Cancelled;
            self.schedule(now, Event::AttemptEnded { node, request, attempt, outcome, after_s: 0.0 });
        }
        for dispatch in decisions.dispatches {
            self.dispatch(node, now, &dispatch);
        }
        self.rejected += decisions.rejected.len();
        for engine in decisions.probes {
            self.probe(node, now, engine);
        }
        for request in decisions.closed {
            self.nodes[node].attempts.remove(&request.0);
        }
        // Schedules one wake at a time, as a node has one timer.
        let wakes_at = self.nodes[node].wakes_at;
        if let Some(wake_at) = decisions.wake_at.filter(|at| *at < wakes_at || wakes_at <= now) {
            let wake_at = wake_at.max(now + 0.001);
            self.nodes[node].wakes_at = wake_at;
            self.schedule(wake_at, Event::Decide(node));
        }
    }

    fn dispatch(&mut self, node: usize, now: f64, dispatch: &Dispatch) {
        let id = self.nodes[node].router.engine_id(dispatch.engine).to_string();
        let attempts = self.nodes[node].attempts.entry(dispatch.request.0).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(true);
        let is_prefill = id.contains('r');
        let (outcome, after_s) = match self.is_unreachable(node, &id, now) {
            true => (Outcome::ConnectFailed, 0.25),
            false if is_prefill => (Outcome::Prefilled, 0.05),
            false => (Outcome::Completed, 0.5),
        };
        if outcome == Outcome::ConnectFailed {
            self.failed_attempts += 1;
        }
        if zone_of(&id) == 1 && now >= ZONE_RESTORED_AT_S {
            let half_second = ((now - ZONE_RESTORED_AT_S) * 2.0) as usize;
            let counts = &mut self.attempts_after_return;
            counts.resize(counts.len().max(half_second + 1), 0);
            counts[half_second] += 1;
        }
        let request = dispatch.request;
        self.schedule(now + after_s, Event::AttemptEnded { node, request, attempt, outcome, after_s });
    }

    fn probe(&mut self, node: usize, now: f64, engine: EngineHandle) {
        let id = self.nodes[node].router.engine_id(engine).to_string();
        let (outcome, after_s) = match self.is_unreachable(node, &id, now) {
            true => (Outcome::TimedOut, 0.25),
            false => (Outcome::Completed, 0.003),
        };
        self.schedule(now + after_s, Event::Probed { node, id, outcome });
    }

    fn send_datagrams(&mut self, now: f64, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to: address, bytes } in datagrams {
            let is_lost = self.random() < DATAGRAM_LOSS_SHARE;
            let latency_s = 0.001 + 0.004 * self.random();
            if let Some(&to) = self.by_address.get(&address).filter(|_| !is_lost) {
                self.schedule(now + latency_s, Event::Datagram { to, bytes });
            }
        }
    }

    fn run_round(&mut self, index: usize, now: f64) {
        let node = &mut self.nodes[index];
        node.last_round_at = now;
        let peers = node.gossip.zone_peers(now);
        let round = node.zone_failover.update(now, &mut node.router, &peers);
        node.gossip.publish(now, round.reports, round.urgent);
        if now >= ZONE_LOST_AT_S
            && node.evacuated_at.is_none()
            && node.zone_failover.zone_weights()[1].1 == 0.0
        {
            node.evacuated_at = Some(now);
        }
        let (datagrams, _) = node.gossip.poll_datagrams(now, unix_ms(now));
        self.send_datagrams(now, datagrams);
        self.decide(index, now);
    }

    fn handle_event(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrival(node) => self.arrive(node, now),
            Event::AttemptEnded { node, request, attempt, outcome, after_s } => {
                self.attempt_ended(now, node, (request, attempt), outcome, after_s)
            }
            Event::Probed { node, id, outcome } => {
                let load = EngineLoad { memory_share: Some(0.3), ..EngineLoad::default() };
                let load = Some(load).filter(|_| outcome == Outcome::Completed);
                self.nodes[node].router.probe_finished(now, &id, outcome, load);
                self.decide(node, now);
            }
            Event::Decide(node) if now < self.nodes[node].wakes_at => {}
            Event::Decide(node) => self.decide(node, now),
            Event::Round(node) => {
                self.run_round(node, now);
                let next = now + GOSSIP_ROUND_S * (0.95 + 0.1 * self.random());
                self.schedule(next, Event::Round(node));
            }
            Event::Datagram { to, bytes } => self.receive_datagram(to, now, &bytes),
        }
    }

    fn arrive(&mut self, node: usize, now: f64) {
        self.arrived += 1;
        let session = self.random().to_string();
        let request = IncomingRequest {
            route: 0,
            tenant: None,
            arrived_at: now,
            deadline: now + 6.0,
            prompt_tokens: 1000.0,
            prefix_tokens: 0.0,
            session,
            prefix: None,
            is_background: false,
        };
        self.nodes[node].router.admit_request(now, &request);
        self.decide(node, now);
        let gap_s = -(1.0 - self.random()).ln() * self.nodes.len() as f64 / REQUESTS_PER_S;
        self.schedule(now + gap_s, Event::Arrival(node));
    }

    fn attempt_ended(
        &mut self,
        now: f64,
        node: usize,
        (request, attempt): (RequestHandle, u32),
        outcome: Outcome,
        elapsed_s: f64,
    ) {
        // The result of an attempt that is already cancelled is ignored.
        let attempts = self.nodes[node].attempts.get_mut(&request.0);
        let in_flight = attempts.and_then(|attempts| attempts.get_mut(attempt as usize));
        if !in_flight.is_some_and(std::mem::take) {
            return;
        }
        let is_completed = outcome == Outcome::Completed;
        let router = &mut self.nodes[node].router;
        if is_completed {
            router.first_token(now, request, attempt);
        }
        let end = AttemptEnd {
            outcome,
            elapsed_s,
            request_finished: is_completed,
            cached_tokens: 0.0,
            reservation_missing: false,
        };
        router.attempt_finished(now, request, attempt, end, None);
        self.decide(node, now);
    }

    fn receive_datagram(&mut self, to: usize, now: f64, bytes: &[u8]) {
        let gossip = &mut self.nodes[to].gossip;
        let is_urgent = gossip.receive(now, unix_ms(now), bytes) == Ok(true);
        let (datagrams, _) = gossip.poll_datagrams(now, unix_ms(now));
        self.send_datagrams(now, datagrams);
        // A node does not run a round for every urgent datagram either.
        if is_urgent && now >= self.nodes[to].last_round_at + GOSSIP_ROUND_S / 4.0 {
            self.run_round(to, now);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, key))) = self.queue.pop() {
            let now = at as f64 / 1e6;
            if now > SIMULATION_END_S {
                break;
            }
            if let Some(event) = self.events.remove(&key) {
                self.handle_event(now, event);
            }
        }
    }
}

fn engine_entries() -> Vec<EngineEntry> {
    let mut entries = Vec::new();
    for (zone, name) in ZONES.iter().enumerate() {
        for n in 0..ENGINES_PER_ROLE_AND_ZONE {
            for (role, letter) in [(EngineRole::Prefill, 'r'), (EngineRole::Decode, 'w')] {
                entries.push(EngineEntry {
                    id: format!("{name}{letter}{n}"),
                    zone: zone as u32,
                    cell: zone as u32,
                    role,
                    memory_tokens: 1e6,
                    lifecycle: Lifecycle::Active,
                    started_at: None,
                });
            }
        }
    }
    entries
}

fn new_node(number: usize, scenario: Scenario, entries: &[EngineEntry]) -> Node {
    let route = ModelRoute {
        ttft_objective_s: 1.2,
        ttft_objective_per_token_s: 0.0,
        tpot_objective_s: 0.06,
        idempotency: Idempotency::Idempotent,
    };
    let mut router = Router::new(Deployment {
        node: number as u32,
        node_count: scenario.node_count as u32,
        seed: number as u64,
        zone: (number % 3) as u32,
        cross_cell_price: 0.04,
        cross_zone_price: 0.01,
        warmup_s: 10.0,
        ..small_deployment(vec![route])
    });
    router.update_endpoints(0.0, entries, true);
    let name = format!("n{number}");
    let zones: Vec<String> = ZONES.iter().map(|zone| zone.to_string()).collect();
    let own = NodeRecord {
        name: name.clone(),
        incarnation: 1,
        seq: 0,
        address: format!("{name}:1"),
        zone: ZONES[number % 3].into(),
        zone_reports: vec![],
        deferred_by_tenant: vec![],
    };
    let peers = if scenario.gossip { vec!["n0:1".into(), "n1:1".into(), "n2:1".into()] } else { vec![] };
    let key = SharedKey::from_secret("a key for the fleet in one process");
    Node {
        router,
        zone_failover: ZoneFailover::new(zones, &name, Default::default(), GOSSIP_ROUND_S, number as u64),
        gossip: Gossip::new(GossipConfig::default(), key, own, peers, number as u64),
        attempts: HashMap::new(),
        evacuated_at: None,
        wakes_at: 0.0,
        last_round_at: 0.0,
    }
}

fn simulate(scenario: Scenario) {
    let count = scenario.node_count;
    let entries = engine_entries();
    let mut simulation = Simulation {
        scenario,
        nodes: (0..count).map(|n| new_node(n, scenario, &entries)).collect(),
        by_address: (0..count).map(|n| (format!("n{n}:1"), n)).collect(),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        scheduled: 0,
        random: WyRand::new_seed(7),
        failed_attempts: 0,
        attempts_after_return: vec![],
        rejected: 0,
        arrived: 0,
    };
    for n in 0..count {
        let first_arrival = simulation.random() * count as f64 / REQUESTS_PER_S;
        let first_round = GOSSIP_ROUND_S * simulation.random();
        simulation.schedule(first_arrival, Event::Arrival(n));
        if scenario.gossip {
            simulation.schedule(first_round, Event::Round(n));
        }
    }
    simulation.run();
    report::report(&simulation);
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 50, 350, 1000] } else { sizes };
    for node_count in sizes {
        simulate(Scenario { node_count, is_partition: false, gossip: false });
        simulate(Scenario { node_count, is_partition: false, gossip: true });
        simulate(Scenario { node_count, is_partition: true, gossip: true });
    }
}
