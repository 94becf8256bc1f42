//! The one task that owns the core: tells it what happened, does what it says, waits on no peer.

use crate::admin::Counted;
use crate::engines::Engines;
use crate::latency_metrics::LatencyMetrics;
use crate::persistence::StoreWriter;
use crate::{seconds, Clock};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use nickelgw_gossip::core::PeerRecord;
use nickelgw_node_core::ledger::ReservationId;
use nickelgw_node_core::shutdown::{self, Exit, ProcessLifecycle, Remaining};
use nickelgw_node_core::trace::RequestTrace;
use nickelgw_node_core::zone_failover::ZoneRound;
use nickelgw_node_core::{
    AdmittedRequest, AttemptOutcome, AttemptResult, Command, Endpoint, FailureReason, FinalAnswer, NodeCore,
    RejectReason, RequestId,
};
use nickelgw_protocol::chat::{ApiError, ChatRequest, Chunk, UnaryResponse};
use nickelgw_protocol::list::EndpointList;
use nickelgw_protocol::load::LoadReport;
use nickelgw_protocol::sse;
use nickelgw_registry::core::membership::FleetPosition;
use smol::{LocalExecutor, Task, Timer};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Words taken in one round: as many as wait, so that a rush costs fewer rounds, not longer queues.
const MOST_IN_A_ROUND: usize = 256;

/// Something that happened, and when it was read off its socket.
pub struct TimedEvent {
    pub at: Instant,
    pub event: Event,
}

impl TimedEvent {
    pub fn new(said: Event) -> TimedEvent {
        TimedEvent { at: Instant::now(), event: said }
    }
}

/// What the process is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// To go: by stages, none of which loses what is open.
    Drain,
    /// To go, with the listening socket in another process's hands already.
    DrainHandedOver,
    /// To let go of the store, which another process is about to open; or to take it back, as none did.
    ReleaseStore,
    ResumeStore,
    /// To go on to the next stage at once.
    SkipStage,
}

pub enum Event {
    Signal(ProcessSignal),
    Accept {
        request: AdmittedRequest,
        client: ClientRequest,
        accepted: Sender<RequestId>,
    },
    ResponseStarted {
        request_id: RequestId,
        attempt: u32,
        grant: Sender<ResponseSink>,
    },
    AttemptEnded {
        ticket: RequestId,
        send: u32,
        result: AttemptResult,
        sink: Option<ResponseSink>,
    },
    ProbeFinished {
        endpoint: Rc<Endpoint>,
        cause: AttemptOutcome,
        load: Option<LoadReport>,
    },
    ReleaseFinished {
        reservation_id: ReservationId,
        done: bool,
    },
    OrphanCleanupFinished {
        place: Rc<Endpoint>,
        done: bool,
    },
    SaveLearnedState {
        reply_to: Sender<Vec<u8>>,
    },
    FleetPosition(FleetPosition),
    /// What the other nodes of the zone have told; what they are to be told goes back.
    ZoneRound {
        others: Vec<PeerRecord>,
        to: Sender<ZoneRound>,
    },
    CollectMetrics {
        to: Sender<Counted>,
    },
    Explain {
        id: String,
        to: Sender<Option<String>>,
    },
    EndpointsUpdated {
        list: EndpointList,
        renewed: Vec<String>,
    },
    EndpointPollFailed,
}

/// The client's side of an inference.
pub struct ClientRequest {
    pub id: Rc<str>,
    pub chat: Rc<ChatRequest>,
    pub reply: Sender<Reply>,
    pub since: Instant,
    /// The client's stream, once it has begun.
    pub stream: Option<Sender<Bytes>>,
}

pub enum Reply {
    Stream(Receiver<Bytes>),
    Unary(Bytes),
    Error(ApiError),
}

/// Where a stream's events go. Held by the one send that has the client.
pub enum ResponseSink {
    Stream { events: Sender<Bytes>, usage: bool },
    Unary(Box<UnaryResponse>),
}

impl ResponseSink {
    pub async fn pass(&mut self, frame: Bytes, data: &[u8]) -> Result<(), AttemptOutcome> {
        match self {
            // Asked for by the node for its own count, not by this client.
            ResponseSink::Stream { usage: false, .. } if is_usage_only(data) => Ok(()),
            ResponseSink::Stream { events: to, .. } => {
                to.send(frame).await.map_err(|_| AttemptOutcome::Cancelled)
            }
            ResponseSink::Unary(whole) => {
                whole.push_chunk(Chunk::parse(data).map_err(|_| AttemptOutcome::Malformed)?);
                Ok(())
            }
        }
    }
}

