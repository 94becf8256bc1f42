//! The part of the traffic that a fresh engine bears, drawn by each inference.

use super::*;

/// Part of the cold allowance used; the rest is for chance: draws spread evenly what is sent.
pub(super) const COLD_CAUTION: f64 = 0.5;

impl Router {
    /// Whether the inference may be sent to the engine now. A fresh one gets an even part of the traffic,
    /// times what it may bear by its age: each inference draws whether it is of that, so that all nodes
    /// keep to it, however uneven their traffic, and none is lost at nodes with nothing to send. Those whose
    /// hashed reader it is are an even part already; of the others half as many may spill to it.
    pub(super) fn ration(&self, now: f64, i: usize, e: usize) -> bool {
        let eng = &self.engines[e];
        // A zone returned to in steps bears a part of all, each zone's drawn on its own.
        let drawn = |name: &str, salt: u64, part: f64| {
            self.infs[i].draw.is_some_and(|d| (hash(name, d ^ salt) as f64) < part * u64::MAX as f64)
        };
        let part = self.part(eng.zone);
        if part < 1.0 && !drawn("", u64::from(eng.zone + 1), part) {
            return false;
        }
        let grown = self.grown(now, e);
        if grown >= 1.0 {
            return true;
        }
        let home = self.infs[i].homes.first() == Some(&e);
        let part =
            if home { self.homely } else { 0.5 / self.peers[(eng.role != EngineRole::Prefill) as usize] };
        !self.unplaced && drawn(&eng.id, 0, self.cold_multiple * grown * part)
    }

    /// The part of its capacity that an engine has at least by its age.
    pub(super) fn grown(&self, now: f64, e: usize) -> f64 {
        let aged = ((now - self.engines[e].started) / self.warm_within).clamp(0.0, 1.0);
        self.cold_share + (1.0 - self.cold_share) * aged * aged
    }

    /// What an inference draws its part by; none beyond what this node usually starts, or its part of what
    /// the tenants are promised: retries in a rush are not traffic.
    pub(super) fn draw(&mut self, now: f64) -> Option<u64> {
        let quotas = self.shares.iter().map(|s| s.bucket.rate).sum::<f64>();
        self.draws.rate = quotas.max(1.0 / self.start_gap.max(self.tick));
        self.draws.fill(now, 1.0 + self.draws.rate * self.tip_window / 8.0);
        let may = self.draws.left >= 1.0;
        self.draws.left -= may as u32 as f64;
        may.then(|| self.chance.generate())
    }

    /// The part of the traffic that may go to a zone from now on: 0, it is left; 1, it is as any other. Who
    /// tells it keeps one zone at least.
    pub fn set_zone_weight(&mut self, zone: u32, part: f64) {
        self.parts.resize(self.parts.len().max(zone as usize + 1), 1.0);
        self.parts[zone as usize] = part;
    }

    pub(super) fn part(&self, zone: u32) -> f64 {
        self.parts.get(zone as usize).copied().unwrap_or(1.0)
    }

    /// Asks that engine of a zone of which there was no news for longest, left or not.
    pub fn probe_zone(&mut self, now: f64, zone: u32) {
        let there =
            |&e: &usize| self.engines[e].zone == zone && self.engines[e].standing == Lifecycle::Active;
        let news = |e: &usize| self.engines[*e].news_at();
        let oldest = (0..self.engines.len()).filter(there).min_by(|x, y| news(x).total_cmp(&news(y)));
        oldest.into_iter().for_each(|e| self.ask(now, e, self.tick, true));
    }
}
