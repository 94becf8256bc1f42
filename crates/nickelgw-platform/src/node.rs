//! The node's core on the platform's sockets: what it says is done, what happens is told to it. All on one thread.

use crate::core::engine::{self, Passed};
use crate::core::events::{Events, Piece};
use crate::core::list::{News, Roll};
use crate::core::seldom::Seldom;
use crate::core::{names, Framing, MOST_BODY};
use crate::socket::Socket;
use crate::wire::{Closer, Pool, Use, Within};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use nickelgw_node::{seconds, within};
use nickelgw_node_core::{
    AdmittedRequest, AttemptKind, AttemptOutcome, AttemptRequest, AttemptResult, Command, Endpoint,
    FinalAnswer, NodeCore, RejectReason, RequestId,
};
use nickelgw_protocol::load::LoadReport;
use smol::{LocalExecutor, Task, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Instant;

/// Events that may wait for a slow client before its writer is slowed.
const AHEAD: usize = 32;
/// Seconds between the calls of one release to several engines: a usual answer takes a few milliseconds.
const RELEASE_GAP_S: f64 = 0.05;
/// The first event waits so long for the rest of its chunk. Events are to be passed on within 0.3 s (the platform's page).
const FIRST_HELD_S: f64 = 0.1;

/// The client's side of a request.
struct Job {
    passed: Rc<Passed>,
    reply: Sender<Reply>,
    client: Rc<Socket>,
}

pub enum Reply {
    /// The stream's pieces; it is whole only where [`Piece::Last`] ends it.
    Stream(Receiver<Piece>),
    /// Refused: trying again is harmless, where said after so long.
    Shed(Option<f64>),
    Errored,
}

/// How far a send has come, for the one that calls it off.
#[derive(Default)]
struct Progress {
    /// All of it has gone out.
    out: Cell<bool>,
    /// What it goes out on.
    on: RefCell<Option<Closer>>,
}

type Out = (Task<()>, Rc<Progress>);

pub struct Node {
    pub core: RefCell<NodeCore>,
    pub roll: RefCell<Roll>,
    seldom: RefCell<Seldom>,
    pub ex: Rc<LocalExecutor<'static>>,
    pub pool: Rc<Pool>,
    pub began: Instant,
    /// For a probe, or a call that lets go, to be answered.
    pub short_s: f64,
    pub probe: &'static str,
    jobs: RefCell<HashMap<RequestId, Job>>,
    /// Sends out; dropped, a send is called off.
    sends: RefCell<HashMap<(RequestId, u32), Out>>,
    /// Ids of the requests open.
    ids: RefCell<HashSet<String>>,
    poke: Sender<()>,
    poked: Receiver<()>,
}

/// A request taken; dropped, its client has gone.
pub struct Taken {
    node: Rc<Node>,
    id: String,
    ticket: RequestId,
    pub over: bool,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.node.ids.borrow_mut().remove(&self.id);
        if !self.over {
            tracing::debug!(at = self.node.now(), request = %self.id, "its client has gone, or its stream broke");
            self.node.jobs.borrow_mut().remove(&self.ticket);
            self.node.core.borrow_mut().client_disconnected(self.node.now(), self.ticket);
            self.node.look();
        }
    }
}

