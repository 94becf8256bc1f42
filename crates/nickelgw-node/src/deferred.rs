//! Offline inferences on sockets and on disk: taken under a ticket, run in room that others leave, answered by the ticket.

use crate::event_loop::Reply;
use crate::persistence::StoreWriter;
use crate::server::{json_answer, Answer, Asked, Server};
use crate::{seconds, unix_now, within};
use async_channel::{bounded, Receiver, Sender};
use bytes::Bytes;
use nickelgw::interface::{self as route, IdempotencyScope, ModelRoute};
use nickelgw_deferred::core::record::{DeferredAnswer as Kept, DeferredRecord, DeferredState};
use nickelgw_deferred::core::{
    DeferredCounters, DeferredLimits, DeferredQueue, DeferredRejection, DeferredStatus, RecordWrite,
    RetryPolicy, Ticket,
};
use nickelgw_gossip::core::record::name_hash;
use nickelgw_gossip::core::Gossip;
use nickelgw_node_core::AdmittedRequest;
use nickelgw_protocol::chat::{ApiError, ChatRequest};
use nickelgw_protocol::Malformed;
use nickelgw_store::core::RecordKind;
use serde_json::json;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

/// The field by which a client says that it can wait, and how long, in seconds.
pub const FIELD: &str = "offline_within_s";
pub const PATH: &str = "/v1/parked/";

/// What a node needs to park.
pub struct DeferredQueueConfig {
    pub file: PathBuf,
    pub limits: DeferredLimits,
    /// Run at once, at most.
    pub max_running: usize,
    /// For each tenant, its part.
    pub weights: Vec<f64>,
}

pub struct DeferredRequests {
    core: RefCell<DeferredQueue>,
    pub keeper: Rc<StoreWriter>,
    repeats: Vec<RetryPolicy>,
    weights: Vec<f64>,
    most_running: f64,
    running: Cell<usize>,
    /// As many at once as found room of late, and when the next may begin.
    room: Cell<f64>,
    not_before: Cell<f64>,
    turned_away: Cell<u32>,
    serial: Cell<u64>,
    bell: (Sender<()>, Receiver<()>),
    accord: Option<Rc<RefCell<Gossip>>>,
    /// Whether no zone is left or returned to: what is held back there has the room first.
    pub whole: Rc<Cell<bool>>,
}

/// After one that found no room the next waits, longer each time in a row.
const FIRST_PAUSE_S: f64 = 0.2;
const LONGEST_PAUSE_S: f64 = 5.0;
const LOOK_S: f64 = 0.05;
/// A disk that cannot be written is tried again after so long.
const DISK_S: f64 = 0.2;
/// Runs of one that failed, where it may run again.
pub const MAX_ATTEMPTS: u32 = 8;

/// Whether a parked one may run again, by its model route.
pub fn repeat(r: &ModelRoute) -> RetryPolicy {
    match r.idempotency {
        route::Idempotency::Idempotent => RetryPolicy::Always,
        route::Idempotency::Keyed { scope: IdempotencyScope::All, window_s } => {
            RetryPolicy::Within { window_s }
        }
        // Which engines heard of it is not known to a later process.
        _ => RetryPolicy::Never,
    }
}

fn key(t: Ticket) -> [u8; 16] {
    t.to_be_bytes()
}

impl DeferredRequests {
    /// Reads what an earlier process left; blocking, before anything is served.
    pub fn open(
        lot: DeferredQueueConfig,
        repeats: Vec<RetryPolicy>,
        clock: crate::Clock,
        door: &nickelgw_node_core::Admission,
        accord: Option<Rc<RefCell<Gossip>>>,
        whole: Rc<Cell<bool>>,
    ) -> Rc<DeferredRequests> {
        let (keeper, found) = StoreWriter::open(Some(lot.file), clock);
        let mut core = DeferredQueue::new(lot.limits);
        let found = found.into_iter().filter(|f| f.kind == RecordKind::DeferredRequest);
        let found = found.filter_map(|f| Some((Ticket::from_be_bytes(f.key.try_into().ok()?), f.value)));
        let known = |r: &DeferredRecord| {
            let tenant = door.tenants.is_empty() || door.tenants.iter().any(|t| t.name == r.tenant);
            let route = door.models.iter().position(|m| m.name == r.model)?;
            repeats.get(route).copied().filter(|_| tenant)
        };
        for w in core.restore(unix_now(), found, known) {
            match w.bytes {
                Some(b) => keeper.put(RecordKind::DeferredRequest, &key(w.ticket), &b),
                None => keeper.remove(RecordKind::DeferredRequest, &key(w.ticket)),
            }
            // Told from now on: if this process dies before the write, the next comes to the same.
            core.write_finished(w.ticket, w.version, true);
        }
        tracing::info!(parked = core.len(), "offline inferences were read");
        Rc::new(DeferredRequests {
            core: RefCell::new(core),
            keeper,
            repeats,
            weights: lot.weights,
            most_running: lot.max_running.max(1) as f64,
            running: Cell::new(0),
            room: Cell::new(1.0),
            not_before: Cell::new(0.0),
            turned_away: Cell::new(0),
            serial: Cell::new(0),
            bell: bounded(1),
            accord,
            whole,
        })
    }

