//! A budget of retries for each tenant and model route: retries may make up no more than a share of what is admitted,
//! or a brief overload feeds itself. Who is sent away is told to come back at a time of its own.

use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub struct Figures {
    /// Retries admitted for each request answered, in the mean. Not for each that comes: in an overload, when most is
    /// shed, retries must fall with what is served or they keep it going.
    pub share: f64,
    /// Retries that may come at once although few first tries came before.
    pub burst: f64,
    /// Shortest and longest come-back time told.
    pub first_come_back_s: f64,
    pub longest_come_back_s: f64,
    /// Unmarked requests with a body that came lately count as retries too. Not so where clients ask the same
    /// thing for good reasons.
    pub by_body: bool,
    /// How long a body is remembered, by which a retry without a mark is known.
    pub remember_s: f64,
    pub most_remembered: usize,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            share: 0.1,
            burst: 5.0,
            first_come_back_s: 0.5,
            longest_come_back_s: 8.0,
            by_body: false,
            remember_s: 30.0,
            most_remembered: 65_536,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    FirstAttempt,
    Retry,
    /// Over budget: come back after so long.
    Rejected {
        come_back_s: f64,
    },
}

struct Bucket {
    left: f64,
    /// Refusals in a row: the more, the later all are told to come back.
    refused: u32,
}

/// Which bodies came lately, in the order of their coming.
#[derive(Default)]
struct Seen {
    set: BTreeSet<([u8; 16], u64)>,
    order: VecDeque<(f64, [u8; 16], u64)>,
    next: u64,
}

impl Seen {
    fn has(&self, body: &[u8; 16]) -> bool {
        self.set.range((*body, 0)..=(*body, u64::MAX)).next().is_some()
    }

    fn add(&mut self, now: f64, body: [u8; 16], f: &Figures) {
        while let Some(&(at, b, n)) = self.order.front() {
            if now - at < f.remember_s && self.order.len() < f.most_remembered {
                break;
            }
            self.order.pop_front();
            self.set.remove(&(b, n));
        }
        self.next += 1;
        self.set.insert((body, self.next));
        self.order.push_back((now, body, self.next));
    }
}

pub struct RetryBudget {
    figures: Figures,
    buckets: BTreeMap<(usize, usize), Bucket>,
    seen: Seen,
    chance: WyRand,
    pub admitted: u64,
    pub retries: u64,
    pub refused: u64,
}

impl RetryBudget {
    /// The seed is the node's: nodes spread what they tell differently.
    pub fn new(figures: Figures, seed: u64) -> Self {
        RetryBudget {
            figures,
            buckets: BTreeMap::new(),
            seen: Seen::default(),
            chance: WyRand::new_seed(seed),
            admitted: 0,
            retries: 0,
            refused: 0,
        }
    }

    /// `marked`: the client's own count of retries, where it tells one. `body`: tenant, route and what is asked.
    pub fn judge(
        &mut self,
        now: f64,
        tenant: usize,
        route: usize,
        marked: Option<u32>,
        body: [u8; 16],
    ) -> RetryVerdict {
        let f = self.figures.clone();
        let retry = marked.map_or_else(|| f.by_body && self.seen.has(&body), |n| n > 0);
        let bucket = self.buckets.entry((tenant, route)).or_insert(Bucket { left: f.burst, refused: 0 });
        if !retry {
            self.admitted += 1;
            if f.by_body {
                self.seen.add(now, body, &f);
            }
            return RetryVerdict::FirstAttempt;
        }
        if bucket.left >= 1.0 {
            bucket.left -= 1.0;
            bucket.refused = bucket.refused.saturating_sub(1);
            self.admitted += 1;
            self.retries += 1;
            return RetryVerdict::Retry;
        }
        bucket.refused = (bucket.refused + 1).min(1 << 20);
        self.refused += 1;
        // So many are away already that, let in one by one at the budget's pace, this one's turn comes then;
        // drawn over the whole time, they do not return together.
        let far = f.first_come_back_s * (1.0 + f64::from(bucket.refused).sqrt());
        let most = far.min(f.longest_come_back_s);
        let dice = self.chance.generate::<u32>() as f64 / u32::MAX as f64;
        RetryVerdict::Rejected {
            come_back_s: f.first_come_back_s + dice * (most - f.first_come_back_s).max(0.0),
        }
    }

