//! A request's life around the Router, without I/O: calls tell what happened and when, [`Core::act`] returns what
//! to do. No clock, socket or task; equal calls give equal actions.

pub mod admission;
mod apply_decisions;
pub mod attempt_outcome;
mod backoff;
mod commands;
pub mod guard;
pub mod ledger;
mod membership;
pub mod orphan_cleanup;
pub mod shutdown;
pub mod trace;
pub mod warm_state;
pub mod zone_failover;

pub use admission::{Admission, AdmittedRequest, RejectReason};
pub use attempt_outcome::AttemptOutcome;
pub use commands::*;
use guard::{Attempt, Guard, Violation};
use ledger::{Ledger, ReservationId};
use nickelgw::decide::Router;
use nickelgw::interface::{
    AttemptEnd, Deployment, EngineEntry, EngineHandle, EngineLoad, EngineRole, Idempotency, IncomingRequest,
    LearnedState, Lifecycle, Outcome, RejectionReason, RequestHandle,
};
use nickelgw_chat::core::grant::{grant, GrantClaims};
use nickelgw_gossip::core::PeerRecord;
use nickelgw_protocol::list::{self, EndpointList};
use nickelgw_protocol::load::{self, LoadReport};
use nickelgw_tenants::core::fair_share;
use orphan_cleanup::OrphanCleanup;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use trace::{RequestTrace, TraceBuffer, TraceEvent};
use zone_failover::{ZoneFailover, ZoneRound};

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
    story: Option<RequestTrace>,
    tenant: Option<usize>,
    /// A first token later than this says that there is too much.
    good_until: f64,
    stage: Stage,
    due_at: f64,
    whole_at: f64,
    sends: Vec<Sent>,
}

pub struct NodeCore {
    router: Router,
    figures: CoreConfig,
    /// Whether sends may be called off.
    cancel: bool,
    /// Longest come-back time that clients are told; none: they are told none.
    longest_come_back_s: Option<f64>,
    tick: f64,
    /// Routes of which a send that may have run is not made again.
    once: Vec<bool>,
    /// First-token target of each route: a constant part, and one for each prompt token.
    targets: Vec<(f64, f64)>,
    places: HashMap<String, (Rc<Endpoint>, EngineRole)>,
    /// By the Router's handle.
    taken: Vec<Option<Taken>>,
    open: usize,
    open_by_tenant: Vec<usize>,
    fair: fair_share::FairShare,
    limit: fair_share::ConcurrencyLimit,
    serial: u64,
    pub ledger: Ledger,
    /// What every attempt passes, and what counts broken rules.
    pub guard: Guard,
    /// Engines of the list that take no new work.
    draining: BTreeSet<String>,
    /// How each route may be repeated.
    repeats: Vec<Idempotency>,
    sweep: OrphanCleanup,
    /// The node as one of a fleet, where nodes tell each other what they see.
    pub zone_failover: Option<ZoneFailover>,
    pub traces: TraceBuffer,
    /// What an earlier process had learnt, and how far it is believed; used with the first list.
    recall: Option<(LearnedState, f64)>,
    revision: Option<u64>,
    ready: Vec<Command>,
    /// Nothing more is taken.
    leaving: bool,
    /// Begun answers that clients do not stream, by the time when they must be whole (as bits: none is negative).
    unseen: BTreeSet<(u64, RequestId)>,
    pub counters: RequestCounters,
}

fn load(report: &LoadReport) -> EngineLoad {
    EngineLoad {
        memory_share: report.mem_utilization,
        slot_share: report.application_utilization,
        queue_len: report.named_metric(load::QUEUED_REQUESTS_METRIC),
        inflight: report.named_metric(load::INFLIGHT_REQUESTS_METRIC),
        pending_prompt_tokens: report.named_metric(load::PENDING_PROMPT_TOKENS_METRIC),
    }
}