    pub fn tally(&self) -> (usize, usize, DeferredCounters) {
        let core = self.core.borrow();
        (core.waiting().map(|w| w.1).sum(), self.running.get(), core.counters)
    }

    fn ticket(&self) -> Ticket {
        self.serial.set(self.serial.get() + 1);
        // Each of these draws from the system's own chance anew.
        let draw = || RandomState::new().hash_one(self.serial.get());
        Ticket::from(draw()) << 64 | Ticket::from(draw())
    }

    /// On disk, tried until it is or another is to be there; what is taken out need not be waited for.
    async fn write(&self, w: RecordWrite) {
        let Some(b) = w.bytes else { return self.keeper.remove(RecordKind::DeferredRequest, &key(w.ticket)) };
        // Asked before each try: while a disk fails, an older record would come back over a newer one.
        while self.core.borrow().is_latest(w.ticket, w.version) {
            if self.keeper.put_and_wait(RecordKind::DeferredRequest, &key(w.ticket), &b).await {
                return self.core.borrow_mut().write_finished(w.ticket, w.version, true);
            }
            Timer::after(seconds(DISK_S)).await;
        }
    }

    /// Of what is run here, by its weight, and by how much of what waits in the whole fleet waits here: a tenant parked at
    /// one node has as much in all as one parked at five.
    fn part(&self, tenants: &[nickelgw_node_core::admission::Tenant], name: &str) -> f64 {
        let weight = tenants.iter().position(|t| t.name == name).and_then(|t| self.weights.get(t));
        let own = self.core.borrow().waiting().find(|w| w.0 == name).map_or(0, |w| w.1);
        let hash = name_hash(name) as u32;
        let others = self.accord.as_ref().map_or(0, |a| {
            let a = a.borrow();
            let of = |k: &nickelgw_gossip::core::PeerRecord| {
                k.record
                    .deferred_by_tenant
                    .iter()
                    .filter(|p| p.0 == hash)
                    .map(|p| u64::from(p.1))
                    .sum::<u64>()
            };
            a.live_peers(self.keeper.now()).map(of).sum()
        });
        nickelgw_deferred::core::local_weight(weight.copied().unwrap_or(1.0), own, others)
    }

    fn found_room(&self) {
        self.turned_away.set(0);
        self.room.set((self.room.get() + 1.0 / self.room.get()).min(self.most_running));
    }

    fn found_none(&self, now: f64) {
        self.turned_away.set((self.turned_away.get() + 1).min(10));
        self.room.set((self.room.get() / 2.0).max(1.0));
        let pause = (FIRST_PAUSE_S * f64::from(1u32 << (self.turned_away.get() - 1))).min(LONGEST_PAUSE_S);
        // Nodes that meet the same fullness do not come back at the same moment.
        let dice = RandomState::new().hash_one(0) as f64 / u64::MAX as f64;
        self.not_before.set(now + pause * (0.5 + dice));
    }
}

