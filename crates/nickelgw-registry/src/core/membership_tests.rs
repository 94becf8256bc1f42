use super::*;
use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CONFIG: MembershipConfig =
    MembershipConfig { lease_s: 6.0, margin_s: 1.0, max_staleness_s: 2.0, max_nodes: 64 };

/// Registration in the model registry.
struct ModelRegistration {
    name: String,
    created_revision: u64,
    /// Expiry of the lease by the registry's clock.
    lease_expires_at: f64,
}

/// Model of the registry.
#[derive(Default)]
struct ModelRegistry {
    registrations: BTreeMap<u32, ModelRegistration>,
    revision: u64,
}

impl ModelRegistry {
    fn expire(&mut self, now: f64) {
        self.registrations.retain(|_, registration| now < registration.lease_expires_at);
    }

    fn list(&self) -> Vec<NodeRegistration> {
        let listed = |(number, model): (&u32, &ModelRegistration)| {
            registration(*number, &model.name, model.created_revision)
        };
        self.registrations.iter().map(listed).collect()
    }

    fn renew(&mut self, name: &str, lease_expires_at: f64) {
        for registration in self.registrations.values_mut().filter(|registration| registration.name == name) {
            registration.lease_expires_at = lease_expires_at;
        }
    }

    /// Claims a number; returns whether the node has it afterwards. `lease_expires_at` is `None` without a
    /// valid lease.
    fn claim(&mut self, number: u32, name: &str, lease_expires_at: Option<f64>) -> bool {
        if let Some(registration) = self.registrations.get(&number) {
            return registration.name == name;
        }
        let Some(lease_expires_at) = lease_expires_at else { return false };
        self.revision += 1;
        let (name, created_revision) = (name.to_string(), self.revision);
        self.registrations.insert(number, ModelRegistration { name, created_revision, lease_expires_at });
        true
    }
}

/// A simulated node.
struct SimulatedNode {
    membership: Membership,
    name: String,
    paused_until: f64,
    refresh_at: f64,
    lease_expires_at: Option<f64>,
}

impl SimulatedNode {
    fn new(number: u32, now: f64) -> SimulatedNode {
        let name = format!("n{number}");
        let membership = Membership::new(CONFIG, &name);
        SimulatedNode { membership, name, paused_until: 0.0, refresh_at: now, lease_expires_at: None }
    }

    /// Runs one step of the node. Calls to the registry fail if `is_lost`; otherwise their responses are as
    /// old as if they had been requested at `requested_at`.
    fn step(&mut self, registry: &mut ModelRegistry, now: f64, requested_at: f64, is_lost: bool) {
        if now >= self.refresh_at && !is_lost {
            self.refresh_at = now + 0.5;
            self.membership.update_registrations(requested_at, registry.list());
        }
        for command in self.membership.poll_commands(now).0 {
            match command {
                MembershipCommand::KeepAlive if is_lost => {}
                MembershipCommand::KeepAlive => self.keep_alive(registry, now, requested_at),
                MembershipCommand::Claim(number) => {
                    let lease = self.lease_expires_at.filter(|expires_at| now < *expires_at);
                    let succeeded = registry.claim(number, &self.name, lease);
                    self.membership.claim_finished(now, number, succeeded);
                }
                MembershipCommand::Release(_) => {}
            }
        }
    }

    fn keep_alive(&mut self, registry: &mut ModelRegistry, now: f64, requested_at: f64) {
        if self.lease_expires_at.is_some_and(|expires_at| now >= expires_at) {
            self.membership.lease_lost();
        }
        self.lease_expires_at = Some(now + CONFIG.lease_s);
        self.membership.lease_renewed(requested_at, CONFIG.lease_s);
        registry.renew(&self.name, now + CONFIG.lease_s);
    }
}

/// Returns the sum of the shares in use. Panics if two nodes use the same number.
fn sum_of_shares(nodes: &mut [SimulatedNode], now: f64) -> f64 {
    let mut sum = 0.0;
    let mut numbers = BTreeMap::new();
    for node in nodes.iter_mut() {
        let position = node.membership.position(now);
        sum += position.node_count.map_or(0.0, |count| 1.0 / f64::from(count));
        if let Some(number) = position.number {
            *numbers.entry(number).or_insert(0) += 1;
        }
    }
    assert!(numbers.values().all(|n| *n == 1), "two nodes use the same number at {now} s");
    sum
}