fn is_usage_only(data: &[u8]) -> bool {
    let named = data.windows(8).any(|w| w == b"\"usage\":");
    named && Chunk::parse(data).is_ok_and(|c| c.is_usage_only())
}

/// Events that may wait for a slow client before its writer is slowed.
const FRAMES_AHEAD: usize = 32;

pub struct EventLoop {
    pub core: NodeCore,
    /// Something was found silent, that others may want to hear of.
    pub met: Sender<()>,
    pub clock: Clock,
    pub ex: Rc<LocalExecutor<'static>>,
    pub engines: Rc<Engines>,
    pub events: Sender<TimedEvent>,
    pub incoming_events: Receiver<TimedEvent>,
    /// Clients gone. Not bounded by itself: each request open says it once at most.
    pub disconnected_clients: Receiver<RequestId>,
    pub list_wakeup: Sender<()>,
    /// Requests that wait for the core.
    pub waiting: Rc<Cell<usize>>,
    pub clients: HashMap<RequestId, ClientRequest>,
    /// Sends out; dropped, a send is called off.
    pub attempts: HashMap<(RequestId, u32), Out>,
    pub latency: Option<Arc<Mutex<LatencyMetrics>>>,
    pub lifecycle: ProcessLifecycle,
    pub incarnation: String,
    pub store_writers: Vec<Rc<StoreWriter>>,
    pub listener: Rc<ListenerState>,
    /// Called once, when it can serve.
    pub on_serving: Option<Box<dyn FnOnce() + Send>>,
    /// Where engine lines come from: connections there are kept too.
    pub sources: Vec<String>,
}

/// A send's task, and whether something of it may have gone out.
type Out = (Task<()>, Rc<Cell<bool>>);

/// What the sockets' side has to know of the node's life.
pub struct ListenerState {
    pub healthy: Cell<bool>,
    /// Each answer is the last of its connection.
    pub closing_connections: Cell<bool>,
    pub connections: Cell<usize>,
    /// Closed when nothing more is accepted, and when unused connections are closed.
    pub accept_until: (Sender<()>, Receiver<()>),
    pub keep_alive_until: (Sender<()>, Receiver<()>),
}

impl ListenerState {
    pub fn new() -> Rc<ListenerState> {
        Rc::new(ListenerState {
            healthy: Cell::new(false),
            closing_connections: Cell::new(false),
            connections: Cell::new(0),
            accept_until: async_channel::bounded(1),
            keep_alive_until: async_channel::bounded(1),
        })
    }
}

fn failed(why: FailureReason) -> ApiError {
    let (status, code, word) = match why {
        FailureReason::DeadlineExceeded => (504, "timeout", "no answer began in time"),
        FailureReason::AttemptsFailed => (502, "engines_failed", "the engines asked did not answer"),
        FailureReason::ShuttingDown => {
            (503, "node_stopping", "the node stops; what came of the answer is not whole")
        }
        FailureReason::StreamBroken => {
            (502, "stream_broken", "the answer broke off; what came of it is not whole")
        }
    };
    ApiError::new(status, "server_error", code, word)
}

impl EventLoop {
    /// Ends when the node's life does.
    pub async fn run(mut self) -> Exit {
        let mut wake = Timer::never();
        let mut stamps = Vec::new();
        loop {
            let heard = async {
                futures_lite::future::or(async { self.incoming_events.recv().await.ok().map(Ok) }, async {
                    self.disconnected_clients.recv().await.ok().map(Err)
                })
                .await
            };
            let first = futures_lite::future::or(heard, async {
                (&mut wake).await;
                None
            })
            .await;
            let now = self.clock.now();
            let started = Instant::now();
            match first {
                Some(Ok(word)) => self.hear(now, word, &mut stamps),
                Some(Err(ticket)) => self.gone(now, ticket),
                None => {}
            }
            for _ in 0..MOST_IN_A_ROUND {
                let Ok(word) = self.incoming_events.try_recv() else { break };
                self.hear(now, word, &mut stamps);
            }
            while let Ok(ticket) = self.disconnected_clients.try_recv() {
                self.gone(now, ticket);
            }
            let wake_at = self.act(now);
            let (exit, look_at) = self.live(now);
            if let Some(exit) = exit {
                return exit;
            }
            let wake_at = [wake_at, look_at].into_iter().flatten().min_by(f64::total_cmp);
            match wake_at {
                Some(at) => wake.set_after(seconds((at - self.clock.now()).max(0.0))),
                None => wake = Timer::never(),
            }
            if let Some(meter) = &self.latency {
                let mut m = meter.lock().unwrap_or_else(|e| e.into_inner());
                m.words += stamps.len() as u64;
                stamps
                    .drain(..)
                    .for_each(|at: Instant| LatencyMetrics::note(&mut m.to_decision, at.elapsed()));
                LatencyMetrics::note(&mut m.round, started.elapsed());
            }
            stamps.clear();
        }
    }