impl Server {
    /// Parks a request whose client can wait: its ticket, once its record is on disk.
    pub async fn park(
        self: Rc<Self>,
        mut chat: ChatRequest,
        ask: &AdmittedRequest,
    ) -> Result<Answer, ApiError> {
        let field = |what: &'static str| ApiError::invalid_request(&Malformed::field(FIELD, what));
        let Some(p) = self.parked.clone() else { return Err(field("is not served here")) };
        let within = chat.fields.remove(FIELD).and_then(|v| serde_json::from_str::<f64>(v.get()).ok());
        let within =
            within.filter(|s| *s > 0.0).ok_or_else(|| field("must be a number of seconds above zero"))?;
        // Nobody listens while it runs.
        chat.fields.remove("stream");
        chat.fields.remove("stream_options");
        let body = serde_json::to_vec(&chat.fields).map_err(|_| field("cannot be kept"))?;
        let (now, ticket) = (unix_now(), p.ticket());
        let record = DeferredRecord {
            tenant: ask.tenant.map_or(String::new(), |t| self.door.tenants[t].name.clone()),
            model: chat.model.clone(),
            body,
            queued_at: now,
            deadline: now + within,
            first_attempt_at: None,
            failed_attempts: 0,
            state: DeferredState::Queued,
        };
        let come_back = self.limits.retry_after_s;
        let full = || {
            let word = "no place to keep more offline requests";
            ApiError::new(503, "server_error", "parked_full", word).with_retry_after(come_back)
        };
        if p.keeper.is_released() {
            return Err(full());
        }
        let taken = p.core.borrow_mut().enqueue(now, ticket, record);
        let write = taken.map_err(|why| match why {
            DeferredRejection::TenantLimit => {
                let word = "this tenant has its part of what is kept";
                ApiError::new(429, "server_error", "parked_tenant_full", word).with_retry_after(come_back)
            }
            DeferredRejection::WaitTooLong => field("is longer than any may wait"),
            DeferredRejection::TooManyRecords | DeferredRejection::TooManyBytes => full(),
        })?;
        // Its client may go meanwhile: what was begun is ended all the same.
        let (tell, told) = bounded(1);
        let of = p.clone();
        let keep = async move {
            let RecordWrite { ticket: t, version, bytes } = write;
            let kept = of
                .keeper
                .put_and_wait(RecordKind::DeferredRequest, &key(t), &bytes.unwrap_or_default())
                .await;
            of.core.borrow_mut().write_finished(t, version, kept);
            if !kept {
                // It may yet get there, and must not be run by a later process.
                of.keeper.remove(RecordKind::DeferredRequest, &key(t));
            }
            let _ = of.bell.0.try_send(());
            let _ = tell.try_send(kept);
        };
        self.ex.spawn(keep).detach();
        match told.recv().await {
            Ok(true) => {
                let body =
                    json!({"id": format!("{ticket:032x}"), "object": "chat.parked", "status": "parked"});
                Ok(json_answer(202, body.to_string().into()))
            }
            _ => Err(full()),
        }
    }

    /// What became of a ticket. One that is unknown, too old or another tenant's is told apart by nothing.
    pub fn parked(&self, bearer: Option<&str>, ticket: &str) -> Result<Answer, ApiError> {
        let tenant = self.door.authenticate(bearer).map_err(|r| r.error(self.limits.retry_after_s))?;
        let tenant = tenant.map_or("", |t| &self.door.tenants[t].name);
        let none = || ApiError::new(404, "invalid_request_error", "not_found", "there is no such ticket");
        let p = self.parked.as_ref().ok_or_else(none)?;
        let id = Some(ticket).filter(|t| t.len() == 32).and_then(|t| Ticket::from_str_radix(t, 16).ok());
        let core = p.core.borrow();
        let status = match id.and_then(|t| core.status(t, tenant)).ok_or_else(none)? {
            DeferredStatus::Finished(a) => return Ok(json_answer(a.status, Bytes::from(a.body.clone()))),
            DeferredStatus::Queued => "parked",
            DeferredStatus::Running => "running",
        };
        let body = json!({"id": ticket, "object": "chat.parked", "status": status});
        Ok(json_answer(202, body.to_string().into()))
    }

    /// Runs what is parked while there is room, until dropped.
    pub async fn replay(self: Rc<Self>) {
        let Some(p) = self.parked.clone() else { return };
        loop {
            let due = p.core.borrow_mut().poll_expired(unix_now());
            for w in due {
                let of = p.clone();
                self.ex.spawn(async move { of.write(w).await }).detach();
            }
            while self.has_room(&p) {
                let repeat = |r: &DeferredRecord| self.repeat(&p, r);
                let parts: HashMap<String, f64> = {
                    let waiting: Vec<String> = p.core.borrow().waiting().map(|w| w.0.to_string()).collect();
                    waiting.into_iter().map(|t| (t.clone(), p.part(&self.door.tenants, &t))).collect()
                };
                let part = |t: &str| parts.get(t).copied().unwrap_or(1.0);
                let next = p.core.borrow_mut().next_runnable(unix_now(), part, repeat);
                let Some(write) = next else { break };
                p.running.set(p.running.get() + 1);
                self.ex.spawn(self.clone().run_parked(p.clone(), write)).detach();
            }
            if let Some(a) = &p.accord {
                let core = p.core.borrow();
                let waiting =
                    core.waiting().map(|w| (name_hash(w.0) as u32, w.1.min(u32::MAX as usize) as u32));
                a.borrow_mut().publish_deferred(waiting.collect());
            }
            within(LOOK_S, p.bell.1.recv()).await;
        }
    }

