//! Repeated requests on sockets: one run, heard by each client that came with its key.

use crate::event_loop::Reply;
use crate::server::{json_answer, streamed, Answer, Asked, Server};
use crate::within;
use async_channel::{bounded, Receiver, Sender};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use nickelgw_chat::core::idempotency::{
    EntryId, IdempotencyCommand, IdempotencyConfig, IdempotencyKey, IdempotencyTable, KeyLookup, RunOutcome,
};
use nickelgw_protocol::chat::ApiError;
use nickelgw_protocol::sse;
use nickelgw_store::core::RecordKind;
use smol::Task;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Events that a run may be ahead of its slowest hearer once it is no longer recorded.
const AHEAD: usize = 32;

#[derive(Clone)]
enum Head {
    Stream,
    Whole(Bytes),
    Error(ApiError),
}

#[derive(Default)]
struct Said {
    head: Option<Head>,
    /// Events, those before `from` dropped.
    events: VecDeque<Bytes>,
    from: usize,
    done: bool,
    recorded: bool,
    /// Each hearer's place and bell.
    hearers: HashMap<u64, (usize, Sender<()>)>,
    next: u64,
}

/// What one run has said so far.
struct Relay {
    said: RefCell<Said>,
    /// Rings when a hearer has taken something.
    taken: (Sender<()>, Receiver<()>),
}

impl Relay {
    fn new() -> Rc<Relay> {
        let said = RefCell::new(Said { recorded: true, ..Said::default() });
        Rc::new(Relay { said, taken: bounded(1) })
    }

    fn ring(&self) {
        for (_, bell) in self.said.borrow().hearers.values() {
            let _ = bell.try_send(());
        }
    }

    /// What every hearer has taken goes, where nobody may come and hear it from the beginning.
    fn trim(&self) {
        let mut s = self.said.borrow_mut();
        if s.recorded {
            return;
        }
        let slowest = s.hearers.values().map(|h| h.0).min().unwrap_or(s.from + s.events.len());
        while s.from < slowest && s.events.pop_front().is_some() {
            s.from += 1;
        }
    }
}

/// The table, and the runs behind it.
pub struct ResponseSharing {
    table: RefCell<IdempotencyTable>,
    relays: RefCell<HashMap<EntryId, Rc<Relay>>>,
    runs: RefCell<HashMap<EntryId, Task<()>>>,
}

impl ResponseSharing {
    pub fn new(figures: IdempotencyConfig) -> ResponseSharing {
        let table = RefCell::new(IdempotencyTable::new(figures));
        ResponseSharing { table, relays: RefCell::default(), runs: RefCell::default() }
    }

    /// One that an earlier process took, and that may not run again.
    pub fn restore(&self, now: f64, key: &[u8], body: &[u8]) {
        if let (Ok(key), Ok(body)) = (key.try_into(), body.try_into()) {
            self.table.borrow_mut().restore(now, IdempotencyKey(key), body);
        }
    }

    fn act(&self, now: f64) {
        let (todo, _) = self.table.borrow_mut().poll_commands(now);
        for d in todo {
            match d {
                IdempotencyCommand::Cancel(s) => {
                    // Dropping the run tells the core that the client has gone.
                    let run = self.runs.borrow_mut().remove(&s);
                    drop(run);
                    self.table.borrow_mut().response_ended(now, s, RunOutcome::Cancelled);
                    self.relays.borrow_mut().remove(&s);
                }
                IdempotencyCommand::Forget(s) => drop(self.relays.borrow_mut().remove(&s)),
            }
        }
    }
}

/// Looks after the table's own times.
pub async fn tend(server: Rc<Server>) {
    server.repeats.act(server.clock.now());
}

/// A client that hears a run; dropped, it has left.
struct Hearer {
    server: Rc<Server>,
    serial: EntryId,
    relay: Rc<Relay>,
    n: u64,
    bell: Pin<Box<Receiver<()>>>,
}

