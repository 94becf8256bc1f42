//! All decisions of a node: which reader reads an inference, which writer answers it, what is shed.
//!
//! Callers make a [`Router`] from a [`Deployment`], pass on what happens as calls (`take` gives the handle
//! on which all later calls for that inference are made) and, after each batch of calls, do what
//! [`Router::decide`] lists. The types exchanged are in `src/interface.rs`. The ordinary path is the one
//! function `decide`; it follows docs/design.md. `src/decide/` has the rest by concern: the choice of
//! `readers` and of `writers`, and six mechanisms:
//! 1. engine health: failures and overdue sends, and silence (`health`);
//! 2. rationing of fresh engines and of zones returned to, by drawing a part of the traffic (`ration`);
//! 3. sending again, as far as the model route's kind allows (`again`);
//! 4. fair shares: what a tenant sends beyond its quota waits behind the rest (`take`);
//! 5. answering and letting go (`give_up`, `close` in `again`);
//! 6. load correction: reports, own sends since, and probes (`load`).

use crate::interface::*;
pub use crate::state::Router;
use crate::state::{hash, Bucket, Engine, Inference, ReadCost, Sent, Share, Stage};
use nanorand::{Rng, WyRand};
use std::{cmp::Reverse, collections::HashSet};

mod again;
mod health;
mod load;
mod ration;
mod readers;
mod writers;
use ration::COLD_CAUTION;
use readers::{KEEPING, RECENT};
use writers::ROOM;

/// Admission threshold of the first-token chance (DESIGN's start).
const THETA: f64 = 0.5;
/// Rough life of a stream before any has been seen, in paces: a few sentences.
const FIRST_LIFE: f64 = 80.0;
/// Engines known at most.
const ENGINES_KNOWN: usize = 1024;

impl Router {
    pub fn new(d: Deployment) -> Self {
        let least = |f: fn(&ModelRoute) -> f64| d.routes.iter().map(f).fold(f64::INFINITY, f64::min);
        let (target, pace) = (least(|r| r.ttft_objective_s), least(|r| r.tpot_objective_s));
        let (target, pace) = (target.clamp(0.01, 60.0), pace.clamp(0.001, 1.0));
        // Before the first sample: a read costs half a pace, and what the target grants a prompt token.
        let per_k = least(|r| r.ttft_objective_per_token_s).clamp(1e-5, 1e-3) * 1000.0;
        let bucket = |rate: f64| Bucket { left: 2.0 + 2.0 * rate, at: 0.0, rate };
        let share = |q: &f64| Share { bucket: bucket(q / d.node_count.max(1) as f64), quota: *q };
        Router {
            nodes: d.node_count.max(1) as f64,
            tick: d.tick_s,
            shares: d.tenant_quotas.iter().map(share).collect(),
            most_sends: d.max_attempts as usize,
            hold: d.reservation_limit_s,
            connect: d.connect_timeout_s,
            writers_read: d.decode_engines_prefill,
            cancel: d.can_cancel,
            probes: d.can_probe,
            come_back: d.max_retry_after_s,
            cell_worth: d.cross_cell_price * target,
            zone: d.zone,
            cross: d.cross_zone_price * target,
            cold_share: d.slow_start_initial_share,
            warm_within: d.warmup_s.max(1e-3),
            tip_window: d.overload_window_s,
            cold_multiple: d.overload_multiple * COLD_CAUTION,
            target,
            pace,
            life: FIRST_LIFE * pace,
            start_gap: d.warmup_s,
            draws: Bucket { left: 1.0, at: 0.0, rate: 0.0 },
            each: pace / 2.0 + per_k,
            read_cost: ReadCost::new(pace / 2.0, per_k),
            must_ask: d.must_poll_endpoints,
            chance: WyRand::new_seed(d.seed),
            routes: d.routes,
            ..Router::default()
        }
    }

    /// News of the engines; a full list leaves out those that are gone. Only those that are in are sent to.
    pub fn update_endpoints(&mut self, now: f64, lines: &[EngineEntry], full: bool) {
        let listed: HashSet<&str> = lines.iter().map(|l| &*l.id).collect();
        for e in self.engines.iter_mut().filter(|e| full && !listed.contains(&*e.id)) {
            e.standing = Lifecycle::Removed;
        }
        for l in lines {
            let started = l.started_at.unwrap_or(f64::NEG_INFINITY);
            let i = self.record(&l.id, ENGINES_KNOWN);
            let e = &mut self.engines[i];
            if started > e.started || e.standing == Lifecycle::Removed {
                // A new process under an old id: what was known of the old one is void.
                (e.strikes, e.faults, e.load, e.matures) = (0.0, 0.0, EngineLoad::default(), now);
                e.load_at = f64::NEG_INFINITY;
                // One that has just started keeps no text yet, whatever its hash says.
                e.keeps = if l.started_at.is_none() { 1.0 } else { 0.0 };
            }
            (e.zone, e.cell, e.role, e.memory) = (l.zone, l.cell, l.role, l.memory_tokens.max(1.0));
            (e.standing, e.started) = (l.lifecycle, started);
        }
    }