    /// One has begun to be answered.
    pub fn answered(&mut self, tenant: usize, route: usize) {
        let f = &self.figures;
        if let Some(b) = self.buckets.get_mut(&(tenant, route)) {
            b.left = (b.left + f.share).min(f.burst);
        }
    }

    pub fn remembered(&self) -> usize {
        self.seen.order.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn body(n: u64) -> [u8; 16] {
        let mut b = [0; 16];
        b[..8].copy_from_slice(&n.to_le_bytes());
        b
    }

    #[test]
    fn a_storm_of_retries_keeps_to_its_share() {
        let mut b = RetryBudget::new(Figures::default(), 1);
        // Each first try is followed by five retries at once.
        for n in 0..2000u64 {
            let now = n as f64 * 0.01;
            assert_eq!(b.judge(now, 0, 0, Some(0), body(n)), RetryVerdict::FirstAttempt);
            b.answered(0, 0);
            (1..=5).map(|k| b.judge(now, 0, 0, Some(k), body(n))).for_each(|_| {});
        }
        assert!(b.retries as f64 <= 0.1 * 2000.0 + 5.0, "{}", b.retries);
        assert!(b.retries as f64 >= 0.095 * 2000.0 && b.refused > 9000);
        // Another tenant's, and another route's, budget is its own.
        assert_eq!(b.judge(20.0, 1, 0, Some(1), body(1)), RetryVerdict::Retry);
        assert_eq!(b.judge(20.0, 0, 1, Some(1), body(1)), RetryVerdict::Retry);
    }

    #[test]
    fn a_few_retries_are_never_refused() {
        let mut b = RetryBudget::new(Figures { by_body: true, ..Figures::default() }, 1);
        for n in 0..1000u64 {
            b.judge(n as f64, 0, 0, None, body(n));
            b.answered(0, 0);
            if n % 20 == 0 {
                assert_eq!(b.judge(n as f64 + 0.5, 0, 0, None, body(n)), RetryVerdict::Retry);
            }
        }
        assert_eq!(b.refused, 0);
    }

    #[test]
    fn while_nothing_is_answered_only_the_burst_is_let_in() {
        let mut b = RetryBudget::new(Figures::default(), 1);
        let admitted = (0..1000).filter(|n| {
            b.judge(0.01 * f64::from(*n), 0, 0, Some(0), body(1));
            b.judge(0.01 * f64::from(*n), 0, 0, Some(1), body(1)) == RetryVerdict::Retry
        });
        assert_eq!(admitted.count(), 5);
    }

    #[test]
    fn come_back_times_spread_and_stay_in_bounds() {
        let mut b = RetryBudget::new(Figures { burst: 0.0, ..Figures::default() }, 7);
        let mut times = Vec::new();
        for _ in 0..1000 {
            if let RetryVerdict::Rejected { come_back_s } = b.judge(0.0, 0, 0, Some(1), body(1)) {
                times.push(come_back_s);
            }
        }
        assert!(times.iter().all(|t| (0.5..=8.0).contains(t)));
        let late = &times[500..];
        let in_any_second = (0..8).map(|s| late.iter().filter(|t| **t as usize == s).count()).max().unwrap();
        assert!(in_any_second < late.len() / 4, "{in_any_second} of {} at once", late.len());
    }

    #[test]
    fn bodies_are_remembered_for_a_time_and_a_number() {
        let f = Figures { most_remembered: 100, remember_s: 5.0, by_body: true, ..Figures::default() };
        let mut b = RetryBudget::new(f, 1);
        (0..500).map(|n| b.judge(0.0, 0, 0, None, body(n))).for_each(|_| {});
        assert_eq!(b.remembered(), 100);
        assert_eq!(b.judge(1.0, 0, 0, None, body(499)), RetryVerdict::Retry);
        assert_eq!(b.judge(1.0, 0, 0, None, body(0)), RetryVerdict::FirstAttempt, "forgotten");
        b.judge(9.0, 0, 0, None, body(1000));
        assert_eq!(b.judge(9.0, 0, 0, None, body(499)), RetryVerdict::FirstAttempt, "too long ago");
    }
}
