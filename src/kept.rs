//! What is handed out for the next process and for people who ask why, and taken back.

use crate::interface::*;
use crate::state::{Engine, Router};

impl Router {
    /// What a send was made on.
    pub fn dispatch_rationale(&self, inf: RequestHandle, send: u32) -> DispatchRationale {
        let s = self.infs[inf.0 as usize].sends[send as usize];
        let e = &self.engines[s.eng];
        DispatchRationale {
            requests_ahead: s.there,
            expected_s: s.expected,
            engine_age_s: s.at - e.started,
            unreachable_s: e.mute - e.heard,
        }
    }

    /// What is worth keeping for this node's next process.
    pub fn learned_state(&self, now: f64) -> LearnedState {
        let mut figures =
            vec![self.life, self.prompt, self.each, self.start_gap, self.usual[0], self.usual[1]];
        figures.extend(self.read_cost.sums.iter().flatten().chain(&self.read_cost.abc));
        let engine = |e: &Engine| LearnedEngine {
            id: e.id.clone(),
            started_at: Some(e.started).filter(|s| s.is_finite()),
            recent_failures: self.faults(now, e),
            last_failure_at: now,
        };
        let struck = |e: &&Engine| e.standing == Lifecycle::Active && self.faults(now, e) > 0.05;
        LearnedState { averages: figures, engines: self.engines.iter().filter(struck).map(engine).collect() }
    }

    /// What an earlier process had learnt, believed in part (0 to 1), after the first list. An engine's
    /// faults count only for the process that had them.
    pub fn restore_learned_state(&mut self, now: f64, l: &LearnedState, trust: f64) {
        let sound = |f: &f64| f.is_finite() && *f >= 0.0;
        if l.averages.len() != 21
            || !l.averages[..6].iter().all(sound)
            || !l.averages.iter().all(|f| f.is_finite())
        {
            return;
        }
        let fit = &mut self.read_cost;
        let own = [&mut self.life, &mut self.prompt, &mut self.each, &mut self.start_gap].into_iter();
        let own = own.chain(&mut self.usual).chain(fit.sums.iter_mut().flatten()).chain(&mut fit.abc);
        own.zip(&l.averages).for_each(|(x, kept)| *x += trust * (kept - *x));
        for k in l.engines.iter().filter(|k| sound(&k.recent_failures) && k.last_failure_at <= now) {
            let Some(&i) = self.by_id.get(&k.id) else { continue };
            let e = &mut self.engines[i];
            if e.faults == 0.0 && k.started_at.unwrap_or(f64::NEG_INFINITY) == e.started {
                (e.faults, e.fault_at) = (trust * k.recent_failures, k.last_failure_at);
            }
        }
    }

    /// The engines in service, as this node heard them.
    pub fn engine_observations(&self) -> impl Iterator<Item = EngineObservation<'_>> {
        let used = self.engines.iter().filter(|e| e.standing == Lifecycle::Active);
        used.map(|e| EngineObservation {
            id: &e.id,
            zone: e.zone,
            role: e.role,
            last_response_at: e.heard,
            unreachable_at: e.mute,
        })
    }
}