impl NodeCore {
    pub fn new(deployment: Deployment, figures: CoreConfig) -> NodeCore {
        let repeats = deployment.routes.iter().map(|r| r.idempotency).collect();
        let ledger = Ledger::new(deployment.reservation_limit_s, figures.release_timeout_s);
        NodeCore {
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
            sweep: OrphanCleanup::new(figures.orphan_cleanup_window_s.0, figures.orphan_cleanup_window_s.1),
            recall: None,
            zone_failover: None,
            traces: TraceBuffer::default(),
            open_by_tenant: vec![0; figures.tenant_max_open.len()],
            fair: fair_share::FairShare::default(),
            limit: fair_share::ConcurrencyLimit::new(
                figures.fair_share.as_ref().map_or_else(Default::default, |f| f.limits),
                figures.max_open_requests as f64,
            ),
            revision: None,
            ready: Vec::new(),
            leaving: false,
            unseen: BTreeSet::new(),
            counters: RequestCounters::default(),
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
    pub fn process_exiting(&mut self) {
        if self.open > 0 {
            self.guard.count(Violation::ExitWithRequests, 0);
        }
        if !self.ledger.is_empty() {
            self.guard.count(Violation::ExitWithReservations, 0);
        }
    }

    /// Takes a request, or says why not.
    pub fn accept_request(&mut self, now: f64, ask: &AdmittedRequest) -> Result<RequestId, RejectReason> {
        if let Err(why) = self.may_enter(ask) {
            self.counters.denied += 1;
            return Err(why);
        }
        if let Some((t, w)) = self.weight(ask.tenant) {
            self.fair.request_opened(t, w);
        }
        let arrival = IncomingRequest {
            route: ask.route,
            tenant: ask.tenant,
            deadline: now + ask.timeout_s,
            prompt_tokens: ask.prompt_tokens,
            prefix_tokens: ask.prefix_tokens,
            session: ask.session.clone(),
            prefix: ask.prefix.clone(),
            is_background: ask.is_background,
        };
        let inf = self.router.admit_request(now, &arrival).0;
        self.serial += 1;
        self.open += 1;
        if let Some(n) = ask.tenant.and_then(|t| self.open_by_tenant.get_mut(t)) {
            *n += 1;
        }
        self.counters.accepted += 1;
        let slot = inf as usize;
        if slot >= self.taken.len() {
            self.taken.resize_with(slot + 1, || None);
        }
        let good_until = now + IN_GOOD_TIME * self.ttft_objective_s(ask);
        let whole_at = ask.unary_timeout_s.map_or(f64::INFINITY, |s| now + s);
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
        Ok(RequestId { slot: inf, serial: self.serial })
    }

    /// Whether one more is taken, before the module hears of it.
    fn may_enter(&self, ask: &AdmittedRequest) -> Result<(), RejectReason> {
        if self.leaving {
            return Err(RejectReason::ShuttingDown);
        }
        if self.open >= self.figures.max_open_requests {
            return Err(RejectReason::NodeFull);
        }
        let limit = ask.tenant.and_then(|t| *self.figures.tenant_max_open.get(t)?);
        if ask.tenant.zip(limit).is_some_and(|(t, most)| self.open_by_tenant[t] >= most) {
            return Err(RejectReason::TenantFull);
        }
        if let (Some(f), Some((t, w))) = (&self.figures.fair_share, self.weight(ask.tenant)) {
            if !self.fair.admits(self.limit.get(), f.limits.reserve, t, w) {
                return Err(RejectReason::OverFairShare);
            }
        }
        Ok(())
    }

    /// Seconds within which its first token is wanted.
    pub fn ttft_objective_s(&self, ask: &AdmittedRequest) -> f64 {
        self.targets.get(ask.route).map_or(f64::INFINITY, |t| t.0 + t.1 * ask.prompt_tokens)
    }

    fn weight(&self, tenant: Option<usize>) -> Option<(usize, f64)> {
        let t = tenant?;
        Some((t, *self.figures.fair_share.as_ref()?.weights.get(t)?))
    }

    fn get(&mut self, t: RequestId) -> Option<&mut Taken> {
        self.taken.get_mut(t.slot as usize)?.as_mut().filter(|x| x.serial == t.serial)
    }

    fn ticket(&self, inf: RequestHandle) -> Option<RequestId> {
        let serial = self.taken.get(inf.0 as usize)?.as_ref()?.serial;
        Some(RequestId { slot: inf.0, serial })
    }

    /// What happens to it is written down from now on.
    pub fn start_trace(&mut self, t: RequestId, story: RequestTrace) {
        if let Some(taken) = self.get(t) {
            taken.story = Some(story);
        }
    }

    /// The story of a request, open or over.
    pub fn request_trace(&self, id: &str) -> Option<&RequestTrace> {
        let open = self.taken.iter().flatten().filter_map(|x| x.story.as_ref()).find(|s| *s.id == *id);
        open.or_else(|| self.traces.find(id))
    }

    fn note(&mut self, now: f64, t: RequestId, step: TraceEvent) {
        if let Some(story) = self.get(t).and_then(|x| x.story.as_mut()) {
            story.add(now, step);
        }
    }

    /// A write's first token is there. True: the stream is this send's from now on; false: it came too late.
    pub fn response_started(&mut self, now: f64, t: RequestId, send: u32) -> bool {
        let Some(taken) = self.get(t) else { return false };
        let Some(s) = taken.sends.get(send as usize) else { return false };
        if !s.live || s.read || taken.stage != Stage::Waiting {
            return false;
        }
        taken.stage = Stage::Streaming(send);
        let late = now > taken.good_until;
        self.limit.record_answer(now, self.open, late);
        let Some(taken) = self.get(t) else { return false };
        // A begun stream has no deadline, but a client that does not stream sees none of it before its end.
        if taken.whole_at.is_finite() {
            let at = taken.whole_at - self.tick;
            self.unseen.insert((at.max(0.0).to_bits(), t));
        }
        self.note(now, t, TraceEvent::ResponseStarted { send });
        self.ledger.claim_served(now, t.serial, send);
        self.router.first_token(now, RequestHandle(t.slot), send);
        self.ledger.release_all(now, t.serial);
        true
    }

    /// A send has ended; each ends once, what comes later for it is passed over.
    pub fn attempt_ended(&mut self, now: f64, t: RequestId, send: u32, end: AttemptResult) {
        let Some(taken) = self.get(t) else { return };
        let Some(s) = taken.sends.get_mut(send as usize).filter(|s| s.live) else { return };
        let began = taken.stage == Stage::Streaming(send);
        let mut cause = end.outcome;
        if (cause == AttemptOutcome::Completed && !began)
            || (matches!(cause, AttemptOutcome::Prefilled) && !s.read)
        {
            cause = AttemptOutcome::Malformed;
        }
        s.live = false;
        let outcome = cause.outcome();
        let never = matches!(
            cause,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotDelivered
        );
        s.may_have_run &= !never && cause != AttemptOutcome::ReservationNotFound;
        let state = ReservationId { owner: t.serial, prefill: send };
        match (s.read, cause) {
            (true, AttemptOutcome::Prefilled) => self.ledger.prefill_done(now, state),
            // What a failed read may have left is let go at once: nobody will ever ask for it.
            (true, _) => self.ledger.prefill_failed(now, state, never),
            (false, _) => self.ledger.claim_ended(now, t.serial, send, cause.is_answer()),
        }
        self.note(now, t, TraceEvent::AttemptEnded { send, outcome: cause });
        if began && cause == AttemptOutcome::Cancelled {
            // Nobody takes the stream any more: the client has gone, whichever socket told it first.
            self.leave(now, t);
        } else if began {
            let answer = if cause == AttemptOutcome::Completed {
                FinalAnswer::Completed
            } else {
                FinalAnswer::Failed(FailureReason::StreamBroken)
            };
            self.answer(now, t, answer);
        }
        let over = self.get(t).is_none_or(|x| x.stage == Stage::Over);
        if over {
            self.ledger.release_all(now, t.serial);
        }
        // Time since the send: the Router learns from it how long reads and streams last.
        let after_s = now - self.router.dispatched_at(RequestHandle(t.slot), send);
        let ending = AttemptEnd {
            outcome,
            elapsed_s: after_s,
            request_finished: over,
            cached_tokens: end.cached_tokens,
            reservation_missing: cause == AttemptOutcome::ReservationNotFound,
        };
        self.router.attempt_finished(now, RequestHandle(t.slot), send, ending, end.load.as_ref().map(load));
        self.update_release_pending(t);
    }

    /// Nothing more is taken from now on.
    pub fn stop_accepting(&mut self) {
        self.leaving = true;
    }

    /// The grace is over: whatever is open gets its one answer now, and nothing more is sent for it.
    pub fn fail_all_open(&mut self, now: f64) {
        self.end_open(now, true);
    }

    /// So does what has not begun; streams go on.
    pub fn fail_unstarted(&mut self, now: f64) {
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
            let come_back_s = self.longest_come_back_s.map(|s| s.min(self.figures.retry_after_s));
            let answer = if harmless {
                FinalAnswer::Rejected { retry_after_s: come_back_s }
            } else {
                FinalAnswer::Failed(FailureReason::ShuttingDown)
            };
            self.answer(now, t, answer);
            self.router.client_disconnected(RequestHandle(inf));
            self.ledger.release_all(now, t.serial);
        }
    }

    /// The client has gone. What is out for it is called off; nothing more is owed.
    pub fn client_disconnected(&mut self, now: f64, t: RequestId) {
        if self.leave(now, t) {
            self.call_off(t);
            self.router.client_disconnected(RequestHandle(t.slot));
            self.ledger.release_all(now, t.serial);
        }
    }

    /// The request is over, if it was not before.
    fn close(&mut self, now: f64, t: RequestId, how: TraceEvent) -> bool {
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
            tenant.into_iter().for_each(|t| self.fair.request_closed(t));
            // Given up before it began: there was too much.
            if !begun && matches!(how, TraceEvent::Answered(_)) {
                self.limit.record_answer(now, self.open, true);
            }
        }
        if let Some(mut story) = story {
            story.add(now, how);
            self.traces.push(story);
        }
        true
    }