    fn has_room(&self, p: &DeferredRequests) -> bool {
        let room = p.running.get() < p.room.get() as usize;
        let may =
            self.doors.healthy.get() && !self.doors.closing_connections.get() && !p.keeper.is_released();
        room && may && p.whole.get() && self.clock.now() >= p.not_before.get()
    }

    fn repeat(&self, p: &DeferredRequests, r: &DeferredRecord) -> Option<RetryPolicy> {
        let route = self.door.models.iter().position(|m| m.name == r.model)?;
        p.repeats.get(route).copied()
    }

    async fn run_parked(self: Rc<Self>, p: Rc<DeferredRequests>, write: RecordWrite) {
        let ticket = write.ticket;
        let record = p.core.borrow().record(ticket).cloned();
        let running = record.filter(|r| r.state == DeferredState::Running);
        let Some((record, repeat)) = running.and_then(|r| self.repeat(&p, &r).map(|x| (r, x))) else {
            // It ended without a run.
            p.write(write).await;
            p.running.set(p.running.get() - 1);
            return;
        };
        let after = match repeat {
            // An earlier process that ran it changes nothing.
            RetryPolicy::Always => {
                p.core.borrow_mut().write_finished(ticket, write.version, true);
                Some(())
            }
            _ => {
                let bytes = write.bytes.unwrap_or_default();
                let kept = p.keeper.put_and_wait(RecordKind::DeferredRequest, &key(ticket), &bytes).await;
                p.core.borrow_mut().write_finished(ticket, write.version, kept);
                kept.then_some(())
            }
        };
        let ended = match after {
            None => Err(false),
            Some(()) => {
                let left = record.deadline - unix_now();
                // Dropped when its time passes, it is called off.
                within(left, self.run_once(ticket, &record, left)).await.unwrap_or(Err(true))
            }
        };
        let now = unix_now();
        let write = match ended {
            Ok(answer) => {
                p.found_room();
                p.core.borrow_mut().complete(now, ticket, answer)
            }
            Err(ran) => {
                p.found_none(self.clock.now());
                p.core.borrow_mut().attempt_failed(now, ticket, ran, repeat)
            }
        };
        p.running.set(p.running.get() - 1);
        p.write(write).await;
        let _ = p.bell.0.try_send(());
    }

    /// Its answer; else whether it may have run.
    async fn run_once(&self, ticket: Ticket, r: &DeferredRecord, left_s: f64) -> Result<Kept, bool> {
        let gone = |status, word: &str| Kept::error(status, "gone", word);
        let Ok(chat) = ChatRequest::parse(&r.body) else {
            return Ok(gone(400, "it cannot be read any more"));
        };
        let key = self.door.tenants.iter().find(|t| t.name == r.tenant).map(|t| t.key.as_str());
        let Ok(mut ask) = self.door.admit(&chat, key, None) else {
            return Ok(gone(410, "it is not served any more"));
        };
        ask.is_background = true;
        ask.timeout_s = ask.timeout_s.min(left_s);
        ask.unary_timeout_s = ask.unary_timeout_s.map(|s| s.min(left_s));
        // The same name at engines each time: by it they know a repeat.
        let id: Rc<str> = format!("parked-{ticket:032x}").into();
        let digest = *blake3::hash(&r.body).as_bytes();
        let asked = Asked { ask, id, chat: Rc::new(chat), since: Instant::now(), digest, marked: None };
        match self.run(asked).await {
            Err(_) => Err(false),
            Ok((Reply::Unary(body), mut gone)) => {
                gone.ticket = None;
                Ok(Kept { status: 200, body: body.to_vec() })
            }
            Ok((Reply::Error(e), mut gone)) => {
                gone.ticket = None;
                // What is shed has not run, or may run again.
                Err(!matches!(
                    e.code,
                    "shed" | "node_full" | "node_draining" | "too_many_open" | "fair_share"
                ))
            }
            Ok((Reply::Stream(_), _)) => Err(true),
        }
    }
}
