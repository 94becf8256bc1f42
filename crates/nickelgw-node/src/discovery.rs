//! Where engine lines come from, and what is made of them: each source tells the view, and what the view believes goes to
//! the core and to disk.

use crate::client::Peer;
use crate::engines::Engines;
use crate::event_loop::{Event, TimedEvent};
use crate::{within, Clock};
use async_channel::Sender;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::Method;
use nickelgw_node_core::Endpoint;
use nickelgw_protocol::list::{EndpointEntry, EndpointList};
use nickelgw_registry::core::endpoint_view::EndpointView;
use nickelgw_registry::core::membership::{FleetPosition, Membership, MembershipCommand, MembershipConfig};
use nickelgw_registry::core::registry_watch::{self, ReadVerdict, RegistryWatch, RegistryWatchConfig};
use nickelgw_registry::wire;
use serde_json::{json, Value};
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;

/// What is believed of the fleet, and who hears of it.
pub struct EndpointDirectory {
    pub view: RefCell<EndpointView>,
    pub engines: Rc<Engines>,
    pub words: Sender<TimedEvent>,
    pub clock: Clock,
    pub last: Option<PathBuf>,
    pub ex: Rc<LocalExecutor<'static>>,
    /// The core's own count of lists: a registry's revision may go back, this one does not.
    pub told: Cell<u64>,
    /// The count of the list on disk: writes take turns, and an older one is left out.
    pub written: smol::lock::Mutex<u64>,
}

impl EndpointDirectory {
    pub async fn full(self: &Rc<Self>, revision: u64, lines: Vec<EndpointEntry>, rolled_back: bool) {
        self.view.borrow_mut().replace_all(self.clock.now(), revision, lines, rolled_back);
        self.settle().await;
    }

    /// Tells what has changed, and probes what is doubted.
    pub async fn settle(self: &Rc<Self>) {
        let probes = {
            let mut v = self.view.borrow_mut();
            v.tick(self.clock.now());
            v.take_probes()
        };
        for l in probes {
            let me = self.clone();
            let probe = async move {
                let place = Endpoint { id: l.id, address: l.address, tls_name: l.tls_name };
                // Twice, as one lost word must not take an engine away.
                let answers = me.engines.answers(&place).await || me.engines.answers(&place).await;
                me.view.borrow_mut().probe_finished(me.clock.now(), &place.id, answers);
                me.tell().await;
            };
            self.ex.spawn(probe).detach();
        }
        self.tell().await;
    }

    /// Passes on what is believed now, if that has changed.
    async fn tell(&self) {
        let news = self.view.borrow_mut().take_changes();
        let Some(engines) = news else { return };
        self.told.set(self.told.get() + 1);
        let list = EndpointList { revision: self.told.get(), engines };
        let bytes = serde_json::to_vec(&list).unwrap_or_default();
        let list_number = list.revision;
        let renewed = self.view.borrow_mut().take_replaced();
        if self.words.send(TimedEvent::new(Event::EndpointsUpdated { list, renewed })).await.is_err() {
            return;
        }
        if let Some(path) = self.last.clone() {
            let mut written = self.written.lock().await;
            if *written > list_number {
                return;
            }
            *written = list_number;
            let kept = smol::unblock(move || crate::endpoint_watch::write(&path, &bytes)).await;
            if let Err(e) = kept {
                tracing::warn!(error = %e, "the list was not kept on disk");
            }
        }
    }

    /// Lets doubt and damping run out.
    pub async fn tend(self: Rc<Self>) {
        loop {
            Timer::after(crate::seconds(0.25)).await;
            self.settle().await;
        }
    }

    /// A file of lines, looked at twice a second; a damaged one changes nothing.
    pub async fn follow_file(self: Rc<Self>, path: PathBuf) {
        let (mut before, mut revision) = (Vec::new(), 0);
        loop {
            let read = path.clone();
            match smol::unblock(move || std::fs::read(read)).await {
                Ok(bytes) if bytes != before => match EndpointList::parse(&bytes) {
                    Ok(list) => {
                        revision += 1;
                        before = bytes;
                        self.full(revision, list.engines, false).await;
                    }
                    Err(e) => {
                        tracing::warn!(file = %path.display(), error = %e, "the file of engines is not used")
                    }
                },
                Ok(_) => {}
                Err(e) => {
                    tracing::warn!(file = %path.display(), error = %e, "the file of engines was not read")
                }
            }
            Timer::after(crate::seconds(0.5)).await;
        }
    }
}

/// An etcd-v3 registry, spoken to over its JSON gateway.
#[derive(Clone, Debug)]
pub struct RegistryOptions {
    /// host:port of each.
    pub endpoints: Vec<String>,
    /// In TLS: the name that their certificates stand for; trust is that of the engines.
    pub tls_name: Option<String>,
    pub engines: String,
    /// Where nodes take their places; none: number and count of the settings stand.
    pub nodes: Option<String>,
    pub user: Option<(String, String)>,
    pub member: MembershipConfig,
}

