//! Token buckets of tenant, group and route, each of inferences and of prompt tokens: a request is let in only if every
//! bucket on its way has room, and then takes from all of them. What a bucket holds is this node's part of the whole.

use super::permissions::Quota;
use std::collections::BTreeMap;

/// Seconds' worth that may come at once, and a number that chance alone may bring together.
const BURST_S: f64 = 2.0;
const BURST_LEAST: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    left: f64,
    at: f64,
    /// Of the whole, and this node's part of it.
    rate: f64,
    part: f64,
}

impl Bucket {
    fn new(now: f64, rate: f64, part: f64) -> Bucket {
        let mut b = Bucket { left: 0.0, at: now, rate, part };
        b.left = b.most();
        b
    }

    fn most(&self) -> f64 {
        match self.rate * self.part > 0.0 {
            true => BURST_LEAST.max(BURST_S * self.rate * self.part),
            false => 0.0,
        }
    }

    fn fill(&mut self, now: f64) {
        // A clock that is set back gives nothing and takes nothing.
        let dt = (now - self.at).max(0.0);
        self.left = (self.left + self.rate * self.part * dt).min(self.most());
        self.at = self.at.max(now);
    }

    /// Another part: what is there already above it is taken back, so that the sum over nodes stays under the whole.
    fn set(&mut self, now: f64, rate: f64, part: f64) {
        self.fill(now);
        (self.rate, self.part) = (rate, part);
        self.left = self.left.min(self.most());
    }

