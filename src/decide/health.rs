//! Engine health: failures and overdue sends, and silence.

use super::*;

/// Longest hold-off of a struck engine, in tightest first-token targets.
const LONGEST_HOLD_OFF: f64 = 6.0;

impl Router {
    /// A failure makes the engine a worse choice, the more so the more there were lately, but never bars it:
    /// when most of a role fails now and then, all go on. Holds against engines that fail quickly, lose
    /// answers or die; hurts when a lone error was chance, by half a target for a while.
    pub(super) fn strike(&mut self, now: f64, e: usize) {
        (self.engines[e].faults, self.engines[e].fault_at) = (self.faults(now, &self.engines[e]) + 1.0, now);
    }

    pub(crate) fn faults(&self, now: f64, e: &Engine) -> f64 {
        e.faults * (-(now - e.fault_at) / (LONGEST_HOLD_OFF * self.target)).exp()
    }

    /// What is likely lost at the engine by failing there.
    pub(super) fn risk(&self, now: f64, e: usize) -> f64 {
        self.target * (1.0 - 1.0 / (1.0 + self.faults(now, &self.engines[e])))
    }

    /// No probe or connection got through: held off, longer each time in a row, until it is heard.
    pub(super) fn unreached(&mut self, now: f64, e: usize) {
        let e = &mut self.engines[e];
        (e.mute, e.strikes) = (now, (e.strikes + 1.0).min(8.0));
        let off = self.target * (0.25 * 2f64.powf(e.strikes - 1.0)).min(LONGEST_HOLD_OFF);
        e.matures = e.matures.max(now + off);
    }

    /// An answer of any kind ends a hold-off that silence brought: a cut that heals is used again at once.
    pub(super) fn hear(&mut self, now: f64, e: usize) {
        let e = &mut self.engines[e];
        if e.mute > e.heard {
            e.matures = e.matures.min(now);
        }
        e.strikes = 0.0;
        e.heard = now;
    }

    /// A send long overdue speaks against its engine before its outcome comes.
    pub(super) fn watch(&mut self, now: f64) {
        for i in self.open.clone() {
            // Rule 1: the answer goes out a tick before the client's time is up.
            if now + self.tick >= self.infs[i].due {
                self.give_up(i, RejectionReason::DeadlineExceeded);
                continue;
            }
            for n in 0..self.infs[i].sends.len() {
                let s = self.infs[i].sends[n];
                let e = &self.engines[s.eng];
                let quiet = now - s.at.max(e.heard);
                let grown = self.grown(now, s.eng);
                let overdue = s.live && quiet > (s.expected + self.target / 4.0) / grown;
                // Unreachable since the send and not heard again, or its zone left: it goes elsewhere.
                let shut = e.mute > s.at.max(e.heard) || self.part(e.zone) == 0.0;
                if s.live && self.cancel && shut && quiet > self.target / 4.0 {
                    self.todo.cancelled.push((RequestHandle(i as u32), n as u32));
                }
                if overdue && !s.late {
                    // What is slow fails late: a worse choice at once, and asked; a fresh one rarely.
                    self.infs[i].sends[n].late = true;
                    self.strike(now, s.eng);
                    let may = self.dice() < grown.powi(4);
                    self.ask(now, s.eng, self.target / 4.0, may);
                }
            }
        }
    }

    /// Engines at which a call that any of them takes is tried, in this order: the one meant, unless it was
    /// silent since it was heard, then those heard last.
    pub fn engines_by_last_response(&self, meant: &str, most: usize) -> Vec<EngineHandle> {
        let able = |&e: &usize| self.engines[e].standing == Lifecycle::Active || self.engines[e].id == meant;
        let mut all: Vec<usize> = (0..self.engines.len()).filter(able).collect();
        all.sort_by(|&x, &y| {
            let key = |e: &Engine| (e.mute > e.heard, e.id != meant, -e.heard);
            key(&self.engines[x]).partial_cmp(&key(&self.engines[y])).unwrap_or(std::cmp::Ordering::Equal)
        });
        // One of each zone first: what is cut off is a zone more often than not.
        let mut zones = HashSet::new();
        let (first, others): (Vec<usize>, Vec<usize>) =
            all.into_iter().partition(|&e| zones.insert(self.engines[e].zone));
        first.into_iter().chain(others).take(most).map(|e| EngineHandle(e as u32)).collect()
    }
}
