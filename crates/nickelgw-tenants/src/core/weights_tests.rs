use super::*;
use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Simulates nodes that read the published demands at different times, up to 1 s late, while the traffic
/// shifts between them. The total demand equals the quota. Returns the largest sum of fractions, and the mean
/// share of the demand that the fractions allowed.
fn simulate(nodes: u32, seed: u64, shift_s: f64) -> (f64, f64) {
    let mut random = WyRand::new_seed(seed);
    let mut uniform = move || random.generate::<u32>() as f64 / u32::MAX as f64;
    let config = NodeQuotaConfig { span_s: 4.0, max_revisions: 64 };
    let mut published = Demands { revision: 1, by_node: (0..nodes).map(|n| (n, 1.0)).collect() };
    let mut quotas: Vec<(NodeQuota, f64)> = (0..nodes).map(|n| (NodeQuota::new(config, n), 0.0)).collect();
    let mut weights: Vec<f64> = vec![1.0; nodes as usize];
    let (mut now, mut max_total, mut used, mut rounds, mut shift_at) = (0.0, 0.0f64, 0.0, 0.0, 0.0);
    while now < 60.0 {
        now += 0.1;
        if now >= shift_at {
            shift_at = now + shift_s;
            // Some nodes get more traffic than others.
            weights.iter_mut().for_each(|weight| *weight = uniform().powi(3));
        }
        let sum: f64 = weights.iter().sum();
        // One node publishes its demand.
        let n = (uniform() * f64::from(nodes)) as usize % nodes as usize;
        published.revision += 1;
        published.by_node.insert(n as u32, weights[n] / sum);
        let mut total = 0.0;
        for (n, (fraction, read_at)) in quotas.iter_mut().enumerate() {
            if now >= *read_at {
                *read_at = now + 0.5 + 0.5 * uniform();
                fraction.update_demands(now - uniform(), &published);
            }
            let current = fraction.current(now);
            total += current;
            if now > 10.0 {
                used += current.min(weights[n] / sum);
            }
        }
        rounds += if now > 10.0 { 1.0 } else { 0.0 };
        max_total = max_total.max(total);
    }
    (max_total, used / rounds)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(111), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn fractions_never_sum_to_more_than_one(nodes in 2u32..40, seed in any::<u64>(), shift in 5.0..60.0f64) {
        let (max_total, _) = simulate(nodes, seed, shift);
        prop_assert!(max_total <= 1.0 + 1e-9, "{max_total}");
    }
}

#[test]
fn fraction_follows_steady_traffic() {
    let (_, used) = simulate(6, 7, 1e9);
    // With even fractions each of the 6 nodes could serve at most one sixth of the quota.
    assert!(used > 0.75, "{used}");
}

#[test]
fn demand_is_the_recent_rate_of_arrivals() {
    let mut demand = DemandRate::default();
    (0..600).for_each(|n| demand.record(f64::from(n) * 0.1, 1.0));
    assert!((demand.per_s(60.0) - 10.0).abs() < 0.5, "{}", demand.per_s(60.0));
    assert!(demand.per_s(65.0) < 5.5 && demand.per_s(0.0) > 0.0);
}
