//! All decisions of a node: which reader reads an inference, which writer answers it, what is shed.
//!
//! Callers make a [`Router`] from a [`Deployment`], pass on what happens as calls (`take` gives the handle
//! on which all later calls for that inference are made) and, after each batch of calls, do what
//! [`Router::decide`] lists. The types exchanged are in `src/interface.rs`. The ordinary path is the one
//! function `decide`; it follows docs/design.md. Beside it stand six mechanisms:
//! 1. engine health: failures and overdue sends, and silence (`strike`, `unreached`, `hear`, `watch`);
//! 2. rationing of fresh engines, by drawing a part of the traffic (`ration`, `draw`);
//! 3. sending again, as far as the model route's kind allows (`again`);
//! 4. fair shares: what a tenant sends beyond its quota waits behind the rest (`take`);
//! 5. answering and letting go (`give_up`, `close`);
//! 6. load correction: reports, own sends since, and probes (`note_load`, `load`, `asking`, `scout`).

use crate::interface::*;
pub use crate::state::Router;
use crate::state::{hash, Bucket, Engine, Inference, ReadCost, Sent, Share, Stage};
use nanorand::{Rng, WyRand};
use std::{cmp::Reverse, collections::HashSet};

/// Admission threshold of the first-token chance (DESIGN's start).
const THETA: f64 = 0.5;
/// Share of the pace target that a step takes on an empty writer; the rest grows with its load.
const EMPTY_STEP: f64 = 0.4;
/// Memory share past which a writer is taken to have no room: reports are late and noisy.
const ROOM: f64 = 0.9;
/// How far a writer's load lies from what fresh news says.
const UNSURE: f64 = 0.05;
/// Longest hold-off of a struck engine, in tightest first-token targets.
const LONGEST_HOLD_OFF: f64 = 6.0;
/// Rough life of a stream before any has been seen, in paces: a few sentences.
const FIRST_LIFE: f64 = 80.0;
/// Part of the cold allowance used; the rest is for chance: draws spread evenly what is sent.
const COLD_CAUTION: f64 = 0.5;
/// What a second of reading saved by kept text is worth, in seconds of waiting: reading anew also takes the
/// reader from others and displaces what it keeps.
const KEEPING: f64 = 4.0;
/// Writers of which fresh news is wanted: the best of a few by chance, other ones at each node, will do.
const SCOUTED: usize = 3;
/// Share of a session's own text that the hashed reader is taken to keep.
const HOME_KEEPS: f64 = 0.5;
/// Weight of the latest read in what a reader keeps.
const KEEPS_LEARNT: f64 = 0.04;
/// Arrivals by which a node judges how popular a text is.
const RECENT: usize = 64;
/// Part of the readers' memory that shared beginnings may fill.
const TEXTS_ROOM: f64 = 0.25;
/// Part of its even part of the readers that a popular text gets.
const SPREAD: f64 = 5.0;
/// Engines known at most.
const ENGINES_KNOWN: usize = 1024;

impl ReadCost {
    fn new(a: f64, b: f64) -> Self {
        let mut fit = ReadCost { abc: [a, b, 0.0], ..ReadCost::default() };
        [0.0, 1.0, 2.0, 4.0].iter().for_each(|t| fit.add(1000.0 * t, a + b * t));
        fit
    }

    fn add(&mut self, tokens: f64, seconds: f64) {
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

    fn of(&self, tokens: f64) -> f64 {
        let t = tokens / 1000.0;
        self.abc[0] + self.abc[1] * t + self.abc[2] * t * t
    }
}

impl Router {
    pub fn new(d: Deployment) -> Self {
        let least = |f: fn(&ModelRoute) -> f64| d.routes.iter().map(f).fold(f64::INFINITY, f64::min);
        let (target, pace) = (least(|r| r.first_token_target_s), least(|r| r.pace_s));
        let (target, pace) = (target.clamp(0.01, 60.0), pace.clamp(0.001, 1.0));
        // Before the first sample: a read costs half a pace, and what the target grants a prompt token.
        let per_k = least(|r| r.target_per_token_s).clamp(1e-5, 1e-3) * 1000.0;
        let bucket = |rate: f64| Bucket { left: 2.0 + 2.0 * rate, at: 0.0, rate };
        let share = |q: &f64| Share { bucket: bucket(q / d.nodes.max(1) as f64), quota: *q };
        Router {
            nodes: d.nodes.max(1) as f64,
            tick: d.tick_s,
            shares: d.tenant_quotas.iter().map(share).collect(),
            most_sends: d.most_sends as usize,
            hold: d.hold_limit_s,
            connect: d.connect_s,
            writers_read: d.writers_read,
            cancel: d.cancel,
            probes: d.probes,
            come_back: d.longest_come_back_s,
            cell_worth: d.move_price * target,
            zone: d.zone,
            cross: d.zone_price * target,
            cold_share: d.cold_share,
            warm_within: d.warm_within_s,
            tip_window: d.tip_window_s,
            cold_multiple: d.tip_multiple * COLD_CAUTION,
            target,
            pace,
            life: FIRST_LIFE * pace,
            start_gap: target,
            each: pace / 2.0 + per_k,
            read_cost: ReadCost::new(pace / 2.0, per_k),
            must_ask: d.must_ask,
            chance: WyRand::new_seed(d.seed),
            routes: d.routes,
            ..Router::default()
        }
    }

