//! A request's life around the Router, without I/O: calls tell what happened and when, [`Core::act`] returns what
//! to do. No clock, socket or task; equal calls give equal actions.

mod act;
pub mod cause;
pub mod door;
pub mod guard;
pub mod kept;
pub mod ledger;
pub mod life;
mod membership;
pub mod sweep;
pub mod together;
pub mod trace;
mod words;

pub use cause::Cause;
pub use door::{Ask, Door, Refusal};
use guard::{Attempt, Guard, Violation};
use ledger::{Ledger, ReservationId};
use nickelgw::decide::Router;
use nickelgw::interface::{
    AttemptEnd, Deployment, EngineEntry, EngineHandle, EngineLoad, EngineRole, Idempotency, IncomingRequest,
    LearnedState, Lifecycle, Outcome, RejectionReason, RequestHandle,
};
use nickelgw_accord::core::Known;
use nickelgw_chat::core::grant::{grant, Granted};
use nickelgw_protocol::list::{self, List};
use nickelgw_protocol::load::{self, LoadReport};
use nickelgw_tenants::core::fair;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use sweep::Sweep;
use together::{Round, Together};
use trace::{Ring, Step, Story};
pub use words::*;

/// Gap before the next try of a call that has failed so often: doubled each time, up to the longest.
fn doubling(first_s: f64, tries: u32, longest_s: f64) -> f64 {
    (first_s * f64::from(1u32 << tries.min(16))).min(longest_s)
}

/// Part of its target past which a first token counts as late for the limit: one that waits for misses has had them.
const IN_GOOD_TIME: f64 = 0.4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Streaming(u32),
    /// Answered, or the client has left.
    Over,
}

struct Sent {
    read: bool,
    live: bool,
    at: f64,
    /// A write that is not known not to have run.
    may_have_run: bool,
}

struct Taken {
    serial: u64,
    route: usize,
    name: Option<String>,
    story: Option<Story>,
    tenant: Option<usize>,
    /// A first token later than this says that there is too much.
    good_until: f64,
    stage: Stage,
    due_at: f64,
    whole_at: f64,
    sends: Vec<Sent>,
}

pub struct Core {
    router: Router,
    figures: Figures,
    /// Whether sends may be called off.
    cancel: bool,
    /// Longest come-back time that clients are told; none: they are told none.
    longest_come_back_s: Option<f64>,
    tick: f64,
    /// Routes of which a send that may have run is not made again.
    once: Vec<bool>,
    /// First-token target of each route: a constant part, and one for each prompt token.
    targets: Vec<(f64, f64)>,
    places: HashMap<String, (Rc<Place>, EngineRole)>,
    /// By the Router's handle.
    taken: Vec<Option<Taken>>,
    open: usize,
    open_by_tenant: Vec<usize>,
    fair: fair::Fair,
    limit: fair::Limit,
    serial: u64,
    pub ledger: Ledger,
    /// What every attempt passes, and what counts broken rules.
    pub guard: Guard,
    /// Engines of the list that take no new work.
    draining: BTreeSet<String>,
    /// How each route may be repeated.
    repeats: Vec<Idempotency>,
    sweep: Sweep,
    /// The node as one of a fleet, where nodes tell each other what they see.
    pub together: Option<Together>,
    pub ring: Ring,
    /// What an earlier process had learnt, and how far it is believed; used with the first list.
    recall: Option<(LearnedState, f64)>,
    revision: Option<u64>,
    ready: Vec<Do>,
    /// Nothing more is taken.
    leaving: bool,
    /// Begun answers that clients do not stream, by the time when they must be whole (as bits: none is negative).
    unseen: BTreeSet<(u64, Ticket)>,
    pub tally: Tally,
}

fn load(report: &LoadReport) -> EngineLoad {
    EngineLoad {
        memory_share: report.mem_utilization,
        slot_share: report.application_utilization,
        queue_len: report.named(load::WAITING),
        inflight: report.named(load::PRESENT),
        pending_prompt_tokens: report.named(load::UNREAD),
    }
}

