//! Fair admission when there is not enough for all, and the limit by which that is known. The limit follows what the fleet
//! serves: it grows by one for each round of work while first tokens come in their time and it is used, and falls by a part
//! when they do not. Below it everybody comes in; at it, one whose open work is under its weighted part does, at the
//! expense of the room that others have beyond theirs.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct FairShareLimits {
    pub least: f64,
    pub most: f64,
    /// Part of first tokens late in a window, above which the limit falls.
    pub late_share: f64,
    /// By what part it falls.
    pub fall: f64,
    /// Answers that a window takes in at least, and seconds between two falls: one overload counts once.
    pub window: u32,
    pub between_s: f64,
    /// Beyond the limit, for those under their part.
    pub reserve: f64,
}

impl Default for FairShareLimits {
    fn default() -> Self {
        FairShareLimits {
            least: 16.0,
            most: 20_000.0,
            late_share: 0.02,
            fall: 0.15,
            window: 50,
            between_s: 1.0,
            reserve: 0.25,
        }
    }
}

/// Additive increase, multiplicative decrease, by whether first tokens come in time.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    figures: FairShareLimits,
    limit: f64,
    answers: u32,
    late: u32,
    fell_at: f64,
}

impl ConcurrencyLimit {
    pub fn new(figures: FairShareLimits, first: f64) -> ConcurrencyLimit {
        let limit = first.clamp(figures.least, figures.most);
        ConcurrencyLimit { figures, limit, answers: 0, late: 0, fell_at: f64::NEG_INFINITY }
    }

    pub fn get(&self) -> f64 {
        self.limit
    }

    /// An inference has begun to be answered, in good time or late; or was given up, which is late too. Late is best said
    /// of what comes near its target: a limit that waits for misses has had them. `open`: how many
    /// are open: a limit that is not used says nothing about itself.
    pub fn record_answer(&mut self, now: f64, open: usize, late: bool) {
        let f = self.figures;
        self.answers += 1;
        self.late += u32::from(late);
        if !late && open as f64 >= 0.8 * self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f.most);
        }
        if self.answers >= f.window {
            let share = f64::from(self.late) / f64::from(self.answers);
            if share > f.late_share && now >= self.fell_at + f.between_s {
                // Down from what was really open: a limit far above it would fall for long without any effect.
                self.limit = (self.limit.min(open as f64 + 1.0) * (1.0 - f.fall)).max(f.least);
                self.fell_at = now;
            }
            (self.answers, self.late) = (0, 0);
        }
    }
}

/// Open work by tenant.
#[derive(Default)]
pub struct FairShare {
    /// Open, and weight; only of those with something open or of late.
    of: BTreeMap<usize, (usize, f64)>,
    open: usize,
    weights: f64,
}

impl FairShare {
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether one more of a tenant comes in. `reserve`: part of the limit beyond it, for those under their part. Its part is of those who have something open, and of itself.
    pub fn admits(&self, limit: f64, reserve: f64, tenant: usize, weight: f64) -> bool {
        let others = self.weights - self.of.get(&tenant).map_or(0.0, |e| e.1) > 1e-9;
        // With nobody beside it there is nobody to be fair to: what is too much is shed by who knows the engines.
        if (self.open as f64) < limit || !others {
            return true;
        }
        let (mine, sum) = match self.of.get(&tenant) {
            Some((open, w)) => (*open as f64, self.weights - w + weight),
            None => (0.0, self.weights + weight),
        };
        let part = limit * weight / sum.max(1e-9);
        mine + 1.0 <= part && (self.open as f64) < limit * (1.0 + reserve)
    }

    pub fn request_opened(&mut self, tenant: usize, weight: f64) {
        let e = self.of.entry(tenant).or_insert((0, 0.0));
        self.weights += weight - e.1;
        *e = (e.0 + 1, weight);
        self.open += 1;
    }

