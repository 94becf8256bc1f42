//! What is handed out for the next process and for people who ask why, and taken back.

use crate::interface::*;
use crate::state::{Engine, Router};

impl Router {
    /// What a send was made on.
    pub fn grounds(&self, inf: Inf, send: u32) -> Grounds {
        let s = self.infs[inf.0 as usize].sends[send as usize];
        let e = &self.engines[s.eng];
        Grounds {
            there: s.there,
            expected_s: s.expected,
            age_s: s.at - e.started,
            silent_s: e.mute - e.heard,
        }
    }

    /// What is worth keeping for this node's next process.
    pub fn learnt(&self, now: f64) -> Learnt {
        let mut figures =
            vec![self.life, self.prompt, self.each, self.start_gap, self.usual[0], self.usual[1]];
        figures.extend(self.read_cost.sums.iter().flatten().chain(&self.read_cost.abc));
        let engine = |e: &Engine| LearntEngine {
            id: e.id.clone(),
            started: Some(e.started).filter(|s| s.is_finite()),
            faults: self.faults(now, e),
            fault_at: now,
        };
        let struck = |e: &&Engine| e.standing == Standing::In && self.faults(now, e) > 0.05;
        Learnt { figures, engines: self.engines.iter().filter(struck).map(engine).collect() }
    }

    /// What an earlier process had learnt, believed in part (0 to 1), after the first list. An engine's
    /// faults count only for the process that had them.
    pub fn recall(&mut self, now: f64, l: &Learnt, trust: f64) {
        let sound = |f: &f64| f.is_finite() && *f >= 0.0;
        if l.figures.len() != 21
            || !l.figures[..6].iter().all(sound)
            || !l.figures.iter().all(|f| f.is_finite())
        {
            return;
        }
        let fit = &mut self.read_cost;
        let own = [&mut self.life, &mut self.prompt, &mut self.each, &mut self.start_gap].into_iter();
        let own = own.chain(&mut self.usual).chain(fit.sums.iter_mut().flatten()).chain(&mut fit.abc);
        own.zip(&l.figures).for_each(|(x, kept)| *x += trust * (kept - *x));
        for k in l.engines.iter().filter(|k| sound(&k.faults) && k.fault_at <= now) {
            let Some(&i) = self.by_id.get(&k.id) else { continue };
            let e = &mut self.engines[i];
            if e.faults == 0.0 && k.started.unwrap_or(f64::NEG_INFINITY) == e.started {
                (e.faults, e.fault_at) = (trust * k.faults, k.fault_at);
            }
        }
    }

    /// The engines in service, as this node heard them.
    pub fn seen(&self) -> impl Iterator<Item = EngineSeen<'_>> {
        let used = self.engines.iter().filter(|e| e.standing == Standing::In);
        used.map(|e| EngineSeen { id: &e.id, zone: e.zone, role: e.role, heard: e.heard, mute: e.mute })
    }
}
