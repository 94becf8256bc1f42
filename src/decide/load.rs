//! Load correction: reports, own sends since, and probes.

use super::*;

/// Writers of which fresh news is wanted: the best of a few by chance, other ones at each node, will do.
const SCOUTED: usize = 3;

impl Router {
    /// The usual wait of readers and load of writers, against which single engines are judged.
    pub(super) fn survey(&mut self, now: f64) {
        self.now = now;
        let stages = [self.stage(true), self.stage(false)];
        self.peers = [stages[0].len().max(1) as f64, stages[1].len().max(1) as f64];
        let mut zones: Vec<u32> = stages[0].iter().map(|&e| self.engines[e].zone).collect();
        let near = zones.iter().filter(|&&z| z == self.zone).count() as f64;
        zones.sort_unstable();
        zones.dedup();
        self.homely = if near > 0.0 { near * zones.len() as f64 / self.peers[0] } else { 1.0 };
        for (k, reads) in [(0, true), (1, false)] {
            let (mut sum, mut weight) = (0.0, 0.0);
            for &e in &stages[k] {
                // By age, but gently: hashed readers of popular texts are asked the most.
                let trust = 1.0 / (1.0 + (now - self.engines[e].load_at) / self.target);
                let told = if reads { Some(self.engines[e].told_wait) } else { self.told(e) };
                (sum, weight) = (sum + trust * told.unwrap_or(0.0), weight + trust);
            }
            self.usual[k] = if weight > 0.0 { sum / weight } else { 0.0 };
        }
    }

    /// What an engine is like with no news of it: as the others; a fresh one is kept free by its ration.
    pub(super) fn likely(&self, e: usize) -> f64 {
        let usual = self.usual[(self.engines[e].role != EngineRole::Prefill) as usize];
        usual * (self.grown(self.now, e) >= 1.0) as u32 as f64
    }

    /// How far the last report still tells of the engine: it ages as fast as the work there ends.
    pub(super) fn trust(&self, e: usize) -> f64 {
        let e = &self.engines[e];
        (-(self.now - e.load_at) / if e.role == EngineRole::Prefill { self.target } else { self.life }).exp()
    }

    /// At arrival, where news is old, one reader and some writers by chance, those beside the hashed reader
    /// first, are asked. Not left to the round of decisions, whose time is later on sockets.
    pub(super) fn inquire(&mut self, now: f64, home: Option<usize>) {
        if self.probes {
            let readers = self.stage(true);
            let one = (self.dice() * readers.len() as f64) as usize;
            readers.get(one).into_iter().for_each(|&e| self.ask(now, e, self.target / 2.0, false));
            home.into_iter().for_each(|e| self.scout(now, e));
        }
    }

    /// Asks the first two hashed readers for load where news is old. True while their answer may come.
    pub(super) fn asking(&mut self, now: f64, i: usize) -> bool {
        let homes: Vec<usize> = self.infs[i].homes.iter().copied().take(2).collect();
        homes.iter().for_each(|&e| self.ask(now, e, self.target / 2.0, false));
        let owed = homes.iter().any(|&e| self.engines[e].probing);
        owed && now < self.infs[i].arrived + self.target / 32.0
    }

    pub(super) fn scout(&mut self, now: f64, r: usize) {
        let stale = self.life / 6.0;
        let (mut fresh, mut others) = (0, Vec::new());
        for w in self.stage(false) {
            let (e, from) = (&self.engines[w], &self.engines[r]);
            let far = (e.cell != from.cell) as u32 as f64 / 2.0 + (e.zone != from.zone) as u32 as f64;
            if now - e.news_at() < stale {
                fresh += (far < 1.0) as usize;
            } else {
                others.push((far + self.dice(), w));
            }
        }
        others.sort_by(|x, y| x.0.total_cmp(&y.0));
        others.iter().take(SCOUTED.saturating_sub(fresh)).for_each(|o| self.ask(now, o.1, stale, false));
    }

    /// A fresh engine is not asked while it answers: probes count in what it bears.
    pub(super) fn ask(&mut self, now: f64, e: usize, stale: f64, silent: bool) {
        let may = silent || self.grown(now, e) >= 1.0;
        let eng = &mut self.engines[e];
        let old = may && now - eng.news_at() >= stale;
        if self.probes && old && !eng.probing && eng.standing == Lifecycle::Active {
            (eng.probing, eng.asked) = (true, now);
            self.todo.probes.push(EngineHandle(e as u32));
        }
    }

    pub fn probe_finished(&mut self, now: f64, id: &str, outcome: Outcome, load: Option<EngineLoad>) {
        let Some(&e) = self.by_id.get(id) else { return };
        self.engines[e].probing = false;
        // Turned away it is full, and gets room by a share of the target.
        let full = outcome == Outcome::Rejected;
        let waited = if full { self.target / 2.0 } else { now - self.engines[e].asked };
        if outcome == Outcome::Completed {
            self.hear(now, e);
        } else if full || self.engines[e].told_wait.max(self.usual[0]) > waited / 2.0 {
            // Where probes wait their turn like work, a queue explains it: the wait is at least so long.
            let eng = &mut self.engines[e];
            eng.told_wait = eng.told_wait.max(waited);
            (eng.load_at, eng.matures) = (now, eng.matures.max(now + eng.told_wait));
        } else {
            self.unreached(now, e);
        }
        load.into_iter().for_each(|l| self.note_load(now, e, l));
    }

    pub(super) fn note_load(&mut self, now: f64, e: usize, load: EngineLoad) {
        let e = &mut self.engines[e];
        (e.load, e.load_at, e.tokens_at_report) = (load, now, e.tokens);
        if e.role == EngineRole::Prefill {
            // What all nodes have waiting there is read first; with nothing own there, the report is all.
            e.told_wait = e.there(self.prompt) * self.each;
            let at = now + e.told_wait;
            e.matures = if e.out == 0 && e.strikes == 0.0 { at } else { e.matures.max(at) };
        }
    }

    /// Share of a writer that is taken or waited for (may pass 1) as reported: memory or slots, whichever is
    /// fuller, and what waits there.
    pub(super) fn told(&self, e: usize) -> Option<f64> {
        let e = &self.engines[e];
        let reported = match (e.load.memory_share, e.load.slot_share) {
            (Some(m), Some(s)) => m.max(s),
            (m, s) => m.or(s)?,
        };
        let queued = e.load.queue_len.map(|q| q * self.prompt / e.memory);
        let unread = e.load.pending_prompt_tokens.map(|t| t / e.memory);
        let there = e.load.inflight.map(|n| n * self.prompt / e.memory - reported);
        Some(reported + queued.or(unread).or(there).unwrap_or(0.0).max(0.0))
    }

    /// Load of a writer now: as told and own sends since, the more like the usual the older the news (an old
    /// report of an over-full one drains with it); never told: own sends, as they are.
    pub(super) fn load(&self, e: usize) -> f64 {
        let eng = &self.engines[e];
        let (own, usual) = (eng.tokens / eng.memory, self.likely(e));
        let now = |told| told + own - eng.tokens_at_report / eng.memory;
        own.max(usual + self.told(e).map_or(0.0, |told| self.trust(e) * (now(told) - usual)))
    }

    pub(super) fn dice(&mut self) -> f64 {
        self.chance.generate::<u32>() as f64 / u32::MAX as f64
    }
}