impl Core {
    pub fn new(deployment: Deployment, figures: Figures) -> Core {
        let repeats = deployment.routes.iter().map(|r| r.idempotency).collect();
        let ledger = Ledger::new(deployment.reservation_limit_s, figures.let_go_within_s);
        Core {
            tick: deployment.tick_s,
            longest_come_back_s: deployment.max_retry_after_s,
            cancel: deployment.can_cancel,
            once: deployment.routes.iter().map(|r| r.idempotency == Idempotency::NonIdempotent).collect(),
            targets: deployment
                .routes
                .iter()
                .map(|r| (r.ttft_objective_s, r.ttft_objective_per_token_s))
                .collect(),
            router: Router::new(deployment),
            places: HashMap::new(),
            taken: Vec::new(),
            open: 0,
            serial: 0,
            ledger,
            guard: Guard::default(),
            draining: BTreeSet::new(),
            repeats,
            sweep: Sweep::new(figures.sweep_s.0, figures.sweep_s.1),
            recall: None,
            together: None,
            ring: Ring::default(),
            open_by_tenant: vec![0; figures.tenant_most_open.len()],
            fair: fair::Fair::default(),
            limit: fair::Limit::new(
                figures.fair.as_ref().map_or_else(Default::default, |f| f.figures),
                figures.most_open as f64,
            ),
            revision: None,
            ready: Vec::new(),
            leaving: false,
            unseen: BTreeSet::new(),
            tally: Tally::default(),
            figures,
        }
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Whether anything is still owed to an engine: a send out or a state to let go.
    pub fn is_quiet(&self) -> bool {
        self.taken.iter().all(Option::is_none) && self.ledger.is_empty()
    }

    /// The process is about to end: what is still owed is counted.
    pub fn exits(&mut self) {
        if self.open > 0 {
            self.guard.count(Violation::ExitWithRequests, 0);
        }
        if !self.ledger.is_empty() {
            self.guard.count(Violation::ExitWithReservations, 0);
        }
    }

    /// Takes a request, or says why not.
    pub fn take(&mut self, now: f64, ask: &Ask) -> Result<Ticket, Refusal> {
        if let Err(why) = self.may_enter(ask) {
            self.tally.refused += 1;
            return Err(why);
        }
        if let Some((t, w)) = self.weight(ask.tenant) {
            self.fair.opened(t, w);
        }
        let arrival = IncomingRequest {
            route: ask.route,
            tenant: ask.tenant,
            deadline: now + ask.timeout_s,
            prompt_tokens: ask.prompt_tokens,
            prefix_tokens: ask.prefix_tokens,
            session: ask.session.clone(),
            prefix: ask.prefix.clone(),
            is_background: ask.spare,
        };
        let inf = self.router.admit_request(now, &arrival).0;
        self.serial += 1;
        self.open += 1;
        if let Some(n) = ask.tenant.and_then(|t| self.open_by_tenant.get_mut(t)) {
            *n += 1;
        }
        self.tally.taken += 1;
        let slot = inf as usize;
        if slot >= self.taken.len() {
            self.taken.resize_with(slot + 1, || None);
        }
        let good_until = now + IN_GOOD_TIME * self.target_s(ask);
        let whole_at = ask.whole_within_s.map_or(f64::INFINITY, |s| now + s);
        self.taken[slot] = Some(Taken {
            serial: self.serial,
            route: ask.route,
            name: ask.name.clone(),
            story: None,
            tenant: ask.tenant,
            good_until,
            stage: Stage::Waiting,
            due_at: arrival.deadline,
            whole_at,
            sends: Vec::new(),
        });
        Ok(Ticket { inf, serial: self.serial })
    }

    /// Whether one more is taken, before the module hears of it.
    fn may_enter(&self, ask: &Ask) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.open >= self.figures.most_open {
            return Err(Refusal::Full);
        }
        let limit = ask.tenant.and_then(|t| *self.figures.tenant_most_open.get(t)?);
        if ask.tenant.zip(limit).is_some_and(|(t, most)| self.open_by_tenant[t] >= most) {
            return Err(Refusal::TenantFull);
        }
        if let (Some(f), Some((t, w))) = (&self.figures.fair, self.weight(ask.tenant)) {
            if !self.fair.admits(self.limit.get(), f.figures.reserve, t, w) {
                return Err(Refusal::OverPart);
            }
        }
        Ok(())
    }

    /// Seconds within which its first token is wanted.
    pub fn target_s(&self, ask: &Ask) -> f64 {
        self.targets.get(ask.route).map_or(f64::INFINITY, |t| t.0 + t.1 * ask.prompt_tokens)
    }

    fn weight(&self, tenant: Option<usize>) -> Option<(usize, f64)> {
        let t = tenant?;
        Some((t, *self.figures.fair.as_ref()?.weights.get(t)?))
    }

    fn get(&mut self, t: Ticket) -> Option<&mut Taken> {
        self.taken.get_mut(t.inf as usize)?.as_mut().filter(|x| x.serial == t.serial)
    }

    fn ticket(&self, inf: RequestHandle) -> Option<Ticket> {
        let serial = self.taken.get(inf.0 as usize)?.as_ref()?.serial;
        Some(Ticket { inf: inf.0, serial })
    }

