//! A node's part of a shared quota, following where the traffic arrives. Nodes publish their demand; each computes its part
//! from what it has read of all. Views differ for a while, so a node uses the least part that any view of the last span
//! gives it: whenever some view is in every node's span, the parts sum to no more than that view's whole.

use std::collections::{BTreeMap, VecDeque};

/// Demand is never taken for less than this part of an even share: one that gets none could show none.
const LEAST: f64 = 0.1;
/// What of the whole is kept back from being shared out.
const WHOLE: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// How long a view stays in use at some node after it was read here.
    pub span_s: f64,
    pub most_views: usize,
}

/// Demands of all nodes for one quota, as they stood at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Demands {
    pub revision: u64,
    pub of: BTreeMap<u32, f64>,
}

/// A node's part by one view.
pub fn part(d: &Demands, node: u32) -> f64 {
    if !d.of.contains_key(&node) {
        return 0.0;
    }
    let n = d.of.len() as f64;
    let sum: f64 = d.of.values().map(|x| x.max(0.0)).sum();
    let floor = LEAST / n;
    let own = d.of[&node].max(0.0);
    let follows = if sum > 0.0 { own / sum } else { 1.0 / n };
    WHOLE * (floor + (1.0 - LEAST) * follows)
}

pub struct Parts {
    figures: Figures,
    node: u32,
    /// Until when each view counts, and what part it gives.
    views: VecDeque<(f64, u64, f64)>,
}

impl Parts {
    pub fn new(figures: Figures, node: u32) -> Parts {
        Parts { figures, node, views: VecDeque::new() }
    }

    /// A view was read; `asked_at`: when it was asked for, which is how old it may be.
    pub fn read(&mut self, asked_at: f64, d: &Demands) {
        let p = part(d, self.node);
        if let Some(v) = self.views.iter_mut().find(|v| v.1 == d.revision) {
            v.0 = v.0.max(asked_at + self.figures.span_s);
            return;
        }
        self.views.push_back((asked_at + self.figures.span_s, d.revision, p));
        if self.views.len() > self.figures.most_views {
            // Bounded: the lesser part counts for both.
            if let (Some(old), Some(next)) = (self.views.pop_front(), self.views.front_mut()) {
                next.2 = next.2.min(old.2);
                next.0 = next.0.max(old.0);
            }
        }
    }

    /// What it may use now; nothing once all it knows is too old.
    pub fn now(&mut self, now: f64) -> f64 {
        self.views.retain(|v| now < v.0);
        self.views.iter().map(|v| v.2).reduce(f64::min).unwrap_or(0.0)
    }
}

/// This node's own demand: what came in lately, let in or not, of each second the more the fresher.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: f64,
}

const HALF_S: f64 = 5.0;

impl Demand {
    pub fn came(&mut self, now: f64, n: f64) {
        self.rate = self.per_s(now) + n * std::f64::consts::LN_2 / HALF_S;
        self.at = self.at.max(now);
    }

    pub fn per_s(&self, now: f64) -> f64 {
        self.rate * 0.5f64.powf((now - self.at).max(0.0) / HALF_S)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nanorand::{Rng, WyRand};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Nodes read the published demands at their own times, up to a second late; traffic shifts. Gives the largest sum of
    /// parts, and the mean part of the demand that could be used, when the demand is the quota itself.
    fn play(nodes: u32, seed: u64, shift_s: f64) -> (f64, f64) {
        let mut chance = WyRand::new_seed(seed);
        let mut dice = move || chance.generate::<u32>() as f64 / u32::MAX as f64;
        let figures = Figures { span_s: 4.0, most_views: 64 };
        let mut published = Demands { revision: 1, of: (0..nodes).map(|n| (n, 1.0)).collect() };
        let mut all: Vec<(Parts, f64)> = (0..nodes).map(|n| (Parts::new(figures, n), 0.0)).collect();
        let mut weights: Vec<f64> = vec![1.0; nodes as usize];
        let (mut now, mut worst, mut used, mut rounds, mut shift_at) = (0.0, 0.0f64, 0.0, 0.0, 0.0);
        while now < 60.0 {
            now += 0.1;
            if now >= shift_at {
                shift_at = now + shift_s;
                // Traffic comes to some nodes more than to others.
                weights.iter_mut().for_each(|w| *w = dice().powi(3));
            }
            let sum: f64 = weights.iter().sum();
            // One node publishes what it sees.
            let n = (dice() * f64::from(nodes)) as usize % nodes as usize;
            published.revision += 1;
            published.of.insert(n as u32, weights[n] / sum);
            let mut total = 0.0;
            for (k, (p, look_at)) in all.iter_mut().enumerate() {
                if now >= *look_at {
                    *look_at = now + 0.5 + 0.5 * dice();
                    p.read(now - dice(), &published);
                }
                let part = p.now(now);
                total += part;
                if now > 10.0 {
                    used += part.min(weights[k] / sum);
                }
            }
            rounds += if now > 10.0 { 1.0 } else { 0.0 };
            worst = worst.max(total);
        }
        (worst, used / rounds)
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(111), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn parts_never_sum_over_the_whole(nodes in 2u32..40, seed in any::<u64>(), shift in 5.0..60.0f64) {
            let (worst, _) = play(nodes, seed, shift);
            prop_assert!(worst <= 1.0 + 1e-9, "{worst}");
        }
    }

    #[test]
    fn where_traffic_stays_the_part_follows_it() {
        let (_, used) = play(6, 7, 1e9);
        // Even parts would serve, of such a split, what the even sixth allows each.
        assert!(used > 0.75, "{used}");
    }

    #[test]
    fn demand_is_what_came_lately() {
        let mut d = Demand::default();
        (0..600).for_each(|n| d.came(f64::from(n) * 0.1, 1.0));
        assert!((d.per_s(60.0) - 10.0).abs() < 0.5, "{}", d.per_s(60.0));
        assert!(d.per_s(65.0) < 5.5 && d.per_s(0.0) > 0.0);
    }
}