impl Node {
    pub fn new(
        core: NodeCore,
        roll: Roll,
        ex: Rc<LocalExecutor<'static>>,
        pool: Rc<Pool>,
        began: Instant,
        short_s: f64,
        probe: &'static str,
    ) -> Rc<Node> {
        let (poke, poked) = async_channel::bounded(1);
        Rc::new(Node {
            core: RefCell::new(core),
            roll: RefCell::new(roll),
            seldom: RefCell::default(),
            ex,
            pool,
            began,
            short_s,
            probe,
            jobs: RefCell::default(),
            sends: RefCell::default(),
            ids: RefCell::default(),
            poke,
            poked,
        })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Bytes that cannot be used: they cost their connection alone, and the log a line a minute of each kind.
    pub fn unusable(&self, from: &'static str, why: &str) {
        if let Some(times) = self.seldom.borrow_mut().count(self.now(), from) {
            tracing::warn!(from, why, times, "what cannot be used was refused");
        }
    }

    /// Something has happened: the core is asked what to do once those that are ready have told theirs.
    pub fn look(&self) {
        let _ = self.poke.try_send(());
    }

    pub fn hear(&self, news: News) {
        if news.is_none() {
            return;
        }
        self.roll.borrow_mut().hear(news);
        let list = self.roll.borrow().list();
        self.core.borrow_mut().update_endpoints(self.now(), &list);
        self.look();
    }

    /// Whether the id is that of a request open: engines could not tell the two apart.
    pub fn is_open(&self, id: &str) -> bool {
        self.ids.borrow().contains(id)
    }

    pub fn take(
        self: &Rc<Self>,
        ask: &AdmittedRequest,
        passed: Passed,
        client: &Rc<Socket>,
    ) -> Result<(Taken, Receiver<Reply>), RejectReason> {
        let ticket = self.core.borrow_mut().accept_request(self.now(), ask)?;
        let (reply, replied) = async_channel::bounded(1);
        let id = passed.id.clone();
        tracing::debug!(at = self.now(), request = %id, route = ask.route, due_s = ask.timeout_s, target_s = self.core.borrow().ttft_objective_s(ask), prompt = ask.prompt_tokens, body = passed.body.len(), "taken");
        self.ids.borrow_mut().insert(id.clone());
        self.jobs.borrow_mut().insert(ticket, Job { passed: Rc::new(passed), reply, client: client.clone() });
        self.look();
        Ok((Taken { node: self.clone(), id, ticket, over: false }, replied))
    }

    /// Does what the core says, whenever something has happened or its time has come; until dropped.
    pub async fn drive(self: Rc<Self>) {
        let mut wake_at = None;
        loop {
            let at = match wake_at {
                Some(at) => Timer::after(seconds(at - self.now())),
                None => Timer::never(),
            };
            let poked = async {
                let _ = self.poked.recv().await;
            };
            let due = async {
                at.await;
            };
            futures_lite::future::or(poked, due).await;
            wake_at = self.act();
        }
    }

    fn act(self: &Rc<Self>) -> Option<f64> {
        let now = self.now();
        loop {
            let actions = self.core.borrow_mut().poll_commands(now);
            let mut again = false;
            for (ticket, reason) in &actions.reasons {
                if let Some(job) = self.jobs.borrow().get(ticket) {
                    tracing::debug!(at = now, request = %job.passed.id, ?reason, "given up");
                }
            }
            for (violation, serial) in &actions.violations {
                let name = violation.name();
                tracing::error!(
                    at = now,
                    rule = name,
                    ticket = serial,
                    "a rule was broken, or an attempt refused that would have"
                );
            }
            for t in &actions.transitions {
                tracing::debug!(at = now, request = %t.name, prefill = t.id.prefill, from = ?t.from, to = ?t.to, after_s = t.after_s, "reservation");
            }
            for d in actions.commands {
                match d {
                    Command::StartAttempt(order) => again |= !self.send(now, order),
                    Command::CancelAttempt { request: ticket, attempt: send } => {
                        let Some((task, progress)) = self.sends.borrow_mut().remove(&(ticket, send)) else {
                            continue;
                        };
                        // The executor lets go of a task some time later; what follows may be out before that.
                        progress.on.take().inspect(Closer::close);
                        drop(task);
                        let cause = if progress.out.get() {
                            AttemptOutcome::Cancelled
                        } else {
                            AttemptOutcome::ConnectFailed
                        };
                        tracing::debug!(at = now, ticket = ticket.serial, send, ?cause, "attempt cancelled");
                        self.core.borrow_mut().attempt_ended(
                            now,
                            ticket,
                            send,
                            AttemptResult { outcome: cause, ..AttemptResult::default() },
                        );
                        again = true;
                    }
                    Command::Answer { request, answer } => self.answer(request, answer),
                    Command::Release { reservation_id: call, reservation: state, endpoints: at } => {
                        let node = self.clone();
                        let task = async move {
                            let done = node.clone().release(&state.name, &at).await;
                            node.core.borrow_mut().release_finished(node.now(), call, done);
                            node.look();
                        };
                        self.ex.spawn(task).detach();
                    }
                    Command::Probe(place) => self.ex.spawn(self.clone().probe(place)).detach(),
                    // What earlier processes left here is freed by the platform, and the list comes unasked.
                    Command::ReleaseOrphans(_) | Command::PollEndpoints => {}
                }
            }
            if !again {
                return actions.wake_at;
            }
        }
    }

    fn answer(&self, ticket: RequestId, answer: FinalAnswer) {
        // Begun streams were ended where their end was heard.
        let Some(job) = self.jobs.borrow_mut().remove(&ticket) else { return };
        tracing::debug!(at = self.now(), request = %job.passed.id, ?answer, "answered");
        let reply = match answer {
            FinalAnswer::Rejected { retry_after_s: come_back_s } => Reply::Shed(come_back_s),
            FinalAnswer::Failed(_) | FinalAnswer::Completed => Reply::Errored,
        };
        let _ = job.reply.try_send(reply);
    }

    /// Begins a send. False: there is no client for it any more.
    fn send(self: &Rc<Self>, now: f64, order: AttemptRequest) -> bool {
        let (ticket, send) = (order.request, order.attempt);
        let Some((passed, client)) = self.client(ticket) else {
            self.core.borrow_mut().attempt_ended(now, ticket, send, AttemptResult::default());
            return false;
        };
        let read = matches!(order.kind, AttemptKind::Prefill);
        let g = &order.rationale;
        tracing::debug!(at = now, request = %passed.id, send, engine = %order.engine.id, read, there = g.requests_ahead, expected_s = g.expected_s, age_s = g.engine_age_s, silent_s = g.unreachable_s, "sent");
        let progress = Rc::new(Progress::default());
        let (node, made) = (self.clone(), progress.clone());
        let task = self.ex.spawn(async move {
            let end = node.exchange(&order, &passed, &client, &made).await;
            // Not called off any more: it ends by itself.
            if let Some((task, _)) = node.sends.borrow_mut().remove(&(ticket, send)) {
                task.detach();
            }
            if end.outcome == AttemptOutcome::Prefilled {
                tracing::debug!(at = node.now(), request = %passed.id, engine = %order.engine.id, kept = end.cached_tokens, "read");
            } else if end.outcome != AttemptOutcome::Completed {
                tracing::debug!(at = node.now(), request = %passed.id, send, engine = %order.engine.id, cause = ?end.outcome, "send ended");
            }
            if end.outcome == AttemptOutcome::Malformed {
                node.unusable("engine", &order.engine.id);
            }
            node.core.borrow_mut().attempt_ended(node.now(), ticket, send, end);
            node.look();
        });
        self.sends.borrow_mut().insert((ticket, send), (task, progress));
        true
    }

    /// The client's side of a request that is still wanted.
    fn client(&self, ticket: RequestId) -> Option<(Rc<Passed>, Rc<Socket>)> {
        let (passed, client) =
            self.jobs.borrow().get(&ticket).map(|j| (j.passed.clone(), j.client.clone()))?;
        // Its connection tells before its own task does, which may be late under load.
        client.off().is_none().then_some((passed, client))
    }

    async fn exchange(
        &self,
        order: &AttemptRequest,
        passed: &Passed,
        client: &Socket,
        progress: &Progress,
    ) -> AttemptResult {
        // From the order on, not from each step.
        let patience_s = order.timeout_s;
        match order.kind {
            AttemptKind::Prefill => within(patience_s, self.read(order, passed, client, progress))
                .await
                .unwrap_or_else(|| overdue(progress)),
            AttemptKind::Decode { idle_timeout_s: idle_s, .. } => {
                match within(patience_s, self.begin(order, passed, client, progress)).await {
                    None => overdue(progress),
                    Some(Err(end)) => end,
                    Some(Ok(stream)) => self.pass_on(order, stream, idle_s).await,
                }
            }
        }
    }

    async fn read(
        &self,
        order: &AttemptRequest,
        passed: &Passed,
        client: &Socket,
        progress: &Progress,
    ) -> AttemptResult {
        match self.ask(order, passed, client, progress).await {
            Err(end) => end,
            Ok((_, answer)) if answer.events => {
                AttemptResult { outcome: AttemptOutcome::Malformed, ..AttemptResult::default() }
            }
            Ok((c, answer)) => self.rest(c, answer, true).await,
        }
    }

    /// The request is written and the head of its answer is there.
    async fn ask(
        &self,
        order: &AttemptRequest,
        passed: &Passed,
        client: &Socket,
        progress: &Progress,
    ) -> Result<(crate::wire::Connection, engine::Answer), AttemptResult> {
        let began = self.now();
        let ask = async {
            let what = if order.runs_once { Use::Once } else { Use::Send };
            let mut c = self.pool.connection(&order.engine.address, what).await?;
            // The connection may have come up late: the attempt begins only now.
            if client.off().is_some() {
                self.pool.give_back(c);
                return Err(AttemptOutcome::NotDelivered);
            }
            // Nor does anything new begin at an engine that was told to drain meanwhile: as if it had said so itself.
            if !self.roll.borrow().is_in(&order.engine.id) {
                return Err(AttemptOutcome::Rejected);
            }
            progress.on.replace(Some(c.closer()));
            // The connection may have taken a while: the engine is told what is left by now.
            let left_s = order.timeout_s - (self.now() - began);
            c.write(&passed.bytes(&order.engine.address, left_s), &progress.out).await?;
            tracing::debug!(at = self.now(), request = %passed.id, send = order.attempt, idle_s = c.stood_s(), "attempt written");
            let answer = c.answer().await;
            if answer.is_ok() || answer == Err(AttemptOutcome::ConnectionLost) {
                self.pool.told(&c, answer.is_ok());
            }
            Ok((c, answer?))
        };
        ask.await.map_err(|cause| AttemptResult { outcome: cause, ..AttemptResult::default() })
    }

    /// An answer that is no stream, to its end.
    async fn rest(
        &self,
        mut c: crate::wire::Connection,
        answer: engine::Answer,
        read: bool,
    ) -> AttemptResult {
        let cause = engine::cause(&answer, read);
        // Its status has settled it: a body that breaks off changes nothing but the connection.
        let kept = match c.body(&answer, MOST_BODY).await {
            Ok((body, again)) => {
                if again {
                    self.pool.give_back(c);
                }
                engine::kept(&body)
            }
            Err(_) => 0.0,
        };
        AttemptResult { outcome: cause, load: answer.report, cached_tokens: kept }
    }

    /// Up to the first event of the stream, which is whole before anything of it is passed on.
    async fn begin(
        &self,
        order: &AttemptRequest,
        passed: &Passed,
        client: &Socket,
        progress: &Progress,
    ) -> Result<Stream, AttemptResult> {
        let (mut c, answer) = self.ask(order, passed, client, progress).await?;
        if answer.status != 200 {
            return Err(self.rest(c, answer, false).await);
        }
        let garbled = || AttemptResult { outcome: AttemptOutcome::Malformed, ..AttemptResult::default() };
        if !answer.events || answer.framing != Framing::Chunked {
            return Err(garbled());
        }
        let failed = |cause| AttemptResult { outcome: cause, ..AttemptResult::default() };
        let mut events = Events::default();
        let Piece::Data(first) = c.piece(&mut events).await.map_err(failed)? else { return Err(garbled()) };
        let mut stream = Stream { c, events, first, next: None, again: !answer.close, report: answer.report };
        // A chunk that breaks off or does not fit is found, mostly, before anything of it is passed on.
        if stream.events.in_chunk() {
            match within(FIRST_HELD_S, stream.c.piece(&mut stream.events)).await {
                None => {}
                Some(next) => stream.next = Some(next.map_err(failed)?),
            }
        }
        Ok(stream)
    }

    /// Passes a begun stream on as it comes, and says how it ended.
    async fn pass_on(&self, order: &AttemptRequest, mut s: Stream, idle_s: f64) -> AttemptResult {
        let ended = |cause, load| AttemptResult { outcome: cause, load, cached_tokens: 0.0 };
        if !self.core.borrow_mut().response_started(self.now(), order.request, order.attempt) {
            return ended(AttemptOutcome::Cancelled, None);
        }
        self.look();
        tracing::debug!(at = self.now(), request = %order.name, "begun");
        // The answer is this stream from now on.
        let Some(job) = self.jobs.borrow_mut().remove(&order.request) else {
            return ended(AttemptOutcome::Cancelled, None);
        };
        let (to, from) = async_channel::bounded(AHEAD);
        let _ = job.reply.try_send(Reply::Stream(from));
        let mut load: Option<LoadReport> = s.report.take();
        let mut next = Ok(Piece::Data(std::mem::take(&mut s.first)));
        loop {
            match next {
                Ok(piece) => {
                    if let Piece::Data(d) = &piece {
                        load = engine::comment(d).or(load);
                    }
                    let last = piece == Piece::Last;
                    if to.send(piece).await.is_err() {
                        return ended(AttemptOutcome::Cancelled, None);
                    }
                    if last {
                        tracing::debug!(at = self.now(), request = %order.name, "whole");
                        if s.again {
                            self.pool.give_back(s.c);
                        }
                        return ended(AttemptOutcome::Completed, load);
                    }
                }
                Err(cause) => return ended(cause, None),
            }
            next = match s.next.take() {
                Some(piece) => Ok(piece),
                None => {
                    let piece = s.c.piece(&mut s.events);
                    within(idle_s, piece).await.unwrap_or(Err(AttemptOutcome::TimedOut))
                }
            };
        }
    }

    async fn probe(self: Rc<Self>, place: Rc<Endpoint>) {
        let (cause, load) = match self
            .pool
            .short(Use::Short, Within::whole(self.short_s), "GET", self.probe, &place.address, MOST_BODY)
            .await
        {
            Err(cause) => (cause, None),
            Ok((answer, body)) => {
                let told = std::str::from_utf8(&body).ok().and_then(|b| engine::report(b.trim()));
                let cause = match answer.status {
                    200 => AttemptOutcome::Completed,
                    // It answers, and has no room now.
                    503 => AttemptOutcome::Rejected,
                    status => AttemptOutcome::ErrorStatus(status),
                };
                (cause, answer.report.or(told))
            }
        };
        self.core.borrow_mut().probe_finished(self.now(), &place.id, cause, load);
        self.look();
    }

    /// Releases all that is reserved for the request, at whichever of these engines confirms it first. They are called one after the other
    /// without waiting for the ones before: an open connection may be silent.
    async fn release(self: Rc<Self>, id: &str, at: &[Rc<Endpoint>]) -> bool {
        let (confirm, confirmed) = async_channel::bounded(at.len().max(1));
        let call = |(n, place): (usize, &Rc<Endpoint>)| {
            let (node, id, place, confirm) = (self.clone(), id.to_string(), place.clone(), confirm.clone());
            self.ex.spawn(async move {
                Timer::after(seconds(n as f64 * RELEASE_GAP_S)).await;
                let done = node.release_call(&id, &place, n > 0).await;
                let _ = confirm.try_send(done);
            })
        };
        // Dropped at the end: what is still out is not waited for.
        let calls: Vec<Task<()>> = at.iter().enumerate().map(call).collect();
        drop(confirm);
        let mut done = false;
        while let (false, Ok(confirmed)) = (done, confirmed.recv().await) {
            done = confirmed;
        }
        drop(calls);
        done
    }

    /// One release call; `fresh`: on a new connection, which proves that its way is open.
    async fn release_call(&self, id: &str, place: &Endpoint, fresh: bool) -> bool {
        let target = format!("{}{id}", names::HELD);
        let (began, within) = (self.now(), Within::whole(self.short_s));
        let what = if fresh { Use::Fresh } else { Use::Short };
        let answer = self.pool.short(what, within, "DELETE", &target, &place.address, MOST_BODY).await;
        let status = answer.as_ref().map(|(a, _)| a.status);
        tracing::debug!(at = self.now(), request = id, engine = %place.id, ?status, fresh, after_s = self.now() - began, "release call");
        status.is_ok_and(|s| s < 300)
    }

    /// What has not begun is given up; streams go on.
    pub fn end_waiting(&self) {
        self.core.borrow_mut().fail_unstarted(self.now());
        self.look();
    }

    /// The process is about to end.
    pub fn exits(&self) {
        self.core.borrow_mut().process_exiting();
    }

    /// Requests open.
    pub fn open(&self) -> usize {
        self.core.borrow().open()
    }

    /// Whether no send is out and no state is still to be let go of.
    pub fn is_quiet(&self) -> bool {
        self.core.borrow().is_quiet()
    }
}

fn overdue(progress: &Progress) -> AttemptResult {
    let cause = if progress.out.get() { AttemptOutcome::TimedOut } else { AttemptOutcome::ConnectFailed };
    AttemptResult { outcome: cause, ..AttemptResult::default() }
}

/// A stream that has begun.
struct Stream {
    c: crate::wire::Connection,
    events: Events,
    first: Bytes,
    /// What came behind it while its chunk was awaited.
    next: Option<Piece>,
    again: bool,
    report: Option<LoadReport>,
}