    /// What happens to it is written down from now on.
    pub fn trace(&mut self, t: Ticket, story: Story) {
        if let Some(taken) = self.get(t) {
            taken.story = Some(story);
        }
    }

    /// The story of a request, open or over.
    pub fn story(&self, id: &str) -> Option<&Story> {
        let open = self.taken.iter().flatten().filter_map(|x| x.story.as_ref()).find(|s| *s.id == *id);
        open.or_else(|| self.ring.find(id))
    }

    fn note(&mut self, now: f64, t: Ticket, step: Step) {
        if let Some(story) = self.get(t).and_then(|x| x.story.as_mut()) {
            story.add(now, step);
        }
    }

    /// A write's first token is there. True: the stream is this send's from now on; false: it came too late.
    pub fn began(&mut self, now: f64, t: Ticket, send: u32) -> bool {
        let Some(taken) = self.get(t) else { return false };
        let Some(s) = taken.sends.get(send as usize) else { return false };
        if !s.live || s.read || taken.stage != Stage::Waiting {
            return false;
        }
        taken.stage = Stage::Streaming(send);
        let late = now > taken.good_until;
        self.limit.answered(now, self.open, late);
        let Some(taken) = self.get(t) else { return false };
        // A begun stream has no deadline, but a client that does not stream sees none of it before its end.
        if taken.whole_at.is_finite() {
            let at = taken.whole_at - self.tick;
            self.unseen.insert((at.max(0.0).to_bits(), t));
        }
        self.note(now, t, Step::Began { send });
        self.ledger.claim_served(now, t.serial, send);
        self.router.first_token(now, RequestHandle(t.inf), send);
        self.ledger.release_all(now, t.serial);
        true
    }

    /// A send has ended; each ends once, what comes later for it is passed over.
    pub fn ended(&mut self, now: f64, t: Ticket, send: u32, end: End) {
        let Some(taken) = self.get(t) else { return };
        let Some(s) = taken.sends.get_mut(send as usize).filter(|s| s.live) else { return };
        let began = taken.stage == Stage::Streaming(send);
        let mut cause = end.cause;
        if (cause == Cause::Completed && !began) || (matches!(cause, Cause::Read) && !s.read) {
            cause = Cause::Garbled;
        }
        s.live = false;
        let outcome = cause.outcome();
        let never = matches!(cause, Cause::TurnedAway | Cause::NoConnection | Cause::NotSent);
        s.may_have_run &= !never && cause != Cause::NoState;
        let state = ReservationId { owner: t.serial, prefill: send };
        match (s.read, cause) {
            (true, Cause::Read) => self.ledger.prefill_done(now, state),
            // What a failed read may have left is let go at once: nobody will ever ask for it.
            (true, _) => self.ledger.prefill_failed(now, state, never),
            (false, _) => self.ledger.claim_ended(now, t.serial, send, cause.is_answer()),
        }
        self.note(now, t, Step::Ended { send, cause });
        if began && cause == Cause::CalledOff {
            // Nobody takes the stream any more: the client has gone, whichever socket told it first.
            self.leave(now, t);
        } else if began {
            let answer = if cause == Cause::Completed {
                Answer::Completed
            } else {
                Answer::Errored(Why::StreamBroken)
            };
            self.answer(now, t, answer);
        }
        let over = self.get(t).is_none_or(|x| x.stage == Stage::Over);
        if over {
            self.ledger.release_all(now, t.serial);
        }
        let note = if cause == Cause::NoState { 1.0 } else { end.kept };
        // Time since the send: the Router learns from it how long reads and streams last.
        let after_s = now - self.router.dispatched_at(RequestHandle(t.inf), send);
        let ending = AttemptEnd { outcome, elapsed_s: after_s, request_finished: over, note };
        self.router.attempt_finished(now, RequestHandle(t.inf), send, ending, end.load.as_ref().map(load));
        self.update_release_pending(t);
    }

    /// Nothing more is taken from now on.
    pub fn refuse_work(&mut self) {
        self.leaving = true;
    }

    /// The grace is over: whatever is open gets its one answer now, and nothing more is sent for it.
    pub fn end_all(&mut self, now: f64) {
        self.end_open(now, true);
    }

    /// So does what has not begun; streams go on.
    pub fn end_waiting(&mut self, now: f64) {
        self.end_open(now, false);
    }