    /// News of the engines; a full list leaves out those that are gone. Only those that are in are sent to.
    pub fn list(&mut self, now: f64, lines: &[EngineLine], full: bool) {
        let listed: HashSet<&str> = lines.iter().map(|l| &*l.id).collect();
        for e in self.engines.iter_mut().filter(|e| full && !listed.contains(&*e.id)) {
            e.standing = Standing::Gone;
        }
        for l in lines {
            let started = l.started_at.unwrap_or(f64::NEG_INFINITY);
            let i = self.record(&l.id, ENGINES_KNOWN);
            let e = &mut self.engines[i];
            if started > e.started || e.standing == Standing::Gone {
                // A new process under an old id: what was known of the old one is void.
                (e.strikes, e.faults, e.load, e.matures) = (0.0, 0.0, Load::default(), now);
                e.load_at = f64::NEG_INFINITY;
                // One that has just started keeps no text yet, whatever its hash says.
                e.keeps = if l.started_at.is_none() { 1.0 } else { 0.0 };
            }
            (e.zone, e.cell, e.role, e.memory) = (l.zone, l.cell, l.role, l.memory_tokens.max(1.0));
            (e.standing, e.started) = (l.standing, started);
        }
    }

    /// Asking for the list failed: it is asked for again after a while that differs from node to node.
    pub fn list_failed(&mut self, now: f64) {
        self.must_ask = true;
        self.ask_at = now + self.target * (0.5 + self.dice());
    }

    /// How many nodes count has changed; none: it may use nothing of what all share for now.
    pub fn place(&mut self, now: f64, nodes: Option<u32>) {
        self.unplaced = nodes.is_none();
        self.nodes = nodes.map_or(self.nodes, |n| n.max(1) as f64);
        let of = if self.unplaced { f64::INFINITY } else { self.nodes };
        for Share { bucket, quota } in &mut self.shares {
            bucket.fill(now, 2.0 + 2.0 * bucket.rate);
            bucket.rate = *quota / of;
            bucket.fill(now, 2.0 + 2.0 * bucket.rate);
        }
    }

