//! Which writer: its step, its wait for room, the way to it.

use super::*;

/// Share of the pace target that a step takes on an empty writer; the rest grows with its load.
const EMPTY_STEP: f64 = 0.4;
/// Memory share past which a writer is taken to have no room: reports are late and noisy.
pub(super) const ROOM: f64 = 0.9;
/// How far a writer's load lies from what fresh news says.
const UNSURE: f64 = 0.05;

impl Router {
    /// Step time E_d of a writer: grows with its load; at the pace aim it is full (relax = 0).
    pub(super) fn step(&self, e: usize) -> f64 {
        self.pace * (EMPTY_STEP + (1.0 - EMPTY_STEP) * self.load(e))
    }

    /// Wait for room at a writer: memory comes free by the mean life of a stream. The edge is soft:
    /// load is known roughly, the more so the older the news.
    pub(super) fn wait(&self, e: usize, tokens: f64) -> f64 {
        let short = self.load(e) + tokens / self.engines[e].memory - ROOM;
        let rough = UNSURE * (2.0 - self.trust(e));
        rough * (1.0 + (short / rough).exp()).ln() * self.life
    }

    /// Time that a state read now is likely to wait for a writer, and the writers' load: over those not held
    /// off, between the least and the mean, since other nodes, too, send to whichever seems free.
    pub(super) fn writers(&self, now: f64) -> (f64, f64) {
        let sound = |&e: &usize| self.engines[e].matures < now + self.target;
        let writers: Vec<usize> = self.stage(false).into_iter().filter(sound).collect();
        if writers.is_empty() {
            return (self.target, 1.0);
        }
        let of =
            |e: usize| (self.engines[e].matures - now).max(0.0) + self.wait(e, self.prompt) + self.step(e);
        let waits: Vec<f64> = writers.iter().map(|&e| of(e)).collect();
        let (n, least) = (waits.len() as f64, waits.iter().copied().fold(f64::INFINITY, f64::min));
        let (wait, load) = (waits.iter().sum::<f64>(), writers.iter().map(|&e| self.load(e)).sum::<f64>());
        ((wait / n + least) / 2.0, (load / n).min(1.0))
    }

    /// The earliest-maturing writer, a move out of the cell or zone weighed by its price.
    pub(super) fn writer(&mut self, now: f64, i: usize) -> Option<usize> {
        let mut best = (f64::INFINITY, None);
        for w in self.stage(false) {
            let fit = self.infs[i].state.is_some()
                || self.writers_read
                || self.engines[w].role == EngineRole::Unified;
            if !fit || !self.again(now, i, Some(w)) || !self.ration(now, i, w) {
                continue;
            }
            let jitter = 0.1 * self.pace * self.dice();
            let (inf, e) = (&self.infs[i], &self.engines[w]);
            // One that never came up tells of the whole way: writer by writer, a state's time is gone.
            let such = |s: &&Sent| s.eng == w || s.missed && s.write && self.engines[s.eng].zone == e.zone;
            let tried = inf.sends.iter().filter(such).count() as f64 * self.target;
            let from = inf.state.map(|r| &self.engines[r]);
            let far = match from {
                Some(r) if r.zone != e.zone => self.cell_worth + self.cross,
                Some(r) if r.cell != e.cell => self.cell_worth,
                _ => 0.0,
            };
            let at = e.matures.max(now) + self.step(w) + self.wait(w, inf.prompt) + self.risk(now, w);
            let at = at + far + tried + jitter;
            if at < best.0 {
                best = (at, Some(w));
            }
        }
        best.1
    }
}