    fn end_open(&mut self, now: f64, streams: bool) {
        self.leaving = true;
        let cancel = self.cancel;
        for inf in 0..self.taken.len() as u32 {
            let Some(t) = self.ticket(RequestHandle(inf)) else { continue };
            let Some(taken) = self.get(t).filter(|x| x.stage != Stage::Over) else { continue };
            let begun = taken.stage != Stage::Waiting;
            if begun && !streams {
                continue;
            }
            // Where none may be called off a read that is out goes on.
            let over = |s: &Sent| !s.may_have_run && (cancel || !s.live);
            let harmless = !begun && taken.sends.iter().all(over);
            // Where clients are told none, a shutdown tells none either.
            let come_back_s = self.longest_come_back_s.map(|s| s.min(self.figures.come_back_s));
            let answer = if harmless { Answer::Shed { come_back_s } } else { Answer::Errored(Why::Stopping) };
            self.answer(now, t, answer);
            self.router.client_disconnected(RequestHandle(inf));
            self.ledger.release_all(now, t.serial);
        }
    }

    /// The client has gone. What is out for it is called off; nothing more is owed.
    pub fn left(&mut self, now: f64, t: Ticket) {
        if self.leave(now, t) {
            self.call_off(t);
            self.router.client_disconnected(RequestHandle(t.inf));
            self.ledger.release_all(now, t.serial);
        }
    }

    /// The request is over, if it was not before.
    fn close(&mut self, now: f64, t: Ticket, how: Step) -> bool {
        let tick = self.tick;
        let Some(taken) = self.get(t).filter(|x| x.stage != Stage::Over) else { return false };
        let before = taken.stage;
        taken.stage = Stage::Over;
        let tenant = taken.tenant;
        let begun = matches!(before, Stage::Streaming(_));
        let story = taken.story.take();
        let at = (taken.whole_at - tick).max(0.0).to_bits();
        self.unseen.remove(&(at, t));
        self.open -= 1;
        if let Some(n) = tenant.and_then(|t| self.open_by_tenant.get_mut(t)) {
            *n -= 1;
        }
        if self.weight(tenant).is_some() {
            tenant.into_iter().for_each(|t| self.fair.closed(t));
            // Given up before it began: there was too much.
            if !begun && matches!(how, Step::Answered(_)) {
                self.limit.answered(now, self.open, true);
            }
        }
        if let Some(mut story) = story {
            story.add(now, how);
            self.ring.over(story);
        }
        true
    }

    fn leave(&mut self, now: f64, t: Ticket) -> bool {
        if !self.close(now, t, Step::Left) {
            return false;
        }
        self.tally.left += 1;
        true
    }

    pub fn probed(&mut self, now: f64, id: &str, cause: Cause, report: Option<LoadReport>) {
        self.router.probe_finished(now, id, cause.outcome(), report.as_ref().map(load));
    }

    /// A call that lets go of a state was answered, or was not.
    pub fn let_go(&mut self, now: f64, call: ReservationId, done: bool) {
        let ticket = self.ticket_of(call.owner);
        let over = ticket.and_then(|t| self.get(t)).is_none_or(|x| x.stage == Stage::Over);
        self.ledger.release_answered(now, call, done, over);
        if let Some(t) = ticket {
            self.update_release_pending(t);
        }
    }

    fn ticket_of(&self, serial: u64) -> Option<Ticket> {
        let inf = self.taken.iter().position(|x| x.as_ref().is_some_and(|x| x.serial == serial))?;
        Some(Ticket { inf: inf as u32, serial })
    }

    /// No further prefill goes out for the request while a release of an earlier one's reservation is not confirmed.
    fn update_release_pending(&mut self, t: Ticket) {
        let releasing = self.ledger.is_releasing(t.serial);
        self.router.set_release_pending(RequestHandle(t.inf), releasing);
    }

    fn answer(&mut self, now: f64, t: Ticket, answer: Answer) {
        if !self.close(now, t, Step::Answered(answer)) {
            return;
        }
        match answer {
            Answer::Completed => self.tally.completed += 1,
            Answer::Shed { .. } => self.tally.shed += 1,
            Answer::Errored(_) => self.tally.errored += 1,
        }
        // What is out ends before its client is told: refused over an attempt that is still out, it may yet run.
        self.call_off(t);
        self.ready.push(Do::Answer { ticket: t, answer });
    }

    /// Whatever is still out for a request that is over is no longer waited for.
    fn call_off(&mut self, t: Ticket) {
        let Some(taken) = self.get(t) else { return };
        let live = taken.sends.iter().enumerate().filter(|(_, s)| s.live);
        let orders: Vec<Do> = live.map(|(n, _)| Do::CallOff { ticket: t, send: n as u32 }).collect();
        self.ready.extend(orders);
    }
}

#[cfg(test)]
mod tests;