/// Simulates a fleet in which nodes join, stop without notice, and pause for random times. Calls to the
/// registry take up to half the safety margin or are lost. Returns the largest sum of shares at any time.
fn simulate(seed: u64, churn: f64, until: f64) -> f64 {
    let mut random = WyRand::new_seed(seed);
    let mut uniform = move || random.generate::<u32>() as f64 / u32::MAX as f64;
    let mut registry = ModelRegistry::default();
    let mut nodes: Vec<SimulatedNode> = Vec::new();
    let (mut now, mut max_sum, mut joined) = (0.0, 0.0f64, 0);
    while now < until {
        now += 0.1;
        registry.expire(now);
        if nodes.len() < 8 && uniform() < churn {
            joined += 1;
            nodes.push(SimulatedNode::new(joined, now));
        }
        if !nodes.is_empty() && uniform() < churn / 2.0 {
            let n = (uniform() * nodes.len() as f64) as usize % nodes.len();
            // The node stops permanently or pauses.
            if uniform() < 0.5 {
                nodes.remove(n);
            } else {
                nodes[n].paused_until = now + 20.0 * uniform();
            }
        }
        for node in nodes.iter_mut().filter(|node| now >= node.paused_until) {
            let is_lost = uniform() < 0.1;
            // By the node's own clock, a response received now was requested up to half the margin ago.
            let requested_at = now - 0.5 * CONFIG.margin_s * uniform();
            node.step(&mut registry, now, requested_at, is_lost);
        }
        // A paused node makes no decisions; when it resumes, it acts on its old state.
        max_sum = max_sum.max(sum_of_shares(&mut nodes, now));
    }
    max_sum
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(91), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn sum_of_shares_never_exceeds_the_whole(seed in any::<u64>(), churn in 0.001..0.05f64) {
        let max_sum = simulate(seed, churn, 120.0);
        prop_assert!(max_sum <= 1.0 + 1e-9, "the shares add up to {max_sum}");
    }
}

#[test]
fn number_lost_by_registry_is_claimed_again() {
    let mut node = Membership::new(CONFIG, "a");
    node.lease_renewed(0.0, 100.0);
    node.update_registrations(0.0, vec![]);
    node.poll_commands(0.0);
    node.claim_finished(0.1, 0, true);
    node.update_registrations(1.0, vec![registration(0, "a", 3)]);
    assert!(!node.poll_commands(1.0).0.iter().any(|command| matches!(command, MembershipCommand::Claim(_))));
    node.update_registrations(2.0, vec![registration(1, "b", 2)]);
    assert!(node.poll_commands(2.0).0.contains(&MembershipCommand::Claim(0)));
}

#[test]
fn nearly_the_whole_limit_is_used_with_little_churn() {
    assert!(simulate(3, 0.002, 300.0) > 0.9);
}

fn registration(number: u32, name: &str, created_revision: u64) -> NodeRegistration {
    NodeRegistration { number, name: name.into(), created_revision }
}

#[test]
fn higher_node_count_applies_at_once_and_lower_count_after_leases_expired() {
    let mut node = Membership::new(CONFIG, "a");
    node.lease_renewed(0.0, CONFIG.lease_s);
    node.update_registrations(0.0, vec![]);
    assert!(node.poll_commands(0.0).0.contains(&MembershipCommand::Claim(0)));
    node.claim_finished(0.1, 0, true);
    let observe = |node: &mut Membership, at: f64, n: u32| {
        node.lease_renewed(at, CONFIG.lease_s);
        let others = (1..n).map(|number| registration(number, &format!("o{number}"), 9));
        node.update_registrations(at, others.chain([registration(0, "a", 1)]).collect());
        node.position(at).node_count
    };
    // The node uses no share before all other nodes must have seen it.
    assert_eq!((observe(&mut node, 1.0, 4), observe(&mut node, 3.2, 4)), (None, Some(4)));
    assert_eq!(observe(&mut node, 4.0, 5), Some(5));
    assert_eq!(
        (observe(&mut node, 5.0, 2), observe(&mut node, 10.9, 2), observe(&mut node, 11.1, 2)),
        (Some(5), Some(5), Some(2))
    );
    // A list that is too old gives no position, and neither does a lease that may have expired.
    assert_eq!(node.position(13.2), FleetPosition { number: None, node_count: None });
    node.update_registrations(20.0, vec![registration(0, "a", 1)]);
    assert_eq!(node.position(20.0).node_count, None);
}

#[test]
fn earlier_of_two_registrations_with_the_same_number_wins() {
    let mut node = Membership::new(CONFIG, "a");
    node.lease_renewed(0.0, 100.0);
    node.update_registrations(0.0, vec![]);
    node.poll_commands(0.0);
    node.claim_finished(0.1, 0, true);
    node.update_registrations(5.0, vec![registration(0, "a", 7), registration(0, "b", 3)]);
    assert_eq!(node.position(5.0).number, None);
    let (commands, _) = node.poll_commands(5.0);
    assert!(
        commands.contains(&MembershipCommand::Release(0)) && commands.contains(&MembershipCommand::Claim(1)),
        "{commands:?}"
    );
}