impl Hearer {
    fn new(server: Rc<Server>, serial: EntryId, relay: Rc<Relay>) -> Hearer {
        let (ring, bell) = bounded(1);
        let mut s = relay.said.borrow_mut();
        s.next += 1;
        let n = s.next;
        let from = s.from;
        s.hearers.insert(n, (from, ring));
        drop(s);
        Hearer { server, serial, relay, n, bell: Box::pin(bell) }
    }

    /// Waits until it is known what kind of answer it is.
    async fn head(&self) -> Option<Head> {
        loop {
            let head = self.relay.said.borrow().head.clone();
            if head.is_some() {
                return head;
            }
            self.bell.recv().await.ok()?;
        }
    }

    fn take(&self) -> Option<Option<Bytes>> {
        let mut s = self.relay.said.borrow_mut();
        let at = s.hearers.get(&self.n)?.0;
        match s.events.get(at - s.from).cloned() {
            Some(e) => {
                s.hearers.get_mut(&self.n)?.0 += 1;
                Some(Some(e))
            }
            None if s.done => Some(None),
            None => None,
        }
    }
}

impl Drop for Hearer {
    fn drop(&mut self) {
        self.relay.said.borrow_mut().hearers.remove(&self.n);
        let _ = self.relay.taken.0.try_send(());
        self.server.repeats.table.borrow_mut().listener_left(self.server.clock.now(), self.serial);
    }
}

