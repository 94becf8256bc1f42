use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn quota(requests: f64, tokens: f64) -> Quota {
    Quota { requests_per_s: requests, prompt_tokens_per_s: tokens, ..Quota::UNLIMITED }
}

const OWNERS: [QuotaOwner; 3] = [QuotaOwner::Tenant(0), QuotaOwner::Group(0), QuotaOwner::Route(0)];

#[test]
fn narrowest_quota_decides_and_a_rejection_takes_no_tokens() {
    let mut buckets = TokenBuckets::default();
    buckets.set_quota(0.0, QuotaOwner::Tenant(0), &quota(10.0, f64::INFINITY), 1.0);
    buckets.set_quota(0.0, QuotaOwner::Group(0), &quota(4.0, f64::INFINITY), 1.0);
    buckets.set_quota(0.0, QuotaOwner::Route(0), &quota(f64::INFINITY, 1000.0), 1.0);
    let admitted = (0..30).filter(|_| buckets.admit(0.0, &OWNERS, 10.0) == Admission::Admitted).count();
    assert_eq!(admitted, 8);
    match buckets.admit(0.0, &OWNERS, 10.0) {
        Admission::Rejected { by: QuotaOwner::Group(0), retry_after_s } => {
            assert!((retry_after_s - 0.25).abs() < 1e-9)
        }
        other => panic!("{other:?}"),
    }
    // The tenant's own bucket has lost 8 of its 20 tokens, not 30: the rejected requests took none.
    assert_eq!((0..30).filter(|_| buckets.admit(0.0, &OWNERS[..1], 1.0) == Admission::Admitted).count(), 12);
    // A prompt larger than the bucket passes when the bucket is full, and leaves it in debt.
    assert_eq!(buckets.admit(10.0, &OWNERS[2..], 9000.0), Admission::Admitted);
    assert!(
        matches!(buckets.admit(11.0, &OWNERS[2..], 1.0), Admission::Rejected { retry_after_s, .. } if retry_after_s > 5.0)
    );
    // The quota is set to zero and back.
    buckets.set_quota(20.0, QuotaOwner::Group(0), &quota(0.0, f64::INFINITY), 1.0);
    assert!(
        matches!(buckets.admit(30.0, &OWNERS, 1.0), Admission::Rejected { retry_after_s, .. } if retry_after_s.is_infinite())
    );
    buckets.set_quota(31.0, QuotaOwner::Group(0), &quota(4.0, f64::INFINITY), 1.0);
    assert!(
        matches!(buckets.admit(31.0, &OWNERS, 1.0), Admission::Rejected { .. }),
        "tokens from before the zero quota are not kept"
    );
    assert_eq!(buckets.admit(31.5, &OWNERS, 1.0), Admission::Admitted);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(101), failure_persistence: None, ..ProptestConfig::default() })]
    /// While the nodes' fractions sum to one at each moment, the requests admitted by all nodes never exceed
    /// the quota and its bursts, whatever the traffic, the changes of fractions and the steps of the clock.
    #[test]
    fn sum_over_nodes_stays_within_the_quota(
        steps in prop::collection::vec((0usize..4, 0.0..0.3f64, 0.0..1.0f64, any::<bool>()), 1..300), rate in 0.5..50.0f64,
    ) {
        let mut nodes: Vec<TokenBuckets> = (0..4).map(|_| TokenBuckets::default()).collect();
        let quota_of_tenant = quota(rate, f64::INFINITY);
        nodes.iter_mut().for_each(|node| node.set_quota(0.0, QuotaOwner::Tenant(0), &quota_of_tenant, 0.25));
        let (mut now, mut admitted) = (0.0f64, 0.0);
        for (n, pause_s, first_fraction, clock_back) in steps {
            now += pause_s;
            if first_fraction < 0.05 {
                // The fractions change at all nodes at once.
                let fractions = [first_fraction * 10.0, 0.5 - first_fraction * 10.0, 0.25, 0.25].map(|fraction| fraction.clamp(0.0, 1.0));
                for (node, fraction) in nodes.iter_mut().zip(fractions) {
                    node.set_quota(now, QuotaOwner::Tenant(0), &quota_of_tenant, fraction);
                }
            }
            let at = if clock_back { now - 0.2 } else { now };
            while nodes[n].admit(at, &[QuotaOwner::Tenant(0)], 1.0) == Admission::Admitted {
                admitted += 1.0;
            }
        }
        let burst = BURST_S * rate + 4.0 * MIN_CAPACITY;
        prop_assert!(admitted <= rate * now + burst + 1e-6, "{admitted} of {}", rate * now + burst);
    }
}