pub struct RegistryClient {
    pub registry: RegistryOptions,
    pub name: String,
    pub fleet: Rc<EndpointDirectory>,
    pub token: RefCell<Option<String>>,
}

/// A plain call is given up after so long.
const CALL_S: f64 = 2.0;
const LONGEST_LINE: usize = 16 << 20;

impl RegistryClient {
    fn peer(&self, endpoint: usize) -> Peer<'_> {
        let address = &self.registry.endpoints[endpoint % self.registry.endpoints.len()];
        Peer { name: self.registry.tls_name.as_deref(), ..Peer::plain(address) }
    }

    fn request(&self, endpoint: usize, path: &str, body: &Value) -> Option<hyper::Request<Full<Bytes>>> {
        let b = self.fleet.engines.request(Method::POST, self.peer(endpoint).address, path);
        let b = b.header(CONTENT_TYPE, "application/json");
        let token = self.token.borrow().clone();
        let b = token.into_iter().fold(b, |b, t| b.header(AUTHORIZATION, t));
        b.body(Full::new(Bytes::from(body.to_string()))).ok()
    }

    /// Signs in where a user is set; once, and again when the registry no longer takes the token.
    async fn sign_in(&self, endpoint: usize) -> Result<(), wire::RegistryError> {
        let Some((name, password)) = self.registry.user.clone() else { return Ok(()) };
        if self.token.borrow().is_some() {
            return Ok(());
        }
        let body = json!({"name": name, "password": password});
        let v: Value = wire::parse_response(&self.raw(endpoint, "/v3/auth/authenticate", &body).await?)?;
        *self.token.borrow_mut() = v["token"].as_str().map(String::from);
        Ok(())
    }

    async fn raw(&self, endpoint: usize, path: &str, body: &Value) -> Result<Bytes, wire::RegistryError> {
        let wrong = |word: String| wire::RegistryError::Failed(word);
        let request = self.request(endpoint, path, body).ok_or_else(|| wrong("no such endpoint".into()))?;
        match within(CALL_S, self.fleet.engines.pool.fetch(self.peer(endpoint), &request)).await {
            None => Err(wrong("no answer in time".into())),
            Some(Err(cause)) => Err(wrong(format!("{cause:?}"))),
            Some(Ok((200, _, body))) => Ok(body),
            Some(Ok((status, _, body))) => {
                if status == 401 {
                    *self.token.borrow_mut() = None;
                }
                Err(wire::error_of_body(&body))
            }
        }
    }

    async fn call(&self, endpoint: usize, path: &str, body: &Value) -> Result<Bytes, wire::RegistryError> {
        self.sign_in(endpoint).await?;
        self.raw(endpoint, path, body).await
    }

    /// Follows the engines until dropped.
    pub async fn follow(self: Rc<Self>, seed: u64) {
        let clock = self.fleet.clock;
        let mut f = RegistryWatch::new(RegistryWatchConfig::default(), self.registry.endpoints.len(), seed);
        loop {
            let (todo, wake) = f.poll_commands(clock.now());
            // What is done takes its time, a watch hours: when to look again is asked anew after it.
            let idle = todo.is_empty();
            for d in todo {
                match d {
                    registry_watch::WatchCommand::Read { endpoint } => self.read(&mut f, endpoint).await,
                    registry_watch::WatchCommand::Watch { endpoint, from } => {
                        self.watch(&mut f, endpoint, from).await
                    }
                    // What was out has been given up with its future.
                    registry_watch::WatchCommand::CloseWatch => {}
                }
            }
            if idle {
                Timer::after(crate::seconds((wake - clock.now()).clamp(0.0, 0.5))).await;
            }
        }
    }

    async fn read(&self, f: &mut RegistryWatch, endpoint: usize) {
        let clock = self.fleet.clock;
        let prefix = &self.registry.engines;
        let answer = self.call(endpoint, "/v3/kv/range", &wire::range_request(prefix)).await;
        match answer.and_then(|b| wire::parse_response::<wire::RangeResponse>(&b)) {
            Ok(r) => {
                let revision = r.header.revision.max(0) as u64;
                let worth = f.read_finished(clock.now(), revision, &r.header.cluster_id);
                let (lines, bad) = wire::endpoint_entries(prefix, &r.kvs);
                if bad > 0 {
                    tracing::warn!(bad, "lines in the registry that cannot be read are left out");
                }
                if worth != ReadVerdict::Stale {
                    self.fleet.full(revision, lines, worth == ReadVerdict::RolledBack).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, endpoint, "the registry was not read");
                f.failed(clock.now());
            }
        }
    }

    /// Watches until the watch breaks, is silent, or its revision was compacted away.
    async fn watch(&self, f: &mut RegistryWatch, endpoint: usize, from: u64) {
        let clock = self.fleet.clock;
        let silent_s = RegistryWatchConfig::default().idle_timeout_s;
        let body = wire::watch_request(&self.registry.engines, from);
        let signed = self.sign_in(endpoint).await.is_ok();
        let request = self.request(endpoint, "/v3/watch", &body).filter(|_| signed);
        let Some(request) = request else { return f.failed(clock.now()) };
        let answer = within(CALL_S, self.fleet.engines.pool.call(self.peer(endpoint), &request)).await;
        let Some(Ok((response, _conn))) = answer else { return f.failed(clock.now()) };
        if response.status() != 200 {
            return f.failed(clock.now());
        }
        let (mut stream, mut buffer) = (response.into_body(), Vec::new());
        loop {
            let frame = within(silent_s, stream.frame()).await;
            let Some(Some(Ok(frame))) = frame else { return f.failed(clock.now()) };
            if let Some(data) = frame.data_ref() {
                buffer.extend_from_slice(data);
            }
            if buffer.len() > LONGEST_LINE {
                return f.failed(clock.now());
            }
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let Ok(w) = wire::parse_stream_message::<wire::WatchResponse>(&line) else {
                    return f.failed(clock.now());
                };
                if w.compact_revision > 0 {
                    return f.was_compacted(clock.now());
                }
                if w.canceled {
                    return f.failed(clock.now());
                }
                let revision = w.header.revision.max(0) as u64;
                if !f.is_same_cluster(clock.now(), &w.header.cluster_id) {
                    return;
                }
                if w.created && revision >= f.revision() {
                    // Where a watch begins is not yet progress: events of before may follow.
                    continue;
                }
                if w.events.is_empty() {
                    if !f.watch_progressed(clock.now(), revision) {
                        return;
                    }
                    self.fleet.view.borrow_mut().advance_revision(revision);
                    continue;
                }
                let events = wire::endpoint_events(&self.registry.engines, &w.events);
                self.fleet.view.borrow_mut().apply_events(clock.now(), revision, events);
                if !f.watch_progressed(clock.now(), revision) {
                    return;
                }
                self.fleet.settle().await;
            }
        }
    }

    /// Holds this node's place until dropped, and tells the core what part of the whole is its.
    pub async fn hold_place(self: Rc<Self>, seed: u64) {
        let Some(prefix) = self.registry.nodes.clone() else { return };
        let (clock, figures) = (self.fleet.clock, self.registry.member);
        let mut m = Membership::new(figures, &self.name);
        let (mut lease, mut endpoint, mut look_at) = (None::<i64>, seed as usize, 0.0);
        let mut part = FleetPosition::NONE;
        loop {
            if clock.now() >= look_at {
                look_at = clock.now() + figures.max_staleness_s / 4.0;
                let asked_at = clock.now();
                let answer = self.call(endpoint, "/v3/kv/range", &wire::range_request(&prefix)).await;
                match answer.and_then(|b| wire::parse_response::<wire::RangeResponse>(&b)) {
                    Ok(r) => m.update_registrations(asked_at, wire::node_registrations(&prefix, &r.kvs)),
                    Err(_) => endpoint += 1,
                }
            }
            let (todo, _) = m.poll_commands(clock.now());
            for d in todo {
                let asked_at = clock.now();
                match d {
                    MembershipCommand::KeepAlive => {
                        let done = match lease {
                            None => self
                                .call(
                                    endpoint,
                                    "/v3/lease/grant",
                                    &wire::lease_grant_request(figures.lease_s),
                                )
                                .await
                                .and_then(|b| wire::parse_response::<wire::LeaseResponse>(&b)),
                            Some(id) => self
                                .call(endpoint, "/v3/lease/keepalive", &wire::lease_keep_alive_request(id))
                                .await
                                .and_then(|b| wire::parse_stream_message::<wire::LeaseResponse>(&b)),
                        };
                        match done {
                            Ok(l) if l.ttl > 0 => {
                                lease = Some(lease.unwrap_or(l.id));
                                m.lease_renewed(asked_at, l.ttl as f64);
                            }
                            Ok(_) => {
                                tracing::warn!("this node's lease is over; it takes a place anew");
                                lease = None;
                                m.lease_lost();
                            }
                            Err(_) => endpoint += 1,
                        }
                    }
                    MembershipCommand::Claim(number) => {
                        let key = format!("{prefix}{number}");
                        let body = wire::claim_request(&key, &self.name, lease.unwrap_or(0));
                        let answer = match lease {
                            None => Err(wire::RegistryError::Failed("no lease yet".into())),
                            Some(_) => self.call(endpoint, "/v3/kv/txn", &body).await,
                        };
                        let tried = answer.and_then(|b| wire::parse_response::<wire::TxnResponse>(&b));
                        m.claim_finished(clock.now(), number, tried.is_ok_and(|t| t.succeeded));
                        look_at = 0.0;
                    }
                    MembershipCommand::Release(number) => {
                        tracing::warn!(number, "another node has this number since earlier")
                    }
                }
            }
            let now_part = m.position(clock.now());
            if now_part != part {
                part = now_part;
                tracing::info!(number = ?part.number, of = ?part.node_count, "this node's part");
                if self.fleet.words.send(TimedEvent::new(Event::FleetPosition(part))).await.is_err() {
                    return;
                }
            }
            Timer::after(crate::seconds(0.1)).await;
        }
    }
}