    /// What its stage of life asks for.
    fn live(&mut self, now: f64) -> (Option<Exit>, Option<f64>) {
        let connections = self.listener.connections.get();
        let left =
            Remaining { open_requests: self.core.open(), reservations: self.core.ledger.len(), connections };
        let (todo, mut wake) = self.lifecycle.poll_commands(now, left);
        for d in todo {
            tracing::info!(stage = ?self.lifecycle.stage(), open = left.open_requests, states = left.reservations, "{d:?}");
            match d {
                shutdown::ShutdownCommand::AnnounceShutdown => {
                    self.listener.healthy.set(false);
                    self.listener.closing_connections.set(true);
                }
                shutdown::ShutdownCommand::StopListening => drop(self.listener.accept_until.0.close()),
                shutdown::ShutdownCommand::StopAccepting => {
                    self.core.stop_accepting();
                    self.listener.keep_alive_until.0.close();
                }
                shutdown::ShutdownCommand::FailAllOpen => {
                    self.core.fail_all_open(now);
                    wake = Some(now);
                }
                shutdown::ShutdownCommand::Exit(exit) => return (Some(exit), None),
            }
        }
        (None, wake)
    }

    fn counted(&self) -> Counted {
        let (c, ledger) = (&self.core, &self.core.ledger);
        Counted {
            tally: c.counters,
            account: ledger.counters,
            violations: c.guard.counts().iter().map(|(v, n)| (v.name(), *n)).collect(),
            open: c.open(),
            states: ledger.len(),
            held_p99_s: ledger.unclaimed_quantile_s(0.99),
            held_longest_s: ledger.unclaimed_quantile_s(1.0),
            stories: c.traces.len(),
            ways: c.zone_failover.as_ref().map(|t| t.zone_weights()).unwrap_or_default(),
        }
    }

    fn serving(&mut self) {
        self.lifecycle.endpoints_known();
        if self.lifecycle.stage() == shutdown::Stage::Serving {
            self.listener.healthy.set(true);
            self.on_serving.take().into_iter().for_each(|say| say());
        }
    }

    fn gone(&mut self, now: f64, ticket: RequestId) {
        self.core.client_disconnected(now, ticket);
        if let Some(job) = self.clients.remove(&ticket) {
            self.note(&job, "left");
        }
    }