impl Body for Hearer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        use futures_lite::Stream;
        loop {
            if let Some(taken) = self.take() {
                let _ = self.relay.taken.0.try_send(());
                return Poll::Ready(taken.map(|e| Ok(Frame::data(e))));
            }
            // No bell any more: the run was called off, and what it said is not whole.
            match self.bell.as_mut().poll_next(cx) {
                Poll::Ready(Some(())) => continue,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

fn refused(status: u16, code: &'static str, word: &str) -> ApiError {
    ApiError::new(status, "invalid_request_error", code, word)
}

impl Server {
    fn full(&self, word: &str) -> ApiError {
        ApiError::new(503, "server_error", "node_full", word).with_retry_after(self.limits.retry_after_s)
    }

    /// A request that carries a key: it runs once, and each repeat hears that run.
    pub async fn keyed(self: Rc<Self>, a: Asked, key: &str) -> Result<Answer, ApiError> {
        let tenant = a.ask.tenant.map_or("", |t| &self.door.tenants[t].name);
        let key = IdempotencyKey::new(tenant, key);
        let may_repeat = self.door.models[a.ask.route].is_idempotent;
        let now = self.clock.now();
        let entered = self.repeats.table.borrow_mut().look_up(now, key, a.digest, may_repeat);
        let serial = match entered {
            KeyLookup::Join(s) | KeyLookup::Recorded(s) => s,
            KeyLookup::New(s) => {
                if let Err(e) = self.judge(&a) {
                    self.repeats.table.borrow_mut().response_ended(now, s, RunOutcome::Rejected);
                    return Err(e);
                }
                // Known to the next process before it can have an effect: a crash must not let a repeat run.
                if !may_repeat {
                    let kept = !self.keeper.is_released()
                        && self.keeper.put_and_wait(RecordKind::IdempotencyKey, &key.0, &a.digest).await;
                    if !kept {
                        self.repeats.table.borrow_mut().response_ended(now, s, RunOutcome::Rejected);
                        let word = "this request may not run twice, and cannot be remembered now";
                        return Err(self.full(word));
                    }
                }
                let relay = Relay::new();
                self.repeats.relays.borrow_mut().insert(s, relay.clone());
                let run = self.ex.spawn(self.clone().relay(a, s, relay, (!may_repeat).then_some(key)));
                self.repeats.runs.borrow_mut().insert(s, run);
                s
            }
            KeyLookup::Unrecorded => {
                self.judge(&a)?;
                let (reply, gone) = self.run(a).await?;
                return crate::server::answer(reply, gone);
            }
            KeyLookup::Mismatch => {
                let word = "this idempotency key was used with another body";
                return Err(refused(422, "idempotency_key_reused", word));
            }
            KeyLookup::NotRecorded => {
                let word = "this request was taken before; its answer is not kept, and it does not run again";
                return Err(refused(409, "already_taken", word));
            }
            KeyLookup::Full => {
                let word = "no place to remember this request, which may not run twice";
                return Err(self.full(word));
            }
        };
        let relay = self.repeats.relays.borrow().get(&serial).cloned();
        let gone = || refused(409, "already_taken", "this request was called off as its client had gone");
        let relay = relay.ok_or_else(gone)?;
        let hearer = Hearer::new(self.clone(), serial, relay);
        match hearer.head().await.ok_or_else(gone)? {
            Head::Stream => Ok(streamed(Box::pin(hearer))),
            Head::Whole(body) => Ok(json_answer(200, body)),
            Head::Error(e) => Err(e),
        }
    }

    /// Runs it, and says what comes of it to all who hear.
    async fn relay(
        self: Rc<Self>,
        a: Asked,
        serial: EntryId,
        relay: Rc<Relay>,
        kept: Option<IdempotencyKey>,
    ) {
        let how = match self.run(a).await {
            Err(e) | Ok((Reply::Error(e), _)) => {
                // Refused or shed, nothing of it has run.
                let harmless = matches!(e.code, "shed" | "node_full" | "node_stopping");
                relay.said.borrow_mut().head = Some(Head::Error(e));
                if harmless {
                    RunOutcome::Rejected
                } else {
                    RunOutcome::Failed
                }
            }
            Ok((Reply::Unary(body), mut gone)) => {
                gone.ticket = None;
                self.repeats.table.borrow_mut().record(serial, body.len());
                relay.said.borrow_mut().head = Some(Head::Whole(body));
                RunOutcome::Completed
            }
            Ok((Reply::Stream(from), mut gone)) => {
                relay.said.borrow_mut().head = Some(Head::Stream);
                relay.ring();
                let mut whole = false;
                while let Ok(event) = from.recv().await {
                    whole = event == sse::done_event();
                    if !self.hear(serial, &relay, event).await {
                        break;
                    }
                }
                // The sender has gone: the core has given its final answer.
                gone.ticket = gone.ticket.filter(|_| !from.is_closed());
                if whole {
                    RunOutcome::Completed
                } else {
                    RunOutcome::Failed
                }
            }
        };
        relay.said.borrow_mut().done = true;
        relay.ring();
        self.repeats.table.borrow_mut().response_ended(self.clock.now(), serial, how);
        // Nothing of it has run: its key is free again.
        if let Some(key) = kept.filter(|_| how == RunOutcome::Rejected) {
            self.keeper.remove(RecordKind::IdempotencyKey, &key.0);
        }
        // Its own task is at its end: dropping the handle here would cancel nothing.
        if let Some(run) = self.repeats.runs.borrow_mut().remove(&serial) {
            run.detach();
        }
    }

    /// One more event; false when a hearer stalls for too long where nothing is recorded.
    async fn hear(&self, serial: EntryId, relay: &Rc<Relay>, event: Bytes) -> bool {
        let kept = self.repeats.table.borrow_mut().record(serial, event.len());
        {
            let mut s = relay.said.borrow_mut();
            s.recorded &= kept;
            s.events.push_back(event);
        }
        relay.ring();
        loop {
            relay.trim();
            let fits = |s: &Said| s.recorded || s.events.len() <= AHEAD;
            if fits(&relay.said.borrow()) {
                return true;
            }
            if within(self.limits.client_stall_timeout_s, relay.taken.1.recv()).await.is_none() {
                return false;
            }
        }
    }
}