    /// Asking for the list failed: it is asked for again after a while that differs from node to node.
    pub fn endpoint_poll_failed(&mut self, now: f64) {
        self.must_ask = true;
        self.ask_at = now + self.target * (0.5 + self.dice());
    }

    /// How many nodes count has changed; none: it may use nothing of what all share for now.
    pub fn set_fleet_size(&mut self, now: f64, nodes: Option<u32>) {
        self.unplaced = nodes.is_none();
        self.nodes = nodes.map_or(self.nodes, |n| n.max(1) as f64);
        let of = if self.unplaced { f64::INFINITY } else { self.nodes };
        for Share { bucket, quota } in &mut self.shares {
            bucket.fill(now, 2.0 + 2.0 * bucket.rate);
            bucket.rate = *quota / of;
            bucket.fill(now, 2.0 + 2.0 * bucket.rate);
        }
    }

    pub fn admit_request(&mut self, now: f64, a: &IncomingRequest) -> RequestHandle {
        let few = if self.prompt == 0.0 { 1.0 } else { 0.02 };
        self.prompt += few * (a.prompt_tokens - self.prompt);
        let r = &self.routes[a.route];
        let target = now + r.ttft_objective_s + r.ttft_objective_per_token_s * a.prompt_tokens;
        // What takes spare room alone waits behind the rest, as a tenant's surplus, and counts in no share.
        let over_share = a.is_background
            || a.tenant.is_some_and(|t| {
                let b = &mut self.shares[t].bucket;
                b.fill(now, 2.0 + 2.0 * b.rate);
                b.left = b.left.max(-b.rate) - 1.0;
                b.left < 0.0
            });
        let mut inf = Inference {
            route: a.route,
            arrived: now,
            target,
            due: a.deadline,
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

    pub fn client_disconnected(&mut self, inf: RequestHandle) {
        if self.infs[inf.0 as usize].stage != Stage::Closed {
            self.close(inf.0 as usize);
        }
    }

    pub fn first_token(&mut self, now: f64, inf: RequestHandle, send: u32) {
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

    pub fn attempt_finished(
        &mut self,
        now: f64,
        inf: RequestHandle,
        send: u32,
        end: AttemptEnd,
        load: Option<EngineLoad>,
    ) {
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
        let silent =
            matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled) && e.mute > s.at.max(e.heard);
        let missed = matches!(end.outcome, Outcome::ConnectFailed | Outcome::NotDelivered) || silent;
        self.infs[i].sends[send as usize].missed = missed;
        // Only an answer proves that a send had arrived; without one it may never have been out.
        let answered = matches!(
            end.outcome,
            Outcome::Completed | Outcome::Prefilled | Outcome::EngineError | Outcome::Rejected
        );
        if answered || self.connect == 0.0 {
            self.infs[i].held_since = now;
        }
        if !matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotDelivered
        ) {
            self.hear(now, s.eng);
        }
        let stage = self.infs[i].stage;
        match end.outcome {
            Outcome::Completed => {
                self.life += 0.02 * (end.elapsed_s - self.life);
                self.engines[s.eng].faults /= 2.0;
            }
            Outcome::Prefilled => {
                self.infs[i].state = Some(s.eng);
                self.learn_read(i, s, end);
            }
            // The writer found no state; it may still wait at a reader that is cut off: let go of it.
            Outcome::Rejected if s.write && end.note == 1.0 => {
                self.infs[i].state = None;
                self.todo.released.push(inf);
            }
            // No room: the engine matures later, by what one place takes to come free.
            Outcome::Rejected => {
                let wait = if s.write { self.life / 8.0 } else { self.read_cost.of(self.infs[i].prompt) };
                let e = &mut self.engines[s.eng];
                e.matures = e.matures.max(now + wait);
            }
            Outcome::Cancelled | Outcome::NotDelivered => {}
            Outcome::ConnectFailed => self.unreached(now, s.eng),
            // A time-out while others were answered is a queue, not a fault.
            Outcome::TimedOut if self.engines[s.eng].heard > s.at => {}
            _ => self.strike(now, s.eng),
        }
        // What a send that came to nothing has left of a state's time is not enough for another one.
        let unsure = s.write && !answered && !missed && self.connect > 0.0;
        if unsure && self.infs[i].state.is_some() && self.is_spent(now, i) {
            self.infs[i].state = None;
            self.todo.released.push(inf);
        }
        let proven = matches!(
            end.outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotDelivered | Outcome::Prefilled
        );
        if s.write && !proven && self.infs[i].ran.is_none() {
            self.infs[i].ran = Some((s.eng, s.at));
        }
        if end.request_finished || matches!(stage, Stage::Streaming | Stage::Ended) {
            self.close(i);
        } else if !self.infs[i].sends.iter().any(|s| s.live) {
            // Sending again: from the state if it still waits, else from the prompt.
            self.infs[i].stage = if self.infs[i].state.is_some() { Stage::Held } else { Stage::Queued };
            if end.outcome == Outcome::NotDelivered || !self.again(now, i, None) {
                self.give_up(i, RejectionReason::NoAttemptLeft);
            }
        }
    }

    /// When a send of an inference that is not closed was made.
    pub fn dispatched_at(&self, inf: RequestHandle, send: u32) -> f64 {
        self.infs[inf.0 as usize].sends[send as usize].at
    }

    pub fn engine_id(&self, eng: EngineHandle) -> &str {
        &self.engines[eng.0 as usize].id
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
            let spent = self.is_spent(now, i) || !self.again(now, i, None);
            let late = now > self.last_send(i)
                && inf.sends.iter().any(|s| s.missed && s.write && s.at >= inf.held_since);
            match self.writer(now, i) {
                Some(w) if !late => self.write(now, i, w, 0.0),
                None if !spent => {}
                _ => self.give_up(i, RejectionReason::ReservationExpired),
            }
        }
        // The queue: by pace aim, then arrival; what a tenant sends beyond its share comes last.
        let mut queue: Vec<usize> =
            open.iter().copied().filter(|&i| self.infs[i].stage == Stage::Queued).collect();
        queue.sort_by(|&x, &y| {
            let pace = |i: usize| self.routes[self.infs[i].route].tpot_objective_s;
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
            if self.asking(now, i) || self.infs[i].release_pending {
                continue;
            }
            let inf = &self.infs[i];
            let open: Vec<usize> = readers.iter().copied().filter(|&e| self.ration(now, i, e)).collect();
            let matured = |e: &usize| (self.engines[*e].matures - now).max(0.0);
            let reader_wait = open.iter().map(matured).min_by(f64::total_cmp).unwrap_or(0.0);
            let least = reader_wait + self.read_cost.of(0.0) + writer_wait;
            // Shed unread: too late to start before the deadline.
            let deadline = if pressed { inf.target.min(inf.due) } else { inf.due };
            let (n, of) = (open.len() as u32, readers.len() as u32);
            if now + least > deadline || !self.again(now, i, None) {
                self.give_up(
                    i,
                    RejectionReason::TooLate {
                        admitting: n,
                        prefill_engines: of,
                        prefill_wait_s: reader_wait,
                        decode_wait_s: writer_wait,
                    },
                );
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
                let (reader_s, read_s, writer_s) = (ahead, cost, writer_wait);
                self.give_up(
                    i,
                    RejectionReason::ObjectiveUnlikely {
                        open: n,
                        readers: of,
                        reader_s,
                        prefill_s: read_s,
                        writer_s,
                    },
                );
            }
        }
        // A matured reader that admitted nothing takes the oldest held, even below θ; not so when all
        // writers are full: what is read then only waits, and makes others wait.
        queue.sort_by(|&x, &y| self.infs[x].arrived.total_cmp(&self.infs[y].arrived).then(x.cmp(&y)));
        queue.retain(|&i| writer_wait <= self.target / 2.0 && self.infs[i].stage == Stage::Queued);
        for &i in &queue {
            if self.infs[i].over_share || self.infs[i].release_pending || self.asking(now, i) {
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
        self.todo.poll_endpoints = self.must_ask && now >= self.ask_at;
        self.must_ask &= !self.todo.poll_endpoints;
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
        let eng = &self.engines[e];
        eng.standing == Lifecycle::Active
            && (eng.role == EngineRole::Prefill) == reads
            && self.part(eng.zone) > 0.0
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

    fn send(&mut self, now: f64, i: usize, eng: usize, expected: f64) {
        let (inf, e) = (&mut self.infs[i], &mut self.engines[eng]);
        let write = e.role != EngineRole::Prefill;
        inf.stage = if write { Stage::Writing } else { Stage::Reading };
        if inf.sends.is_empty() {
            // Starts, not arrivals: in a rush of retries these run ahead of what engines are sent.
            let few = (1.0 / (self.starts + 2.0)).max(0.05);
            self.start_gap += few * ((now - self.last_start).min(self.warm_within) - self.start_gap);
            self.starts += 1.0;
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
        self.todo.dispatches.push(Dispatch {
            request: RequestHandle(i as u32),
            engine: EngineHandle(eng as u32),
            timeout_s: patience_s,
        });
    }
}

#[cfg(test)]
mod tests;