    fn hear(&mut self, now: f64, word: TimedEvent, stamps: &mut Vec<Instant>) {
        if self.latency.is_some() {
            stamps.push(word.at);
        }
        match word.event {
            Event::Accept { request: ask, client: job, accepted: taken } => {
                self.waiting.set(self.waiting.get() - 1);
                // The client may have gone while it waited for the core.
                if taken.is_closed() {
                    return;
                }
                match self.core.accept_request(now, &ask) {
                    Ok(ticket) => {
                        let _ = taken.try_send(ticket);
                        let model = job.chat.model.as_str().into();
                        let target_s = self.core.ttft_objective_s(&ask);
                        let story =
                            RequestTrace::new(job.id.clone(), model, now, target_s, ask.prompt_tokens);
                        self.core.start_trace(ticket, story);
                        self.clients.insert(ticket, job);
                    }
                    Err(refusal) => drop(job.reply.try_send(Reply::Error(self.refused(refusal)))),
                }
            }
            Event::Signal(ProcessSignal::SkipStage) => self.lifecycle.skip_stage(now),
            Event::Signal(order @ (ProcessSignal::ReleaseStore | ProcessSignal::ResumeStore)) => {
                self.store_writers.iter().for_each(|k| k.release(order == ProcessSignal::ReleaseStore));
            }
            Event::Signal(order) => self.lifecycle.begin_drain(now, order == ProcessSignal::DrainHandedOver),
            Event::ResponseStarted { request_id: ticket, attempt: send, grant } => {
                if self.core.response_started(now, ticket, send) {
                    if let Some(job) = self.clients.get_mut(&ticket) {
                        let _ = grant.try_send(sink(job));
                    }
                }
            }
            Event::AttemptEnded { ticket, send, result: end, sink } => {
                self.attempts.remove(&(ticket, send));
                let job = self.clients.get(&ticket);
                if let Some(job) = job
                    .filter(|_| !matches!(end.outcome, AttemptOutcome::Prefilled | AttemptOutcome::Completed))
                {
                    tracing::debug!(request = %job.id, send, cause = ?end.outcome, "send ended");
                }
                // The client's own stream is closed by the answer that follows.
                let begun = sink.and_then(|sink| Some((sink, self.clients.remove(&ticket)?)));
                if let Some((sink, job)) = begun {
                    let whole = end.outcome == AttemptOutcome::Completed;
                    self.finish(sink, &job, whole);
                    let answer = match end.outcome {
                        AttemptOutcome::Completed => "completed",
                        AttemptOutcome::Cancelled => "left",
                        _ => "errored",
                    };
                    self.note(&job, answer);
                }
                self.core.attempt_ended(now, ticket, send, end);
            }
            Event::ProbeFinished { endpoint: place, cause, load } => {
                self.core.probe_finished(now, &place.id, cause, load);
                if matches!(cause, AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed) {
                    let _ = self.met.try_send(());
                }
            }
            Event::ReleaseFinished { reservation_id: call, done } => {
                self.core.release_finished(now, call, done)
            }
            Event::OrphanCleanupFinished { place, done } => {
                self.core.orphan_cleanup_finished(now, &place.address, done)
            }
            Event::FleetPosition(p) => self.core.set_fleet_position(now, p.number.zip(p.node_count)),
            Event::ZoneRound { others, to } => {
                let Some(round) = self.core.zone_round(now, &others) else { return };
                self.core.zone_failover.iter().for_each(|t| t.log_transitions(&round.transitions));
                let _ = to.try_send(round);
            }
            Event::CollectMetrics { to } => drop(to.try_send(self.counted())),
            Event::Explain { id, to } => {
                drop(to.try_send(self.core.request_trace(&id).map(RequestTrace::describe)))
            }
            Event::SaveLearnedState { reply_to: to } => drop(to.try_send(self.core.learned_state(now))),
            Event::EndpointsUpdated { list, renewed } => {
                self.core.engines_replaced(now, &renewed);
                self.core.update_endpoints(now, &list);
                self.serving();
                let sources = &self.sources;
                let wanted =
                    |a: &str| sources.iter().any(|s| s == a) || list.engines.iter().any(|l| l.address == a);
                self.engines.pool.forget_others(wanted);
            }
            Event::EndpointPollFailed => self.core.endpoint_poll_failed(now),
        }
    }

    fn refused(&self, refusal: RejectReason) -> ApiError {
        refusal.error(self.engines.limits.retry_after_s)
    }

    /// A stream's last event; it may have to wait for the client, so not here.
    fn last(&self, to: Sender<Bytes>, event: Bytes) {
        let stall = self.engines.limits.client_stall_timeout_s;
        self.ex.spawn(async move { drop(crate::within(stall, to.send(event)).await) }).detach();
    }

    /// Ends a begun answer.
    fn finish(&self, sink: ResponseSink, job: &ClientRequest, whole: bool) {
        match sink {
            ResponseSink::Stream { events: to, .. } => {
                let last = if whole {
                    sse::done_event()
                } else {
                    sse::encode_event(&failed(FailureReason::StreamBroken).body())
                };
                self.last(to, last);
            }
            ResponseSink::Unary(w) => {
                let reply = match whole {
                    true => Reply::Unary(w.body(&job.chat.model)),
                    false => Reply::Error(failed(FailureReason::StreamBroken)),
                };
                let _ = job.reply.try_send(reply);
            }
        }
    }

    fn note(&self, job: &ClientRequest, answer: &str) {
        let ms = job.since.elapsed().as_secs_f64() * 1e3;
        tracing::info!(request = %job.id, model = %job.chat.model, answer, ms, "answered");
    }

