use super::*;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Number of requests that the simulated fleet serves at once, and the mean service time of each.
const SLOTS: usize = 40;
const SERVICE_S: f64 = 0.5;
/// Objective of the time to first token.
const OBJECTIVE_S: f64 = 0.8;
const CAPACITY_PER_S: f64 = SLOTS as f64 / SERVICE_S;
const QUIET_RATE: f64 = 0.2 * CAPACITY_PER_S;
const WARMUP_S: f64 = 10.0;
const END_S: f64 = 60.0;
const QUIET: usize = 0;
const NOISY: usize = 1;

/// How requests are admitted in the simulation.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    FairShare,
    /// A token bucket for each tenant, with half the fleet's capacity.
    PlainBuckets,
}

struct Simulation {
    policy: Policy,
    limit: ConcurrencyLimit,
    admission: FairShare,
    bucket_tokens: [f64; 2],
    refilled_at: f64,
    random: WyRand,
    /// End time in microseconds and tenant of each running request, the earliest first.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    queue: VecDeque<(f64, usize)>,
    wanted: f64,
    served: f64,
}

impl Simulation {
    fn new(policy: Policy) -> Simulation {
        Simulation {
            policy,
            limit: ConcurrencyLimit::new(FairShareLimits::default(), 400.0),
            admission: FairShare::default(),
            bucket_tokens: [CAPACITY_PER_S / 2.0; 2],
            refilled_at: 0.0,
            random: WyRand::new_seed(11),
            running: BinaryHeap::new(),
            queue: VecDeque::new(),
            wanted: 0.0,
            served: 0.0,
        }
    }

    fn uniform(&mut self) -> f64 {
        (self.random.generate::<u32>() as f64 / u32::MAX as f64).max(1e-9)
    }

    fn arrive(&mut self, now: f64, tenant: usize) {
        self.wanted += f64::from(u8::from(tenant == QUIET && now > WARMUP_S));
        let refill = CAPACITY_PER_S / 2.0 * (now - self.refilled_at);
        self.bucket_tokens.iter_mut().for_each(|tokens| *tokens = (*tokens + refill).min(CAPACITY_PER_S));
        self.refilled_at = now;
        let is_admitted = match self.policy {
            Policy::FairShare => self.admission.admits(self.limit.get(), 0.25, tenant, 1.0),
            Policy::PlainBuckets => self.bucket_tokens[tenant] >= 1.0,
        };
        if is_admitted {
            self.bucket_tokens[tenant] -= 1.0;
            self.admission.request_opened(tenant, 1.0);
            self.queue.push_back((now, tenant));
        }
    }

    fn start_queued(&mut self, now: f64) {
        while self.running.len() < SLOTS {
            let Some((since, tenant)) = self.queue.pop_front() else { break };
            let waited_s = now - since;
            self.limit.record_answer(now, self.admission.open(), waited_s > 0.4 * OBJECTIVE_S);
            // A request that has waited beyond the objective is rejected.
            if waited_s > OBJECTIVE_S {
                self.admission.request_closed(tenant);
                continue;
            }
            if tenant == QUIET && since > WARMUP_S {
                self.served += 1.0;
            }
            // The noisy tenant's requests take twice as long as its quota assumes.
            let service_s = if tenant == QUIET { SERVICE_S } else { 2.0 * SERVICE_S };
            let service_s = (0.5 + self.uniform()) * service_s;
            self.running.push(Reverse((((now + service_s) * 1e6) as u64, tenant)));
        }
    }
}

/// Simulates a quiet tenant at 20% of the fleet's capacity and a noisy tenant at `noise` times that rate.
/// Returns the share of the quiet tenant's requests that are served within the objective.
fn simulate(noise: f64, policy: Policy) -> f64 {
    let mut simulation = Simulation::new(policy);
    let rates = [QUIET_RATE, QUIET_RATE * noise];
    let mut arrivals = rates.map(|rate| -simulation.uniform().ln() / rate);
    loop {
        let next_end = simulation.running.peek().map_or(f64::INFINITY, |end| end.0 .0 as f64 / 1e6);
        let now = arrivals[QUIET].min(arrivals[NOISY]).min(next_end);
        if now > END_S {
            return simulation.served / simulation.wanted;
        }
        if next_end <= now {
            let Some(Reverse((_, tenant))) = simulation.running.pop() else { unreachable!() };
            simulation.admission.request_closed(tenant);
        } else {
            let tenant = if arrivals[NOISY] < arrivals[QUIET] { NOISY } else { QUIET };
            arrivals[tenant] = now - simulation.uniform().ln() / rates[tenant];
            simulation.arrive(now, tenant);
        }
        simulation.start_queued(now);
    }
}

#[test]
fn noisy_tenant_does_not_starve_a_quiet_one() {
    let alone = simulate(0.01, Policy::FairShare);
    assert!(alone > 0.99, "{alone}");
    for noise in [2.0, 5.0, 20.0] {
        let (with, without) = (simulate(noise, Policy::FairShare), simulate(noise, Policy::PlainBuckets));
        assert!(with >= 0.99 * alone, "{noise} times: {with}, plain buckets {without}");
    }
    // Plain buckets admit requests that cost more than the quota assumes.
    assert!(simulate(20.0, Policy::PlainBuckets) < 0.9);
}

#[test]
fn shares_follow_the_weights_of_tenants_with_open_requests() {
    let mut admission = FairShare::default();
    (0..80).for_each(|_| admission.request_opened(1, 1.0));
    assert!(admission.admits(100.0, 0.25, 1, 1.0), "all requests are admitted below the limit");
    (0..20).for_each(|_| admission.request_opened(1, 1.0));
    // At the limit, another tenant is admitted up to its share, but not beyond the reserve.
    let mut n = 0;
    while admission.admits(100.0, 0.25, 2, 3.0) {
        admission.request_opened(2, 3.0);
        n += 1;
    }
    assert!(n == 25 && !admission.admits(100.0, 0.25, 1, 1.0));
    (0..100).for_each(|_| admission.request_closed(1));
    (0..25).for_each(|_| admission.request_closed(2));
    assert_eq!((admission.open(), admission.tenants.len()), (0, 0));
}