    /// What a send was made on: prompts there before it as far as was known, and the time expected.
    pub fn grounds(&self, inf: Inf, send: u32) -> (f64, f64) {
        let s = self.infs[inf.0 as usize].sends[send as usize];
        (s.there, s.expected)
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

    pub fn take(&mut self, now: f64, a: &Arrival) -> Inf {
        let few = if self.prompt == 0.0 { 1.0 } else { 0.02 };
        self.prompt += few * (a.prompt_tokens - self.prompt);
        let r = &self.routes[a.route];
        let target = now + r.first_token_target_s + r.target_per_token_s * a.prompt_tokens;
        let over_share = a.tenant.is_some_and(|t| {
            let b = &mut self.shares[t].bucket;
            b.fill(now, 2.0 + 2.0 * b.rate);
            b.left = b.left.max(-b.rate) - 1.0;
            b.left < 0.0
        });
        let mut inf = Inference {
            route: a.route,
            arrived: now,
            target,
            due: a.due_at,
            prompt: a.prompt_tokens,
            prefix_tokens: a.prefix_tokens,
            session: hash(&a.session, 1),
            prefix: a.prefix.as_deref().map_or(0, |p| hash(p, 2)),
            over_share,
            ..Inference::default()
        };
        inf.homes = self.homes(&inf);
        inf.draw = self.draw(now);
        self.inquire(now, inf.homes.first().copied());
        self.recent.push_back(inf.prefix);
        self.recent.drain(..self.recent.len().saturating_sub(RECENT));
        self.keep(inf)
    }

    pub fn left(&mut self, inf: Inf) {
        if self.infs[inf.0 as usize].stage != Stage::Closed {
            self.close(inf.0 as usize);
        }
    }

    pub fn first_token(&mut self, now: f64, inf: Inf, send: u32) {
        let i = inf.0 as usize;
        let s = self.infs[i].sends[send as usize];
        if matches!(self.infs[i].stage, Stage::Ended | Stage::Closed) {
            return;
        }
        self.infs[i].stage = Stage::Streaming;
        self.infs[i].state = None;
        // Nothing is left to decide for it: thousands of streams cost a round of decisions nothing.
        self.open.retain(|&o| o != i);
        self.hear(now, s.eng);
        self.engines[s.eng].faults /= 2.0;
    }

    pub fn settled(&mut self, now: f64, inf: Inf, send: u32, end: Ending, load: Option<Load>) {
        use Outcome::*;
        let i = inf.0 as usize;
        let s = self.infs[i].sends[send as usize];
        self.infs[i].sends[send as usize].live = false;
        self.engines[s.eng].out -= 1;
        if s.write {
            self.engines[s.eng].tokens -= self.infs[i].prompt;
        }
        load.into_iter().for_each(|l| self.note_load(now, s.eng, l));
        // What never came up is no send: a held state's time runs on. It speaks against the way to that zone.
        let e = &self.engines[s.eng];
        let silent = matches!(end.outcome, NoAnswer | Cancelled) && e.mute > s.at.max(e.heard);
        let missed = matches!(end.outcome, NoConnection | NotSent) || silent;
        self.infs[i].sends[send as usize].missed = missed;
        if !missed || self.connect == 0.0 {
            self.infs[i].held_since = now;
        }
        if !matches!(end.outcome, NoAnswer | NoConnection | Cancelled | NotSent) {
            self.hear(now, s.eng);
        }
        let stage = self.infs[i].stage;
        match end.outcome {
            Completed => {
                self.life += 0.02 * (end.after_s - self.life);
                self.engines[s.eng].faults /= 2.0;
            }
            Read => {
                self.infs[i].state = Some(s.eng);
                self.learn_read(i, s, end);
            }
            // The writer found no state; it may still wait at a reader that is cut off: let go of it.
            TurnedAway if s.write && end.note == 1.0 => {
                self.infs[i].state = None;
                self.todo.released.push(inf);
            }
            // No room: the engine matures later, by what one place takes to come free.
            TurnedAway => {
                let wait = if s.write { self.life / 8.0 } else { self.read_cost.of(self.infs[i].prompt) };
                let e = &mut self.engines[s.eng];
                e.matures = e.matures.max(now + wait);
            }
            Cancelled | NotSent => {}
            NoConnection => self.unreached(now, s.eng),
            // A time-out while others were answered is a queue, not a fault.
            NoAnswer if self.engines[s.eng].heard > s.at => {}
            _ => self.strike(now, s.eng),
        }
        let proven = matches!(end.outcome, TurnedAway | NoConnection | NotSent | Read);
        if s.write && !proven && self.infs[i].ran.is_none() {
            self.infs[i].ran = Some((s.eng, s.at));
        }
        if end.over || matches!(stage, Stage::Streaming | Stage::Ended) {
            self.close(i);
        } else if !self.infs[i].sends.iter().any(|s| s.live) {
            // Sending again: from the state if it still waits, else from the prompt.
            self.infs[i].stage = if self.infs[i].state.is_some() { Stage::Held } else { Stage::Queued };
            if end.outcome == NotSent || !self.again(now, i, None) {
                self.give_up(i);
            }
        }
    }

    pub fn probed(&mut self, now: f64, id: &str, outcome: Outcome, load: Option<Load>) {
        let Some(&e) = self.by_id.get(id) else { return };
        self.engines[e].probing = false;
        // Turned away it is full, and gets room by a share of the target.
        let full = outcome == Outcome::TurnedAway;
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

    /// When a send of an inference that is not closed was made.
    pub fn sent_at(&self, inf: Inf, send: u32) -> f64 {
        self.infs[inf.0 as usize].sends[send as usize].at
    }

    pub fn engine_id(&self, eng: Eng) -> &str {
        &self.engines[eng.0 as usize].id
    }

    /// Engines at which a call that any of them takes is tried, in this order: the one meant, unless it was silent
    /// since it was heard, then those heard last. The first listed are as silent as the rest of their zone.
    pub fn heard_last(&self, meant: &str, most: usize) -> Vec<Eng> {
        let able = |&e: &usize| self.engines[e].standing == Standing::In || self.engines[e].id == meant;
        let mut all: Vec<usize> = (0..self.engines.len()).filter(able).collect();
        all.sort_by(|&x, &y| {
            let key = |e: &Engine| (e.mute > e.heard, e.id != meant, -e.heard);
            key(&self.engines[x]).partial_cmp(&key(&self.engines[y])).unwrap_or(std::cmp::Ordering::Equal)
        });
        all.into_iter().take(most).map(|e| Eng(e as u32)).collect()
    }

    /// What to do after a batch of calls.
    pub fn decide(&mut self, now: f64) -> Decisions {
        self.survey(now);
        self.watch(now);
        // The Migrator: a state whose read has ended goes at once to the earliest-maturing writer.
        let open = self.open.clone();
        for &i in &open {
            if self.infs[i].stage != Stage::Held {
                continue;
            }
            // Rule 5: a state that no writer may be sent is not kept; with no sends left it never will be.
            let inf = &self.infs[i];
            // A further send may not come up either, nor the first call that lets go.
            let last = inf.held_since + (self.hold / 2.0).min(self.hold - 2.0 * self.connect);
            let spent = now >= last || !self.again(now, i, None);
            let late = now > last && inf.sends.iter().any(|s| s.missed && s.write && s.at >= inf.held_since);
            match self.writer(now, i) {
                Some(w) if !late => self.write(now, i, w, 0.0),
                None if !spent => {}
                _ => self.give_up(i),
            }
        }
        // The queue: by pace aim, then arrival; what a tenant sends beyond its share comes last.
        let mut queue: Vec<usize> =
            open.iter().copied().filter(|&i| self.infs[i].stage == Stage::Queued).collect();
        queue.sort_by(|&x, &y| {
            let pace = |i: usize| self.routes[self.infs[i].route].pace_s;
            let key = |i: usize| (self.infs[i].over_share, pace(i), self.infs[i].arrived);
            key(x).partial_cmp(&key(y)).unwrap().then(x.cmp(&y))
        });
        let (writer_wait, busy) = self.writers(now);
        let readers = self.stage(true);
        // The budget: what the tightest target present leaves for reading, the c·t² left out.
        let tightest = queue.iter().map(|&i| self.infs[i].target - self.infs[i].arrived).fold(60.0, f64::min);
        let budget = ((tightest - self.read_cost.abc[0]) / self.read_cost.abc[1] * 1000.0).max(0.0);
        // With a stage full the first-token target is the deadline: a late answer would make others late.
        let waits = readers.iter().map(|&e| self.maturity(now, e) - now);
        let mean_wait = waits.sum::<f64>() / readers.len().max(1) as f64;
        let pressed = busy >= ROOM || mean_wait > self.target / 4.0;
        for &i in &queue {
            if self.asking(now, i) {
                continue;
            }
            let inf = &self.infs[i];
            let open: Vec<usize> = readers.iter().copied().filter(|&e| self.ration(now, i, e)).collect();
            let matured = |e: &usize| (self.engines[*e].matures - now).max(0.0);
            let reader_wait = open.iter().map(matured).min_by(f64::total_cmp).unwrap_or(0.0);
            let least = reader_wait + self.read_cost.of(0.0) + writer_wait;
            // Shed unread: too late to start before the deadline.
            let deadline = if pressed { inf.target.min(inf.due) } else { inf.due };
            if now + least > deadline || !self.again(now, i, None) {
                self.give_up(i);
                continue;
            }
            // With no reader to send to, an engine that reads for itself takes the prompt.
            if open.is_empty() {
                if let Some(w) = self.writer(now, i) {
                    self.write(now, i, w, 4.0 * self.read_cost.of(self.infs[i].prompt));
                }
                continue;
            }
            if reader_wait > 0.0 {
                continue;
            }
            let Some(home) = self.reader(now, i, &open) else { continue };
            let tokens = self.unkept(home, i);
            let e = &self.engines[home];
            let free = budget.min(e.memory * (1.0 - e.load.memory_share.unwrap_or(0.0)));
            let fits = e.batch_tokens + tokens <= free || (tokens > budget && e.out == 0);
            let ahead = self.maturity(now, home) - now;
            let read = self.read_cost.of(tokens);
            // The chance of a first token in time, less sure the busier the writers are; nor may a looser
            // target fill the writers until a tighter one can't be met: half the tightest is left for them.
            // Pressed, reading much anew for one takes the reader from several whose text is kept.
            let cost = if pressed { KEEPING * read } else { read };
            let by = self.infs[i].target.min(self.infs[i].due);
            let spare = (by - now - ahead - cost).min(self.target / 2.0) - writer_wait;
            let spread = self.target * (0.05 + 0.2 * busy);
            let chance = 1.0 / (1.0 + (-spare / spread).exp());
            if fits && chance >= THETA {
                self.read(now, i, home);
            } else if self.infs[i].over_share || pressed {
                // Beyond its tenant's share none waits for room that others need, nor, pressed, any at all.
                self.give_up(i);
            }
        }
        // A matured reader that admitted nothing takes the oldest held, even below θ; not so when all
        // writers are full: what is read then only waits, and makes others wait.
        queue.sort_by(|&x, &y| self.infs[x].arrived.total_cmp(&self.infs[y].arrived).then(x.cmp(&y)));
        queue.retain(|&i| writer_wait <= self.target / 2.0 && self.infs[i].stage == Stage::Queued);
        for &i in &queue {
            if self.infs[i].over_share || self.asking(now, i) {
                continue;
            }
            let idle = |e: &usize| self.engines[*e].batch_s == 0.0 && self.engines[*e].matures <= now;
            let idle = readers.iter().copied().filter(|e| idle(e) && self.ration(now, i, *e));
            let Some(r) = self.reader(now, i, &idle.collect::<Vec<_>>()) else { continue };
            self.read(now, i, r);
        }
        // A reader next matures when what it was given has been read.
        for &r in &readers {
            let e = &mut self.engines[r];
            e.matures = if e.batch_s > 0.0 { e.matures.max(now) + e.batch_s } else { e.matures };
            (e.batch_s, e.batch_tokens) = (0.0, 0.0);
        }
        self.todo.subscribe = self.must_ask && now >= self.ask_at;
        self.must_ask &= !self.todo.subscribe;
        if !self.open.is_empty() {
            // Rule 1: no later than a tick before the first client's time is up.
            let due = self.open.iter().map(|&i| self.infs[i].due - self.tick);
            self.todo.wake_at = Some(due.fold(now + (4.0 * self.tick).max(0.01), f64::min));
        } else if self.must_ask {
            self.todo.wake_at = Some(self.ask_at);
        }
        self.free.extend(self.todo.closed.iter().map(|c| c.0 as usize));
        std::mem::take(&mut self.todo)
    }

    fn stage(&self, reads: bool) -> Vec<usize> {
        (0..self.engines.len()).filter(|&e| self.able(e, reads)).collect()
    }

    fn able(&self, e: usize, reads: bool) -> bool {
        self.engines[e].standing == Standing::In && (self.engines[e].role == Role::Read) == reads
    }

    /// When the engine can safely take more: as told and sent to, the more like the usual the older the news,
    /// and no sooner than an answer that it still owes a probe.
    fn maturity(&self, now: f64, e: usize) -> f64 {
        let eng = &self.engines[e];
        let owed = if eng.probing { now - eng.asked } else { 0.0 };
        let guessed = self.usual[0] * (1.0 - self.trust(e)) + owed;
        eng.matures.max(now + guessed) + eng.batch_s
    }

    /// How far the last report still tells of the engine: it ages as fast as the work there ends.
    fn trust(&self, e: usize) -> f64 {
        let e = &self.engines[e];
        let ages = if e.role == Role::Read { self.target } else { self.life };
        (-(self.now - e.load_at) / ages).exp()
    }

    /// The usual wait of readers and load of writers, against which single engines are judged.
    fn survey(&mut self, now: f64) {
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

    /// The first-maturing reader; near-ties go to the one that the text's hash prefers. The window is the
    /// reading that a later-maturing reader saves by what it keeps, and one step.
    fn reader(&self, now: f64, i: usize, readers: &[usize]) -> Option<usize> {
        let done = |e: usize| {
            let cross = if self.engines[e].zone == self.zone { 0.0 } else { self.cross };
            // One that failed it fails it again within moments: kept text must not draw it back until no send
            // is left. As for writers, each try there costs a target.
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
    /// names as many as its part of recent arrivals needs, so that copies fill little memory, and the session
    /// chooses of these; behind them stands one more to spill to.
    fn homes(&self, inf: &Inference) -> Vec<usize> {
        let text = if inf.prefix != 0 { inf.prefix } else { inf.session };
        let mut ranked = self.stage(true);
        if ranked.iter().any(|&e| self.engines[e].zone == self.zone) {
            ranked.retain(|&e| self.engines[e].zone == self.zone);
        }
        let others = self.recent.iter().filter(|&&t| t == text).count() as f64;
        let part = others / (self.recent.len() as f64 + RECENT as f64 / 4.0);
        let all = ranked.len() as f64;
        // Two at least where memory has room for all texts twice, those not met yet too (Chao).
        let mut met: Vec<u64> = self.recent.iter().copied().filter(|&t| t != 0).collect();
        met.sort_unstable();
        let seen = |n: usize| met.chunk_by(|a, b| a == b).filter(|c| c.len() == n).count() as f64;
        let unmet = seen(1).powi(2) / (2.0 * (seen(2) + 1.0));
        let texts = met.chunk_by(|a, b| a == b).count() as f64 + unmet;
        let memory: f64 = ranked.iter().map(|&e| self.engines[e].memory).sum();
        let least = if 2.0 * texts * self.prompt < TEXTS_ROOM * memory { 2.0 } else { 1.0 };
        let named = (SPREAD * part * all).max(least).min((all / 2.0).max(1.0));
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
    fn unkept(&self, e: usize, i: usize) -> f64 {
        (self.infs[i].prompt - self.engines[e].keeps.min(1.0) * self.named(e, i)).max(1.0)
    }

    /// Prompt tokens that it is to keep by the hash.
    fn named(&self, e: usize, i: usize) -> f64 {
        let inf = &self.infs[i];
        let mut homes = inf.homes.iter().copied().filter(|&h| self.able(h, true));
        match homes.position(|h| h == e) {
            Some(0) => HOME_KEEPS * (inf.prompt + inf.prefix_tokens),
            Some(1) if inf.homes.len() > 2 => inf.prefix_tokens,
            _ => 0.0,
        }
    }

    /// At arrival, where news is old, one reader and some writers by chance, those beside the hashed reader
    /// first, are asked. Not left to the round of decisions, whose time is later on sockets.
    fn inquire(&mut self, now: f64, home: Option<usize>) {
        if self.probes {
            let readers = self.stage(true);
            let one = (self.dice() * readers.len() as f64) as usize;
            readers.get(one).into_iter().for_each(|&e| self.ask(now, e, self.target / 2.0));
            home.into_iter().for_each(|e| self.scout(now, e));
        }
    }

    /// Asks the first two hashed readers for load where news is old. True while their answer may come.
    fn asking(&mut self, now: f64, i: usize) -> bool {
        let homes: Vec<usize> = self.infs[i].homes.iter().copied().take(2).collect();
        homes.iter().for_each(|&e| self.ask(now, e, self.target / 2.0));
        let owed = homes.iter().any(|&e| self.engines[e].probing);
        owed && now < self.infs[i].arrived + self.target / 32.0
    }

    fn scout(&mut self, now: f64, r: usize) {
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
        others.iter().take(SCOUTED.saturating_sub(fresh)).for_each(|o| self.ask(now, o.1, stale));
    }

    fn ask(&mut self, now: f64, e: usize, stale: f64) {
        let eng = &mut self.engines[e];
        let old = now - eng.news_at() >= stale;
        if self.probes && old && !eng.probing && eng.standing == Standing::In {
            (eng.probing, eng.asked) = (true, now);
            self.todo.probes.push(Eng(e as u32));
        }
    }

    fn read(&mut self, now: f64, i: usize, r: usize) {
        let (tokens, ahead) = (self.unkept(r, i), self.maturity(now, r) - now);
        let read = self.read_cost.of(tokens);
        self.engines[r].batch_s += read;
        self.engines[r].batch_tokens += tokens;
        self.send(now, i, r, ahead + read);
    }

    fn write(&mut self, now: f64, i: usize, w: usize, read: f64) {
        let step = self.step(w);
        let wait = step + self.wait(w, self.infs[i].prompt) + read;
        // The writer next matures at its next step.
        self.engines[w].matures = self.engines[w].matures.max(now + step);
        self.send(now, i, w, wait);
    }

    fn learn_read(&mut self, i: usize, s: Sent, end: Ending) {
        self.each += 0.05 * (end.after_s / (s.there + 1.0) - self.each);
        // Only a read that met an idle reader tells what reading costs; queues fitted as cost would hold
        // readers back, whose queues then look longer still.
        if s.there < 1.0 {
            self.read_cost.add((self.infs[i].prompt - end.note).max(1.0), end.after_s);
        }
        // A fresh reader drew all texts of its hash and queued them; one long there is believed.
        let named = self.named(s.eng, i);
        let e = &mut self.engines[s.eng];
        if named > 0.0 && e.started.is_finite() {
            e.keeps += KEEPS_LEARNT * ((end.note / named).min(2.0) - e.keeps);
        }
        e.faults /= 2.0;
    }

    /// Step time E_d of a writer: grows with its load; at the pace aim it is full (relax = 0).
    fn step(&self, e: usize) -> f64 {
        self.pace * (EMPTY_STEP + (1.0 - EMPTY_STEP) * self.load(e))
    }

    /// Wait for room at a writer: memory comes free by the mean life of a stream. The edge is soft:
    /// load is known roughly, the more so the older the news.
    fn wait(&self, e: usize, tokens: f64) -> f64 {
        let short = self.load(e) + tokens / self.engines[e].memory - ROOM;
        let rough = UNSURE * (2.0 - self.trust(e));
        rough * (1.0 + (short / rough).exp()).ln() * self.life
    }

    /// Time that a state read now is likely to wait for a writer, and the writers' load: over those not held
    /// off, between the least and the mean, since other nodes, too, send to whichever seems free.
    fn writers(&self, now: f64) -> (f64, f64) {
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
    fn writer(&mut self, now: f64, i: usize) -> Option<usize> {
        let mut best = (f64::INFINITY, None);
        for w in self.stage(false) {
            let fit = self.infs[i].state.is_some() || self.writers_read || self.engines[w].role == Role::Both;
            if !fit || !self.again(now, i, Some(w)) || !self.ration(now, i, w) {
                continue;
            }
            let jitter = 0.1 * self.pace * self.dice();
            let (inf, e) = (&self.infs[i], &self.engines[w]);
            // One that never came up tells of the whole way there: tried writer by writer, a state's time is gone.
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

    fn send(&mut self, now: f64, i: usize, eng: usize, expected: f64) {
        let (inf, e) = (&mut self.infs[i], &mut self.engines[eng]);
        let write = e.role != Role::Read;
        inf.stage = if write { Stage::Writing } else { Stage::Reading };
        if inf.sends.is_empty() {
            // Starts, not arrivals: in a rush of retries these run ahead of what engines are sent.
            self.start_gap += 0.05 * ((now - self.last_start).min(self.target) - self.start_gap);
            self.last_start = now;
        }
        let there = e.there(self.prompt).max(e.out as f64);
        inf.sends.push(Sent { eng, at: now, there, expected, write, live: true, late: false, missed: false });
        // Where probes tell a dead engine from a busy one, no place in a queue is given up for time alone.
        let sure = self.probes && self.cancel;
        let patience = if sure { f64::INFINITY } else { 6.0 * expected + self.target };
        let patience_s = patience.min(inf.due - now).max(self.tick);
        e.out += 1;
        e.tokens += if write { inf.prompt } else { 0.0 };
        self.todo.sends.push(SendOrder { inf: Inf(i as u32), eng: Eng(eng as u32), patience_s });
    }

    /// A failure makes the engine a worse choice, the more so the more there were lately, but never bars it:
    /// when most of a role fails now and then, all go on. Holds against engines that fail quickly, lose
    /// answers or die; hurts when a lone error was chance, by half a target for a while.
    fn strike(&mut self, now: f64, e: usize) {
        (self.engines[e].faults, self.engines[e].fault_at) = (self.faults(now, &self.engines[e]) + 1.0, now);
    }

    fn faults(&self, now: f64, e: &Engine) -> f64 {
        e.faults * (-(now - e.fault_at) / (LONGEST_HOLD_OFF * self.target)).exp()
    }

    /// What is likely lost at the engine by failing there.
    fn risk(&self, now: f64, e: usize) -> f64 {
        self.target * (1.0 - 1.0 / (1.0 + self.faults(now, &self.engines[e])))
    }

    /// No probe or connection got through: held off, longer each time in a row, until it is heard.
    fn unreached(&mut self, now: f64, e: usize) {
        let e = &mut self.engines[e];
        (e.mute, e.strikes) = (now, (e.strikes + 1.0).min(8.0));
        let off = self.target * (0.25 * 2f64.powf(e.strikes - 1.0)).min(LONGEST_HOLD_OFF);
        e.matures = e.matures.max(now + off);
    }

    /// An answer of any kind ends a hold-off that silence brought: a cut that heals is used again at once.
    fn hear(&mut self, now: f64, e: usize) {
        let e = &mut self.engines[e];
        if e.mute > e.heard {
            e.matures = e.matures.min(now);
        }
        e.strikes = 0.0;
        e.heard = now;
    }

    /// A send long overdue speaks against its engine before its outcome comes.
    fn watch(&mut self, now: f64) {
        for i in self.open.clone() {
            // Rule 1: the answer goes out a tick before the client's time is up.
            if now + self.tick >= self.infs[i].due {
                self.give_up(i);
                continue;
            }
            for n in 0..self.infs[i].sends.len() {
                let s = self.infs[i].sends[n];
                let e = &self.engines[s.eng];
                let quiet = now - s.at.max(e.heard);
                let overdue = s.live && quiet > s.expected + self.target / 4.0;
                // Unreachable since the send and not heard again: what waits there is sent elsewhere.
                if s.live && self.cancel && e.mute > s.at.max(e.heard) && quiet > self.target / 4.0 {
                    self.todo.cancelled.push((Inf(i as u32), n as u32));
                }
                if overdue && !s.late {
                    // What is slow fails late: a worse choice at once, and asked whether it still answers.
                    self.infs[i].sends[n].late = true;
                    self.strike(now, s.eng);
                    self.ask(now, s.eng, self.target / 4.0);
                }
            }
        }
    }

    /// Whether the inference may be sent to the engine now. A fresh one gets an even part of the traffic,
    /// times what it may bear by its age: each inference draws whether it is of that, so that all nodes
    /// keep to it, however uneven their traffic, and none is lost at nodes with nothing to send. Those whose
    /// hashed reader it is are an even part already; of the others half as many may spill to it.
    fn ration(&self, now: f64, i: usize, e: usize) -> bool {
        let eng = &self.engines[e];
        let age = now - eng.started;
        if age >= self.warm_within {
            return true;
        }
        let grown = self.cold_share + (1.0 - self.cold_share) * (age / self.warm_within).max(0.0).powi(2);
        let home = self.infs[i].homes.first() == Some(&e);
        let part = if home { self.homely } else { 0.5 / self.peers[(eng.role != Role::Read) as usize] };
        let drawn = |d: u64| (hash(&eng.id, d) as f64) < self.cold_multiple * grown * part * u64::MAX as f64;
        !self.unplaced && self.infs[i].draw.is_some_and(drawn)
    }

    /// What an inference draws its part by; none beyond what this node usually starts, or its part of what
    /// the tenants are promised: retries in a rush are not traffic.
    fn draw(&mut self, now: f64) -> Option<u64> {
        let quotas = self.shares.iter().map(|s| s.bucket.rate).sum::<f64>();
        self.draws.rate = quotas.max(1.0 / self.start_gap.max(self.tick));
        self.draws.fill(now, 1.0 + self.draws.rate * self.tip_window / 8.0);
        (self.draws.left >= 1.0).then(|| {
            self.draws.left -= 1.0;
            self.chance.generate()
        })
    }

    /// Whether a further send is allowed: to this writer, or (none named) at all, a read and a write left.
    fn again(&self, now: f64, i: usize, writer: Option<usize>) -> bool {
        let inf = &self.infs[i];
        let need = if inf.state.is_some() || writer.is_some() { 1 } else { 2 };
        if inf.sends.len() + need > self.most_sends {
            return false;
        }
        match (inf.ran, self.routes[inf.route].repeat) {
            (None, _) | (_, Repeat::Retriable) => true,
            (_, Repeat::NonRetriable) => false,
            // Only inside the group that drops repeats, and while it surely still remembers.
            (Some((first, at)), Repeat::Deduped { group, memory_s }) => {
                let same = |w: usize| match group {
                    Group::All => true,
                    Group::Zone => self.engines[w].zone == self.engines[first].zone,
                    Group::Cell => self.engines[w].cell == self.engines[first].cell,
                };
                // A prompt is not read again for it outside the group either: that, too, counts as a send.
                let inside = writer.map_or(need == 1 || group == Group::All, same);
                now + self.target < at + memory_s && inside
            }
        }
    }

    /// Answers at once: shed where a repeat is harmless, else errored; lets go of what is held.
    fn give_up(&mut self, i: usize) {
        if matches!(self.infs[i].stage, Stage::Ended | Stage::Closed) {
            return;
        }
        let inf = &self.infs[i];
        let may_have_run = inf.ran.is_some() || inf.sends.iter().any(|s| s.write && s.live);
        let harmless = match self.routes[inf.route].repeat {
            Repeat::Retriable | Repeat::Deduped { group: Group::All, .. } => true,
            _ => !may_have_run,
        };
        if harmless {
            let back = self.come_back.map(|most| most.min(self.life / 4.0));
            self.todo.shed.push((Inf(i as u32), back));
        } else {
            self.todo.errored.push(Inf(i as u32));
        }
        let live = inf.sends.iter().enumerate().filter(|(_, s)| s.live && self.cancel);
        self.todo.cancelled.extend(live.map(|(n, _)| (Inf(i as u32), n as u32)));
        self.close(i);
    }

    /// The inference is over; what it holds is let go, and its handle once no send is out.
    fn close(&mut self, i: usize) {
        let live = self.infs[i].sends.iter().any(|s| s.live);
        // A send still out keeps the state from being let go: it is said again when the last one ends.
        if self.infs[i].stage != Stage::Streaming && !self.infs[i].sends.is_empty() {
            self.todo.released.push(Inf(i as u32));
        }
        self.infs[i].stage = if live { Stage::Ended } else { Stage::Closed };
        self.open.retain(|&o| o != i);
        if !live {
            self.todo.closed.push(Inf(i as u32));
        }
    }

    fn note_load(&mut self, now: f64, e: usize, load: Load) {
        let e = &mut self.engines[e];
        (e.load, e.load_at, e.tokens_at_report) = (load, now, e.tokens);
        if e.role == Role::Read {
            // What all nodes have waiting there is read first; with nothing own there, the report is all.
            e.told_wait = e.there(self.prompt) * self.each;
            let at = now + e.told_wait;
            e.matures = if e.out == 0 && e.strikes == 0.0 { at } else { e.matures.max(at) };
        }
    }

    /// Share of a writer that is taken or waited for (may pass 1) as reported: memory or slots, whichever is
    /// fuller, and what waits there.
    fn told(&self, e: usize) -> Option<f64> {
        let e = &self.engines[e];
        let reported = match (e.load.memory_share, e.load.slot_share) {
            (Some(m), Some(s)) => m.max(s),
            (m, s) => m.or(s)?,
        };
        let queued = e.load.queue.map(|q| q * self.prompt / e.memory);
        let unread = e.load.unread_tokens.map(|t| t / e.memory);
        let there = e.load.inflight.map(|n| n * self.prompt / e.memory - reported);
        Some(reported + queued.or(unread).or(there).unwrap_or(0.0).max(0.0))
    }

    /// Load of a writer now: as told and own sends since, the more like the usual the older the news (an old
    /// report of an over-full one drains with it); where nothing is ever told, own sends times the nodes.
    fn load(&self, e: usize) -> f64 {
        let eng = &self.engines[e];
        let since = (eng.tokens - eng.tokens_at_report) / eng.memory;
        match self.told(e) {
            Some(told) => self.usual[1] + self.trust(e) * (told + since - self.usual[1]),
            None if self.usual[1] > 0.0 => self.usual[1],
            None => eng.tokens * self.nodes / eng.memory,
        }
        .max(eng.tokens / eng.memory)
    }

    fn dice(&mut self) -> f64 {
        self.chance.generate::<u32>() as f64 / u32::MAX as f64
    }
}

#[cfg(test)]
mod tests;