    /// Does what the core says until it has no more to say for now; gives its next wake.
    fn act(&mut self, now: f64) -> Option<f64> {
        loop {
            let begun = Instant::now();
            let actions = self.core.poll_commands(now);
            if let Some(meter) = &self.latency {
                let mut m = meter.lock().unwrap_or_else(|e| e.into_inner());
                LatencyMetrics::note(&mut m.act, begun.elapsed());
            }
            let mut again = false;
            for d in actions.commands {
                match d {
                    Command::StartAttempt(order) => {
                        let key = (order.request, order.attempt);
                        let Some(job) = self.clients.get(&order.request) else {
                            self.core.attempt_ended(now, key.0, key.1, AttemptResult::default());
                            again = true;
                            continue;
                        };
                        tracing::debug!(request = %job.id, send = order.attempt, engine = %order.engine.id,
                            read = order.kind == nickelgw_node_core::AttemptKind::Prefill, "send");
                        let (id, chat) = (job.id.clone(), job.chat.clone());
                        let out = Rc::new(Cell::new(false));
                        let words = self.events.clone();
                        let task = self.engines.clone().send(order, id, chat, words, out.clone());
                        self.attempts.insert(key, (self.ex.spawn(task), out));
                    }
                    Command::CancelAttempt { request: ticket, attempt: send } => {
                        let sent = self.attempts.remove(&(ticket, send));
                        // Given up while its connection was still being made: it is known not to have run, and may
                        // go elsewhere. Seen as a handshake that stalled until the probe beside it was given up.
                        let out = sent.is_none_or(|s| s.1.get()) || !self.clients.contains_key(&ticket);
                        let cause =
                            if out { AttemptOutcome::Cancelled } else { AttemptOutcome::ConnectFailed };
                        let end = AttemptResult { outcome: cause, ..AttemptResult::default() };
                        self.core.attempt_ended(now, ticket, send, end);
                        again = true;
                    }
                    Command::Answer { request, answer } => self.answer(request, answer),
                    Command::Release { reservation_id: call, reservation: state, .. } => {
                        let task = self.engines.clone().let_go(call, state, self.events.clone());
                        self.ex.spawn(task).detach();
                    }
                    Command::Probe(place) => {
                        let task = self.engines.clone().probe(place, self.events.clone());
                        self.ex.spawn(task).detach();
                    }
                    Command::ReleaseOrphans(place) => {
                        let boot = self.incarnation.clone();
                        let task = self.engines.clone().sweep(place, boot, self.events.clone());
                        self.ex.spawn(task).detach();
                    }
                    Command::PollEndpoints => drop(self.list_wakeup.try_send(())),
                }
            }
            if !again {
                return actions.wake_at;
            }
        }
    }

    fn answer(&mut self, ticket: RequestId, answer: FinalAnswer) {
        // Begun streams were answered where their end was heard.
        let Some(job) = self.clients.remove(&ticket) else { return };
        if let (Some(to), FinalAnswer::Failed(why)) = (job.stream.clone(), answer) {
            // Its send is called off with this, so that nothing comes after.
            self.last(to, sse::encode_event(&failed(why).body()));
            return self.note(&job, "errored");
        }
        let (error, word) = match answer {
            FinalAnswer::Rejected { retry_after_s: come_back_s } => {
                let mut e = ApiError::new(503, "server_error", "shed", "no engine has room in time");
                e.retry_after_s = come_back_s;
                (e, "shed")
            }
            FinalAnswer::Failed(why) => (failed(why), "errored"),
            // Cannot come for one that has not begun.
            FinalAnswer::Completed => (failed(FailureReason::AttemptsFailed), "errored"),
        };
        let _ = job.reply.try_send(Reply::Error(error));
        self.note(&job, word);
    }
}

/// The begun stream of this client, and its receiving end in the client's hands.
fn sink(job: &mut ClientRequest) -> ResponseSink {
    if !job.chat.stream {
        return ResponseSink::Unary(Box::default());
    }
    let (to, from) = async_channel::bounded(FRAMES_AHEAD);
    job.stream = Some(to.clone());
    let _ = job.reply.try_send(Reply::Stream(from));
    ResponseSink::Stream { events: to, usage: job.chat.include_usage }
}