    pub fn request_closed(&mut self, tenant: usize) {
        let Some(e) = self.of.get_mut(&tenant) else { return };
        e.0 -= 1;
        self.open -= 1;
        if e.0 == 0 {
            self.weights -= e.1;
            self.of.remove(&tenant);
        }
        if self.of.is_empty() {
            // No rounding is carried on.
            self.weights = 0.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nanorand::{Rng, WyRand};
    use std::collections::{BinaryHeap, VecDeque};

    /// A fleet that serves `slots` at once, 0.5 s each, first come first served; a quiet tenant at 20% of it, a noisy one at
    /// `noise` times that; refused ones of the noisy one come again at once. Gives the quiet one's part served in a target
    /// of 0.8 s. Without fairness plain buckets stand at the door: both have a quota of half the fleet.
    fn play(noise: f64, fair: bool) -> f64 {
        let (slots, takes, target) = (40usize, 0.5, 0.8);
        let capacity = slots as f64 / takes;
        let quiet = 0.2 * capacity;
        let mut chance = WyRand::new_seed(11);
        let mut dice = move || (chance.generate::<u32>() as f64 / u32::MAX as f64).max(1e-9);
        let mut limit = ConcurrencyLimit::new(FairShareLimits::default(), 400.0);
        let mut f = FairShare::default();
        // Arrivals, then ends, by time in microseconds: least first.
        let mut next = [-dice().ln() / quiet, -dice().ln() / (quiet * noise)];
        let mut running: BinaryHeap<std::cmp::Reverse<(u64, usize)>> = BinaryHeap::new();
        let mut queue: VecDeque<(f64, usize)> = VecDeque::new();
        let (mut wanted, mut served, mut left) = (0.0, 0.0, [capacity / 2.0; 2]);
        let mut filled = 0.0;
        loop {
            let end = running.peek().map_or(f64::INFINITY, |e| e.0 .0 as f64 / 1e6);
            let now = next[0].min(next[1]).min(end);
            if now > 60.0 {
                return served / wanted;
            }
            if end <= now {
                let Some(std::cmp::Reverse((_, t))) = running.pop() else { unreachable!() };
                f.request_closed(t);
            } else {
                let t = usize::from(next[1] < next[0]);
                let rate = if t == 0 { quiet } else { quiet * noise };
                next[t] = now - dice().ln() / rate;
                let counts = t == 0 && now > 10.0;
                wanted += f64::from(u8::from(counts));
                left.iter_mut().for_each(|l| *l = (*l + capacity / 2.0 * (now - filled)).min(capacity));
                filled = now;
                let admitted = match fair {
                    true => f.admits(limit.get(), 0.25, t, 1.0),
                    false => left[t] >= 1.0,
                };
                if admitted {
                    left[t] -= 1.0;
                    f.request_opened(t, 1.0);
                    queue.push_back((now, t));
                }
            }
            while running.len() < slots {
                let Some((since, t)) = queue.pop_front() else { break };
                let waited = now - since;
                // What has waited too long is given up.
                let late = waited > target;
                limit.record_answer(now, f.open(), waited > 0.4 * target);
                if late {
                    f.request_closed(t);
                    continue;
                }
                if t == 0 && since > 10.0 {
                    served += 1.0;
                }
                // The noisy one's take longer than it was given quota for.
                let long = (0.5 + dice()) * if t == 0 { takes } else { 2.0 * takes };
                running.push(std::cmp::Reverse((((now + long) * 1e6) as u64, t)));
            }
        }
    }

    #[test]
    fn a_noisy_tenant_does_not_push_a_quiet_one_out() {
        let alone = play(0.01, true);
        assert!(alone > 0.99, "{alone}");
        for noise in [2.0, 5.0, 20.0] {
            let (with, without) = (play(noise, true), play(noise, false));
            assert!(with >= 0.99 * alone, "{noise} times: {with}, plain buckets {without}");
        }
        // Work that costs more than its quota says gets past plain buckets.
        assert!(play(20.0, false) < 0.9);
    }

    #[test]
    fn the_limit_finds_what_is_served_and_is_not_moved_by_what_is_not_used() {
        let mut l = ConcurrencyLimit::new(FairShareLimits::default(), 100.0);
        (0..1000).for_each(|n| l.record_answer(f64::from(n), 10, false));
        assert_eq!(l.get(), 100.0);
        (0..1000).for_each(|n| l.record_answer(f64::from(n), 100, false));
        assert!(l.get() > 105.0);
        let before = l.get();
        // One overload counts once.
        (0..200).for_each(|_| l.record_answer(2000.0, 110, true));
        assert!(l.get() < 0.9 * before && l.get() > 0.7 * before, "{}", l.get());
        (0..20_000).for_each(|n| l.record_answer(3000.0 + f64::from(n), 20, true));
        assert_eq!(l.get(), 16.0);
    }

    #[test]
    fn parts_go_by_weight_among_those_who_want_something() {
        let mut f = FairShare::default();
        (0..80).for_each(|_| f.request_opened(1, 1.0));
        assert!(f.admits(100.0, 0.25, 1, 1.0), "below the limit all come in");
        (0..20).for_each(|_| f.request_opened(1, 1.0));
        // At it, another has room up to its part, and no further than the reserve.
        let mut n = 0;
        while f.admits(100.0, 0.25, 2, 3.0) {
            f.request_opened(2, 3.0);
            n += 1;
        }
        assert!(n == 25 && !f.admits(100.0, 0.25, 1, 1.0));
        (0..100).for_each(|_| f.request_closed(1));
        (0..25).for_each(|_| f.request_closed(2));
        assert_eq!((f.open(), f.of.len()), (0, 0));
    }
}