    fn leave(&mut self, now: f64, t: RequestId) -> bool {
        if !self.close(now, t, TraceEvent::ClientDisconnected) {
            return false;
        }
        self.counters.disconnected += 1;
        true
    }

    pub fn probe_finished(&mut self, now: f64, id: &str, cause: AttemptOutcome, report: Option<LoadReport>) {
        self.router.probe_finished(now, id, cause.outcome(), report.as_ref().map(load));
    }

    /// A call that lets go of a state was answered, or was not.
    pub fn release_finished(&mut self, now: f64, call: ReservationId, done: bool) {
        let ticket = self.ticket_of(call.owner);
        let over = ticket.and_then(|t| self.get(t)).is_none_or(|x| x.stage == Stage::Over);
        self.ledger.release_answered(now, call, done, over);
        if let Some(t) = ticket {
            self.update_release_pending(t);
        }
    }

    fn ticket_of(&self, serial: u64) -> Option<RequestId> {
        let inf = self.taken.iter().position(|x| x.as_ref().is_some_and(|x| x.serial == serial))?;
        Some(RequestId { slot: inf as u32, serial })
    }

    /// No further prefill goes out for the request while a release of an earlier one's reservation is not confirmed.
    fn update_release_pending(&mut self, t: RequestId) {
        let releasing = self.ledger.is_releasing(t.serial);
        self.router.set_release_pending(RequestHandle(t.slot), releasing);
    }

    fn answer(&mut self, now: f64, t: RequestId, answer: FinalAnswer) {
        if !self.close(now, t, TraceEvent::Answered(answer)) {
            return;
        }
        match answer {
            FinalAnswer::Completed => self.counters.completed += 1,
            FinalAnswer::Rejected { .. } => self.counters.rejected += 1,
            FinalAnswer::Failed(_) => self.counters.failed += 1,
        }
        // What is out ends before its client is told: refused over an attempt that is still out, it may yet run.
        self.call_off(t);
        self.ready.push(Command::Answer { ticket: t, answer });
    }

    /// Whatever is still out for a request that is over is no longer waited for.
    fn call_off(&mut self, t: RequestId) {
        let Some(taken) = self.get(t) else { return };
        let live = taken.sends.iter().enumerate().filter(|(_, s)| s.live);
        let orders: Vec<Command> =
            live.map(|(n, _)| Command::CancelAttempt { request: t, attempt: n as u32 }).collect();
        self.ready.extend(orders);
    }
}

#[cfg(test)]
mod tests;
