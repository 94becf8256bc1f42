//! Which reader: what reading costs, who keeps the text, who matures first.

use super::*;

/// What a second of reading saved by kept text is worth, in seconds of waiting: reading anew also takes the
/// reader from others and displaces what it keeps.
pub(super) const KEEPING: f64 = 4.0;
/// Share of a session's own text that the hashed reader is taken to keep.
const HOME_KEEPS: f64 = 0.5;
/// Weight of the latest read in what a reader keeps.
const KEEPS_LEARNT: f64 = 0.04;
/// Arrivals by which a node judges how popular a text is.
pub(super) const RECENT: usize = 64;
/// Part of its even part of the readers that a popular text gets.
const SPREAD: f64 = 5.0;

impl ReadCost {
    pub(super) fn new(a: f64, b: f64) -> Self {
        let mut fit = ReadCost { abc: [a, b, 0.0], ..ReadCost::default() };
        [0.0, 1.0, 2.0, 4.0].iter().for_each(|t| fit.add(1000.0 * t, a + b * t));
        fit
    }

    pub(super) fn add(&mut self, tokens: f64, seconds: f64) {
        let t = tokens / 1000.0;
        // Others' reads only ever add to a timing: what lies above the fit weighs little.
        let weight = if seconds > self.of(tokens) { 0.1 } else { 1.0 };
        let x = [1.0, t, t * t, seconds];
        for (i, row) in self.sums.iter_mut().enumerate() {
            row.iter_mut().zip(x).for_each(|(sum, y)| *sum = 0.99 * *sum + weight * x[i] * y);
        }
        for i in (0..3).cycle().take(12) {
            let (m, abc) = (self.sums[i], self.abc);
            let rest = (0..3).map(|j| m[j] * abc[j]).sum::<f64>() - m[i] * abc[i];
            self.abc[i] = ((m[3] - rest) / m[i].max(1e-9)).max(if i < 2 { 1e-4 } else { 0.0 });
        }
    }

    pub(super) fn of(&self, tokens: f64) -> f64 {
        let t = tokens / 1000.0;
        self.abc[0] + self.abc[1] * t + self.abc[2] * t * t
    }
}

impl Router {
    /// When the engine can safely take more: as told and sent to, the more like the usual the older the news,
    /// and no sooner than an answer that it still owes a probe.
    pub(super) fn maturity(&self, now: f64, e: usize) -> f64 {
        let eng = &self.engines[e];
        let owed = if eng.probing { now - eng.asked } else { 0.0 };
        let guessed = self.likely(e) * (1.0 - self.trust(e)) + owed;
        eng.matures.max(now + guessed) + eng.batch_s
    }

    /// The first-maturing reader; near-ties go to the one that the text's hash prefers. The window is the
    /// reading that a later-maturing reader saves by what it keeps, and one step.
    pub(super) fn reader(&self, now: f64, i: usize, readers: &[usize]) -> Option<usize> {
        let done = |e: usize| {
            let cross = if self.engines[e].zone == self.zone { 0.0 } else { self.cross };
            // Each try there costs a target, as at writers: kept text drew all to one that failed at once.
            let tried = self.infs[i].sends.iter().filter(|s| s.eng == e).count() as f64 * self.target;
            let read = KEEPING * self.read_cost.of(self.unkept(e, i));
            self.maturity(now, e) + read + cross + self.risk(now, e) + tried
        };
        let soonest = readers.iter().copied().min_by(|&x, &y| done(x).total_cmp(&done(y)))?;
        let near = done(soonest) + self.read_cost.of(0.0) + self.pace;
        let hashed = self.infs[i].homes.iter().copied().find(|&e| self.able(e, true));
        Some(hashed.filter(|h| readers.contains(h) && done(*h) <= near).unwrap_or(soonest))
    }

    /// The node's zone's readers for a text, best first, on which all nodes there agree: the shared beginning
    /// names as many as its part of recent arrivals needs, two at least, so that copies fill little memory;
    /// the session chooses of these; behind them stands one more to spill to.
    pub(super) fn homes(&self, inf: &Inference) -> Vec<usize> {
        let text = if inf.prefix != 0 { inf.prefix } else { inf.session };
        let mut ranked = self.stage(true);
        if ranked.iter().any(|&e| self.engines[e].zone == self.zone) {
            ranked.retain(|&e| self.engines[e].zone == self.zone);
        }
        let others = self.recent.iter().filter(|&&t| t == text).count() as f64;
        let part = others / (self.recent.len() as f64 + RECENT as f64 / 4.0);
        let all = ranked.len() as f64;
        let named = (SPREAD * part * all).max(2.0).min((all / 2.0).max(1.0));
        ranked.sort_by_cached_key(|&e| Reverse(hash(&self.engines[e].id, text)));
        ranked.truncate(named.ceil() as usize + 1);
        // Weighted rendezvous: as the part wavers, and differs from node to node, few sessions move.
        let score = |k: usize, e: usize| {
            let chance = (hash(&self.engines[e].id, inf.session) >> 11) as f64 / (1u64 << 53) as f64;
            chance.ln() / (named - k as f64).clamp(1e-9, 1.0)
        };
        let mut scored: Vec<_> = ranked.iter().enumerate().map(|(k, &e)| (score(k, e), e)).collect();
        scored.sort_by(|x, y| y.0.total_cmp(&x.0));
        scored.into_iter().map(|s| s.1).collect()
    }

    /// Prompt tokens that this reader would have to read: the hashed one is taken to keep the beginning and
    /// half of the rest, the next one named the beginning; others nothing, so that texts stay together.
    pub(super) fn unkept(&self, e: usize, i: usize) -> f64 {
        (self.infs[i].prompt - self.engines[e].keeps.min(1.0) * self.named(e, i)).max(1.0)
    }

    /// Prompt tokens that it is to keep by the hash.
    pub(super) fn named(&self, e: usize, i: usize) -> f64 {
        let inf = &self.infs[i];
        let mut homes = inf.homes.iter().copied().filter(|&h| self.able(h, true));
        match homes.position(|h| h == e) {
            Some(0) => HOME_KEEPS * (inf.prompt + inf.prefix_tokens),
            Some(1) if inf.homes.len() > 2 => inf.prefix_tokens,
            _ => 0.0,
        }
    }

    pub(super) fn learn_read(&mut self, i: usize, s: Sent, end: AttemptEnd) {
        self.each += 0.05 * (end.elapsed_s / (s.there + 1.0) - self.each);
        // Only a read that met an idle reader tells what reading costs; queues fitted as cost would hold
        // readers back, whose queues then look longer still.
        if s.there < 1.0 {
            self.read_cost.add((self.infs[i].prompt - end.note).max(1.0), end.elapsed_s);
        }
        // A fresh reader drew all texts of its hash and queued them; one long there is believed.
        let named = self.named(s.eng, i);
        let e = &mut self.engines[s.eng];
        if named > 0.0 && e.started.is_finite() {
            e.keeps += KEEPS_LEARNT * ((end.note / named).min(2.0) - e.keeps);
        }
        e.faults /= 2.0;
    }
}