    /// Seconds until there is so much.
    fn until(&self, wanted: f64) -> f64 {
        let pace = self.rate * self.part;
        match pace > 0.0 {
            // More than it ever holds: when it is full, it may run into debt.
            true => ((wanted.min(self.most()) - self.left) / pace).max(0.0),
            false => f64::INFINITY,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Whose {
    Tenant(usize),
    Group(usize),
    Route(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Admitted,
    /// Which bucket had no room, and when it may have.
    Refused {
        by: Whose,
        come_back_s: f64,
    },
}

#[derive(Default)]
pub struct Buckets {
    of: BTreeMap<Whose, [Bucket; 2]>,
}

impl Buckets {
    /// A limit is new, or has changed, or this node's part of it has.
    pub fn set(&mut self, now: f64, whose: Whose, quota: &Quota, part: f64) {
        let rates = [quota.inferences_per_s, quota.prompt_tokens_per_s];
        match self.of.get_mut(&whose) {
            Some(b) => b.iter_mut().zip(rates).for_each(|(b, r)| b.set(now, r, part)),
            None => drop(self.of.insert(whose, rates.map(|r| Bucket::new(now, r, part)))),
        }
    }

    pub fn remove(&mut self, whose: Whose) {
        self.of.remove(&whose);
    }

    /// One inference with so many prompt tokens.
    pub fn admit(&mut self, now: f64, way: &[Whose], prompt_tokens: f64) -> Verdict {
        let wanted = [1.0, prompt_tokens];
        let mut worst: Option<(Whose, f64)> = None;
        for w in way {
            let Some(buckets) = self.of.get_mut(w) else { continue };
            for (b, wanted) in buckets.iter_mut().zip(wanted).filter(|(b, _)| b.rate.is_finite()) {
                b.fill(now);
                // One larger than the bucket passes when it is full, and is paid for afterwards.
                if b.left < wanted.min(b.most()) || b.most() == 0.0 {
                    let wait = b.until(wanted);
                    if worst.is_none_or(|x| wait > x.1) {
                        worst = Some((*w, wait));
                    }
                }
            }
        }
        if let Some((by, come_back_s)) = worst {
            return Verdict::Refused { by, come_back_s };
        }
        for w in way {
            let Some(buckets) = self.of.get_mut(w) else { continue };
            buckets.iter_mut().zip(wanted).filter(|(b, _)| b.rate.is_finite()).for_each(|(b, n)| b.left -= n);
        }
        Verdict::Admitted
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn quota(inferences: f64, tokens: f64) -> Quota {
        Quota { inferences_per_s: inferences, prompt_tokens_per_s: tokens, ..Quota::NONE }
    }

    const WAY: [Whose; 3] = [Whose::Tenant(0), Whose::Group(0), Whose::Route(0)];

    #[test]
    fn the_narrowest_limit_counts_and_a_refusal_takes_nothing() {
        let mut b = Buckets::default();
        b.set(0.0, Whose::Tenant(0), &quota(10.0, f64::INFINITY), 1.0);
        b.set(0.0, Whose::Group(0), &quota(4.0, f64::INFINITY), 1.0);
        b.set(0.0, Whose::Route(0), &quota(f64::INFINITY, 1000.0), 1.0);
        let admitted = (0..30).filter(|_| b.admit(0.0, &WAY, 10.0) == Verdict::Admitted).count();
        assert_eq!(admitted, 8);
        match b.admit(0.0, &WAY, 10.0) {
            Verdict::Refused { by: Whose::Group(0), come_back_s } => {
                assert!((come_back_s - 0.25).abs() < 1e-9)
            }
            other => panic!("{other:?}"),
        }
        // The tenant's own bucket has lost eight of its twenty, not thirty.
        assert_eq!((0..30).filter(|_| b.admit(0.0, &WAY[..1], 1.0) == Verdict::Admitted).count(), 12);
        // A prompt larger than the bucket passes when it is full, and is paid for.
        assert_eq!(b.admit(10.0, &WAY[2..], 9000.0), Verdict::Admitted);
        assert!(
            matches!(b.admit(11.0, &WAY[2..], 1.0), Verdict::Refused { come_back_s, .. } if come_back_s > 5.0)
        );
        // Quota zero, and back.
        b.set(20.0, Whose::Group(0), &quota(0.0, f64::INFINITY), 1.0);
        assert!(
            matches!(b.admit(30.0, &WAY, 1.0), Verdict::Refused { come_back_s, .. } if come_back_s.is_infinite())
        );
        b.set(31.0, Whose::Group(0), &quota(4.0, f64::INFINITY), 1.0);
        assert!(matches!(b.admit(31.0, &WAY, 1.0), Verdict::Refused { .. }), "no credit from before");
        assert_eq!(b.admit(31.5, &WAY, 1.0), Verdict::Admitted);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(101), failure_persistence: None, ..ProptestConfig::default() })]
        /// Over nodes whose parts sum to one at each moment, whatever the traffic, changes and steps of the clock: what
        /// is let in never passes the quota's time and its bursts.
        #[test]
        fn the_sum_over_nodes_keeps_to_the_quota(
            steps in prop::collection::vec((0usize..4, 0.0..0.3f64, 0.0..1.0f64, any::<bool>()), 1..300), rate in 0.5..50.0f64,
        ) {
            let mut nodes: Vec<Buckets> = (0..4).map(|_| Buckets::default()).collect();
            let q = quota(rate, f64::INFINITY);
            nodes.iter_mut().for_each(|n| n.set(0.0, Whose::Tenant(0), &q, 0.25));
            let (mut now, mut admitted, mut shifts) = (0.0f64, 0.0, 0.0);
            for (n, dt, split, back) in steps {
                now += dt;
                if split < 0.05 {
                    // The parts shift: each node hears of it, those that shrink no later than those that grow.
                    let parts = [split * 10.0, 0.5 - split * 10.0, 0.25, 0.25].map(|p| p.clamp(0.0, 1.0));
                    for (node, p) in nodes.iter_mut().zip(parts) {
                        node.set(now, Whose::Tenant(0), &q, p);
                    }
                    shifts += 1.0;
                }
                let at = if back { now - 0.2 } else { now };
                while nodes[n].admit(at, &[Whose::Tenant(0)], 1.0) == Verdict::Admitted {
                    admitted += 1.0;
                }
            }
            let _ = shifts;
            let burst = BURST_S * rate + 4.0 * BURST_LEAST;
            prop_assert!(admitted <= rate * now + burst + 1e-6, "{admitted} of {}", rate * now + burst);
        }
    }
}
